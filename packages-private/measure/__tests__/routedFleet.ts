import * as http from 'node:http';
import type * as ava from 'ava';
import * as core from '@jayrock/core';
import * as platform from '@jayrock/platform';
import * as standIns from '@jayrock/stand-ins';
import * as routedSite from './routedSite.js';

/** Number of routers from which on a few of them read the store for the others, and a few more. */
export const ROUTER_COUNT = 14;
const ZONES = ['a', 'b', 'c', 'd', 'e'];
/** Prefix of the keys under which routers register. */
const ROUTER_PREFIX = 'jayrock/routers/';
/** Time in which the routers find each other, in milliseconds. */
const SETTLE_MS = 6_000;
/** Time between two requests, in milliseconds. */
export const CALL_INTERVAL_MS = 10;

/** Routers before two upstreams, with a steady load of all routers in turn. */
export interface Fleet {
  readonly store: standIns.platformStore.PlatformStore;
  /** Addresses of the routers without ports. */
  readonly ips: readonly string[];
  /** Zones of the routers, in the same order. */
  readonly zones: readonly string[];
  readonly routers: readonly routedSite.SiteRouter[];
  /** The upstream that leaves or is evacuated, and the one that stays. */
  readonly upstreams: readonly [
    standIns.routedUpstream.RoutedUpstream,
    standIns.routedUpstream.RoutedUpstream,
  ];
  /** Answers so far, each with the router that gave it and the time that it took, in milliseconds. */
  readonly answers: readonly {
    readonly ip: string;
    readonly status: number;
    readonly tookMs: number;
  }[];
}

/** Starts routers and two upstreams, whose zones are named. */
export const startFleet = async (
  t: ava.ExecutionContext,
  subnet: string,
  routerCount = ROUTER_COUNT,
  zoneCount = 1,
  upstreamZones: readonly [string, string] = ['a', 'a'],
): Promise<Fleet> => {
  const store = await standIns.platformStore.startPlatformStore();
  store.put(platform.wire.KEYS.configuration, routedSite.makeConfiguration(1));
  const upstreams = await Promise.all([
    standIns.routedUpstream.startRoutedUpstream('u-0'),
    standIns.routedUpstream.startRoutedUpstream('u-1'),
  ]);
  upstreams.forEach((upstream, index) =>
    routedSite.writeUpstreamEntry(store, upstream, { slots: 64, zone: upstreamZones[index] }),
  );
  const ips = Array.from({ length: routerCount }, (_, index) => `${subnet}.${index + 1}`);
  const zones = ips.map((_, index) => ZONES[index % zoneCount] ?? 'a');
  const routers = await Promise.all(
    ips.map((ip, index) => routedSite.startSiteRouter(ip, store.address, {}, zones[index])),
  );
  await Promise.all(routers.map(routedSite.waitUntilReady));
  await standIns.control.wait(routerCount > 1 ? SETTLE_MS : 0);
  const agent = new http.Agent({ keepAlive: true });
  const answers: { readonly ip: string; readonly status: number; readonly tookMs: number }[] = [];
  let count = 0;
  let isOver = false;
  const timer = setInterval(() => {
    const index = count % routerCount;
    const ip = ips[index] ?? '';
    const sentAtMs = performance.now();
    count += 1;
    routedSite
      .sendCall(routers[index]?.callers ?? '', { path: '/open/', id: `${ip}-${count}` }, agent)
      .then(({ status }) => answers.push({ ip, status, tookMs: performance.now() - sentAtMs }))
      .catch((error: unknown) => {
        // The end of the test breaks the connections of requests that wait.
        if (!isOver) {
          t.log(error);
        }
      });
  }, CALL_INTERVAL_MS);
  t.teardown(async () => {
    isOver = true;
    clearInterval(timer);
    agent.destroy();
    await Promise.all(routers.map(({ running }) => running.close()));
    await Promise.all(upstreams.map((upstream) => upstream.close()));
    await store.close();
  });
  return { store, ips, zones, routers, upstreams, answers };
};

/** Lists the routers through which others read the store; `isRoot` leaves those that read it through no other. */
export const listReaderIps = (
  { store, ips, zones }: Fleet,
  isRoot = false,
): ReadonlySet<string> => {
  const members = store.listKeys(ROUTER_PREFIX).map((key) => {
    const { address } = JSON.parse(store.get(key) ?? '{}') as { readonly address: string };
    return {
      id: key.slice(ROUTER_PREFIX.length),
      address,
      zone: zones[ips.indexOf(address.split(':')[0] ?? '')] ?? 'a',
      status: 'alive' as const,
      incarnation: 0,
    };
  });
  const readersOf = new Map(
    members.map((self) => [
      self.address,
      core.storeReaders.listReaders(
        members.reduce(
          (table, update) => core.memberTable.mergeUpdate(table, update, 0),
          core.memberTable.makeTable(self),
        ),
      ),
    ]),
  );
  const readers = Array.from(new Set(Array.from(readersOf.values()).flat()));
  return new Set(
    readers
      .filter((address) => !isRoot || readersOf.get(address)?.length === 0)
      .map((address) => address.split(':')[0] ?? ''),
  );
};

/** Changes how the store fails. */
export const setFault = ({ store }: Fleet, fault: object): void => {
  Object.assign(store.faults, fault);
};

/** Returns how long after a time each router sent the first upstream its last request, in milliseconds, by address. */
export const measureLastSends = (
  { upstreams: [upstream] }: Fleet,
  sinceMs: number,
): ReadonlyMap<string, number> =>
  new Map(
    upstream.arrived
      .map((id, index) => [id.split('-')[0] ?? '', upstream.arrivedAtMs[index] ?? 0] as const)
      .filter(([, atMs]) => atMs > sinceMs)
      .map(([ip, atMs]) => [ip, atMs - sinceMs]),
  );

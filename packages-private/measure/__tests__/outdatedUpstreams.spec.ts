import * as http from 'node:http';
import type * as ava from 'ava';
import test from 'ava';
import * as core from '@jayrock/core';
import * as platform from '@jayrock/platform';
import * as standIns from '@jayrock/stand-ins';
import * as routedSite from './routedSite.js';

const ROUTER_COUNT = 14;
const ZONES = ['a', 'b', 'c', 'd', 'e'];
/** Prefix of the keys under which routers register. */
const ROUTER_PREFIX = 'jayrock/routers/';
/** Time in which the routers find each other, in milliseconds. */
const SETTLE_MS = 6_000;
/** Time within which a leave has to be known to routers in touch, in milliseconds. */
const LEAVE_MS = 2_000;
/** Time for which upstreams are watched after a leave, in milliseconds. */
const OBSERVED_MS = 7_000;
/** Time in which a change is known and the next polls have begun, in milliseconds. */
const NEXT_POLL_MS = 500;
/** Time between a fault of the store and the leave, in milliseconds. */
const FAULT_LEAD_MS = 100;
/** Time by which answers of the store are late, in milliseconds. */
const LATE_MS = 3_000;
const SHORT_OUTAGE_MS = 6_000;
/** Time after an outage from which the users' bounds hold again, in milliseconds. */
const STABLE_MS = 3_000;
const OUTAGE_MS = 12_000;
const CALL_INTERVAL_MS = 10;

/** Routers before two upstreams, with a steady load of all routers in turn. */
interface Fleet {
  readonly store: standIns.platformStore.PlatformStore;
  /** Addresses of the routers without ports. */
  readonly ips: readonly string[];
  /** Zones of the routers, in the same order. */
  readonly zones: readonly string[];
  /** The upstream that leaves and the one that stays. */
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

const startFleet = async (
  t: ava.ExecutionContext,
  subnet: string,
  routerCount = ROUTER_COUNT,
  zoneCount = 1,
): Promise<Fleet> => {
  const store = await standIns.platformStore.startPlatformStore();
  store.put(platform.wire.KEYS.configuration, routedSite.makeConfiguration(1));
  const upstreams = await Promise.all([
    standIns.routedUpstream.startRoutedUpstream('u-0'),
    standIns.routedUpstream.startRoutedUpstream('u-1'),
  ]);
  upstreams.forEach((upstream) => routedSite.writeUpstreamEntry(store, upstream, { slots: 64 }));
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
  return { store, ips, zones, upstreams, answers };
};

/** Lists the routers through which others read the store; `isRoot` leaves those that read it through no other. */
const listReaderIps = ({ store, ips, zones }: Fleet, isRoot = false): ReadonlySet<string> => {
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

/** How an upstream says that it leaves: by its state, or only by the end of its entry. */
const LEAVES = {
  draining: ({ store, upstreams: [leaving] }: Fleet): void =>
    routedSite.writeUpstreamEntry(store, leaving, { state: 'draining', sequence: 3 }),
  removed: ({ store }: Fleet): void => store.remove(`${platform.wire.KEYS.upstreams}u-0`),
};

/**
 * Lets an upstream leave soon after a fault of the store, and returns how long after its leave each sound router sent it
 * the last request, in milliseconds.
 */
const measureLastSends = async (
  t: ava.ExecutionContext,
  fleet: Fleet,
  leave: keyof typeof LEAVES,
  beginFault: () => Promise<ReadonlySet<string>>,
): Promise<ReadonlyMap<string, number>> => {
  const {
    store,
    upstreams: [leaving, staying],
  } = fleet;
  // The change ends the polls, so that the fault meets the begin of the next ones.
  routedSite.writeUpstreamEntry(store, staying, { slots: 64, sequence: 2 });
  await standIns.control.wait(NEXT_POLL_MS);
  const faulty = await beginFault();
  await standIns.control.wait(FAULT_LEAD_MS);
  const before = leaving.arrived.length;
  t.true(before > 0);
  const leftAtMs = performance.now();
  LEAVES[leave](fleet);
  await standIns.control.wait(OBSERVED_MS);
  const lastSends = new Map<string, number>();
  leaving.arrived.slice(before).forEach((id, index) => {
    const ip = id.split('-')[0] ?? '';
    if (!faulty.has(ip)) {
      lastSends.set(ip, (leaving.arrivedAtMs[before + index] ?? 0) - leftAtMs);
    }
  });
  return lastSends;
};

const checkLastSends = (t: ava.ExecutionContext, lastSends: ReadonlyMap<string, number>): void => {
  const text = Array.from(lastSends, ([ip, ms]) => `${ip}: ${Math.round(ms)} ms`).join(', ');
  t.log(text);
  t.true(Math.max(0, ...lastSends.values()) <= LEAVE_MS, text);
};

const setFault = ({ store }: Fleet, fault: object): void => {
  Object.assign(store.faults, fault);
};

/** What happens between the store and routers that read it for others. */
interface ReaderFault {
  readonly name: string;
  readonly subnet: string;
  readonly leave: keyof typeof LEAVES;
  /** Number of zones of the routers; in each, two read for the others. */
  readonly zoneCount?: number;
  /** True if only readers that read the store themselves are affected. */
  readonly isOfRoots?: boolean;
  /** True if the store falls silent for all routers first, and is back for the sound ones. */
  readonly isAfterOutage?: boolean;
  readonly makeFault: (readers: ReadonlySet<string>) => object;
}

const makeSilence = (silentSources: ReadonlySet<string>): object => ({ silentSources });

const READER_FAULTS: readonly ReaderFault[] = [
  {
    name: 'while their readers get no answers',
    subnet: '127.0.150',
    leave: 'draining',
    makeFault: makeSilence,
  },
  {
    name: 'while their readers get no answers',
    subnet: '127.0.151',
    leave: 'removed',
    makeFault: makeSilence,
  },
  {
    name: 'while one of their readers gets no answers',
    subnet: '127.0.152',
    leave: 'draining',
    isOfRoots: true,
    makeFault: makeSilence,
  },
  {
    name: 'in five zones while the readers of their readers get no answers',
    subnet: '127.0.161',
    leave: 'draining',
    zoneCount: 5,
    isOfRoots: true,
    makeFault: makeSilence,
  },
  {
    name: 'while their readers get no answers after an outage for all',
    subnet: '127.0.160',
    leave: 'draining',
    isAfterOutage: true,
    makeFault: makeSilence,
  },
  {
    name: 'while their readers get late answers',
    subnet: '127.0.153',
    leave: 'draining',
    makeFault: (readers) => ({
      delaysBySource: new Map(Array.from(readers, (ip) => [ip, LATE_MS])),
    }),
  },
  {
    name: 'while their readers are refused answers',
    subnet: '127.0.154',
    leave: 'draining',
    makeFault: (refusedSources) => ({ refusedSources }),
  },
];

READER_FAULTS.forEach(
  ({ name, subnet, leave, zoneCount, isOfRoots = false, isAfterOutage = false, makeFault }) => {
    test.serial(
      `a leaving upstream gets nothing late from sound routers ${name} from the store (${leave})`,
      async (t) => {
        const fleet = await startFleet(t, subnet, ROUTER_COUNT, zoneCount);
        const readers = listReaderIps(fleet, isOfRoots);
        t.true(readers.size > 0 && readers.size < ROUTER_COUNT / 3, `${readers.size} readers`);
        const lastSends = await measureLastSends(t, fleet, leave, async () => {
          if (isAfterOutage) {
            setFault(fleet, { silentSources: new Set(fleet.ips) });
            await standIns.control.wait(SHORT_OUTAGE_MS);
          }
          setFault(fleet, makeFault(readers));
          await standIns.control.wait(isAfterOutage ? STABLE_MS : 0);
          return readers;
        });
        checkLastSends(t, lastSends);
      },
    );
  },
);

(['draining', 'removed'] as const).forEach((leave, index) => {
  test.serial(
    `a leaving upstream gets nothing late after a router's connections to the store fell silent (${leave})`,
    async (t) => {
      const fleet = await startFleet(t, `127.0.${155 + index}`, 1);
      const lastSends = await measureLastSends(t, fleet, leave, async () => {
        fleet.store.silenceConnections();
        return new Set();
      });
      checkLastSends(t, lastSends);
    },
  );
});

const countCalls = async ({ store }: Fleet, durationMs: number): Promise<string> => {
  const before = store.countCalls();
  await standIns.control.wait(durationMs);
  const calls = store.countCalls() - before;
  return (calls / ROUTER_COUNT / (durationMs / 1_000)).toFixed(3);
};

/** Routers that hear nothing from the store. */
const OUTAGES: readonly (readonly [string, string, (fleet: Fleet) => readonly string[]])[] = [
  [
    'a third of the routers, readers among them, hears',
    '127.0.157',
    (fleet) =>
      Array.from(new Set([...listReaderIps(fleet), ...fleet.ips])).slice(0, ROUTER_COUNT / 3 + 1),
  ],
  ['all routers hear', '127.0.158', ({ ips }) => ips],
];

OUTAGES.forEach(([name, subnet, listSilent]) => {
  test.serial(`public routes are served on while ${name} nothing from the store`, async (t) => {
    const fleet = await startFleet(t, subnet);
    const before = fleet.answers.length;
    setFault(fleet, { silentSources: new Set(listSilent(fleet)) });
    t.log(`${await countCalls(fleet, OUTAGE_MS)} calls a router and second`);
    const answers = fleet.answers.slice(before);
    const failed = answers.filter(({ status }) => status !== 200);
    t.is(failed.length, 0, `of ${answers.length}: ${JSON.stringify(failed.slice(0, 5))}`);
    t.log(`slowest of ${answers.length}: ${Math.max(...answers.map(({ tookMs }) => tookMs))} ms`);
    t.is(new Set(answers.map(({ ip }) => ip)).size, ROUTER_COUNT);
  });
});

test.serial(
  'a router alone serves public routes on while it hears nothing from the store',
  async (t) => {
    const fleet = await startFleet(t, '127.0.159', 1);
    setFault(fleet, { silentSources: new Set(fleet.ips) });
    await standIns.control.wait(OUTAGE_MS);
    const failed = fleet.answers.filter(({ status }) => status !== 200);
    t.is(failed.length, 0, `of ${fleet.answers.length}`);
    t.true(fleet.answers.length > OUTAGE_MS / CALL_INTERVAL_MS / 2);
  },
);

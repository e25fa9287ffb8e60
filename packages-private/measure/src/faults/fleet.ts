import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as url from 'node:url';
import * as stores from '@jayrock/stores';
import * as shared from '@jayrock/shared';
import * as standIns from '@jayrock/stand-ins';
import * as site from '../site.js';

/** An entry host: a `jayrockd` process with its addresses. */
export interface EntryHost {
  readonly index: number;
  readonly zone: string;
  readonly ip: string;
  readonly callers: string;
  readonly peers: string;
  readonly status: string;
  readonly settingsFile: string;
  process: childProcess.ChildProcess | null;
}

/** A fleet of routers in front of stand-ins, all on loopback. */
export interface Fleet {
  readonly hosts: readonly EntryHost[];
  readonly engines: readonly standIns.engine.Engine[];
  readonly plainServices: readonly standIns.plainService.PlainService[];
  /** Number of runs of plain calls over all servers, by request id. */
  readonly runCounts: ReadonlyMap<string, number>;
  readonly store: standIns.keyValueServer.KeyValueServer;
  readonly hostList: standIns.hostListServer.HostListServer;
  readonly forwarders: readonly standIns.forwarder.Forwarder[];
  readonly rating: standIns.control.StandIn;
  readonly startHost: (host: EntryHost) => Promise<void>;
  readonly stop: () => Promise<void>;
}

/** Size, zones and first port of a fleet. */
export interface FleetOptions {
  readonly count: number;
  readonly basePort: number;
  readonly engineCount: number;
  readonly plainCount: number;
  readonly zones: readonly string[];
  /** Folder of the routers' logs; by default a temporary one. */
  readonly logDir?: string;
}

const ROUTER_MAIN = path.resolve(
  path.dirname(url.fileURLToPath(import.meta.url)),
  '../../../../../packages/router/dist/src/main.js',
);
const READY_TIMEOUT_MS = 30_000;
const READY_POLL_MS = 50;
const PEER_SECRET = 'fleet-shared-secret-for-tests';

const makeIp = (index: number): string => `127.0.1.${index + 1}`;

const isReady = async (address: string): Promise<boolean> => {
  try {
    return (await fetch(`http://${address}/healthz`)).status === 200;
  } catch {
    return false;
  }
};

/** Waits until a router reports that it is ready; throws if that takes too long. */
export const waitReady = async (address: string, leftMs = READY_TIMEOUT_MS): Promise<void> => {
  if (await isReady(address)) {
    return;
  }
  if (leftMs <= 0) {
    throw new Error(`${address} was not ready within ${READY_TIMEOUT_MS} ms`);
  }
  await standIns.control.wait(READY_POLL_MS);
  await waitReady(address, leftMs - READY_POLL_MS);
};

/** Reads a router's status page; null if it does not answer within a second. */
export const readStatus = async (address: string): Promise<Record<string, never> | null> => {
  try {
    const response = await fetch(`http://${address}/status`, {
      signal: AbortSignal.timeout(1_000),
    });
    return (await response.json()) as Record<string, never>;
  } catch {
    return null;
  }
};

const makeHost = (options: FleetOptions, dir: string, index: number): EntryHost => {
  const ip = makeIp(index);
  const port = options.basePort;
  return {
    index,
    zone: options.zones[index % options.zones.length] ?? '',
    ip,
    callers: `${ip}:${port}`,
    peers: `${ip}:${port + 1}`,
    status: `${ip}:${port + 2}`,
    settingsFile: path.join(dir, `host-${index}.jsonc`),
    process: null,
  };
};

const writeSettings = (
  host: EntryHost,
  options: FleetOptions,
  services: { readonly store: string; readonly hostList: string; readonly rating: string },
): void => {
  const settings = {
    zone: host.zone,
    callers: host.callers,
    peers: host.peers,
    advertisedPeers: `${host.ip}:${options.basePort + 3}`,
    status: host.status,
    peerSecret: PEER_SECRET,
    platform: {
      kind: 'service',
      keyValueAddress: services.store,
      hostListAddress: services.hostList,
      ratingAddress: services.rating,
    },
    logLevel: 'info',
  };
  fs.writeFileSync(host.settingsFile, JSON.stringify(settings));
};

const makeHostList = (
  hosts: readonly EntryHost[],
  options: FleetOptions,
  upstreams: readonly shared.hosts.Host[],
): readonly shared.hosts.Host[] => [
  ...upstreams,
  ...hosts.map((host) => ({
    id: `entry-${host.index}`,
    address: `${host.ip}:${options.basePort + 3}`,
    zone: host.zone,
    service: shared.hosts.ENTRY_SERVICE,
    state: 'live' as const,
  })),
];

const writeLists = async (store: stores.keyValueStore.KeyValueStore): Promise<void> => {
  await stores.configEdits.editOnce(store, () =>
    shared.outcome.makeOk({
      plans: site.loadPlans('ledgerline'),
      models: site.loadModels('ledgerline'),
    }),
  );
};

const startUpstreams = async (
  options: FleetOptions,
  runCounts: Map<string, number>,
): Promise<Pick<Fleet, 'engines' | 'plainServices'>> => {
  const loaded = site.listVersions(site.loadModels('ledgerline'));
  const engines = await Promise.all(
    Array.from({ length: options.engineCount }, (_, index) =>
      standIns.engine.startEngine({
        id: `jayrock-pool-${index + 1}`,
        slots: 32,
        loaded,
        msPerToken: 5 + (index % 3) * 2,
        msPerThousandPromptTokens: 40,
      }),
    ),
  );
  const plainServices = await Promise.all(
    Array.from({ length: options.plainCount }, (_, index) =>
      standIns.plainService.startPlainService({
        id: `numbering-core-${index + 1}`,
        workMs: 5,
        runCounts,
      }),
    ),
  );
  return { engines, plainServices };
};

/** Starts stand-ins and routers and waits until every router is ready; throws if one exits. */
export const startFleet = async (options: FleetOptions): Promise<Fleet> => {
  const dir = fs.mkdtempSync(path.join(os.tmpdir(), 'jayrock-fleet-'));
  const runCounts = new Map<string, number>();
  const { engines, plainServices } = await startUpstreams(options, runCounts);
  const store = await standIns.keyValueServer.startKeyValueServer();
  const rating = await standIns.ratingServer.startRatingServer(
    site.rateByDifficulty(site.loadModels('ledgerline')),
    100,
  );
  const hosts = Array.from({ length: options.count }, (_, index) => makeHost(options, dir, index));
  const upstreams = [
    ...engines.map((engine) => ({ ...engine, service: 'jayrock-pool' })),
    ...plainServices.map((plain) => ({ ...plain, service: 'numbering-core' })),
  ].map(({ id, address, service }, index) => ({
    id,
    address,
    service,
    zone: options.zones[index % options.zones.length] ?? '',
    state: 'live' as const,
  }));
  const hostList = await standIns.hostListServer.startHostListServer(
    makeHostList(hosts, options, upstreams),
  );
  const memoryStore = stores.memoryStore.openMemoryStore(store.table);
  await writeLists(memoryStore);
  const forwarders = await Promise.all(
    hosts.map((host) =>
      standIns.forwarder.startForwarder(
        { host: host.ip, port: options.basePort + 3 },
        shared.settings.parseAddress(host.peers),
      ),
    ),
  );
  const logDir = options.logDir ?? dir;
  const startHost = async (host: EntryHost): Promise<void> => {
    const log = fs.openSync(path.join(logDir, `host-${host.index}.log`), 'a');
    const child = childProcess.spawn(
      process.execPath,
      [ROUTER_MAIN, '--settings', host.settingsFile],
      {
        stdio: ['ignore', log, log],
      },
    );
    host.process = child;
    child.once('exit', () => {
      if (host.process === child) {
        host.process = null;
      }
    });
    const exited = new Promise<never>((_, reject) => {
      child.once('exit', (code) => reject(new Error(`router ${host.index} exited with ${code}`)));
    });
    // Without the race, a router that fails to start would be mistaken for another process that
    // already listens on its address.
    await Promise.race([waitReady(host.callers), exited]);
    exited.catch(() => undefined);
  };
  hosts.forEach((host) =>
    writeSettings(host, options, {
      store: store.address,
      hostList: hostList.address,
      rating: rating.address,
    }),
  );
  await Promise.all(hosts.map(startHost));
  return {
    hosts,
    engines,
    plainServices,
    runCounts,
    store,
    hostList,
    forwarders,
    rating,
    startHost,
    stop: async () => {
      hosts.forEach((host) => host.process?.kill('SIGKILL'));
      forwarders.forEach((forwarder) => forwarder.close());
      await Promise.all(
        [...engines, ...plainServices, store, hostList, rating].map((item) => item.close()),
      );
    },
  };
};

/** Sends a signal to a router's process; SIGKILL by default. */
export const killHost = (host: EntryHost, signal: NodeJS.Signals = 'SIGKILL'): void => {
  host.process?.kill(signal);
};

/** Isolates a zone from the platform and from the other zones; null ends every isolation. */
export const cutZone = (fleet: Fleet, zone: string | null): void => {
  const inside = new Set(fleet.hosts.filter((host) => host.zone === zone).map((host) => host.ip));
  const outside = new Set(fleet.hosts.filter((host) => host.zone !== zone).map((host) => host.ip));
  [fleet.store, fleet.hostList, fleet.rating].forEach((standIn) => {
    standIn.faults.blockedSources = inside;
  });
  fleet.hosts.forEach((host, index) => {
    const others = inside.has(host.ip) ? outside : inside;
    fleet.forwarders[index]?.block(zone === null ? new Set() : others);
  });
};

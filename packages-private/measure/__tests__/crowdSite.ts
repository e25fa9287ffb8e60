import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as http from 'node:http';
import * as module from 'node:module';
import * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import type * as ava from 'ava';
import * as platform from '@jayrock/platform';
import * as shared from '@jayrock/shared';
import * as standIns from '@jayrock/stand-ins';
import * as routedSite from './routedSite.js';
import * as routerSettings from './routerSettings.js';

/** A router that runs as a process of its own, with little memory, and its store and upstream. */
export interface CrowdSite {
  readonly callers: string;
  readonly upstream: standIns.routedUpstream.RoutedUpstream;
  /** Lists an upstream for the route `/slow/`. */
  readonly addSlowUpstream: (address: string) => void;
  /** Returns whether the process lives. */
  readonly isAlive: () => boolean;
  /** Returns the largest memory that the process has held, in MiB. */
  readonly getPeakMemory: () => number;
  /** Returns the number of descriptors that the process holds. */
  readonly countDescriptors: () => number;
}

/** Limits of the process and of the requests that a test lowers. */
export interface CrowdLimits {
  /** Descriptors that the process may open. */
  readonly descriptors: number;
  readonly bodyBytes: number;
}

/** Limit on the heap of the router's process, in MiB. */
const HEAP_MIB = 64;
/** Requests that an upstream serves at once, so that the router holds none of them back. */
const SLOTS = 512;
const KIB_PER_MIB = 1_024;
/** Longest wait for a condition, in milliseconds. */
const PATIENCE_MS = 30_000;
/** Time without a change after which a crowd has done what it can, in milliseconds. */
const CALM_MS = 1_500;
const POLL_MS = 50;
/** Time after which an ordinary caller gives up a try, in milliseconds. */
const TRY_MS = 3_000;

const ROUTER = module.createRequire(import.meta.url).resolve('@jayrock/router');

/** Waits until a condition holds; resolves to false if it does not within a long time. */
export const waitFor = async (isDone: () => boolean | Promise<boolean>): Promise<boolean> => {
  const endAtMs = performance.now() + PATIENCE_MS;
  while (performance.now() < endAtMs) {
    // eslint-disable-next-line no-await-in-loop -- each poll follows a pause
    if (await isDone()) {
      return true;
    }
    // eslint-disable-next-line no-await-in-loop -- each poll follows a pause
    await standIns.control.wait(POLL_MS);
  }
  return false;
};

const readPeakMemory = (pid: number): number => {
  const status = fs.readFileSync(`/proc/${pid}/status`, 'utf8');
  return Number(/VmHWM:\s*(\d+)/.exec(status)?.[1] ?? NaN) / KIB_PER_MIB;
};

/** Sends an ordinary request on a new connection; resolves to its status, or 0 without an answer. */
export const sendOrdinary = (
  address: string,
  body = 'short',
  headers: Readonly<Record<string, string>> = {},
): Promise<number> =>
  new Promise((resolve) => {
    const { host, port } = shared.settings.parseAddress(address);
    const request = http.request(
      {
        host,
        port,
        agent: false,
        method: 'POST',
        path: '/read/',
        headers: {
          host: routedSite.HOST,
          [platform.wire.HEADERS.requestId]: 'ordinary',
          [platform.wire.HEADERS.key]: routedSite.KEY,
          ...headers,
        },
      },
      (response) => {
        response.resume();
        response.once('close', () => resolve(response.complete ? (response.statusCode ?? 0) : 0));
      },
    );
    request.setTimeout(TRY_MS, () => request.destroy());
    request.once('error', () => resolve(0));
    request.end(body);
  });

/** Starts a router as a process with a small heap, in front of one upstream. */
export const startCrowdSite = async (
  t: ava.ExecutionContext,
  ip: string,
  { descriptors, bodyBytes }: CrowdLimits,
): Promise<CrowdSite> => {
  const dir = fs.mkdtempSync(path.join(os.tmpdir(), 'jayrock-crowd-'));
  const file = path.join(dir, 'settings.jsonc');
  const store = await standIns.platformStore.startPlatformStore();
  const upstream = await standIns.routedUpstream.startRoutedUpstream('u-0');
  routedSite.writeUpstreamEntry(store, upstream, { slots: SLOTS });
  store.put(
    platform.wire.KEYS.configuration,
    routedSite.makeConfiguration(1, {
      routes: [
        routedSite.makeRoute('read', 'safe'),
        routedSite.makeRoute('issue', 'unsafe'),
        routedSite.makeRoute('open', 'safe', { public: true }),
        routedSite.makeRoute('large', 'safe', { timeout_ms: 60_000 }),
        routedSite.makeRoute('slow', 'unsafe', { service: 'slow', timeout_ms: 60_000 }),
      ],
      services: ['desk', 'slow'].map((name) => ({
        name,
        health_path: '/health',
        max_connections: 2 * SLOTS,
      })),
      limits: {
        max_header_bytes: 16_384,
        max_body_bytes: bodyBytes,
        header_timeout_ms: 3_000,
        idle_timeout_ms: 15_000,
      },
    }),
  );
  fs.writeFileSync(
    file,
    JSON.stringify(
      routerSettings.makeRouterSettings(
        ip,
        { kind: 'managed', storeAddress: store.address },
        { logLevel: 'warn' },
      ),
    ),
  );
  const child = childProcess.spawn('sh', [
    '-c',
    `ulimit -n ${descriptors}; exec "$0" "$@"`,
    process.execPath,
    `--max-old-space-size=${HEAP_MIB}`,
    '--max-semi-space-size=2',
    path.join(path.dirname(ROUTER), 'main.js'),
    '--settings',
    file,
  ]);
  const { pid } = child;
  let output = '';
  child.stdout.resume();
  child.stderr.on('data', (bytes: Buffer) => {
    output = (output + bytes.toString('utf8')).slice(-2_000);
  });
  t.teardown(async () => {
    if (output !== '') {
      t.log(output);
    }
    child.kill('SIGKILL');
    await upstream.close();
    await store.close();
    fs.rmSync(dir, { recursive: true });
  });
  if (pid === undefined) {
    throw new Error('the router was not started');
  }
  const callers = `${ip}:7401`;
  await waitFor(async () => (await sendOrdinary(callers)) === 200);
  return {
    callers,
    upstream,
    addSlowUpstream: (address) =>
      routedSite.writeUpstreamEntry(
        store,
        { ...upstream, id: 'slow-0', address },
        { service: 'slow', slots: SLOTS },
      ),
    isAlive: () => child.exitCode === null && child.signalCode === null,
    getPeakMemory: () => readPeakMemory(pid),
    countDescriptors: () => fs.readdirSync(`/proc/${pid}/fd`).length,
  };
};

/** What one caller of a crowd sends, piece by piece; it stays until the router closes its connection. */
export interface CrowdCaller {
  readonly head: string;
  readonly piece: string;
  readonly pieces: number;
  /** True if the caller reads what it gets. */
  readonly isReading: boolean;
}

const openCaller = (address: string, caller: CrowdCaller): net.Socket => {
  const socket = net.connect(shared.settings.parseAddress(address));
  socket.on('error', () => undefined);
  const sendPiece = (left: number): void => {
    if (left > 0 && !socket.destroyed) {
      socket.write(caller.piece, () => sendPiece(left - 1));
    }
  };
  if (caller.isReading) {
    socket.resume();
  } else {
    socket.pause();
  }
  socket.write(caller.head, () => sendPiece(caller.pieces));
  return socket;
};

const describeSockets = (sockets: readonly net.Socket[]): string =>
  sockets.map((socket) => `${socket.destroyed} ${socket.bytesWritten}`).join();

const describeSite = (site: CrowdSite): string =>
  site.isAlive() ? `${site.getPeakMemory()} ${site.upstream.arrived.length}` : 'ended';

/**
 * Opens a crowd of callers and waits until nothing more of them is read and none of them is closed any more; resolves to
 * the bytes that were taken from them.
 */
export const openCrowd = async (
  t: ava.ExecutionContext,
  site: CrowdSite,
  count: number,
  caller: CrowdCaller,
): Promise<number> => {
  const sockets = Array.from({ length: count }, () => openCaller(site.callers, caller));
  t.teardown(() => sockets.forEach((socket) => socket.destroy()));
  let before = '';
  let changedAtMs = performance.now();
  await waitFor(() => {
    const now = `${describeSockets(sockets)} ${describeSite(site)}`;
    if (now !== before) {
      before = now;
      changedAtMs = performance.now();
    }
    return performance.now() - changedAtMs > CALM_MS;
  });
  const bytes = sockets.reduce(
    (sum, socket) => sum + socket.bytesWritten - socket.writableLength,
    0,
  );
  t.log(
    `${sockets.filter(({ destroyed }) => destroyed).length} of ${count} closed, ${bytes} bytes taken, ${site.upstream.arrived.length} requests sent on`,
  );
  return bytes;
};

/** Checks that the router lives within its bounds and answers an ordinary request, while the crowd stays. */
export const checkSite = async (
  t: ava.ExecutionContext,
  site: CrowdSite,
  bounds: { readonly memory: number; readonly descriptors: number },
): Promise<void> => {
  const isOpen = (): boolean => site.isAlive() && site.countDescriptors() <= bounds.descriptors;
  const isAnswered = await waitFor(async () => (await sendOrdinary(site.callers)) === 200);
  const isBounded = await waitFor(isOpen);
  t.true(site.isAlive(), 'the process has ended');
  const memory = site.getPeakMemory();
  const descriptors = site.countDescriptors();
  t.log(`peak ${memory.toFixed(0)} MiB, ${descriptors} descriptors, answered: ${isAnswered}`);
  t.true(memory <= bounds.memory, `${memory} MiB`);
  t.true(isBounded, `${descriptors} descriptors`);
  t.true(isAnswered, 'an ordinary request is not answered');
};

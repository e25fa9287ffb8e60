import * as http from 'node:http';
import type * as ava from 'ava';
import test from 'ava';
import * as platform from '@jayrock/platform';
import * as standIns from '@jayrock/stand-ins';
import * as routedSite from './routedSite.js';

const H = platform.wire.HEADERS;

/** Time within which all routers have to know of the crashes, in milliseconds. */
const NEWS_MS = 3_000;
/** Time after the decisive crash from which sound requests have to be served again, in milliseconds. */
const RECOVERED_MS = 2 * NEWS_MS;
/** Time for which sound requests are counted, before the first crash and after the recovery, in milliseconds. */
const COUNTED_MS = 2_500;
/** Time from the decisive crash to the start of a router that has seen none, in milliseconds. */
const LATE_START_MS = 1_000;
/** Time by which every request has been answered, in milliseconds. */
const SETTLED_MS = 2_000;
/** Sound requests of each group that have to be counted at least. */
const MIN_SOUND_CALLS = 4;
/** Crash from which on the part has to be known. */
const DECISIVE_CRASH = 5;
/** Requests with the part that may reach upstreams after the news has spread. */
const MAX_LATE_ARRIVALS = 3;
const ROUTER_COUNT = 3;
const SOUND_INTERVAL_MS = 50;
const POISON_INTERVAL_MS = 150;

const SUCCESS_STATUS = 200;

const CRASH_PART = 'bad0';
const OTHER_KEY = 'key-of-ben';
const KEYS = [routedSite.KEY, OTHER_KEY] as const;
/** Parts before the last one; a request with the crash part shares all its other parts with sound ones. */
const SOUND_PREFIXES = [
  ['f1'],
  ['f1', 's1'],
  ['f2'],
  ['f1', 's2', 's3'],
  ['f3', 's1'],
  ['f2', 's2'],
  ['f4'],
] as const;
const POISON_PREFIXES = [
  ['f1', CRASH_PART],
  ['f1', 's1', CRASH_PART],
  ['f2', CRASH_PART],
  ['f1', CRASH_PART, 's2'],
  [CRASH_PART, 's3'],
  ['f3', 's1', CRASH_PART],
  ['f4', CRASH_PART],
] as const;

/** A sound request; its answer has begun once a byte of its body has arrived. */
interface SoundCall {
  readonly sentAtMs: number;
  readonly key: string;
  readonly firstPart: string;
  isSettled: boolean;
  isBegun: boolean;
}

const pickItem = <T>(items: readonly T[], index: number): T => {
  const item = items[index % items.length];
  if (item === undefined) {
    throw new Error('expected items');
  }
  return item;
};

const makeCall = (id: string, index: number, prefix: readonly string[]): routedSite.Call => ({
  path: '/talk/',
  id,
  method: 'POST',
  body: `body of ${id}`,
  key: pickItem(KEYS, index),
  headers: {
    [H.tokens]: '600,20',
    // The last part belongs to the request alone.
    [H.parts]: [...prefix, `e${id.replace(/\D/g, '')}`].map((part) => `${part}:200`).join(','),
  },
});

/** Runs work at a fixed interval until it is stopped. */
const startLoad = (
  intervalMs: number,
  work: (index: number) => Promise<void>,
): { readonly stop: () => void } => {
  let index = 0;
  const timer = setInterval(() => {
    work(index).catch(() => undefined);
    index += 1;
  }, intervalMs);
  return { stop: () => clearInterval(timer) };
};

/** Upstreams that crash on a part, and several routers before them. */
interface CrashingSite {
  readonly pool: standIns.crashingPool.CrashingPool;
  readonly sound: readonly SoundCall[];
  readonly sendSound: (index: number) => Promise<void>;
  readonly sendPoison: (index: number) => Promise<void>;
  /** Starts one more router, which takes requests after a time in milliseconds. */
  readonly addRouter: (delayMs: number) => Promise<void>;
}

const startCrashingSite = async (
  t: ava.ExecutionContext,
  subnet: string,
  options: Partial<standIns.crashingPool.CrashingPoolOptions>,
): Promise<CrashingSite> => {
  const store = await standIns.platformStore.startPlatformStore();
  store.put(
    platform.wire.KEYS.configuration,
    routedSite.makeConfiguration(1, {
      tenants: [
        { name: 'ada', keys: [routedSite.KEY] },
        { name: 'ben', keys: [OTHER_KEY] },
      ],
    }),
  );
  const pool = await standIns.crashingPool.startCrashingPool(store, {
    service: 'desk',
    count: 5,
    crashPart: CRASH_PART,
    behaviour: { kind: 'stream', events: 12 },
    connectionEnd: 'close',
    workMs: 50,
    downMs: 1_000,
    expiryMs: 1_500,
    ...options,
  });
  const agent = new http.Agent({ keepAlive: true });
  const sound: SoundCall[] = [];
  const routers: routedSite.SiteRouter[] = [];
  const closers: (() => Promise<void>)[] = [store.close, pool.close];
  t.teardown(async () => {
    agent.destroy();
    await Promise.all(closers.map((close) => close()));
  });
  const startRouter = async (index: number): Promise<routedSite.SiteRouter> => {
    const router = await routedSite.startSiteRouter(`${subnet}.${index + 1}`, store.address);
    closers.push(router.running.close);
    await routedSite.waitUntilReady(router);
    return router;
  };
  const send = (call: routedSite.Call, index: number): Promise<routedSite.CallResponse | null> =>
    routedSite.sendCall(pickItem(routers, index).callers, call, agent).catch(() => null);
  routers.push(
    ...(await Promise.all(Array.from({ length: ROUTER_COUNT }, (_, i) => startRouter(i)))),
  );
  return {
    pool,
    sound,
    sendSound: async (index) => {
      const prefix = pickItem(SOUND_PREFIXES, index);
      const call: SoundCall = {
        sentAtMs: performance.now(),
        key: pickItem(KEYS, index),
        firstPart: prefix[0],
        isSettled: false,
        isBegun: false,
      };
      sound.push(call);
      const response = await send(makeCall(`s${index}`, index, prefix), index);
      call.isSettled = true;
      call.isBegun = response?.status === SUCCESS_STATUS && response.body !== '';
    },
    sendPoison: async (index) => {
      await send(makeCall(`p${index}`, index, pickItem(POISON_PREFIXES, index)), index);
    },
    addRouter: async (delayMs) => {
      const [router] = await Promise.all([
        startRouter(ROUTER_COUNT),
        standIns.control.wait(delayMs),
      ]);
      routers.push(router);
    },
  };
};

/** Groups of sound requests that share a caller or a first part with requests that crash upstreams. */
const GROUPS: readonly (readonly [string, (call: SoundCall) => boolean])[] = [
  ...KEYS.map((key) => [key, (call: SoundCall) => call.key === key] as const),
  ...['f1', 'f2', 'f3', 'f4'].map(
    (part) => [part, (call: SoundCall) => call.firstPart === part] as const,
  ),
];

const computeBegunShare = (calls: readonly SoundCall[]): number =>
  calls.filter(({ isBegun }) => isBegun).length / Math.max(1, calls.length);

/** Plays requests with the part beside sound ones, and checks how many of either reach upstreams. */
const checkGuard = async (
  t: ava.ExecutionContext,
  subnet: string,
  options: Partial<standIns.crashingPool.CrashingPoolOptions>,
): Promise<void> => {
  const site = await startCrashingSite(t, subnet, options);
  const { pool, sound } = site;
  const sounds = startLoad(SOUND_INTERVAL_MS, site.sendSound);
  t.teardown(sounds.stop);
  await standIns.control.wait(COUNTED_MS);
  const poisonedAtMs = performance.now();
  const poisons = startLoad(POISON_INTERVAL_MS, site.sendPoison);
  t.teardown(poisons.stop);
  const getLastCrashMs = (): number => pool.crashes.at(-1)?.atMs ?? poisonedAtMs;
  await standIns.control.waitUntil(
    () =>
      pool.crashes.length >= DECISIVE_CRASH || performance.now() - getLastCrashMs() > RECOVERED_MS,
  );
  const decidedAtMs = pool.crashes[DECISIVE_CRASH - 1]?.atMs ?? getLastCrashMs();
  await standIns.control.wait(LATE_START_MS);
  // The late router is in touch when it takes requests, so it has to know the part.
  await Promise.all([
    site.addRouter(NEWS_MS),
    standIns.control.wait(decidedAtMs + RECOVERED_MS + COUNTED_MS - performance.now()),
  ]);
  poisons.stop();
  sounds.stop();
  await Promise.race([
    standIns.control.waitUntil(() => sound.every(({ isSettled }) => isSettled)),
    standIns.control.wait(SETTLED_MS),
  ]);
  const lateArrivals = pool.arrivals.filter(({ atMs }) => atMs > decidedAtMs + NEWS_MS);
  const before = sound.filter(({ sentAtMs }) => sentAtMs < poisonedAtMs);
  const after = sound.filter(({ sentAtMs }) => sentAtMs > decidedAtMs + RECOVERED_MS);
  t.log(`${pool.crashes.length} crashes, ${pool.arrivals.length} arrivals`);
  t.true(lateArrivals.length <= MAX_LATE_ARRIVALS, `${lateArrivals.length} late arrivals`);
  GROUPS.forEach(([name, isInGroup]) => {
    const callsBefore = before.filter(isInGroup);
    const callsAfter = after.filter(isInGroup);
    t.true(callsBefore.length >= MIN_SOUND_CALLS, name);
    t.true(callsAfter.length >= MIN_SOUND_CALLS, name);
    t.true(
      computeBegunShare(callsAfter) >= computeBegunShare(callsBefore) / 2,
      `${name}: ${computeBegunShare(callsAfter)} after ${computeBegunShare(callsBefore)}`,
    );
  });
};

test('a part of a prompt that crashes upstreams reaches no more of them, and requests that share its other parts are served', (t) =>
  checkGuard(t, '127.0.24', { connectionEnd: 'reset' }));

test('the same holds if the streams have no chunks and a crash ends them within an event', (t) =>
  checkGuard(t, '127.0.25', {
    behaviour: { kind: 'stream', events: 12, isUnframed: true },
    connectionEnd: 'close',
  }));

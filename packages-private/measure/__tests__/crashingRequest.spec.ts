import * as http from 'node:http';
import type * as ava from 'ava';
import test from 'ava';
import * as platform from '@jayrock/platform';
import * as standIns from '@jayrock/stand-ins';
import * as routedSite from './routedSite.js';

/** Time after the third crash from which a few retries at most may reach upstreams, in milliseconds. */
const NEWS_MS = 3_000;
const MAX_LATE_ARRIVALS = 3;
const DECISIVE_CRASH = 3;
const ROUTER_COUNT = 3;
const CRASH_URL = '/read/bad';
/** Pause between the requests that crash upstreams, in which sound requests are known to have been survived. */
const POISON_INTERVAL_MS = 1_500;
/** The same where no sound requests come between them. */
const POISON_PAUSE_MS = 300;
const SOUND_INTERVAL_MS = 25;
const PLAYED_MS = 14_000;
/** Keys of the caller. */
const KEYS = [routedSite.KEY, 'second-key', 'third-key'];

interface Site {
  readonly pool: standIns.crashingPool.CrashingPool;
  /** Sends a GET request to a path, with the first key of its caller or another one, and returns its status; 0 if it was cut off. */
  readonly send: (path: string, key?: string) => Promise<number>;
}

/** Starts upstreams that crash on requests to one path, and several routers before them. */
const startSite = async (
  t: ava.ExecutionContext,
  subnet: string,
  crashUrl = CRASH_URL,
): Promise<Site> => {
  const store = await standIns.platformStore.startPlatformStore();
  store.put(
    platform.wire.KEYS.configuration,
    routedSite.makeConfiguration(1, { tenants: [{ name: 'ada', keys: KEYS }] }),
  );
  const pool = await standIns.crashingPool.startCrashingPool(store, {
    service: 'desk',
    count: 8,
    crashPart: 'none',
    crashUrl,
    behaviour: { kind: 'answer', status: 200, body: 'sound' },
    connectionEnd: 'reset',
    workMs: 5,
    downMs: 1_000,
    expiryMs: 1_000,
  });
  const routers = await Promise.all(
    Array.from({ length: ROUTER_COUNT }, (_, index) =>
      routedSite.startSiteRouter(`${subnet}.${index + 1}`, store.address),
    ),
  );
  await Promise.all(routers.map(routedSite.waitUntilReady));
  const agent = new http.Agent({ keepAlive: true });
  t.teardown(async () => {
    agent.destroy();
    await Promise.all(routers.map(({ running }) => running.close()));
    await pool.close();
    await store.close();
  });
  // The routers find each other.
  await standIns.control.wait(1_500);
  let count = 0;
  return {
    pool,
    send: async (path, key = KEYS[0] ?? '') => {
      count += 1;
      const { callers } = routers[count % ROUTER_COUNT] ?? { callers: '' };
      return routedSite.sendCall(callers, { path, id: `r${count}`, key }, agent).then(
        ({ status }) => status,
        () => 0,
      );
    },
  };
};

const countLateArrivals = ({ pool }: Site): number => {
  const decisiveAtMs = pool.crashes[DECISIVE_CRASH - 1]?.atMs ?? Infinity;
  return pool.arrivals.filter(({ atMs }) => atMs > decisiveAtMs + NEWS_MS).length;
};

/** Sends a request that crashes upstreams, with some keys in turn, beside sound ones, and checks that it is held back. */
const checkHeldBack = async (
  t: ava.ExecutionContext,
  subnet: string,
  keys: readonly string[],
  crashUrl = CRASH_URL,
): Promise<void> => {
  const site = await startSite(t, subnet, crashUrl);
  const settled: Promise<number>[] = [];
  let poisonCount = 0;
  const sound = setInterval(
    () => settled.push(site.send(`/read/sound-${settled.length}`)),
    SOUND_INTERVAL_MS,
  );
  const poison = setInterval(() => {
    settled.push(site.send(crashUrl, keys[poisonCount % keys.length]));
    poisonCount += 1;
  }, POISON_INTERVAL_MS);
  await standIns.control.wait(PLAYED_MS);
  clearInterval(sound);
  clearInterval(poison);
  await Promise.all(settled);
  t.log(`${site.pool.crashes.length} crashes`);
  t.true(site.pool.crashes.length >= DECISIVE_CRASH);
  t.true(countLateArrivals(site) <= MAX_LATE_ARRIVALS, `${countLateArrivals(site)} late`);
};

// The fingerprint left out the path, so sound requests with the same key cleared the evidence.
test.serial(
  'a request without a body that crashes upstreams is held back beside sound ones with the same key',
  async (t) => {
    await checkHeldBack(t, '127.0.94', KEYS.slice(0, 1));
  },
);

// The fingerprint held the key, so the same request was a new one with each key of its organisation.
test.serial(
  'a request that crashes upstreams is held back whichever key of its caller it comes with',
  async (t) => {
    await checkHeldBack(t, '127.0.196', KEYS);
  },
);

// A public route needs no key, so one that was sent along made another request of it.
test.serial(
  'a request to a public route that crashes upstreams is held back whichever key is sent along',
  async (t) => {
    await checkHeldBack(t, '127.0.197', ['guess-1', 'guess-2', 'guess-3', 'guess-4'], '/open/bad');
  },
);

// The converse: the fingerprint of the request that crashes upstreams was that of all requests with its key.
test.serial(
  'sound requests without a body are served while one with the same key is held back',
  async (t) => {
    const site = await startSite(t, '127.0.95');
    for (let status = 0; status !== 503;) {
      // eslint-disable-next-line no-await-in-loop -- the request is sent until it is held back
      status = await site.send(CRASH_URL);
      // eslint-disable-next-line no-await-in-loop -- each request follows a pause
      await standIns.control.wait(POISON_PAUSE_MS);
    }
    // The crashed upstreams are back.
    await standIns.control.wait(NEWS_MS);
    const statuses = await Promise.all(
      Array.from({ length: 30 }, (_, index) => site.send(`/read/sound-${index}`)),
    );
    t.deepEqual(new Set(statuses), new Set([200]), statuses.join(' '));
    t.is(await site.send(CRASH_URL), 503);
  },
);

import test from 'ava';
import * as standIns from '@jayrock/stand-ins';
import type * as client from '../src/client.js';
import * as socketSite from './socketSite.js';

const CALL_INTERVAL_MS = 30;
const SPREAD_MS = 500;
const SPAN_MS = 4_000;
const LIMIT = 3;
/** Requests that an upstream with the limit may get in the span. */
const MAX_ARRIVALS = 1.5 * LIMIT * (SPAN_MS / 1_000) + 5;

interface Load {
  readonly results: readonly client.CallResult[];
  readonly stop: () => Promise<void>;
}

/** Sends requests at a fixed interval. */
const startLoad = (send: (index: number) => Promise<client.CallResult>): Load => {
  const results: client.CallResult[] = [];
  const open: Promise<void>[] = [];
  let index = 0;
  const timer = setInterval(() => {
    index += 1;
    open.push(
      send(index).then((result) => {
        results.push(result);
      }),
    );
  }, CALL_INTERVAL_MS);
  return {
    results,
    stop: async () => {
      clearInterval(timer);
      await Promise.all(open);
    },
  };
};

const countFrom = (times: readonly number[], fromMs: number): number =>
  times.filter((atMs) => atMs >= fromMs).length;

test('an engine that names a limit gets no more requests than that, and the other one takes the rest', async (t) => {
  const site = await socketSite.startSite('127.0.40.20');
  t.teardown(site.close);
  const [limited] = site.engines;
  if (limited === undefined) {
    throw new Error('expected an engine');
  }
  limited.faults.requestsPerSecond = LIMIT;
  const load = startLoad((index) => site.send(socketSite.makeChat(`len=4 ${index}`)));
  await standIns.control.wait(SPREAD_MS);
  const fromMs = performance.now();
  await standIns.control.wait(SPAN_MS);
  const arrived = countFrom(limited.arrivedAtMs, fromMs);
  await load.stop();
  t.log(`${arrived} requests`);
  t.true(arrived <= MAX_ARRIVALS, String(arrived));
  t.true(arrived > 0);
  t.true(load.results.every(({ isWhole }) => isWhole));
});

test('a plain service that names a limit gets no more calls than that', async (t) => {
  const site = await socketSite.startSite('127.0.40.21');
  t.teardown(site.close);
  site.plain.faults.requestsPerSecond = LIMIT;
  const load = startLoad((index) =>
    site.send({ order: index }, { path: '/services/orders/issue' }),
  );
  await standIns.control.wait(SPREAD_MS);
  const fromMs = performance.now();
  await standIns.control.wait(SPAN_MS);
  const arrived = countFrom(site.plain.arrivedAtMs, fromMs);
  site.plain.faults.requestsPerSecond = null;
  await load.stop();
  t.log(`${arrived} calls, ${load.results.length} answers`);
  t.true(arrived <= MAX_ARRIVALS, String(arrived));
  t.true(arrived >= LIMIT);
});

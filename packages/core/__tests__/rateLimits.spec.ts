import test from 'ava';
import * as fc from 'fast-check';
import * as core from '../src/index.js';
import * as fixtures from './fixtures.js';
import * as limitedFleet from './limitedFleet.js';
import * as routedFixtures from './routedFixtures.js';

const WINDOW_MS = 4_000;
/** Time within which all routers know of a limit from the first answers on, in milliseconds. */
const SPREAD_MS = 500;

/** Requests that an upstream may get from all routers in a window. */
const computeAllowed = (requestsPerSecond: number): number =>
  (1.5 * requestsPerSecond * WINDOW_MS) / 1_000 + 5;

const countMost = (times: readonly number[]): number =>
  times.reduce(
    (most, startMs) =>
      Math.max(most, times.filter((atMs) => atMs >= startMs && atMs < startMs + WINDOW_MS).length),
    0,
  );

const listLate = (fleet: limitedFleet.LimitedFleet, upstreamId: string): readonly number[] =>
  (fleet.arrivals.get(upstreamId) ?? []).filter((atMs) => atMs > SPREAD_MS);

test('routers together keep the limit of an upstream, whatever the load of each, and when routers come and go', (t) => {
  fc.assert(
    fc.property(
      fc.integer({ min: 1, max: 14 }),
      fc.double({ min: 0.5, max: 8, noNaN: true }),
      fc.option(fc.double({ min: 0.5, max: 8, noNaN: true })),
      fc.array(fc.nat(13), { minLength: 10, maxLength: 10 }),
      fc.array(fc.record({ atMs: fc.nat(9_000), isJoin: fc.boolean(), router: fc.nat(13) }), {
        maxLength: 4,
      }),
      fc.nat(),
      (routerCount, limit, otherLimit, load, changes, seed) => {
        const limits = { u1: limit, u2: otherLimit };
        const fleet = limitedFleet.makeLimitedFleet(routerCount, limits, seed);
        let remaining = changes.toSorted((a, b) => a.atMs - b.atMs);
        for (let nowMs = 20; nowMs < 12_000; nowMs += 20) {
          fleet.runUntil(nowMs);
          const due = remaining.filter(({ atMs }) => atMs <= nowMs);
          remaining = remaining.filter(({ atMs }) => atMs > nowMs);
          due.forEach(({ isJoin, router }) =>
            isJoin ? fleet.addRouter() : fleet.killRouter(router),
          );
          fleet.sendCall(load[(nowMs / 20) % load.length] ?? 0);
        }
        return Object.entries(limits).every(
          ([id, requestsPerSecond]) =>
            requestsPerSecond === null ||
            countMost(listLate(fleet, id)) <= computeAllowed(requestsPerSecond),
        );
      },
    ),
    { seed: 1, numRuns: 40 },
  );
  t.pass();
});

test('one request a second is shared by any number of routers, and all of it goes where the load is', (t) => {
  [9, 75].forEach((routerCount) => {
    const limits = { u1: 1, u2: 1, u3: 1 };
    const fleet = limitedFleet.makeLimitedFleet(routerCount, limits, routerCount);
    for (let nowMs = 20; nowMs < 20_000; nowMs += 20) {
      fleet.runUntil(nowMs);
      // Two routers have all of the load.
      fleet.sendCall((nowMs / 20) % 2);
    }
    Object.keys(limits).forEach((id) => {
      const late = listLate(fleet, id);
      t.true(countMost(late) <= computeAllowed(1), `${routerCount} routers, ${id}`);
      t.true(late.length >= 15, `${late.length} of ${id} with ${routerCount} routers`);
    });
  });
});

test('a request for limited upstreams is refused at once, as not run, if its turn would come too late', (t) => {
  const driver = routedFixtures.makeRoutedDriver(['u1']);
  driver.send({ type: 'rateLimitObserved', upstreamId: 'u1', requestsPerSecond: 1 });
  const effects = Array.from({ length: 12 }, (_, index) =>
    routedFixtures.sendCall(driver, `call-${index}`, { deadlineMs: 8_000 }),
  ).flat();
  const refusals = effects.filter((effect) => effect.type === 'refuse');
  // Turns come a second apart, and a request waits for at most seven tenths of its time.
  t.is(refusals.length, 7);
  t.true(refusals.every(({ notRun, retryAfterMs }) => notRun && (retryAfterMs ?? 0) >= 2_000));
});

test('a request that waited for a connection while its upstream named a limit is not sent', (t) => {
  const driver = routedFixtures.makeRoutedDriver(['u1']);
  routedFixtures.sendCall(driver, 'call');
  const detect = (): string | null =>
    core.overdueSend.detectOverdue(driver.getState(), 'call', 'u1', 2);
  t.is(detect(), null);
  driver.send({ type: 'rateLimitObserved', upstreamId: 'u1', requestsPerSecond: 1 });
  t.is(detect(), 'rateLimited');
});

test('the latest answer counts, and news about another process of the upstream are ignored', (t) => {
  const driver = routedFixtures.makeRoutedDriver(['u1']);
  const getLimit = (): number | null =>
    driver.getState().upstreams.get('u1')?.rateLimit.requestsPerSecond ?? null;
  const tell = (requestsPerSecond: number | null, ageMs: number, bornAtMs = 1): void => {
    const news = [{ upstreamId: 'u1', bornAtMs, requestsPerSecond, ageMs, sinceAgeMs: ageMs }];
    driver.send({ type: 'rateLimitNewsReceived', news }, 1_000);
  };
  tell(5, 0, 2);
  t.is(getLimit(), null);
  tell(5, 100);
  t.is(getLimit(), 5);
  tell(null, 200);
  t.is(getLimit(), 5);
  tell(null, 50);
  t.is(getLimit(), null);
  tell(5, 60);
  t.is(getLimit(), null);
  driver.send({ type: 'rateLimitObserved', upstreamId: 'u1', requestsPerSecond: 3 }, 1_000);
  t.is(getLimit(), 3);
  driver.send({ type: 'hostChanged', host: routedFixtures.makeHost('u1', { bornAtMs: 2 }) });
  t.is(getLimit(), null);
});

test('a low limit of all upstreams of a model lets a request through now and then', (t) => {
  const hosts = fixtures.makeHosts(1);
  const driver = fixtures.makeReadyDriver(undefined, undefined, hosts);
  driver.send({ type: 'rateLimitObserved', upstreamId: 'engine-0', requestsPerSecond: 0 });
  const starts = Array.from({ length: 60 }, (_, index) => {
    const nowMs = index * 500 + 1;
    driver.send({ type: 'ticked' }, nowMs);
    return fixtures.sendArrival(driver, `call-${index}`, {}, {}, nowMs);
  })
    .flat()
    .filter((effect) => effect.type === 'startAttempt');
  // The lowest rate is one request in ten seconds.
  t.true(starts.length >= 1 && starts.length <= 4, String(starts.length));
});

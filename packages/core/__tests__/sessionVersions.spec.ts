import test from 'ava';
import * as fc from 'fast-check';
import * as core from '../src/index.js';
import type * as fixtures from './fixtures.js';
import * as routedFixtures from './routedFixtures.js';

const PERIOD_MS = 20_000;
const ROUTERS = 5;
/** Largest time by which a router sees an order later than the first one, in milliseconds. */
const MAX_DELAY_MS = 100;

/** Requests of one session: the time of each, relative to the order, and the index of its router. */
type Session = readonly { readonly atMs: number; readonly router: number }[];

const ORDER_AT_MS = 10_000;

const makeRouter = (): fixtures.Driver => {
  const driver = routedFixtures.makeRoutedDriver(['old-1', 'old-2']);
  ['new-1', 'new-2'].forEach((id) =>
    driver.send({ type: 'hostChanged', host: routedFixtures.makeHost(id, { version: 'v2' }) }),
  );
  return driver;
};

/** Serves a request at once and returns whether it ran on the new version. */
const serveRequest = (
  driver: fixtures.Driver,
  requestId: string,
  session: string,
  nowMs: number,
): boolean => {
  routedFixtures.sendCall(driver, requestId, { path: '/talk/', session }, 0, nowMs);
  const upstream = driver.getState().requests.get(requestId)?.attempts[0]?.upstreamId ?? '';
  driver.send({ type: 'callerGone', requestId }, nowMs);
  return upstream.startsWith('new');
};

/** Simulates sessions over routers that see an order at different times; returns the versions of each session's requests. */
const simulateSessions = (
  sessions: readonly Session[],
  delays: readonly number[],
): readonly (readonly { readonly atMs: number; readonly isNew: boolean }[])[] => {
  const drivers = delays.map(makeRouter);
  const seen = new Set<number>();
  const order = { service: 'desk', to: 'v2', periodMs: PERIOD_MS, revision: 3 };
  const sendOrder = (router: number, delayMs: number): void => {
    seen.add(router);
    const event = { type: 'canaryObserved', order, stage: 'running', elapsedMs: delayMs } as const;
    drivers[router]?.send(event, ORDER_AT_MS + delayMs);
  };
  const requests = sessions
    .flatMap((session, index) => session.map((request) => ({ ...request, index })))
    .toSorted((a, b) => a.atMs - b.atMs);
  const runs = sessions.map((): { readonly atMs: number; readonly isNew: boolean }[] => []);
  requests.forEach(({ atMs, router, index }, position) => {
    const delayMs = delays[router] ?? 0;
    // New upstreams are listed some time after every router has seen the order.
    if (!seen.has(router) && atMs >= delayMs) {
      sendOrder(router, delayMs);
    }
    const driver = drivers[router];
    if (driver !== undefined && (atMs < 0 || atMs > MAX_DELAY_MS)) {
      const isNew =
        atMs >= 0 && serveRequest(driver, `r${position}`, `s${index}`, ORDER_AT_MS + atMs);
      runs[index]?.push({ atMs, isNew });
    }
  });
  return runs;
};

const ROUTER = fc.nat(ROUTERS - 1);
const SESSION = fc.array(
  fc.record({ atMs: fc.integer({ min: -5_000, max: PERIOD_MS }), router: ROUTER }),
  { minLength: 2, maxLength: 5 },
);
const DELAYS = fc.array(fc.nat(MAX_DELAY_MS), { minLength: ROUTERS, maxLength: ROUTERS });

test('a session in progress is not moved to a version in the first half of its roll-out', (t) => {
  fc.assert(
    fc.property(fc.array(SESSION, { minLength: 60, maxLength: 60 }), DELAYS, (sessions, delays) => {
      const moved = simulateSessions(sessions, delays).filter((runs) =>
        runs.some(
          ({ atMs, isNew }, index) =>
            isNew && atMs < PERIOD_MS / 2 && index > 0 && runs[index - 1]?.isNew === false,
        ),
      );
      return moved.length === 0;
    }),
    { seed: 34, numRuns: 20 },
  );
  t.pass();
});

test('a session on the new version of a roll-out does not go back, whichever router serves it', (t) => {
  fc.assert(
    fc.property(fc.array(SESSION, { minLength: 60, maxLength: 60 }), DELAYS, (sessions, delays) =>
      simulateSessions(sessions, delays).every((runs) =>
        runs.every(({ isNew }, index) => isNew || runs[index - 1]?.isNew !== true),
      ),
    ),
    { seed: 34, numRuns: 20 },
  );
  t.pass();
});

test('counts that arrive during the ramp do not move sessions back', (t) => {
  const exposure = { share: 0.15, slack: 30 };
  const order = { service: 'desk', to: 'v2', periodMs: PERIOD_MS, revision: 3 };
  const start = core.canaryState.makeCanary(order, 'running', 0, exposure);
  const few = { answers: 2_000, newAnswers: 100, perSecond: 100 };
  const many = { answers: 2_000, newAnswers: 400, perSecond: 150 };
  const report = { source: 'zone:a', rows: [], oldRunning: 0 };
  const early = core.canaryState.mergeReport(start, { ...report, pooled: few }, 18_000);
  const atMs = Array.from({ length: 200 }, (_, index) => 18_000 + index * 10).find(
    (time) => core.canaryShare.getTrafficShare(early, time, true) > 0.9,
  );
  t.truthy(atMs);
  const late = core.canaryState.mergeReport(early, { ...report, pooled: many }, atMs ?? 0);
  t.true(core.canaryShare.getTrafficShare(late, atMs ?? 0, true) > 0.9);
});

test('counts of a report that waited do not replace those of a later one', (t) => {
  const exposure = { share: 0.15, slack: 30 };
  const order = { service: 'desk', to: 'v2', periodMs: PERIOD_MS, revision: 3 };
  const start = core.canaryState.makeCanary(order, 'running', 0, exposure);
  const report = { source: 'zone:a', rows: [], oldRunning: 0, isWitnessed: true };
  const later = { answers: 900, newAnswers: 60, perSecond: 100 };
  const earlier = { answers: 200, newAnswers: 10, perSecond: 100 };
  const known = core.canaryState.mergeReport(
    start,
    { ...report, ageMs: 9_000, pooled: later },
    9_000,
  );
  const read = core.canaryState.mergeReport(
    known,
    { ...report, ageMs: 4_000, pooled: earlier },
    9_100,
  );
  t.is(read.pooled?.answers, later.answers);
});

test('a router whose wall clock is ahead of the record of a roll-out does not move sessions early', (t) => {
  const driver = makeRouter();
  const order = { service: 'desk', to: 'v2', periodMs: PERIOD_MS, revision: 3 };
  const sendObserved = (nowMs: number, elapsedMs: number): void => {
    driver.send({ type: 'canaryObserved', order, stage: 'running', elapsedMs }, nowMs);
  };
  sendObserved(ORDER_AT_MS, 0);
  sendObserved(ORDER_AT_MS + 50, 2_450);
  const nowMs = ORDER_AT_MS + PERIOD_MS / 2 - 1;
  const sessions = Array.from({ length: 100 }, (_, index) => `s${index}`);
  t.true(sessions.every((session) => !serveRequest(driver, session, session, nowMs)));
});

import test from 'ava';
import type * as shared from '@jayrock/shared';
import * as core from '../src/index.js';
import * as fixtures from './fixtures.js';
import * as routedFixtures from './routedFixtures.js';

/** Makes a version of the table whose only route leads to a service, with a time-out. */
const makeTable = (
  version: number,
  service: string,
  timeoutMs: number,
  change: object = {},
): shared.routeTable.RouteTable =>
  routedFixtures.makeTable({
    version,
    routes: [
      {
        name: 'read',
        host: 'h',
        prefix: '/read/',
        kind: 'safe',
        targets: [{ service }],
        maxAttempts: 3,
        timeoutMs,
        targetLatencyMs: 5_000,
        ...change,
      },
    ],
    services: [{ name: 'desk' }, { name: 'shelf' }],
  });

/** Makes a router whose route leads to a service that is full, with one request that waits for it. */
const makeWaiting = (): fixtures.Driver => {
  const driver = routedFixtures.makeRoutedDriver([], makeTable(1, 'desk', 8_000));
  driver.send({ type: 'hostChanged', host: routedFixtures.makeHost('d1', { slots: 1 }) });
  driver.send({
    type: 'hostChanged',
    host: routedFixtures.makeHost('s1', { service: 'shelf', slots: 1, address: '127.0.0.1:9' }),
  });
  Array.from({ length: 9 }, (_, index) =>
    routedFixtures.sendCall(driver, `running-${index}`, {}, 0, 1_000),
  );
  return driver;
};

const countWaiting = (driver: fixtures.Driver): number =>
  driver
    .getState()
    .requests.valueSeq()
    .count(({ phase }) => phase === 'queued');

test('a request that waits goes to the service to which its route leads by then', (t) => {
  const driver = makeWaiting();
  t.true(countWaiting(driver) > 0);
  const effects = driver.send(
    { type: 'routesAdopted', table: makeTable(2, 'shelf', 8_000) },
    1_100,
  );
  const started = fixtures.pickEffects(effects, 'startAttempt').map(({ upstreamId }) => upstreamId);
  t.true(started.includes('s1'), JSON.stringify(started));
});

test('a request that waits is not started at the service from which its route has been moved', (t) => {
  const driver = makeWaiting();
  driver.send({ type: 'routesAdopted', table: makeTable(2, 'shelf', 8_000) }, 1_100);
  const effects = driver.send({ type: 'callerGone', requestId: 'running-0' }, 1_200);
  const started = fixtures.pickEffects(effects, 'startAttempt').map(({ upstreamId }) => upstreamId);
  t.false(started.includes('d1'), JSON.stringify(started));
});

/** Makes a router with one request, which runs at the service to which its route leads. */
const makeRunning = (): fixtures.Driver => {
  const driver = routedFixtures.makeRoutedDriver([], makeTable(1, 'desk', 8_000));
  driver.send({ type: 'hostChanged', host: routedFixtures.makeHost('d1', { slots: 1 }) });
  driver.send({
    type: 'hostChanged',
    host: routedFixtures.makeHost('s1', { service: 'shelf', slots: 1, address: '127.0.0.1:9' }),
  });
  routedFixtures.sendCall(driver, 'running', {}, 0, 1_000);
  return driver;
};

const adopt = (
  driver: fixtures.Driver,
  table: shared.routeTable.RouteTable,
  nowMs: number,
): readonly core.effects.Effect[] => driver.send({ type: 'routesAdopted', table }, nowMs);

const getQueueSize = (driver: fixtures.Driver, service: string): number =>
  driver.getState().services.get(service)?.queue.size ?? 0;

test('a request that waits is answered as unknown, not run, once its route is gone', (t) => {
  const driver = makeWaiting();
  const waiting = countWaiting(driver);
  const effects = adopt(driver, makeTable(2, 'desk', 8_000, { prefix: '/other/' }), 1_100);
  const refused = fixtures.pickEffects(effects, 'refuse');
  t.is(refused.length, waiting);
  t.true(refused.every(({ code, notRun }) => code === 'noRoute' && notRun));
  t.is(getQueueSize(driver, 'desk'), 0);
  t.deepEqual(fixtures.pickEffects(effects, 'startAttempt'), []);
});

test('a request that waits ends by the shorter time-out of a new table', (t) => {
  const driver = makeWaiting();
  const waiting = countWaiting(driver);
  const effects = adopt(driver, makeTable(2, 'desk', 2_000), 1_100);
  const timers = fixtures
    .pickEffects(effects, 'armTimer')
    .filter(({ timer }) => timer.kind === 'routedTimeout');
  t.is(timers.length, waiting);
  timers.forEach(({ timer, delayMs }) => {
    t.is(delayMs, 1_900);
    const ended = driver.send({ type: 'timerFired', timer }, 3_000);
    t.is(fixtures.pickEffects(ended, 'refuse').length, 1);
  });
});

test('a request that waits is not ended by the timer of a shorter time-out that its route no longer has', (t) => {
  const driver = makeWaiting();
  const waiting = countWaiting(driver);
  const effects = adopt(driver, makeTable(2, 'desk', 20_000), 1_100);
  const [armed] = fixtures
    .pickEffects(effects, 'armTimer')
    .flatMap(({ timer, delayMs }) => (timer.kind === 'routedTimeout' ? [{ timer, delayMs }] : []));
  t.is(armed?.delayMs, 9_900);
  const requestId = armed?.timer.requestId ?? '';
  const former = { kind: 'routedTimeout', requestId, deadlineAtMs: 9_000 } as const;
  const early = driver.send({ type: 'timerFired', timer: former }, 9_000);
  t.deepEqual(fixtures.pickEffects(early, 'refuse'), []);
  t.is(countWaiting(driver), waiting);
});

test('a request that waits keeps its place if a new table leaves its route as it is', (t) => {
  const driver = makeWaiting();
  const before = driver.getState().services.get('desk')?.queue;
  const effects = adopt(driver, makeTable(2, 'desk', 8_000), 1_100);
  t.is(driver.getState().services.get('desk')?.queue, before);
  t.deepEqual(
    effects.map(({ type }) => type),
    ['log'],
  );
});

test('a request that is moved leaves the queue of its former service', (t) => {
  const driver = makeWaiting();
  const waiting = countWaiting(driver);
  const effects = adopt(driver, makeTable(2, 'shelf', 8_000), 1_100);
  const started = fixtures.pickEffects(effects, 'startAttempt').length;
  t.is(getQueueSize(driver, 'desk'), 0);
  t.is(getQueueSize(driver, 'shelf'), waiting - started);
});

test('a request is sent again to the service to which its route leads by then', (t) => {
  const driver = makeRunning();
  adopt(driver, makeTable(2, 'shelf', 8_000), 1_100);
  const effects = driver.send(routedFixtures.makeFailure('running', 1), 1_200);
  t.deepEqual(
    fixtures.pickEffects(effects, 'startAttempt').map(({ upstreamId }) => upstreamId),
    ['s1'],
  );
});

test('a request that may have run is not sent again once its route is unsafe', (t) => {
  const driver = makeRunning();
  adopt(driver, makeTable(2, 'shelf', 8_000, { kind: 'unsafe' }), 1_100);
  const effects = driver.send(routedFixtures.makeFailure('running', 1), 1_200);
  t.deepEqual(fixtures.pickEffects(effects, 'startAttempt'), []);
  t.deepEqual(
    fixtures.pickEffects(effects, 'refuse').map(({ code, notRun }) => [code, notRun]),
    [['upstreamFailed', false]],
  );
});

test('a request that may have run is not told that its route is unknown', (t) => {
  const driver = makeRunning();
  adopt(driver, makeTable(2, 'desk', 8_000, { prefix: '/other/' }), 1_100);
  const effects = driver.send(routedFixtures.makeFailure('running', 1), 1_200);
  t.deepEqual(
    fixtures.pickEffects(effects, 'refuse').map(({ code, notRun }) => [code, notRun]),
    [['upstreamFailed', false]],
  );
});

test('a send that waits is not due at a service from which its route has been moved', (t) => {
  const driver = makeRunning();
  const detect = (): string | null =>
    core.overdueSend.detectOverdue(driver.getState(), 'running', 'd1', 1_200);
  t.is(detect(), null);
  adopt(driver, makeTable(2, 'shelf', 8_000), 1_100);
  t.is(detect(), 'routeMoved');
});

/** Answers the running request, and returns the effects. */
const answer = (
  driver: fixtures.Driver,
  status: number,
  confidence: number | null,
): readonly core.effects.Effect[] =>
  driver.send(
    {
      type: 'routedHeadArrived',
      requestId: 'running',
      attemptId: 1,
      head: { status, confidence },
    },
    1_200,
  );

test('an answer that failed is forwarded if its request has no route by then', (t) => {
  const driver = makeRunning();
  adopt(driver, makeTable(2, 'desk', 8_000, { prefix: '/other/' }), 1_100);
  const effects = answer(driver, 500, null);
  t.is(fixtures.pickEffects(effects, 'forwardAnswer').length, 1);
  t.deepEqual(fixtures.pickEffects(effects, 'refuse'), []);
});

test('an answer of low confidence is kept if its route has been moved since', (t) => {
  const sized = (version: number, service: string): shared.routeTable.RouteTable =>
    routedFixtures.makeTable({
      version,
      routes: [
        {
          name: 'read',
          host: 'h',
          prefix: '/read/',
          kind: 'safe',
          targets: [{ service }],
          maxAttempts: 3,
          sizes: ['small', 'large'],
        },
      ],
      services: ['desk', 'shelf'].map((name) => ({
        name,
        engine: {
          slots: 4,
          memoryTokens: 10_000,
          models: ['small', 'large'].map((model) => ({ name: model, costPerThousandTokens: 0.01 })),
        },
      })),
    });
  const countReplaced = (service: string): number => {
    const driver = routedFixtures.makeRoutedDriver(['u1', 'u2'], sized(1, 'desk'));
    driver.send({
      type: 'hostChanged',
      host: routedFixtures.makeHost('s1', { service: 'shelf', address: '127.0.0.1:9' }),
    });
    const call = { model: '*', tokensIn: 1_000, maxTokens: 20 };
    routedFixtures.sendCall(driver, 'running', call, 0, 1_150);
    adopt(driver, sized(2, service), 1_160);
    return fixtures.pickEffects(answer(driver, 200, 30), 'startAttempt').length;
  };
  t.is(countReplaced('desk'), 1);
  t.is(countReplaced('shelf'), 0);
});

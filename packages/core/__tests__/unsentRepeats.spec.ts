import test from 'ava';
import * as fixtures from './fixtures.js';
import * as routedFixtures from './routedFixtures.js';

const UNREACHABLE = { failure: 'unreachable', isUnsent: true, isNotRun: true } as const;
/** More attempts than the budget of repeated sends allows. */
const ATTEMPTS = 100;

/** Makes a driver whose request `a` was broken off once and then reaches no upstream any more. */
const makeCutOffDriver = (): fixtures.Driver => {
  const driver = routedFixtures.makeRoutedDriver(['u1', 'u2']);
  let [start] = fixtures.pickEffects(
    routedFixtures.sendCall(driver, 'a', {}, 0, 5_000),
    'startAttempt',
  );
  for (let attempt = 1; attempt <= ATTEMPTS && start !== undefined; attempt += 1) {
    const failure = routedFixtures.makeFailure(
      'a',
      start.attemptId,
      attempt === 1 ? {} : UNREACHABLE,
    );
    [start] = fixtures.pickEffects(driver.send(failure, 5_000 + attempt), 'startAttempt');
  }
  return driver;
};

test('attempts that reached no upstream leave other requests their repeated sends', (t) => {
  const driver = makeCutOffDriver();
  const nowMs = 5_500;
  const [start] = fixtures.pickEffects(
    routedFixtures.sendCall(driver, 'b', { fingerprint: 'g' }, 0, nowMs),
    'startAttempt',
  );
  const failure = routedFixtures.makeFailure('b', start?.attemptId ?? 0);
  const effects = driver.send(failure, nowMs + 10);
  t.is(fixtures.pickEffects(effects, 'refuse')[0]?.code, undefined);
  t.is(fixtures.pickEffects(effects, 'startAttempt').length, 1);
});

test('attempts that reached no upstream allow no repeated sends', (t) => {
  const driver = routedFixtures.makeRoutedDriver(['u1', 'u2']);
  let [start] = fixtures.pickEffects(
    routedFixtures.sendCall(driver, 'a', {}, 0, 5_000),
    'startAttempt',
  );
  for (let attempt = 1; attempt <= ATTEMPTS && start !== undefined; attempt += 1) {
    const failure = routedFixtures.makeFailure('a', start.attemptId, UNREACHABLE);
    [start] = fixtures.pickEffects(driver.send(failure, 5_000 + attempt), 'startAttempt');
  }
  const firstSends = driver
    .getState()
    .routed.sendWindows.get('desk')
    ?.buckets.reduce((sum, bucket) => sum + bucket.firstSends, 0);
  t.true((firstSends ?? 0) <= 1, `${firstSends} first sends of one request`);
});

// What waited for a connection at its deadline counted as sent.
([0, 1] as const).forEach((unsentCount) => {
  test(`a request at its deadline is refused as not run if nothing of it was sent (${unsentCount} of 1 attempt unsent)`, (t) => {
    const driver = routedFixtures.makeRoutedDriver(['u1', 'u2']);
    routedFixtures.sendCall(driver, 'a', { path: '/issue/', deadlineMs: 1_000 }, 0, 5_000);
    const timer = { kind: 'routedTimeout', requestId: 'a', deadlineAtMs: 6_000 } as const;
    const effects = driver.send({ type: 'timerFired', timer, unsentCount }, 6_000);
    t.is(
      fixtures.pickEffects(effects, 'refuse')[0]?.code,
      unsentCount === 1 ? 'overloaded' : 'deadlineExceeded',
    );
  });
});

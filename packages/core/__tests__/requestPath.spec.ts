import test from 'ava';
import * as core from '../src/index.js';
import * as fixtures from './fixtures.js';

test('a request is placed, forwarded, billed and finished', (t) => {
  const driver = fixtures.makeReadyDriver();
  const [start] = fixtures.pickEffects(fixtures.sendArrival(driver, 'q1'), 'startAttempt');
  t.is(start?.versionId, 'small@v1');
  const first = driver.send({ type: 'attemptFirstToken', requestId: 'q1', attemptId: 1 }, 50);
  t.is(fixtures.pickEffects(first, 'forwardAttempt').length, 1);
  const ended = driver.send(
    { type: 'attemptEnded', requestId: 'q1', attemptId: 1, tokensOut: 60, isBilled: true },
    500,
  );
  const [witness] = fixtures.pickEffects(ended, 'witnessEntry');
  t.is(witness?.entry.costMicros, 10);
  t.is(fixtures.pickEffects(ended, 'finishAnswer').length, 0);
  const finished = driver.send({ type: 'entryWitnessed', requestId: 'q1' });
  t.is(fixtures.pickEffects(finished, 'finishAnswer').length, 1);
  t.is(driver.getState().requests.size, 0);
});

test('a model outside the plan is refused as not run', (t) => {
  const driver = fixtures.makeReadyDriver();
  const effects = fixtures.sendArrival(driver, 'q1', { target: 'large' }, { customer: 'cleo' });
  const [refusal] = fixtures.pickEffects(effects, 'refuse');
  t.is(refusal?.code, 'modelNotAllowed');
  t.true(refusal?.notRun);
});

test('a non-idempotent request is not retried once it was sent', (t) => {
  const driver = fixtures.makeReadyDriver();
  const call = { kind: 'call' as const, target: 'orders', path: '/issue' };
  t.is(fixtures.pickEffects(fixtures.sendArrival(driver, 'q1', call), 'writeClaim').length, 1);
  const granted = driver.send({ type: 'claimResolved', requestId: 'q1', result: 'granted' });
  t.is(fixtures.pickEffects(granted, 'startAttempt').length, 1);
  const failed = driver.send({
    type: 'attemptFailed',
    requestId: 'q1',
    attemptId: 1,
    failure: 'silent',
    isUnsent: false,
    tokensForwarded: 0,
  });
  const [refusal] = fixtures.pickEffects(failed, 'refuse');
  t.is(refusal?.code, 'upstreamFailed');
  t.false(refusal?.notRun);
});

test('a request whose claim cannot be written is refused as not run', (t) => {
  const driver = fixtures.makeReadyDriver();
  fixtures.sendArrival(driver, 'q1', { kind: 'call', target: 'orders', path: '/issue' });
  const effects = driver.send({ type: 'claimResolved', requestId: 'q1', result: 'unavailable' });
  const [refusal] = fixtures.pickEffects(effects, 'refuse');
  t.is(refusal?.code, 'claimsUnavailable');
  t.true(refusal?.notRun);
});

test('a first token resets the number of consecutive failures', (t) => {
  const [host] = fixtures.makeHosts();
  const listed = host === undefined ? undefined : core.upstreamState.makeUpstream(host);
  t.truthy(listed);
  if (listed !== undefined) {
    const failing = { ...listed, consecutiveFailures: 2 };
    t.is(core.upstreamState.recordFirstToken(failing, 1, 100).consecutiveFailures, 0);
  }
});

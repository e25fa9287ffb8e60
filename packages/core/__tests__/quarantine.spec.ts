import test from 'ava';
import * as fixtures from './fixtures.js';

const crashUpstream = (driver: fixtures.Driver, requestId: string, nowMs: number): void => {
  const request = driver.getState().requests.get(requestId);
  const attempt = request?.attempts[0];
  if (attempt !== undefined) {
    driver.send(
      {
        type: 'attemptFailed',
        requestId,
        attemptId: attempt.id,
        failure: 'crashed',
        isUnsent: false,
        tokensForwarded: 0,
      },
      nowMs,
    );
  }
};

const triggerRetry = (driver: fixtures.Driver, requestId: string, nowMs: number): void => {
  driver.send({ type: 'timerFired', timer: { kind: 'retry', requestId } }, nowMs);
};

test('a request in flight at two crashes is refused and does not run again', (t) => {
  const driver = fixtures.makeReadyDriver();
  fixtures.sendArrival(driver, 'poison');
  crashUpstream(driver, 'poison', 10_000);
  triggerRetry(driver, 'poison', 12_000);
  crashUpstream(driver, 'poison', 12_100);
  const codes = fixtures.pickEffects(driver.getEffects(), 'refuse').map((effect) => effect.code);
  t.deepEqual(codes, ['quarantined']);
  const resend = fixtures.sendArrival(driver, 'again', { fingerprint: 'f-poison' }, {}, 13_000);
  t.is(fixtures.pickEffects(resend, 'refuse')[0]?.code, 'quarantined');
  t.true(fixtures.pickEffects(resend, 'refuse')[0]?.notRun);
});

test('a request in flight at one crash is retried, and its suspicion is cleared when it completes', (t) => {
  const driver = fixtures.makeReadyDriver();
  fixtures.sendArrival(driver, 'neighbour');
  crashUpstream(driver, 'neighbour', 10_000);
  triggerRetry(driver, 'neighbour', 12_000);
  driver.send(
    { type: 'attemptEnded', requestId: 'neighbour', attemptId: 2, tokensOut: 3, isBilled: true },
    12_500,
  );
  t.is(fixtures.pickEffects(driver.getEffects(), 'witnessEntry').length, 1);
  t.is(driver.getState().quarantine.suspicions.size, 0);
});

test('two suspects do not share an upstream', (t) => {
  const driver = fixtures.makeReadyDriver();
  ['a', 'b', 'c'].forEach((id) => {
    fixtures.sendArrival(driver, id);
    crashUpstream(driver, id, 10_000);
  });
  ['a', 'b', 'c'].forEach((id) => triggerRetry(driver, id, 12_000));
  const used = ['a', 'b', 'c'].flatMap(
    (id) =>
      driver
        .getState()
        .requests.get(id)
        ?.attempts.map((one) => one.upstreamId) ?? [],
  );
  t.is(new Set(used).size, used.length);
  t.true(used.length > 0);
});

test('crash evidence of other routers counts, and a crash reported twice counts once', (t) => {
  const driver = fixtures.makeReadyDriver();
  const reportCrashes = (crashes: readonly string[]): void => {
    driver.send({ type: 'crashEvidenceReceived', fingerprint: 'f-x', crashes }, 10_000);
  };
  reportCrashes(['engine-0@1']);
  reportCrashes(['engine-0@1']);
  t.is(fixtures.pickEffects(fixtures.sendArrival(driver, 'x'), 'startAttempt').length, 1);
  reportCrashes(['engine-0@1', 'engine-1@2']);
  const refused = fixtures.sendArrival(driver, 'y', { fingerprint: 'f-x' });
  t.is(fixtures.pickEffects(refused, 'refuse')[0]?.code, 'quarantined');
});

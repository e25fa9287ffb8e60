import test from 'ava';
import * as core from '../src/index.js';
import * as fixtures from './fixtures.js';
import * as routedFixtures from './routedFixtures.js';

const detect = (
  driver: fixtures.Driver,
  upstreamId: string,
  nowMs: number,
): core.overdueSend.OverdueReason | null =>
  core.overdueSend.detectOverdue(driver.getState(), 'a', upstreamId, nowMs);

const startCall = (): { readonly driver: fixtures.Driver; readonly upstreamId: string } => {
  const driver = routedFixtures.makeRoutedDriver(['u1', 'u2']);
  const effects = routedFixtures.sendCall(driver, 'a', { deadlineMs: 1_000 }, 0, 5_000);
  const [start] = fixtures.pickEffects(effects, 'startAttempt');
  return { driver, upstreamId: start?.upstreamId ?? '' };
};

test('a send is not due after the deadline of its request', (t) => {
  const { driver, upstreamId } = startCall();
  t.is(detect(driver, upstreamId, 5_999), null);
  t.is(detect(driver, upstreamId, 6_000), 'deadlinePassed');
});

test('a send to an upstream that is leaving by then goes to another one, and counts as one send', (t) => {
  const { driver, upstreamId } = startCall();
  const host = routedFixtures.makeHost(upstreamId, { state: 'leaving' });
  driver.send({ type: 'hostChanged', host }, 5_001);
  t.is(detect(driver, upstreamId, 5_002), 'upstreamLeft');
  const failure = routedFixtures.makeFailure('a', 1, {
    failure: 'overdue',
    isUnsent: true,
    isNotRun: true,
  });
  const [next] = fixtures.pickEffects(driver.send(failure, 5_002), 'startAttempt');
  t.not(next?.upstreamId, upstreamId);
  t.is(driver.getState().requests.get('a')?.sentCount, 1);
});

test('a send whose key was withdrawn by then is refused as not run, and is not sent again', (t) => {
  const { driver, upstreamId } = startCall();
  const table = routedFixtures.makeTable({
    version: 2,
    organisations: [{ name: 'ada', keys: ['other'] }],
  });
  driver.send({ type: 'routesAdopted', table }, 5_001);
  t.is(detect(driver, upstreamId, 5_002), 'keyWithdrawn');
  const failure = routedFixtures.makeFailure('a', 1, {
    failure: 'overdue',
    isUnsent: true,
    isNotRun: true,
  });
  const effects = driver.send(failure, 5_002);
  t.deepEqual(fixtures.pickEffects(effects, 'startAttempt'), []);
  t.is(fixtures.pickEffects(effects, 'refuse')[0]?.code, 'unauthorized');
  t.true(fixtures.pickEffects(effects, 'refuse')[0]?.notRun);
});

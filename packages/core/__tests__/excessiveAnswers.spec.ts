import test from 'ava';
import type * as core from '../src/index.js';
import * as fixtures from './fixtures.js';
import * as routedFixtures from './routedFixtures.js';

const EXCESSIVE = { failure: 'excessive' } as const;
/** Failures in a row that eject an upstream. */
const EJECT_FAILURES = 3;

type Health = core.upstreamState.UpstreamHealth;

/** Sends a request, fails its attempts on all but one upstream, and returns the upstreams that it was sent to. */
const sendThrough = (
  driver: fixtures.Driver,
  requestId: string,
  soundId: string,
  change: Parameters<typeof routedFixtures.makeFailure>[2],
  nowMs: number,
): readonly string[] => {
  const upstreamIds: string[] = [];
  let [start] = fixtures.pickEffects(
    routedFixtures.sendCall(driver, requestId, { fingerprint: requestId }, 0, nowMs),
    'startAttempt',
  );
  while (start !== undefined) {
    upstreamIds.push(start.upstreamId);
    [start] =
      start.upstreamId === soundId
        ? []
        : fixtures.pickEffects(
            driver.send(
              routedFixtures.makeFailure(requestId, start.attemptId, change),
              nowMs + upstreamIds.length,
            ),
            'startAttempt',
          );
  }
  return upstreamIds;
};

/** Makes a driver with two upstreams of which one is ejected, and lets that ejection end or not. */
const makeDriver = (ejectedId: string, health: Health): fixtures.Driver => {
  const driver = routedFixtures.makeRoutedDriver(['u1', 'u2']);
  const nowMs = 5_000;
  for (let failures = 0, count = 0; failures < EJECT_FAILURES; count += 1) {
    const requestId = `before-${count}`;
    const [start] = fixtures.pickEffects(
      routedFixtures.sendCall(driver, requestId, { fingerprint: requestId }, 0, nowMs + count),
      'startAttempt',
    );
    const attemptId = start?.attemptId ?? 0;
    if (start?.upstreamId === ejectedId) {
      failures += 1;
      driver.send(
        routedFixtures.makeFailure(requestId, attemptId, { failure: 'silent' }),
        nowMs + count,
      );
    }
    driver.send({ type: 'callerGone', requestId }, nowMs + count);
  }
  if (health === 'probation') {
    driver.send({ type: 'ticked' }, nowMs + 2_000);
  }
  return driver;
};

(['ejected', 'probation'] as const).forEach((health) => {
  test(`requests with an excessive answer do not go back to its upstream if the other one is on hold (${health})`, (t) => {
    const driver = makeDriver('u2', health);
    t.is(driver.getState().upstreams.get('u2')?.health, health);
    const ids = ['a', 'b', 'c', 'd'];
    const sent = ids.map((id) => sendThrough(driver, id, 'u2', EXCESSIVE, 7_100));
    t.true(sent.some(([first]) => first === 'u1'));
    sent.forEach((upstreamIds) => {
      t.is(upstreamIds.at(-1), 'u2');
      t.true(upstreamIds.filter((id) => id === 'u1').length <= 1, upstreamIds.join(' '));
    });
  });
});

test('a request that breaks off stays off an upstream that is ejected', (t) => {
  const driver = makeDriver('u2', 'ejected');
  const sent = sendThrough(driver, 'a', 'u2', {}, 5_100);
  t.true(sent.length > 1);
  t.false(sent.includes('u2'));
});

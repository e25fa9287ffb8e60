import test from 'ava';
import type * as core from '../src/index.js';
import * as fixtures from './fixtures.js';

const UPSTREAM = 'engine-0';

/** Makes a driver with three engines, of which only one has versions loaded. */
const makeHealthDriver = (): fixtures.Driver => {
  const driver = fixtures.makeDriver();
  driver.send({ type: 'configAdopted', configuration: fixtures.makeConfiguration() });
  driver.send({ type: 'hostsListed', hosts: fixtures.makeHosts() });
  driver.send({
    type: 'loadReported',
    upstreamId: UPSTREAM,
    report: { running: 0, waiting: 0, slots: 4, loaded: [...fixtures.LOADED] },
  });
  return driver;
};

/** Starts a request and fails its attempt, after its first token if `hasToken` is set. */
const failAttempt = (driver: fixtures.Driver, requestId: string, hasToken = false): void => {
  const [start] = fixtures.pickEffects(fixtures.sendArrival(driver, requestId), 'startAttempt');
  const attemptId = start?.attemptId ?? 0;
  if (hasToken) {
    driver.send({ type: 'attemptFirstToken', requestId, attemptId });
  }
  driver.send({
    type: 'attemptFailed',
    requestId,
    attemptId,
    failure: 'failed',
    isUnsent: false,
    tokensForwarded: 0,
  });
  driver.send({ type: 'callerGone', requestId });
};

const getUpstream = (driver: fixtures.Driver): core.upstreamState.UpstreamState | undefined =>
  driver.getState().upstreams.get(UPSTREAM);

test('three consecutive failures eject an upstream', (t) => {
  const driver = makeHealthDriver();
  ['a', 'b'].forEach((requestId) => failAttempt(driver, requestId));
  t.is(getUpstream(driver)?.health, 'ok');
  failAttempt(driver, 'c');
  t.is(getUpstream(driver)?.health, 'ejected');
});

test('a first token resets the failure count, so failures that are not consecutive do not eject', (t) => {
  const driver = makeHealthDriver();
  ['a', 'b'].forEach((requestId) => failAttempt(driver, requestId));
  t.is(getUpstream(driver)?.consecutiveFailures, 2);
  failAttempt(driver, 'c', true);
  t.is(getUpstream(driver)?.consecutiveFailures, 1);
  t.is(getUpstream(driver)?.health, 'ok');
});

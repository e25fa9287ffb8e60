import test from 'ava';
import type * as fixtures from './fixtures.js';
import * as routedFixtures from './routedFixtures.js';

const PERIOD_MS = 20_000;
const SESSIONS = 60;

/** Makes a router with upstreams of the versions v1, v2 and v3, whose ids begin with their version. */
const makeRouter = (): fixtures.Driver => {
  const driver = routedFixtures.makeRoutedDriver([]);
  ['v1', 'v2', 'v3'].forEach((version) =>
    [1, 2].forEach((index) =>
      driver.send({
        type: 'hostChanged',
        host: routedFixtures.makeHost(`${version}-${index}`, { version }),
      }),
    ),
  );
  return driver;
};

const sendOrder = (
  driver: fixtures.Driver,
  to: string,
  revision: number,
  change: { readonly stage?: 'running' | 'rolledBack'; readonly withdrawn?: readonly string[] },
  nowMs: number,
): void => {
  driver.send(
    {
      type: 'canaryObserved',
      order: { service: 'desk', to, periodMs: PERIOD_MS, revision },
      stage: change.stage ?? 'running',
      elapsedMs: 0,
      withdrawn: change.withdrawn ?? [],
    },
    nowMs,
  );
};

/** Serves one request of each of many sessions, and returns the versions on which they run. */
const listVersions = (driver: fixtures.Driver, nowMs: number): ReadonlySet<string> =>
  new Set(
    Array.from({ length: SESSIONS }, (_, index) => {
      const requestId = `r-${nowMs}-${index}`;
      routedFixtures.sendCall(
        driver,
        requestId,
        { path: '/talk/', session: `s${index}` },
        0,
        nowMs,
      );
      const upstream = driver.getState().requests.get(requestId)?.attempts[0]?.upstreamId ?? 'none';
      driver.send({ type: 'callerGone', requestId }, nowMs);
      return upstream.split('-')[0] ?? '';
    }),
  );

// The canary of the next order replaced that of the version, and all but the new version counted as the previous one.
test('a version that was rolled back gets no session when the next version is ordered', (t) => {
  const driver = makeRouter();
  sendOrder(driver, 'v2', 3, { stage: 'rolledBack' }, 10_000);
  t.false(listVersions(driver, 10_100).has('v2'));
  sendOrder(driver, 'v3', 4, {}, 11_000);
  t.deepEqual(listVersions(driver, 11_100), new Set(['v1']));
  t.false(listVersions(driver, 11_000 + PERIOD_MS * 0.8).has('v2'));
});

test('a router that starts after the next order learns of the version from the record', (t) => {
  const driver = makeRouter();
  sendOrder(driver, 'v3', 4, { withdrawn: ['v2'] }, 11_000);
  t.deepEqual(listVersions(driver, 11_100), new Set(['v1']));
});

test('a version that was rolled back is used again once it is ordered again', (t) => {
  const driver = makeRouter();
  sendOrder(driver, 'v2', 3, { stage: 'rolledBack' }, 10_000);
  sendOrder(driver, 'v2', 4, {}, 11_000);
  t.true(listVersions(driver, 11_000 + PERIOD_MS * 0.99).has('v2'));
});

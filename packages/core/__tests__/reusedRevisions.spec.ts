import test from 'ava';
import type * as core from '../src/index.js';
import * as fixtures from './fixtures.js';
import * as routedFixtures from './routedFixtures.js';

const REVISION = 50;

const sendOrder = (
  driver: fixtures.Driver,
  to: string,
  revision: number,
  stage: core.canaryState.CanaryStage,
  nowMs: number,
): void => {
  driver.send(
    {
      type: 'canaryObserved',
      order: { service: 'desk', to, periodMs: 20_000, revision },
      stage,
      elapsedMs: 0,
      mayBeRewritten: true,
    },
    nowMs,
  );
};

/** Makes a router that has seen the end of a roll-out to v2, whose order had the revision. */
const makeRouter = (stage: core.canaryState.CanaryStage): fixtures.Driver => {
  const driver = routedFixtures.makeRoutedDriver([]);
  ['v1', 'v2', 'v3'].forEach((version) =>
    driver.send({ type: 'hostChanged', host: routedFixtures.makeHost(version, { version }) }),
  );
  sendOrder(driver, 'v2', REVISION, stage, 10_000);
  return driver;
};

const getCanary = (driver: fixtures.Driver): core.canaryState.Canary | undefined =>
  driver.getState().routed.canaries.get('desk');

test('an order for another version does not take over the end of one whose revision it was given', (t) => {
  (['completed', 'rolledBack'] as const).forEach((stage) => {
    const driver = makeRouter(stage);
    sendOrder(driver, 'v3', REVISION, 'running', 12_000);
    t.is(getCanary(driver)?.stage, 'running', stage);
  });
});

test('a report on another order of the same revision is ignored, and one that names no version is not', (t) => {
  const driver = makeRouter('completed');
  sendOrder(driver, 'v3', REVISION, 'running', 12_000);
  const report = {
    type: 'canaryReportReceived',
    source: 'r-2',
    service: 'desk',
    revision: REVISION,
    isBad: true,
    rows: [],
    oldRunning: 0,
  } as const;
  driver.send({ ...report, to: 'v2' }, 12_100);
  t.false(getCanary(driver)?.isBad);
  driver.send(report, 12_200);
  t.true(getCanary(driver)?.isBad);
});

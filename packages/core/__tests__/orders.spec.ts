import test from 'ava';
import * as core from '../src/index.js';
import * as fixtures from './fixtures.js';

const report = (driver: fixtures.Driver, upstreamId: string, loaded: readonly string[]): void => {
  driver.send({
    type: 'loadReported',
    upstreamId,
    report: { running: 0, waiting: 0, slots: 8, loaded },
  });
};

/** Creates a driver with five engines, three of them in the router's zone. */
const makeOrdersDriver = (loaded: readonly string[]): fixtures.Driver => {
  const hosts = fixtures.makeHosts(5);
  const driver = fixtures.makeReadyDriver(
    core.policy.DEFAULT_POLICY,
    fixtures.makeConfiguration(),
    hosts,
  );
  hosts
    .filter((host) => host.service === 'pool')
    .forEach((host) => report(driver, host.id, loaded));
  return driver;
};

const sendRound = (
  driver: fixtures.Driver,
  nowMs: number,
): readonly core.effects.EffectOf<'sendOrder'>[] =>
  fixtures.pickEffects(driver.send({ type: 'ordersDue' }, nowMs), 'sendOrder');

test('a version that no engine has loaded is ordered, one engine per load interval', (t) => {
  const driver = makeOrdersDriver(['large@v1']);
  const [first] = sendRound(driver, 1_000);
  t.deepEqual(first?.loaded, ['large@v1', 'small@v1']);
  t.is(sendRound(driver, 2_000).length, 0);
  t.is(sendRound(driver, 1_000 + core.orders.LOAD_INTERVAL_MS).length, 1);
});

test("orders go only to engines of the router's zone", (t) => {
  const driver = makeOrdersDriver(['large@v1']);
  const [order] = sendRound(driver, 1_000);
  t.is(driver.getState().upstreams.get(order?.upstreamId ?? '')?.host.zone, 'a');
});

test('higher demand loads a version on another engine', (t) => {
  const driver = makeOrdersDriver(['large@v1', 'small@v1']);
  const surplusOnly = sendRound(driver, 1_000);
  t.is(surplusOnly.length, 0);
  report(driver, 'engine-4', ['large@v1']);
  driver.send(
    { type: 'demandReported', source: 'r2', rows: [{ model: 'small', rate: 300 }] },
    2_000,
  );
  const [order] = sendRound(driver, 2_000);
  t.is(order?.upstreamId, 'engine-4');
  t.true(order?.loaded.includes('small@v1'));
});

test('a withdrawn version is unloaded only after its surplus has lasted', (t) => {
  const driver = makeOrdersDriver(['large@v1', 'small@v1', 'small@v2']);
  const lists = fixtures.makeConfiguration({}, 2);
  const models = lists.models.models.map((model) => ({
    ...model,
    versions: model.versions.map((version) =>
      version.name === 'v2' ? { ...version, state: 'withdrawn' as const } : version,
    ),
  }));
  const configuration = { ...lists, models: { ...lists.models, models } };
  driver.send({ type: 'configAdopted', configuration }, 1_000);
  t.is(sendRound(driver, 1_000).length, 0);
  t.is(sendRound(driver, 30_000).length, 0);
  const [order] = sendRound(driver, 1_000 + core.orders.SURPLUS_MS);
  t.deepEqual(order?.loaded, ['large@v1', 'small@v1']);
});

test('demand that fluctuates around a threshold causes no orders', (t) => {
  const driver = makeOrdersDriver(['large@v1', 'small@v1']);
  let count = 0;
  for (let round = 0; round < 100; round += 1) {
    const rate = round % 2 === 0 ? 100 : 230;
    const nowMs = round * 3_000;
    driver.send({ type: 'demandReported', source: 'r2', rows: [{ model: 'small', rate }] }, nowMs);
    count += sendRound(driver, nowMs).length;
  }
  t.is(count, 0);
});

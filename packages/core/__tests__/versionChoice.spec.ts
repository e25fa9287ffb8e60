import test from 'ava';
import * as core from '../src/index.js';
import * as fixtures from './fixtures.js';

const ROLLOUT = {
  model: 'small',
  from: 'v1',
  to: 'v2',
  steps: [10, 100],
  step: 0,
  state: 'running' as const,
};

const makeRolloutDriver = (change: object = {}): fixtures.Driver =>
  fixtures.makeReadyDriver(
    core.policy.DEFAULT_POLICY,
    fixtures.makeConfiguration({ rollouts: [{ ...ROLLOUT, ...change }] }),
  );

/** Counts the attempts started on each version for 1,000 requests without a session. */
const countStarts = (driver: fixtures.Driver, nowMs = 10): Readonly<Record<string, number>> => {
  const counts: Record<string, number> = {};
  for (let index = 0; index < 1_000; index += 1) {
    const requestId = `q${nowMs}-${index}`;
    const effects = fixtures.sendArrival(driver, requestId, {}, {}, nowMs);
    const [start] = fixtures.pickEffects(effects, 'startAttempt');
    const version = start?.versionId ?? 'none';
    counts[version] = (counts[version] ?? 0) + 1;
    driver.send({ type: 'callerGone', requestId });
  }
  return counts;
};

test('a roll-out sends its share of sessions to the candidate', (t) => {
  const counts = countStarts(makeRolloutDriver());
  t.true((counts['small@v2'] ?? 0) > 60 && (counts['small@v2'] ?? 0) < 140);
  t.is((counts['small@v1'] ?? 0) + (counts['small@v2'] ?? 0), 1_000);
});

test('the candidate of a halted roll-out gets no requests', (t) => {
  t.deepEqual(countStarts(makeRolloutDriver({ state: 'halted' })), { 'small@v1': 1_000 });
});

test('with a stale configuration candidates get no new sessions and stable versions keep serving', (t) => {
  const counts = countStarts(makeRolloutDriver(), core.rollouts.STALE_CONFIG_MS + 100);
  t.deepEqual(counts, { 'small@v1': 1_000 });
});

test('a blocked candidate gets no new work at once, not even from pinned sessions', (t) => {
  const driver = makeRolloutDriver();
  driver.send({ type: 'versionBlocked', versionId: 'small@v2' });
  t.deepEqual(countStarts(driver), { 'small@v1': 1_000 });
  const pin = { versions: { small: 'v2' } };
  const effects = fixtures.sendArrival(driver, 'pinned', {}, { pin });
  t.is(fixtures.pickEffects(effects, 'startAttempt')[0]?.versionId, 'small@v1');
});

test('a candidate with too many unrated answers gets no more sessions', (t) => {
  const driver = makeRolloutDriver({ step: 1 });
  for (let index = 0; index < 60; index += 1) {
    const requestId = `u${index}`;
    fixtures.sendArrival(driver, requestId, {}, {}, 10);
    driver.send({ type: 'attemptEnded', requestId, attemptId: 1, tokensOut: 2, isBilled: true });
    driver.send({ type: 'entryWitnessed', requestId });
  }
  const starts = fixtures.pickEffects(driver.getEffects(), 'startAttempt');
  const exposed = starts.filter((start) => start.versionId === 'small@v2').length;
  t.is(exposed, 24);
});

test('the candidate serves when the stable version is withdrawn', (t) => {
  const lists = fixtures.makeConfiguration({ rollouts: [ROLLOUT] });
  const models = lists.models.models.map((model) => ({
    ...model,
    versions: model.versions.map((version) =>
      version.name === 'v1' ? { ...version, state: 'withdrawn' as const } : version,
    ),
  }));
  const driver = fixtures.makeReadyDriver(core.policy.DEFAULT_POLICY, {
    ...lists,
    models: { ...lists.models, models },
  });
  t.deepEqual(countStarts(driver), { 'small@v2': 1_000 });
});

test('restarting a halted roll-out unblocks its candidate', (t) => {
  const driver = makeRolloutDriver({ state: 'halted' });
  driver.send({ type: 'versionBlocked', versionId: 'small@v2' });
  driver.send({
    type: 'configAdopted',
    configuration: fixtures.makeConfiguration({ rollouts: [ROLLOUT] }, 2),
  });
  t.is(driver.getState().blockedVersions.size, 0);
});

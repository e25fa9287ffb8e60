import test from 'ava';
import * as rolloutRequests from './rolloutRequests.js';
import * as routedFixtures from './routedFixtures.js';

const SEEDS = Array.from({ length: 30 }, (_, index) => index + 1);
const MANY_SEEDS = Array.from({ length: 100 }, (_, index) => index + 1);

const LOAD: Omit<rolloutRequests.RolloutLoad, 'seed' | 'getStatus'> = {
  rate: 50,
  periodMs: 16_000,
  makeCall: () => ({ path: '/issue/', session: null }),
};

// A request that ended at its deadline left no evidence, so a version that did not answer half of them was completed.
test('a router rolls a version back half of whose requests end at their deadline without an answer', (t) => {
  SEEDS.slice(0, 3).forEach((seed) => {
    const { stage, exposed } = rolloutRequests.simulateRouter({
      ...LOAD,
      seed,
      getStatus: ({ version }, draw) => (version === 'v2' && draw() < 0.5 ? null : 200),
    });
    t.is(stage, 'rolledBack', `seed ${seed}`);
    t.true(exposed <= 150, `seed ${seed}: ${exposed}`);
  });
});

test('a version that leaves a quarter of its requests without an answer is rolled back', (t) => {
  SEEDS.forEach((seed) => {
    const { stage } = rolloutRequests.simulateEvidence({
      ...LOAD,
      seed,
      getStatus: ({ version }, draw) => (version === 'v2' && draw() < 0.25 ? null : 200),
    });
    t.is(stage, 'rolledBack', `seed ${seed}`);
  });
});

// Under load, requests on all versions end at their deadline.
[0.02, 0.3].forEach((share) => {
  test(`a good version completes while ${share} of all requests end without an answer`, (t) => {
    const outcomes = MANY_SEEDS.map((seed) =>
      rolloutRequests.simulateEvidence({
        ...LOAD,
        seed,
        getStatus: (_, draw) => (draw() < share ? null : 200),
      }),
    );
    t.true(outcomes.filter(({ stage }) => stage === 'completed').length >= 99);
  });
});

test('a good version completes although an overload leaves most requests unanswered at any time', (t) => {
  const outcomes = MANY_SEEDS.map((seed) =>
    rolloutRequests.simulateEvidence({
      ...LOAD,
      seed,
      getStatus: ({ atMs }, draw) =>
        Math.abs(atMs - seed * 160) < 1_000 && draw() < 0.8 ? null : 200,
    }),
  );
  t.true(outcomes.filter(({ stage }) => stage === 'completed').length >= 99);
});

test('a caller that leaves before its answer is late says nothing', (t) => {
  const driver = rolloutRequests.makeRouter();
  const order = { service: 'desk', to: 'v2', periodMs: 16_000, revision: 3 };
  const { STARTED_AT_MS } = rolloutRequests;
  driver.send({ type: 'canaryObserved', order, stage: 'running', elapsedMs: 0 }, STARTED_AT_MS);
  const countRejections = (waitMs: number): number => {
    const requestId = `r-${waitMs}`;
    routedFixtures.sendCall(driver, requestId, { path: '/issue/' }, 0, STARTED_AT_MS + 100);
    driver.send({ type: 'callerGone', requestId }, STARTED_AT_MS + 100 + waitMs);
    const { rows } = driver.getState().routed.canaries.get('desk') ?? {};
    return Array.from(rows?.values() ?? []).reduce((sum, { row }) => sum + row.failures, 0);
  };
  const targetMs = routedFixtures.makeTable().routes[0]?.targetLatencyMs ?? 0;
  t.is(countRejections(targetMs / 2), 0);
  t.is(countRejections(targetMs * 2), 1);
});

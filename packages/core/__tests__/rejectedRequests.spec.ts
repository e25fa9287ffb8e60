import test from 'ava';
import * as core from '../src/index.js';
import * as rolloutRequests from './rolloutRequests.js';

const SEEDS = Array.from({ length: 30 }, (_, index) => index + 1);
const MANY_SEEDS = Array.from({ length: 100 }, (_, index) => index + 1);

/** Requests without a session, to a route that is not sent again. */
const SINGLE: Omit<rolloutRequests.RolloutLoad, 'seed' | 'getStatus'> = {
  rate: 50,
  periodMs: 16_000,
  makeCall: () => ({ path: '/issue/', session: null }),
};

/** Requests of some sessions in turn. */
const makeSessions = (count: number): Omit<rolloutRequests.RolloutLoad, 'seed' | 'getStatus'> => ({
  ...SINGLE,
  makeCall: (_, __, draw) => ({ path: '/issue/', session: `s${Math.floor(draw() * count)}` }),
});

const isWithinExposure = (
  { exposed }: rolloutRequests.RolloutOutcome,
  load: Pick<rolloutRequests.RolloutLoad, 'rate' | 'periodMs'>,
): boolean => {
  const { share, slack } = rolloutRequests.EXPOSURE;
  return exposed <= (share * load.rate * load.periodMs) / 1_000 + slack;
};

// Answers below 500 counted as good ones, so a version that rejected half of its requests was completed.
[302, 400, 404].forEach((status) => {
  test(`a router rolls a version back that answers half of its requests with ${status}`, (t) => {
    SEEDS.slice(0, 3).forEach((seed) => {
      const outcome = rolloutRequests.simulateRouter({
        ...SINGLE,
        seed,
        getStatus: ({ version }, draw) => (version === 'v2' && draw() < 0.5 ? status : 200),
      });
      t.is(outcome.stage, 'rolledBack', `seed ${seed}`);
      t.true(isWithinExposure(outcome, SINGLE), `seed ${seed}: ${outcome.exposed}`);
    });
  });
});

[0.25, 0.5, 1].forEach((share) => {
  test(`a version that rejects ${share} of its requests is rolled back within the allowed exposure`, (t) => {
    [SINGLE, { ...SINGLE, rate: 30, periodMs: 8_000 }, makeSessions(300)].forEach((load) =>
      SEEDS.forEach((seed) => {
        const outcome = rolloutRequests.simulateEvidence({
          ...load,
          seed,
          getStatus: ({ version }, draw) => (version === 'v2' && draw() < share ? 400 : 200),
        });
        t.is(outcome.stage, 'rolledBack', `seed ${seed}`);
        t.true(isWithinExposure(outcome, load), `seed ${seed}: ${outcome.exposed}`);
      }),
    );
  });
});

// Known fault 55: with a share of 0.1 seed 18 was completed.
test.failing('a version that rejects 0.1 of its requests is rolled back for each seed', (t) => {
  [SINGLE, { ...SINGLE, rate: 30, periodMs: 8_000 }, makeSessions(300)].forEach((load) =>
    SEEDS.forEach((seed) => {
      const outcome = rolloutRequests.simulateEvidence({
        ...load,
        seed,
        getStatus: ({ version }, draw) => (version === 'v2' && draw() < 0.1 ? 400 : 200),
      });
      t.is(outcome.stage, 'rolledBack', `seed ${seed}`);
      t.true(isWithinExposure(outcome, load), `seed ${seed}: ${outcome.exposed}`);
    }),
  );
});

test('a version that rejects the requests of one route only is rolled back', (t) => {
  SEEDS.forEach((seed) => {
    const outcome = rolloutRequests.simulateEvidence({
      ...SINGLE,
      seed,
      makeCall: (index) => ({ path: index % 4 === 0 ? '/read/' : '/issue/', session: null }),
      getStatus: ({ version, index }) => (version === 'v2' && index % 4 === 0 ? 404 : 200),
    });
    t.is(outcome.stage, 'rolledBack', `seed ${seed}`);
  });
});

test('a version that rejects requests from the middle of its roll-out on is rolled back', (t) => {
  [SINGLE, makeSessions(100)].forEach((load) =>
    SEEDS.forEach((seed) => {
      const outcome = rolloutRequests.simulateEvidence({
        ...load,
        seed,
        getStatus: ({ version, atMs }) => (version === 'v2' && atMs > 9_000 ? 400 : 200),
      });
      t.is(outcome.stage, 'rolledBack', `seed ${seed}`);
    }),
  );
});

// The bounds on a bad version must not cost a good one its roll-out: callers' own errors come from both versions.
[0.001, 0.01, 0.1, 0.5, 1].forEach((share) => {
  test(`a good version completes while ${share} of all requests are rejected by either version`, (t) => {
    [SINGLE, { ...SINGLE, rate: 8, periodMs: 8_000 }, makeSessions(100)].forEach((load) => {
      const outcomes = MANY_SEEDS.map((seed) =>
        rolloutRequests.simulateEvidence({
          ...load,
          seed,
          getStatus: (_, draw) => (draw() < share ? 404 : 200),
        }),
      );
      const completed = outcomes.filter(({ stage }) => stage === 'completed');
      t.true(completed.length >= MANY_SEEDS.length - 1, `${completed.length}`);
      completed.forEach(({ endedAtMs }) => t.true((endedAtMs ?? Infinity) < load.periodMs));
    });
  });
});

test('a good version completes although a burst of rejected requests comes at any time', (t) => {
  const outcomes = MANY_SEEDS.map((seed) =>
    rolloutRequests.simulateEvidence({
      ...SINGLE,
      seed,
      getStatus: ({ atMs }) => (Math.abs(atMs - seed * 160) < 500 ? 400 : 200),
    }),
  );
  t.true(outcomes.filter(({ stage }) => stage === 'completed').length >= 99);
});

// A session stays on one version, so its caller's errors would all count against that version.
[1, 3].forEach((callers) => {
  test(`a good version completes although ${callers} sessions send nothing but requests that are rejected`, (t) => {
    const outcomes = MANY_SEEDS.map((seed) => {
      const load = makeSessions(60);
      const rejected = Array.from({ length: callers }, (_, index) => `s${(seed + index * 7) % 60}`);
      return rolloutRequests.simulateEvidence({
        ...load,
        seed,
        getStatus: ({ session }) => (rejected.includes(session ?? '') ? 400 : 200),
      });
    });
    t.true(outcomes.filter(({ stage }) => stage === 'completed').length >= 99);
  });
});

test('a kind of request that the previous version has not answered says nothing of rejections', (t) => {
  const makeRow = (
    kind: string,
    isNew: boolean,
    answers: number,
    failures: number,
  ): core.canaryEvidence.EvidenceRow => ({
    ...core.canaryEvidence.makeRow({ epoch: 3, kind, measure: 'rejection', isNew }),
    answers,
    failures,
  });
  const rows = [makeRow('read|', false, 300, 0), makeRow('read|', true, 30, 0)];
  t.false(core.canaryEvidence.isLikelyBad([...rows, makeRow('rare|', true, 20, 20)]));
  const known = makeRow('rare|', false, 200, 0);
  t.true(core.canaryEvidence.isLikelyBad([...rows, known, makeRow('rare|', true, 20, 20)]));
});

test('rejections that a peer reports later for callers that it had counted are merged', (t) => {
  const { canaryState } = core;
  const order = { service: 'desk', to: 'v2', periodMs: 16_000, revision: 1 };
  const empty = canaryState.makeCanary(order, 'running', 0, rolloutRequests.EXPOSURE);
  const caller = { kind: 'read|', isNew: true, caller: 's1' };
  const accepted = canaryState.recordCaller(empty, 'r2', { ...caller, isRejected: false }, 100);
  const rejected = canaryState.recordCaller(accepted, 'r2', { ...caller, isRejected: true }, 200);
  const again = canaryState.recordCaller(rejected, 'r2', { ...caller, isRejected: true }, 1_300);
  t.true(again.rows.equals(rejected.rows));
  const report = (
    from: core.canaryState.Canary,
  ): Parameters<typeof canaryState.mergeReport>[1] => ({
    source: 'r2',
    rows: canaryState.listRecentRows(from, new Set(['r2']), 3, 300),
    oldRunning: 0,
  });
  const merged = canaryState.mergeReport(
    canaryState.mergeReport(empty, report(accepted), 300),
    report(rejected),
    400,
  );
  t.deepEqual(merged.rows.toJS(), rejected.rows.toJS());
  t.true(canaryState.mergeReport(merged, report(accepted), 500).rows.equals(merged.rows));
});

// Routers of the former build report no rejections, and ignore these rows.
test('evidence without rejections, as the former build reports it, is judged as before', (t) => {
  const row = core.canaryEvidence.makeRow({
    epoch: 1,
    kind: 'read|',
    measure: 'answer',
    isNew: true,
  });
  const rows = [
    { ...row, answers: 40, failures: 0 },
    { ...row, isNew: false, answers: 400, failures: 3 },
  ];
  t.false(core.canaryEvidence.isLikelyBad(rows));
  t.true(
    core.canaryEvidence.isLikelyBad(
      rows.map((item) => ({ ...item, failures: item.isNew ? 30 : 3 })),
    ),
  );
});

import test from 'ava';
import * as fc from 'fast-check';
import * as core from '../src/index.js';
import * as rolloutFleet from './rolloutFleet.js';

const STEP_MS = rolloutFleet.REPORT_MS / 4;
const { periodMs } = rolloutFleet.ORDER;
const RUNNING_TO_MS = periodMs + 4_000;

/** A router of a fleet, the time at which it starts, and the age of the order that it reads then. */
interface Start {
  readonly router: rolloutFleet.FleetRouter;
  readonly atMs: number;
  readonly elapsedMs: number;
  /** Time at which it ends. */
  readonly endsAtMs?: number;
}

/** Simulates a roll-out; returns the time of the first outcome that each router proposes. */
const simulateRollout = (starts: readonly Start[], toMs: number): ReadonlyMap<string, number> => {
  const outcomes = new Map<string, number>();
  for (let atMs = 0; atMs < toMs; atMs += STEP_MS) {
    const running = starts
      .filter((start) => start.atMs <= atMs && atMs < (start.endsAtMs ?? Infinity))
      .map(({ router }) => router);
    starts
      .filter((start) => start.atMs === atMs)
      .forEach(({ router, elapsedMs }) => rolloutFleet.sendObserved(router, atMs, elapsedMs));
    running.forEach((router) => {
      const effects = router.send({ type: 'ticked' }, atMs);
      if (effects.some(({ type }) => type === 'recordCanaryOutcome') && !outcomes.has(router.id)) {
        outcomes.set(router.id, atMs);
      }
    });
    if (atMs % rolloutFleet.REPORT_MS === 0) {
      rolloutFleet.sendReports(running, atMs);
    }
  }
  return outcomes;
};

/** Returns the time at which a router believes that the order was first seen. */
const getStartMs = (router: rolloutFleet.FleetRouter): number =>
  (router.getState().routed.canaries.get(rolloutFleet.ORDER.service)?.startedAtMs ?? NaN) -
  router.getClockMs(0);

const makeFleet = (size: number): readonly rolloutFleet.FleetRouter[] =>
  Array.from({ length: size }, (_, index) => rolloutFleet.makeRouter(index, size, () => 0));

rolloutFleet.FLEET_SIZES.forEach((size) => {
  test(`of ${size} routers, one that starts in a roll-out with a wall clock an hour ahead does not end it`, (t) => {
    const starts = makeFleet(size).map((router, index) =>
      index === 0
        ? { router, atMs: 6_000, elapsedMs: 3_600_000 }
        : { router, atMs: 0, elapsedMs: 0 },
    );
    t.deepEqual(Array.from(simulateRollout(starts, periodMs / 2)), []);
    t.is(starts[0] && getStartMs(starts[0].router), 0);
  });

  test(`${size} routers that all restart in a roll-out agree on its start and end it within its period`, (t) => {
    const starts = makeFleet(size).map((router, index) => ({
      router,
      atMs: 6_000,
      elapsedMs: 6_000 + (index % 2 === 0 ? 0 : -2_000),
    }));
    const outcomes = Array.from(simulateRollout(starts, RUNNING_TO_MS).values());
    t.deepEqual(new Set(starts.map(({ router }) => getStartMs(router))), new Set([0]));
    t.true(outcomes.some((atMs) => atMs > periodMs / 2 && atMs <= periodMs));
  });

  test(`of ${size} routers that restart in turn with wall clocks that differ, all know the start`, (t) => {
    const first = makeFleet(size);
    const restartedAtMs = (index: number): number => 2_000 + (index / size) * 6_000;
    const roundMs = (atMs: number): number => Math.ceil(atMs / STEP_MS) * STEP_MS;
    const restarted = first.map((_, index) => rolloutFleet.makeRouter(index, size, () => 0));
    const starts = [
      ...first.map((router, index) => ({
        router,
        atMs: 0,
        elapsedMs: 0,
        endsAtMs: roundMs(restartedAtMs(index)),
      })),
      ...restarted.map((router, index) => {
        const atMs = roundMs(restartedAtMs(index));
        return { router, atMs, elapsedMs: Math.max(1, atMs + (index % 2 === 0 ? 4_000 : -4_000)) };
      }),
    ];
    simulateRollout(starts, periodMs / 2);
    t.deepEqual(new Set(restarted.map(getStartMs)), new Set([0]));
  });
});

const EXPOSURE = { share: 0.15, slack: 30 };
const NOW_MS = 50_000;

/** Makes a canary whose order is as old as a router has counted, or as it has read. */
const makeCanary = (ageMs: number, isWitnessed: boolean): core.canaryState.Canary =>
  core.canaryState.makeCanary(
    rolloutFleet.ORDER,
    'running',
    NOW_MS - ageMs,
    EXPOSURE,
    isWitnessed ? null : NOW_MS,
  );

const mergeAges = (
  canary: core.canaryState.Canary,
  told: readonly Pick<core.canaryState.CanaryReport, 'ageMs' | 'isWitnessed'>[],
): core.canaryState.Canary =>
  told.reduce((merged, report) => core.canaryState.mergeAge(merged, report, NOW_MS), canary);

test('a report without an age leaves the start of an order', (t) => {
  [true, false].forEach((isWitnessed) => {
    const canary = makeCanary(5_000, isWitnessed);
    t.deepEqual(mergeAges(canary, [{}]), canary);
  });
});

test('an age from wall clocks does not replace one that a router has witnessed', (t) => {
  const canary = makeCanary(5_000, true);
  t.deepEqual(mergeAges(canary, [{ ageMs: 9_000, isWitnessed: false }, { ageMs: 9_000 }]), canary);
});

test('the age of an order is that of the witness who has known it longest, in whichever order reports arrive', (t) => {
  const report = fc.record({ ageMs: fc.nat(periodMs), isWitnessed: fc.boolean() });
  const reports = fc.array(report, { minLength: 1, maxLength: 8 });
  fc.assert(
    fc.property(report, reports, (own, told) => {
      const all = [own, ...told];
      const witnessed = all.filter(({ isWitnessed }) => isWitnessed);
      const ages = (witnessed.length === 0 ? all : witnessed).map(({ ageMs }) => ageMs);
      const merged = mergeAges(makeCanary(own.ageMs, own.isWitnessed), told);
      return (
        merged.startedAtMs === NOW_MS - Math.max(...ages) &&
        (merged.unwitnessedSinceMs === null) === witnessed.length > 0
      );
    }),
    { seed: 46, numRuns: 200 },
  );
  t.pass();
});

test('a router that starts near the end of a roll-out and has met no peer yet does not end it', (t) => {
  const { service, to, revision } = rolloutFleet.ORDER;
  const router = rolloutFleet.makeRouter(0, 1, () => 0);
  router.send({ type: 'seedAddressesChanged', addresses: ['r1:1'] }, 0);
  const startedAtMs = periodMs - 600;
  rolloutFleet.sendObserved(router, startedAtMs, startedAtMs + 10_000);
  const age = { service, to, revision, ageMs: startedAtMs, isWitnessed: true };
  router.send({ type: 'canaryAgeReceived', ...age, source: 'r1:1' }, startedAtMs);
  t.is(getStartMs(router), 0);
  for (let atMs = startedAtMs; atMs < periodMs; atMs += STEP_MS) {
    const effects = router.send({ type: 'ticked' }, atMs);
    t.false(effects.some(({ type }) => type === 'recordCanaryOutcome'));
  }
});

test('an age of another order of the same revision is ignored', (t) => {
  const { service, revision } = rolloutFleet.ORDER;
  const router = rolloutFleet.makeRouter(0, 1, () => 0);
  rolloutFleet.sendObserved(router, 4_000, 1_000);
  const age = { service, to: 'v9', revision, ageMs: 4_000, isWitnessed: true };
  router.send({ type: 'canaryAgeReceived', ...age, source: 'r1:1' }, 4_000);
  t.is(getStartMs(router), 3_000);
});

import * as core from '@jayrock/core';
import * as shared from '@jayrock/shared';
import * as fakeEngine from './fakeEngine.js';
import * as rngs from './rng.js';
import * as timeline from './timeline.js';
import * as trialConfig from './trialConfig.js';
import * as trialRunners from './trialRunners.js';
import * as workload from './workload.js';

/** Chance that a version answers a request well. */
export type QualityRule = (versionId: string, isHard: boolean, atMs: number) => number;

/** One trial: a workload, a pool of engines and a policy. */
export interface TrialOptions {
  readonly seed: number;
  readonly policy: core.policy.Policy;
  readonly engines: readonly fakeEngine.EngineModel[];
  readonly works: readonly workload.Work[];
  readonly quality: QualityRule;
  readonly untilMs: number;
  readonly deadlineMs: number;
  /** Age of load reports when they arrive, in milliseconds. */
  readonly reportLagMs: number;
  readonly ratingDelayMs: number;
  readonly hasRollout?: boolean;
}

/** What became of one request. */
export interface WorkResult {
  readonly work: workload.Work;
  readonly outcome: 'answered' | 'refused' | 'open';
  readonly versionId: string;
  readonly firstTokenMs: number;
  readonly elapsedMs: number;
  /** Time before the first attempt started. */
  readonly waitMs: number;
  readonly isGood: boolean;
}

/** What a trial measured. */
export interface TrialResult {
  readonly results: readonly WorkResult[];
  /** Price of all attempts that ended, in millionths of the currency. */
  readonly costMicros: number;
  readonly hedgeCount: number;
  readonly attemptCount: number;
  /** Starts of the candidate version, by time in milliseconds. */
  readonly candidateStarts: readonly number[];
  readonly work: number;
  readonly state: core.routerState.RouterState;
}

/** What is known of a request while a trial runs. */
export interface Progress {
  readonly work: workload.Work;
  startedAtMs: number | null;
  firstTokenAtMs: number | null;
  endedAtMs: number | null;
  outcome: WorkResult['outcome'];
  versionId: string;
}

/** Sums over a trial. */
export interface Totals {
  readonly candidateStarts: number[];
  costMicros: number;
  attemptCount: number;
  hedgeCount: number;
}

const REPORT_INTERVAL_MS = 1_000;
const TICK_MS = 100;
const LEDGER_CAPACITY = 1_000_000;

const toResult = (item: Progress, quality: QualityRule): WorkResult => {
  const { work } = item;
  const draw = shared.hash.hashToFraction(`${work.requestId}|${item.versionId}`);
  return {
    work,
    outcome: item.outcome,
    versionId: item.versionId,
    firstTokenMs: (item.firstTokenAtMs ?? Infinity) - work.atMs,
    elapsedMs: (item.endedAtMs ?? Infinity) - work.atMs,
    waitMs: (item.startedAtMs ?? Infinity) - work.atMs,
    isGood: draw < quality(item.versionId, work.isHard, work.atMs),
  };
};

const makeProgress = (work: workload.Work): Progress => ({
  work,
  startedAtMs: null,
  firstTokenAtMs: null,
  endedAtMs: null,
  outcome: 'open',
  versionId: '',
});

interface Node {
  readonly getState: () => core.routerState.RouterState;
  readonly dispatch: (event: core.events.UnstampedEvent) => void;
  readonly connect: (runners: trialRunners.TrialRunners) => void;
}

/** Makes the reducer's state with its events stamped by virtual time and seeded draws. */
const makeNode = (options: TrialOptions, clock: timeline.Timeline): Node => {
  const draws = rngs.makeRng(options.seed);
  let runners: trialRunners.TrialRunners = {};
  let state = core.routerState.makeState(
    { routerId: 'r1', zone: 'a', address: '127.0.0.1:1', ledgerCapacity: LEDGER_CAPACITY },
    options.policy,
  );
  return {
    getState: () => state,
    dispatch: (event) => {
      const stamp = { nowMs: clock.getNowMs(), random: draws.next() };
      const step = core.reduce.reduce(state, { ...event, ...stamp });
      state = step.state;
      step.effects.forEach((effect) => {
        const runner = runners[effect.type] as ((item: core.effects.Effect) => void) | undefined;
        runner?.(effect);
      });
    },
    connect: (next) => {
      runners = next;
    },
  };
};

const startReports = (
  options: TrialOptions,
  clock: timeline.Timeline,
  engines: ReadonlyMap<string, fakeEngine.FakeEngine>,
  node: Node,
): void => {
  const report = (delayMs: number): void =>
    engines.forEach((engine) => {
      const described = engine.describeLoad([...trialConfig.LOADED]);
      const { id } = engine.model;
      clock.schedule(delayMs, () =>
        node.dispatch({ type: 'loadReported', upstreamId: id, report: described }),
      );
    });
  const repeat = (): void => {
    report(options.reportLagMs);
    clock.schedule(REPORT_INTERVAL_MS, repeat);
  };
  report(0);
  repeat();
};

const reportPaces = (engines: ReadonlyMap<string, fakeEngine.FakeEngine>, node: Node): void =>
  engines.forEach((engine) => {
    const slowness = engine.findPace();
    if (slowness !== null) {
      node.dispatch({
        type: 'interTokenRatioReported',
        upstreamId: engine.model.id,
        interTokenRatio: slowness,
      });
    }
  });

const startTicks = (
  clock: timeline.Timeline,
  engines: ReadonlyMap<string, fakeEngine.FakeEngine>,
  node: Node,
): void => {
  const tick = (): void => {
    reportPaces(engines, node);
    node.dispatch({ type: 'ticked' });
    node.dispatch({ type: 'configConfirmed' });
    node.dispatch({ type: 'ledgerDue' });
    clock.schedule(TICK_MS, tick);
  };
  tick();
};

/** Runs the reducer against fake engines in virtual time. */
export const runTrial = (options: TrialOptions): TrialResult => {
  const clock = timeline.makeTimeline();
  const node = makeNode(options, clock);
  const engines = new Map(
    options.engines.map((model) => [model.id, fakeEngine.makeEngine(clock, model)]),
  );
  const progress = new Map<string, Progress>();
  const totals: Totals = { candidateStarts: [], costMicros: 0, attemptCount: 0, hedgeCount: 0 };
  let configuration = trialConfig.makeConfiguration(options);
  node.connect(
    trialRunners.makeRunners({
      options,
      clock,
      engines,
      progress,
      totals,
      getState: node.getState,
      getConfiguration: () => configuration,
      adoptModels: (models) => {
        configuration = { ...configuration, models, generation: configuration.generation + 1 };
        node.dispatch({ type: 'configAdopted', configuration });
      },
      dispatch: node.dispatch,
    }),
  );
  node.dispatch({ type: 'configAdopted', configuration });
  node.dispatch({
    type: 'hostsListed',
    hosts: options.engines.map(({ id }) => ({
      id,
      address: id,
      zone: 'a',
      service: 'pool',
      state: 'live',
    })),
  });
  startReports(options, clock, engines, node);
  startTicks(clock, engines, node);
  options.works.forEach((work) =>
    clock.schedule(work.atMs, () => {
      progress.set(work.requestId, makeProgress(work));
      const { requestId, customer, shape } = work;
      const arrival = { requestId, customer, shape, pin: null, session: null };
      node.dispatch({ type: 'requestArrived', ...arrival });
    }),
  );
  clock.runUntil(options.untilMs);
  return {
    results: Array.from(progress.values()).map((item) => toResult(item, options.quality)),
    ...totals,
    work: Array.from(engines.values()).reduce((sum, engine) => sum + engine.getWork(), 0),
    state: node.getState(),
  };
};

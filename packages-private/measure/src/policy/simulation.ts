import * as core from '@jayrock/core';
import * as shared from '@jayrock/shared';
import * as fakeEngine from './fakeEngine.js';
import * as rngs from './rng.js';
import * as virtualClock from './virtualClock.js';
import * as simulationConfig from './simulationConfig.js';
import * as effectRunners from './effectRunners.js';
import * as routedCalls from './routedCalls.js';
import * as workload from './workload.js';

/** Probability that a version gives a good answer to a request that arrived at a time. */
export type QualityRule = (versionId: string, isHard: boolean, atMs: number) => number;

/** Inputs of a simulation: a workload, a pool of engines and a policy. */
export interface SimulationOptions {
  readonly seed: number;
  readonly policy: core.policy.Policy;
  readonly engines: readonly fakeEngine.FakeEngineOptions[];
  readonly requests: readonly workload.WorkloadRequest[];
  readonly quality: QualityRule;
  readonly untilMs: number;
  readonly deadlineMs: number;
  /** Age of load reports when they arrive, in milliseconds. */
  readonly reportDelayMs: number;
  readonly ratingDelayMs: number;
  readonly hasRollout?: boolean;
  /** Set if the requests are routed ones. */
  readonly routed?: routedCalls.RoutedOptions;
}

/** Outcome of a request; times count from its arrival and are Infinity if the event never came. */
export interface RequestResult {
  readonly request: workload.WorkloadRequest;
  readonly outcome: 'answered' | 'refused' | 'open';
  readonly versionId: string;
  readonly firstTokenMs: number;
  readonly elapsedMs: number;
  /** Time until the first attempt started. */
  readonly waitMs: number;
  readonly isGood: boolean;
}

/** Results of a simulation. */
export interface SimulationResult {
  readonly results: readonly RequestResult[];
  /** Cost of all attempts that ended, in millionths of the currency. */
  readonly costMicros: number;
  readonly hedgeCount: number;
  readonly attemptCount: number;
  /** Starts of the candidate version, by time in milliseconds. */
  readonly candidateStarts: readonly number[];
  /** Sum of the work units of all engines. */
  readonly workUnits: number;
  readonly state: core.routerState.RouterState;
}

/** State of a request during a simulation. */
export interface RequestProgress {
  readonly request: workload.WorkloadRequest;
  startedAtMs: number | null;
  firstTokenAtMs: number | null;
  endedAtMs: number | null;
  outcome: RequestResult['outcome'];
  versionId: string;
}

/** Totals over the requests of a simulation. */
export interface SimulationTotals {
  readonly candidateStarts: number[];
  costMicros: number;
  attemptCount: number;
  hedgeCount: number;
}

const LOAD_REPORT_INTERVAL_MS = 1_000;
const TICK_MS = 100;
const LEDGER_CAPACITY = 1_000_000;

const toResult = (item: RequestProgress, quality: QualityRule): RequestResult => {
  const { request } = item;
  const draw = shared.hash.hashToFraction(`${request.requestId}|${item.versionId}`);
  return {
    request,
    outcome: item.outcome,
    versionId: item.versionId,
    firstTokenMs: (item.firstTokenAtMs ?? Infinity) - request.atMs,
    elapsedMs: (item.endedAtMs ?? Infinity) - request.atMs,
    waitMs: (item.startedAtMs ?? Infinity) - request.atMs,
    isGood: draw < quality(item.versionId, request.isHard, request.atMs),
  };
};

const makeProgress = (request: workload.WorkloadRequest): RequestProgress => ({
  request,
  startedAtMs: null,
  firstTokenAtMs: null,
  endedAtMs: null,
  outcome: 'open',
  versionId: '',
});

/** The router of a simulation. */
export interface Runtime {
  readonly getState: () => core.routerState.RouterState;
  readonly dispatch: (event: core.events.UnstampedEvent) => void;
  readonly connect: (runners: effectRunners.EffectRunners) => void;
}

/** Makes a runtime that stamps events with virtual time and seeded random numbers and reduces them. */
const makeRuntime = (options: SimulationOptions, clock: virtualClock.VirtualClock): Runtime => {
  const draws = rngs.makeRng(options.seed);
  let runners: effectRunners.EffectRunners = {};
  let state = core.routerState.makeState(
    { routerId: 'r1', zone: 'a', address: '127.0.0.1:1', ledgerCapacity: LEDGER_CAPACITY },
    options.policy,
  );
  return {
    getState: () => state,
    dispatch: (event) => {
      const stamp = { nowMs: clock.getNowMs(), random: draws.next() };
      const transition = core.reduce.reduce(state, { ...event, ...stamp });
      state = transition.state;
      transition.effects.forEach((effect) => {
        const runner = runners[effect.type] as ((item: core.effects.Effect) => void) | undefined;
        runner?.(effect);
      });
    },
    connect: (next) => {
      runners = next;
    },
  };
};

const startLoadReports = (
  options: SimulationOptions,
  clock: virtualClock.VirtualClock,
  engines: ReadonlyMap<string, fakeEngine.FakeEngine>,
  runtime: Runtime,
): void => {
  const sendReports = (delayMs: number): void =>
    engines.forEach((engine) => {
      const report = engine.describeLoad([...simulationConfig.LOADED_VERSIONS]);
      const { id } = engine.options;
      clock.schedule(delayMs, () =>
        runtime.dispatch({ type: 'loadReported', upstreamId: id, report }),
      );
    });
  const repeat = (): void => {
    sendReports(options.reportDelayMs);
    clock.schedule(LOAD_REPORT_INTERVAL_MS, repeat);
  };
  sendReports(0);
  repeat();
};

const reportInterTokenRatios = (
  engines: ReadonlyMap<string, fakeEngine.FakeEngine>,
  runtime: Runtime,
): void =>
  engines.forEach((engine) => {
    const interTokenRatio = engine.getInterTokenRatio();
    if (interTokenRatio !== null) {
      runtime.dispatch({
        type: 'interTokenRatioReported',
        upstreamId: engine.options.id,
        interTokenRatio,
      });
    }
  });

const startTicks = (
  clock: virtualClock.VirtualClock,
  engines: ReadonlyMap<string, fakeEngine.FakeEngine>,
  runtime: Runtime,
): void => {
  const tick = (): void => {
    reportInterTokenRatios(engines, runtime);
    runtime.dispatch({ type: 'ticked' });
    runtime.dispatch({ type: 'configConfirmed' });
    runtime.dispatch({ type: 'ledgerDue' });
    clock.schedule(TICK_MS, tick);
  };
  tick();
};

/** Runs the reducer against fake engines in virtual time, up to `untilMs`. */
export const runSimulation = (options: SimulationOptions): SimulationResult => {
  const clock = virtualClock.makeVirtualClock();
  const runtime = makeRuntime(options, clock);
  const engines = new Map(
    options.engines.map((model) => [model.id, fakeEngine.makeFakeEngine(clock, model)]),
  );
  const progress = new Map<string, RequestProgress>();
  const totals: SimulationTotals = {
    candidateStarts: [],
    costMicros: 0,
    attemptCount: 0,
    hedgeCount: 0,
  };
  let configuration = simulationConfig.makeConfiguration(options);
  runtime.connect(
    effectRunners.makeRunners({
      options,
      clock,
      engines,
      progress,
      totals,
      getState: runtime.getState,
      getConfiguration: () => configuration,
      resend: (item, effect) =>
        options.routed !== undefined &&
        routedCalls.sendAgain(item, effect, progress, clock, runtime),
      adoptModels: (models) => {
        configuration = { ...configuration, models, generation: configuration.generation + 1 };
        runtime.dispatch({ type: 'configAdopted', configuration });
      },
      dispatch: runtime.dispatch,
    }),
  );
  runtime.dispatch({ type: 'configAdopted', configuration });
  if (options.routed !== undefined) {
    routedCalls.startRouted(options, options.routed, clock, runtime);
  }
  runtime.dispatch({
    type: 'hostsListed',
    hosts: options.engines.map(({ id }) => ({
      id,
      address: id,
      zone: 'a',
      service: 'pool',
      state: 'live',
    })),
  });
  startLoadReports(options, clock, engines, runtime);
  startTicks(clock, engines, runtime);
  options.requests.forEach((request) =>
    clock.schedule(request.atMs, () => {
      progress.set(request.requestId, makeProgress(request));
      if (options.routed !== undefined) {
        routedCalls.sendCall(request, request.requestId, clock, runtime);
        return;
      }
      const { requestId, customer, shape } = request;
      const arrival = { requestId, customer, shape, pin: null, session: null };
      runtime.dispatch({ type: 'requestArrived', ...arrival });
    }),
  );
  clock.runUntil(options.untilMs);
  return {
    results: Array.from(new Set(progress.values())).map((item) => toResult(item, options.quality)),
    ...totals,
    workUnits: Array.from(engines.values()).reduce((sum, engine) => sum + engine.getWorkUnits(), 0),
    state: runtime.getState(),
  };
};

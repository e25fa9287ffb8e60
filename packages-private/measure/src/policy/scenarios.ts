import * as core from '@jayrock/core';
import type * as fakeEngine from './fakeEngine.js';
import * as rngs from './rng.js';
import * as stats from './stats.js';
import * as simulation from './simulation.js';
import * as urgency from './urgency.js';
import * as workload from './workload.js';

/**
 * A policy that a scenario runs with, the baseline (`naive`) first: for most, the baseline plus the mechanisms that the
 * scenario tests (`alone`) and the default policy (`all`).
 */
export interface NamedPolicy {
  readonly name: string;
  readonly policy: core.policy.Policy;
}

/** Figures of a scenario by name; smaller is better unless the target states otherwise. */
export type Figures = Readonly<Record<string, number>>;

/** A scenario with the policies that it compares and the target for its figures. */
export interface Scenario {
  readonly name: string;
  readonly site: 'ledgerline' | 'cremona' | 'routed';
  readonly target: string;
  readonly policies: readonly NamedPolicy[];
  readonly run: (policy: core.policy.Policy, seed: number) => Figures;
  /** Compares a policy's figures with those of the naive policy. */
  readonly compare: (naive: Figures, figures: Figures) => Figures;
}

const { NAIVE_POLICY, DEFAULT_POLICY } = core.policy;

type Site = Exclude<Scenario['site'], 'routed'>;

const CLASSES = {
  ledgerline: workload.LEDGERLINE_CLASSES,
  cremona: workload.CREMONA_CLASSES,
} as const;

/** Makes engines that differ in speed and number of slots, like servers bought over several years. */
const makeEngines = (count: number, slots = 8): readonly fakeEngine.FakeEngineOptions[] =>
  Array.from({ length: count }, (_, index) => ({
    id: `engine-${String(index).padStart(2, '0')}`,
    slots: slots + (index % 3) * 4,
    msPerToken: 10 + (index % 4) * 4,
    msPerPromptToken: 0.1 + (index % 2) * 0.05,
    prefixCacheSize: 2,
    slowIntervals: [],
  }));

const SMALL_HARD_QUALITY = 0.25;
const SMALL_EASY_QUALITY = 0.95;
const LARGE_QUALITY = 0.97;

const getQualityBySize: simulation.QualityRule = (versionId, isHard) => {
  if (versionId.startsWith('large')) {
    return LARGE_QUALITY;
  }
  return isHard ? SMALL_HARD_QUALITY : SMALL_EASY_QUALITY;
};

const makePolicies = (change: Partial<core.policy.Policy>): readonly NamedPolicy[] => [
  { name: 'naive', policy: NAIVE_POLICY },
  { name: 'alone', policy: { ...NAIVE_POLICY, ...change } },
  { name: 'all', policy: DEFAULT_POLICY },
];

/** Replaces the share and the share of hard requests of each class. */
const withShares = (
  classes: readonly workload.RequestClass[],
  shares: readonly (readonly [number, number])[],
): readonly workload.RequestClass[] =>
  classes.map((requestClass, index) => ({
    ...requestClass,
    share: shares[index]?.[0] ?? requestClass.share,
    hardShare: shares[index]?.[1] ?? requestClass.hardShare,
  }));

/** Mixes in which seven tenths of the tokens belong to requests that the cheap model answers well. */
const COST_CLASSES: Readonly<Record<Site, readonly workload.RequestClass[]>> = {
  ledgerline: withShares(workload.LEDGERLINE_CLASSES, [
    [0.6, 0.03],
    [0.33, 0.06],
    [0.07, 0.95],
  ]),
  cremona: withShares(workload.CREMONA_CLASSES, [
    [0.55, 0.03],
    [0.43, 0.02],
    [0.02, 0.9],
  ]),
};

const COST_DURATION_MS = 240_000;

const sumOver = <T>(items: readonly T[], getValue: (item: T) => number): number =>
  items.reduce((sum, item) => sum + getValue(item), 0);

const runCost =
  (site: Site): Scenario['run'] =>
  (policy, seed) => {
    const draws = rngs.makeRng(seed);
    const requests = workload.drawWorkload(COST_CLASSES[site], () => 8, 8, COST_DURATION_MS, draws);
    const result = simulation.runSimulation({
      seed,
      policy,
      requests,
      engines: makeEngines(12, 16),
      quality: getQualityBySize,
      untilMs: COST_DURATION_MS + 60_000,
      deadlineMs: 60_000,
      reportDelayMs: 1_000,
      ratingDelayMs: 400,
    });
    const answered = result.results.filter((item) => item.outcome === 'answered');
    const countTokens = (request: workload.WorkloadRequest): number =>
      request.tokensOut + request.requestClass.tokensIn;
    const easyTokens = sumOver(requests, (request) => (request.isHard ? 0 : countTokens(request)));
    return {
      easyShare: easyTokens / sumOver(requests, countTokens),
      cost: result.costMicros / Math.max(1, answered.length),
      quality: answered.filter((item) => item.isGood).length / Math.max(1, answered.length),
    };
  };

const EXPOSURE_DURATION_MS = 240_000;
/** Time of the early drop in quality, while the roll-out is at ten per cent, in milliseconds. */
const EARLY_DROP_AT_MS = 4_000;
/** Time of the late drop, after many good ratings, in milliseconds. */
const LATE_DROP_AT_MS = 90_000;

/** Makes the rule of a candidate that is as good as the stable version until a time, then worse. */
const makeDroppingQuality =
  (dropAtMs: number): simulation.QualityRule =>
  (versionId, _, atMs) =>
    versionId === 'small@v2' && atMs >= dropAtMs ? 0.6 : 0.9;

const runExposure =
  (site: Site, dropAtMs: number): Scenario['run'] =>
  (policy, seed) => {
    const draws = rngs.makeRng(seed);
    const requests = workload
      .drawWorkload(CLASSES[site], () => 20, 20, EXPOSURE_DURATION_MS, draws)
      .map((request) => ({
        ...request,
        shape: { ...request.shape, target: 'small', streaming: true },
      }));
    const result = simulation.runSimulation({
      seed,
      policy,
      requests: requests.filter((request) => request.requestClass.tokensOut < 200),
      engines: makeEngines(12, 16),
      quality: makeDroppingQuality(dropAtMs),
      untilMs: EXPOSURE_DURATION_MS,
      deadlineMs: 60_000,
      reportDelayMs: 1_000,
      ratingDelayMs: 2_000,
      hasRollout: true,
    });
    return { exposed: result.candidateStarts.filter((atMs) => atMs >= dropAtMs).length };
  };

const PEAK_DURATION_MS = 90_000;
const PEAK_DEADLINE_MS = 8_000;
const PEAK_FROM_MS = 30_000;
const PEAK_TO_MS = 60_000;
const PEAK_RISE_MS = 2_000;

/** Makes a demand curve that rises to five times the base rate within two seconds, and later falls. */
const makePeakDemand =
  (base: number): workload.DemandCurve =>
  (atMs) => {
    const rise = Math.min(1, Math.max(0, (atMs - PEAK_FROM_MS) / PEAK_RISE_MS));
    const fall = Math.min(1, Math.max(0, (PEAK_TO_MS - atMs) / PEAK_RISE_MS));
    return base * (1 + 4 * Math.min(rise, fall));
  };

/** Demand before and after the peak, in requests a second. */
const PEAK_BASE_RATES: Readonly<Record<Site, number>> = { ledgerline: 14, cremona: 12 };

/** Computes the most requests that the pool can finish in a time, with all slots always busy. */
const computeCapacity = (
  engines: readonly fakeEngine.FakeEngineOptions[],
  requests: readonly workload.WorkloadRequest[],
  spanMs: number,
): number => {
  const tokensPerMs = engines.reduce((sum, engine) => sum + engine.slots / engine.msPerToken, 0);
  const meanTokens =
    requests.reduce(
      (sum, request) => sum + request.tokensOut + (request.requestClass.tokensIn * 0.02) / 10,
      0,
    ) / requests.length;
  return (tokensPerMs * spanMs) / meanTokens;
};

const runPeak =
  (site: Site): Scenario['run'] =>
  (policy, seed) => {
    const draws = rngs.makeRng(seed);
    const base = PEAK_BASE_RATES[site];
    const requests = workload
      .drawWorkload(CLASSES[site], makePeakDemand(base), base * 5, PEAK_DURATION_MS, draws)
      .map((request) => ({ ...request, shape: { ...request.shape, streaming: true } }));
    const engines = makeEngines(6);
    const result = simulation.runSimulation({
      seed,
      policy,
      requests,
      engines,
      quality: getQualityBySize,
      untilMs: PEAK_DURATION_MS + 60_000,
      deadlineMs: PEAK_DEADLINE_MS,
      reportDelayMs: 1_000,
      ratingDelayMs: 1_000,
    });
    const peak = result.results.filter(
      (item) => item.request.atMs >= PEAK_FROM_MS && item.request.atMs < PEAK_TO_MS,
    );
    const inTime = peak.filter(
      (item) => item.outcome === 'answered' && item.elapsedMs <= PEAK_DEADLINE_MS,
    );
    const capacity = computeCapacity(
      engines,
      peak.map((item) => item.request),
      PEAK_TO_MS - PEAK_FROM_MS,
    );
    return {
      served: inTime.length,
      ofCapacity: inTime.length / Math.min(capacity, peak.length),
    };
  };

const HEAD_OF_LINE_DURATION_MS = 120_000;
const LONG_TOKENS = 300;
/** Requests a second that load the pool to about seven eighths of its capacity. */
const HEAD_OF_LINE_RATES: Readonly<Record<Site, number>> = { ledgerline: 30, cremona: 23 };

const runHeadOfLine =
  (site: Site): Scenario['run'] =>
  (policy, seed) => {
    const draws = rngs.makeRng(seed);
    const rate = HEAD_OF_LINE_RATES[site];
    const requests = workload
      .drawWorkload(CLASSES[site], () => rate, rate, HEAD_OF_LINE_DURATION_MS, draws)
      .map((request) => ({
        ...request,
        shape: { ...request.shape, target: 'small', streaming: true },
      }));
    const result = simulation.runSimulation({
      seed,
      policy,
      requests,
      engines: makeEngines(6),
      quality: getQualityBySize,
      untilMs: HEAD_OF_LINE_DURATION_MS + 120_000,
      deadlineMs: 120_000,
      reportDelayMs: 1_000,
      ratingDelayMs: 1_000,
    });
    // The first quarter is left out as warm-up.
    const measured = result.results.filter(
      (item) => item.request.atMs > HEAD_OF_LINE_DURATION_MS / 4 && item.outcome === 'answered',
    );
    const short = measured.filter((item) => item.request.requestClass.tokensOut < LONG_TOKENS);
    const long = measured.filter((item) => item.request.requestClass.tokensOut >= LONG_TOKENS);
    return {
      shortWaitP99: stats.findPercentile(
        short.map((item) => item.firstTokenMs),
        0.99,
      ),
      longMean: stats.computeMean(long.map((item) => item.elapsedMs)),
    };
  };

const STRAGGLER_DURATION_MS = 120_000;
const SLOW_INTERVAL_MS = 3_000;
const SLOW_FACTOR = 10;
const STRAGGLER_ENGINES = 20;
const STRAGGLER_SHARE = 0.1;

/** Adds slow intervals: at any time a tenth of the engines takes ten times as long, for 3 s each. */
const addStragglers = (
  engines: readonly fakeEngine.FakeEngineOptions[],
  draws: rngs.Rng,
): readonly fakeEngine.FakeEngineOptions[] => {
  const slowCount = Math.round(engines.length * STRAGGLER_SHARE);
  const rounds = Array.from({ length: STRAGGLER_DURATION_MS / SLOW_INTERVAL_MS }, (_, round) => {
    const first = Math.floor(draws.next() * engines.length);
    const slow = Array.from(
      { length: slowCount },
      (__, index) => (first + index * 7) % engines.length,
    );
    return { slow, fromMs: round * SLOW_INTERVAL_MS };
  });
  return engines.map((engine, index) => ({
    ...engine,
    slowIntervals: rounds
      .filter((interval) => interval.slow.includes(index))
      .map((interval) => ({
        fromMs: interval.fromMs,
        toMs: interval.fromMs + SLOW_INTERVAL_MS,
        factor: SLOW_FACTOR,
      })),
  }));
};

const runStragglerSimulation = (
  site: Site,
  policy: core.policy.Policy,
  seed: number,
  hasStragglers: boolean,
): simulation.SimulationResult => {
  const draws = rngs.makeRng(seed);
  const rate = site === 'ledgerline' ? 40 : 30;
  const requests = workload
    .drawWorkload(CLASSES[site], () => rate, rate, STRAGGLER_DURATION_MS, draws)
    .map((request) => ({
      ...request,
      shape: { ...request.shape, target: 'small', streaming: true },
    }));
  const engines = makeEngines(STRAGGLER_ENGINES);
  return simulation.runSimulation({
    seed,
    policy,
    requests,
    engines: hasStragglers ? addStragglers(engines, draws) : engines,
    quality: getQualityBySize,
    untilMs: STRAGGLER_DURATION_MS + 60_000,
    deadlineMs: 60_000,
    reportDelayMs: 2_000,
    ratingDelayMs: 1_000,
  });
};

const computeFirstTokenP99 = (result: simulation.SimulationResult): number =>
  stats.findPercentile(
    result.results
      .filter((item) => item.request.atMs > STRAGGLER_DURATION_MS / 6)
      .map((item) => item.firstTokenMs),
    0.99,
  );

const runStragglers =
  (site: Site): Scenario['run'] =>
  (policy, seed) => {
    const without = runStragglerSimulation(site, policy, seed, false);
    const withSlow = runStragglerSimulation(site, policy, seed, true);
    return {
      p99: computeFirstTokenP99(withSlow),
      p99Ratio: computeFirstTokenP99(withSlow) / computeFirstTokenP99(without),
      hedgeShare: withSlow.hedgeCount / withSlow.attemptCount,
    };
  };

const divide = (a: number | undefined, b: number | undefined): number =>
  (a ?? NaN) / Math.max(1e-9, b ?? NaN);

const makeSiteScenarios = (site: Site): readonly Scenario[] => [
  {
    name: 'cost at the quality target',
    site,
    target: 'cost <= 0.5x, quality >= 0.8',
    policies: makePolicies({ cascade: 'learned' }),
    run: runCost(site),
    compare: (naive, figures) => ({
      costRatio: divide(figures.cost, naive.cost),
      quality: figures.quality ?? NaN,
    }),
  },
  {
    name: 'exposure to a bad version',
    site,
    target: 'exposed <= 0.1x',
    policies: makePolicies({ ramp: 'gated' }),
    run: runExposure(site, EARLY_DROP_AT_MS),
    compare: (naive, figures) => ({ exposedRatio: divide(figures.exposed, naive.exposed) }),
  },
  {
    name: 'exposure after a late drop',
    site,
    target: 'exposed <= 0.1x',
    policies: makePolicies({ ramp: 'gated' }),
    run: runExposure(site, LATE_DROP_AT_MS),
    compare: (naive, figures) => ({ exposedRatio: divide(figures.exposed, naive.exposed) }),
  },
  {
    name: 'service at the crest',
    site,
    target: 'served >= 1.5x, >= 0.95 of capacity',
    policies: makePolicies({ admission: 'early', queue: 'fair', upstream: 'balanced' }),
    run: runPeak(site),
    compare: (naive, figures) => ({
      servedRatio: divide(figures.served, naive.served),
      ofCapacity: figures.ofCapacity ?? NaN,
    }),
  },
  {
    name: 'short work behind long',
    site,
    target: 'short p99 <= 0.1x, long mean <= 1.3x',
    policies: makePolicies({ queue: 'fair', upstream: 'balanced' }),
    run: runHeadOfLine(site),
    compare: (naive, figures) => ({
      shortRatio: divide(figures.shortWaitP99, naive.shortWaitP99),
      longRatio: divide(figures.longMean, naive.longMean),
    }),
  },
  {
    name: 'tail with stragglers',
    site,
    target: 'p99 <= 1.3x of without, hedges <= 3%',
    policies: makePolicies({ upstream: 'balanced', ejection: 'relative', hedging: 'budgeted' }),
    run: runStragglers(site),
    compare: (_, figures) => ({
      p99Ratio: figures.p99Ratio ?? NaN,
      hedgeShare: figures.hedgeShare ?? NaN,
    }),
  },
];

/** All scenarios of both sites. */
export const SCENARIOS: readonly Scenario[] = [
  ...makeSiteScenarios('ledgerline'),
  ...makeSiteScenarios('cremona'),
  ...urgency.URGENCY_SCENARIOS,
];

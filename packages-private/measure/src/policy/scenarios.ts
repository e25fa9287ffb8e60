import * as core from '@jayrock/core';
import type * as fakeEngine from './fakeEngine.js';
import * as rngs from './rng.js';
import * as stats from './stats.js';
import * as simulation from './simulation.js';
import * as workload from './workload.js';

/** A named policy that a scenario is run with. */
export interface NamedPolicy {
  readonly name: 'naive' | 'alone' | 'all';
  readonly policy: core.policy.Policy;
}

/** One figure of one scenario; smaller is better unless the target says otherwise. */
export type Figures = Readonly<Record<string, number>>;

/** One scenario with the policies it compares and the target its figures are held against. */
export interface Scenario {
  readonly name: string;
  readonly site: 'ledgerline' | 'cremona';
  readonly target: string;
  readonly policies: readonly NamedPolicy[];
  readonly run: (policy: core.policy.Policy, seed: number) => Figures;
  /** Judges a policy's figures against the naive ones. */
  readonly compare: (naive: Figures, figures: Figures) => Figures;
}

const { NAIVE_POLICY, DEFAULT_POLICY } = core.policy;

const CLASSES = {
  ledgerline: workload.LEDGERLINE_CLASSES,
  cremona: workload.CREMONA_CLASSES,
} as const;

/** Engines of six servers bought over years, which differ in speed and size. */
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

const makePolicies = (own: Partial<core.policy.Policy>): readonly NamedPolicy[] => [
  { name: 'naive', policy: NAIVE_POLICY },
  { name: 'alone', policy: { ...NAIVE_POLICY, ...own } },
  { name: 'all', policy: DEFAULT_POLICY },
];

type Site = Scenario['site'];

const withShares = (
  classes: readonly workload.RequestClass[],
  shares: readonly (readonly [number, number])[],
): readonly workload.RequestClass[] =>
  classes.map((one, index) => ({
    ...one,
    share: shares[index]?.[0] ?? one.share,
    hardShare: shares[index]?.[1] ?? one.hardShare,
  }));

/** Mixes in which seven tenths of the tokens need only the cheap model. */
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
    const tokens = (request: workload.WorkloadRequest): number =>
      request.tokensOut + request.requestClass.tokensIn;
    const easyTokens = sumOver(requests, (request) => (request.isHard ? 0 : tokens(request)));
    return {
      easyShare: easyTokens / sumOver(requests, tokens),
      cost: result.costMicros / Math.max(1, answered.length),
      quality: answered.filter((item) => item.isGood).length / Math.max(1, answered.length),
    };
  };

const EXPOSURE_DURATION_MS = 240_000;
/** The drop comes while the roll-out stands at its first ten per cent. */
const EARLY_DROP_AT_MS = 4_000;
/** The late drop comes after a long good time. */
const LATE_DROP_AT_MS = 90_000;

/** The candidate is good until it turns bad while the ramp stands at ten per cent. */
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

/** Demand rises five-fold within two seconds, stays and falls again. */
const makePeakDemand =
  (base: number): workload.DemandCurve =>
  (atMs) => {
    const rise = Math.min(1, Math.max(0, (atMs - PEAK_FROM_MS) / PEAK_RISE_MS));
    const fall = Math.min(1, Math.max(0, (PEAK_TO_MS - atMs) / PEAK_RISE_MS));
    return base * (1 + 4 * Math.min(rise, fall));
  };

const PEAK_BASE_RATES: Readonly<Record<Site, number>> = { ledgerline: 14, cremona: 12 };

/** Requests that the pool could finish in time at best: all its token slots, always busy. */
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
    const crest = result.results.filter(
      (item) => item.request.atMs >= PEAK_FROM_MS && item.request.atMs < PEAK_TO_MS,
    );
    const inTime = crest.filter(
      (item) => item.outcome === 'answered' && item.elapsedMs <= PEAK_DEADLINE_MS,
    );
    const capacity = computeCapacity(
      engines,
      crest.map((item) => item.request),
      PEAK_TO_MS - PEAK_FROM_MS,
    );
    return {
      served: inTime.length,
      ofCapacity: inTime.length / Math.min(capacity, crest.length),
    };
  };

const HEAD_OF_LINE_DURATION_MS = 120_000;
const LONG_TOKENS = 300;
/** Requests a second that keep the pool busy to about seven eighths. */
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
    const warm = result.results.filter(
      (item) => item.request.atMs > HEAD_OF_LINE_DURATION_MS / 4 && item.outcome === 'answered',
    );
    const short = warm.filter((item) => item.request.requestClass.tokensOut < LONG_TOKENS);
    const long = warm.filter((item) => item.request.requestClass.tokensOut >= LONG_TOKENS);
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

/** At any moment a tenth of the engines is ten times slow, each for a few seconds. */
const addStragglers = (
  engines: readonly fakeEngine.FakeEngineOptions[],
  draws: rngs.Rng,
): readonly fakeEngine.FakeEngineOptions[] => {
  const slowCount = Math.round(engines.length * STRAGGLER_SHARE);
  const spans = Array.from({ length: STRAGGLER_DURATION_MS / SLOW_INTERVAL_MS }, (_, round) => {
    const first = Math.floor(draws.next() * engines.length);
    const slow = Array.from(
      { length: slowCount },
      (__, index) => (first + index * 7) % engines.length,
    );
    return { slow, fromMs: round * SLOW_INTERVAL_MS };
  });
  return engines.map((engine, index) => ({
    ...engine,
    slowIntervals: spans
      .filter((span) => span.slow.includes(index))
      .map((span) => ({
        fromMs: span.fromMs,
        toMs: span.fromMs + SLOW_INTERVAL_MS,
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
    compare: (naive, own) => ({
      costRatio: divide(own.cost, naive.cost),
      quality: own.quality ?? NaN,
    }),
  },
  {
    name: 'exposure to a bad version',
    site,
    target: 'exposed <= 0.1x',
    policies: makePolicies({ ramp: 'gated' }),
    run: runExposure(site, EARLY_DROP_AT_MS),
    compare: (naive, own) => ({ exposedRatio: divide(own.exposed, naive.exposed) }),
  },
  {
    name: 'exposure after a late drop',
    site,
    target: 'exposed <= 0.1x',
    policies: makePolicies({ ramp: 'gated' }),
    run: runExposure(site, LATE_DROP_AT_MS),
    compare: (naive, own) => ({ exposedRatio: divide(own.exposed, naive.exposed) }),
  },
  {
    name: 'service at the crest',
    site,
    target: 'served >= 1.5x, >= 0.95 of capacity',
    policies: makePolicies({ admission: 'early', queue: 'fair', upstream: 'balanced' }),
    run: runPeak(site),
    compare: (naive, own) => ({
      servedRatio: divide(own.served, naive.served),
      ofCapacity: own.ofCapacity ?? NaN,
    }),
  },
  {
    name: 'short work behind long',
    site,
    target: 'short p99 <= 0.1x, long mean <= 1.3x',
    policies: makePolicies({ queue: 'fair', upstream: 'balanced' }),
    run: runHeadOfLine(site),
    compare: (naive, own) => ({
      shortRatio: divide(own.shortWaitP99, naive.shortWaitP99),
      longRatio: divide(own.longMean, naive.longMean),
    }),
  },
  {
    name: 'tail with stragglers',
    site,
    target: 'p99 <= 1.3x of without, hedges <= 3%',
    policies: makePolicies({ upstream: 'balanced', ejection: 'relative', hedging: 'budgeted' }),
    run: runStragglers(site),
    compare: (_, own) => ({
      p99Ratio: own.p99Ratio ?? NaN,
      hedgeShare: own.hedgeShare ?? NaN,
    }),
  },
];

/** All scenarios of both sites. */
export const SCENARIOS: readonly Scenario[] = [
  ...makeSiteScenarios('ledgerline'),
  ...makeSiteScenarios('cremona'),
];

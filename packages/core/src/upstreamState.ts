import type * as shared from '@jayrock/shared';
import * as average from './average.js';
import * as budget from './budget.js';

/** How the router treats an upstream. */
export type UpstreamHealth = 'ok' | 'ejected' | 'probation';

/** What a router knows of one upstream. */
export interface UpstreamState {
  readonly host: shared.hosts.Host;
  readonly slots: number;
  readonly loaded: readonly string[];
  /** Work of other routers, from the last report. */
  readonly externalLoad: number;
  readonly reportedAtMs: number;
  /** How long work takes on its machine, relative to the usual time, from the last report. */
  readonly machineSlowness: number;
  /** Own attempts under way. */
  readonly inFlight: number;
  /** Largest number of own attempts since the last report, and between the two before it. */
  readonly recentPeak: number;
  readonly previousPeak: number;
  /** Prompt tokens that own attempts wait to have read. */
  readonly prefillTokens: number;
  readonly longInFlight: number;
  readonly suspectInFlight: number;
  /** Own attempts that passed their hedge delay without a token. */
  readonly overdue: number;
  /** Adaptive concurrency limit. */
  readonly limit: number;
  readonly limitDecreasedAtMs: number;
  /** First-token time relative to the service's typical one. */
  readonly slowness: average.Average;
  /** Time between the events of whole streams, relative to the model's usual one. */
  readonly eventSlowness: average.Average;
  /** Last relative time between tokens, and when it was seen. */
  readonly interTokenRatio: number;
  readonly interTokenRatioAtMs: number;
  readonly consecutiveFailures: number;
  readonly health: UpstreamHealth;
  /** False while the upstream accepts no connection from this router. */
  readonly isReachable: boolean;
  readonly ejectionEndsAtMs: number;
  readonly ejectionCount: number;
  readonly retryBudget: budget.Budget;
}

/** Slots assumed before the first load report. */
const DEFAULT_SLOTS = 8;
/** Largest limit as a multiple of the reported slots. */
const LIMIT_HEADROOM = 1;
/** Factor by which a congested upstream's limit shrinks. */
const LIMIT_DECREASE = 0.85;
/** Slowness above which a first token counts as a sign of congestion. */
const CONGESTED_SLOWNESS = 3;
/** Shortest time between two decreases, in milliseconds. */
const LIMIT_CUT_PAUSE_MS = 1_000;
/** Weight of one sample in the slowness average. */
const SLOWNESS_WEIGHT = 0.3;
/** Time after which a load report counts for 1/e of its value, in milliseconds. */
const REPORT_DECAY_MS = 3_000;
/** Score penalty of each overdue attempt. */
const OVERDUE_PENALTY = 1;
/** Retries allowed for each attempt on an upstream. */
export const UPSTREAM_RETRY_RULE: budget.BudgetRule = { share: 0.2, capacity: 10 };

/** Makes the state of an upstream that was just listed. */
export const makeUpstream = (host: shared.hosts.Host): UpstreamState => ({
  host,
  slots: DEFAULT_SLOTS,
  loaded: [],
  externalLoad: 0,
  reportedAtMs: 0,
  machineSlowness: 1,
  inFlight: 0,
  recentPeak: 0,
  previousPeak: 0,
  prefillTokens: 0,
  longInFlight: 0,
  suspectInFlight: 0,
  overdue: 0,
  limit: DEFAULT_SLOTS,
  limitDecreasedAtMs: 0,
  slowness: average.EMPTY_AVERAGE,
  eventSlowness: average.EMPTY_AVERAGE,
  interTokenRatio: 1,
  interTokenRatioAtMs: 0,
  consecutiveFailures: 0,
  health: 'ok',
  isReachable: true,
  ejectionEndsAtMs: 0,
  ejectionCount: 0,
  retryBudget: budget.makeBudget(UPSTREAM_RETRY_RULE),
});

/** Estimates the upstream's load now: own attempts plus what others had, aged by the report's lag. */
export const estimateLoad = (upstream: UpstreamState, nowMs: number): number => {
  const ageMs = Math.max(0, nowMs - upstream.reportedAtMs);
  return upstream.inFlight + upstream.externalLoad * Math.exp(-ageMs / REPORT_DECAY_MS);
};

/** Estimates how long new work would wait, relative to an idle upstream of usual speed. */
export const estimateScore = (upstream: UpstreamState, nowMs: number): number => {
  const slowness = upstream.slowness.count === 0 ? 1 : Math.max(0.2, upstream.slowness.value);
  const load = (estimateLoad(upstream, nowMs) + 1) / Math.max(1, upstream.limit);
  return (load + upstream.overdue * OVERDUE_PENALTY) * slowness;
};

/** Age up to which a pace counts, in milliseconds. */
const PACE_FRESH_MS = 500;

/** Returns an upstream's pace if it was seen a moment ago. */
export const getFreshInterTokenRatio = (upstream: UpstreamState, nowMs: number): number | null =>
  nowMs - upstream.interTokenRatioAtMs <= PACE_FRESH_MS ? upstream.interTokenRatio : null;

/** Applies a load report. */
export const applyReport = (
  upstream: UpstreamState,
  report: shared.hosts.LoadReport,
  nowMs: number,
): UpstreamState => ({
  ...upstream,
  slots: report.slots,
  loaded: report.loaded,
  limit:
    upstream.reportedAtMs === 0
      ? report.slots
      : Math.min(upstream.limit, report.slots * LIMIT_HEADROOM),
  // The report lags, so own work is taken as what it was at most while the report was made.
  externalLoad: Math.max(
    0,
    report.running + report.waiting - Math.max(upstream.recentPeak, upstream.previousPeak),
  ),
  recentPeak: upstream.inFlight,
  previousPeak: upstream.recentPeak,
  reportedAtMs: nowMs,
  machineSlowness: report.machineSlowness ?? 1,
});

/**
 * Additive increase, multiplicative decrease. Single first tokens vary with prompts and prefix
 * caches, so only their average counts as congestion, and at most once in a pause.
 */
const adjustLimit = (
  upstream: UpstreamState,
  nowMs: number,
): Pick<UpstreamState, 'limit' | 'limitDecreasedAtMs'> => {
  const { limit, limitDecreasedAtMs: limitCutAtMs } = upstream;
  if (upstream.slowness.value > CONGESTED_SLOWNESS) {
    return nowMs - limitCutAtMs < LIMIT_CUT_PAUSE_MS
      ? { limit, limitDecreasedAtMs: limitCutAtMs }
      : { limit: Math.max(1, limit * LIMIT_DECREASE), limitDecreasedAtMs: nowMs };
  }
  const isUsed = upstream.inFlight * 2 >= limit;
  const ceiling = Math.max(1, upstream.slots * LIMIT_HEADROOM);
  return {
    limit: isUsed ? Math.min(ceiling, limit + 1 / limit) : limit,
    limitDecreasedAtMs: limitCutAtMs,
  };
};

/** Records the time to a first token, relative to the service's typical one. */
export const recordFirstToken = (
  upstream: UpstreamState,
  slowness: number,
  nowMs: number,
): UpstreamState => {
  const timed: UpstreamState = {
    ...upstream,
    slowness: average.updateAverage(upstream.slowness, slowness, SLOWNESS_WEIGHT),
    consecutiveFailures: 0,
  };
  return { ...timed, ...adjustLimit(timed, nowMs) };
};

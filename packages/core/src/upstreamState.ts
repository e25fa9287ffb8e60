import type * as shared from '@jayrock/shared';
import * as average from './average.js';
import * as budget from './budget.js';
import * as upstreamRest from './notices/upstreamRest.js';
import * as coldTime from './rateLimits/coldTime.js';
import * as rateLimit from './rateLimits/rateLimit.js';

/** Outlier-ejection state of an upstream. */
export type UpstreamHealth = 'ok' | 'ejected' | 'probation';

/** State of one upstream, as known to this router. */
export interface UpstreamState {
  readonly host: shared.hosts.Host;
  readonly slots: number;
  readonly loaded: readonly string[];
  /** Attempts of other routers, from the last load report. */
  readonly externalLoad: number;
  readonly reportedAtMs: number;
  /** Requests that waited there for a slot, from the last load report. */
  readonly reportedWaiting: number;
  /** Average of `externalLoad` over the reports. */
  readonly usualLoad: average.Average;
  /** Duration of work on its machine relative to the usual duration, from the last load report. */
  readonly machineSlowness: number;
  /** This router's attempts in flight. */
  readonly inFlight: number;
  /** Largest `inFlight` since the last load report. */
  readonly recentPeak: number;
  /** Largest `inFlight` between the last two load reports. */
  readonly previousPeak: number;
  /** Prompt tokens of this router's attempts that the upstream still has to process. */
  readonly prefillTokens: number;
  /** Time at which this router's last whole answer there ended, in milliseconds; 0 before the first one. */
  readonly idleSinceMs: number;
  readonly longInFlight: number;
  readonly suspectInFlight: number;
  /** This router's attempts whose hedge delay has passed without a token. */
  readonly overdue: number;
  /** Adaptive concurrency limit. */
  readonly limit: number;
  readonly limitDecreasedAtMs: number;
  /** Time to the first token relative to the service's typical one. */
  readonly slowness: average.Average;
  /** Time between the events of whole streams relative to the model's typical one. */
  readonly eventSlowness: average.Average;
  /** Latest time between tokens relative to the upstream's usual one. */
  readonly interTokenRatio: number;
  /** Time of the sample in `interTokenRatio`, in milliseconds. */
  readonly interTokenRatioAtMs: number;
  readonly consecutiveFailures: number;
  readonly health: UpstreamHealth;
  /** False while the upstream accepts no connection from this router. */
  readonly isReachable: boolean;
  /** Time at which the current ejection ends, in milliseconds. */
  readonly ejectionEndsAtMs: number;
  readonly ejectionCount: number;
  readonly retryBudget: budget.Budget;
  /** Limit that the upstream names in its answers, or that holds while it is cold. */
  readonly rateLimit: rateLimit.RateLimit;
  readonly coldSigns: coldTime.ColdSigns;
  /** Requests that a brittle upstream can turn away in a second without falling over; null for any other. */
  readonly maxTurnAways: number | null;
  /** Pause for which the upstream asked this router, or that this router grants a brittle one. */
  readonly rest: upstreamRest.UpstreamRest;
}

/** Number of slots assumed before the first load report. */
const DEFAULT_SLOTS = 8;
/** Maximum limit as a multiple of the reported slots. */
const LIMIT_HEADROOM = 1;
/** Factor by which the limit of a congested upstream decreases. */
const LIMIT_DECREASE = 0.85;
/** Average slowness of first tokens above which an upstream counts as congested. */
const CONGESTED_SLOWNESS = 3;
/** Minimum time between two decreases of the limit, in milliseconds. */
const LIMIT_DECREASE_INTERVAL_MS = 1_000;
/** Weight of one sample in the exponentially weighted average of slowness. */
const SLOWNESS_WEIGHT = 0.3;
/** Time constant of the decay of a load report, in milliseconds. */
const REPORT_DECAY_MS = 3_000;
/** Score penalty per overdue attempt. */
const OVERDUE_PENALTY = 1;
/** Retry budget of an upstream: credit for each attempt, and capacity. */
export const UPSTREAM_RETRY_RULE: budget.BudgetRule = { share: 0.2, capacity: 10 };

/** Creates the state of a newly listed upstream. */
export const makeUpstream = (host: shared.hosts.Host): UpstreamState => ({
  host,
  slots: DEFAULT_SLOTS,
  loaded: [],
  externalLoad: 0,
  reportedAtMs: 0,
  reportedWaiting: 0,
  usualLoad: average.EMPTY_AVERAGE,
  machineSlowness: 1,
  inFlight: 0,
  recentPeak: 0,
  previousPeak: 0,
  prefillTokens: 0,
  idleSinceMs: 0,
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
  rateLimit: rateLimit.NO_LIMIT,
  coldSigns: coldTime.NO_SIGNS,
  maxTurnAways: null,
  rest: upstreamRest.NO_REST,
});

/**
 * Estimates the current number of attempts: those of this router, plus those of other routers, which
 * decay with the age of the report.
 */
export const estimateLoad = (upstream: UpstreamState, nowMs: number): number => {
  const ageMs = Math.max(0, nowMs - upstream.reportedAtMs);
  return upstream.inFlight + upstream.externalLoad * Math.exp(-ageMs / REPORT_DECAY_MS);
};

/** Estimates the wait for new work relative to an idle upstream of usual speed; lower is better. */
export const estimateScore = (upstream: UpstreamState, nowMs: number): number => {
  const slowness = upstream.slowness.count === 0 ? 1 : Math.max(0.2, upstream.slowness.value);
  const load = (estimateLoad(upstream, nowMs) + 1) / Math.max(1, upstream.limit);
  return (load + upstream.overdue * OVERDUE_PENALTY) * slowness;
};

/** Age up to which an inter-token ratio counts as fresh, in milliseconds. */
const INTER_TOKEN_RATIO_TTL_MS = 500;

/** Returns an upstream's inter-token ratio, or null if the sample is not fresh. */
export const getFreshInterTokenRatio = (upstream: UpstreamState, nowMs: number): number | null =>
  nowMs - upstream.interTokenRatioAtMs <= INTER_TOKEN_RATIO_TTL_MS
    ? upstream.interTokenRatio
    : null;

/** Weight of one report in the usual load of an upstream. */
const USUAL_LOAD_WEIGHT = 0.1;

/** Applies a load report. */
export const applyReport = (
  upstream: UpstreamState,
  report: shared.hosts.LoadReport,
  nowMs: number,
): UpstreamState => {
  // The report lags, so the peak of this router's attempts over the last two reports is subtracted.
  const externalLoad = Math.max(
    0,
    report.running + report.waiting - Math.max(upstream.recentPeak, upstream.previousPeak),
  );
  return {
    ...upstream,
    slots: report.slots,
    loaded: report.loaded,
    limit:
      upstream.reportedAtMs === 0
        ? report.slots
        : Math.min(upstream.limit, report.slots * LIMIT_HEADROOM),
    externalLoad,
    usualLoad: average.updateAverage(upstream.usualLoad, externalLoad, USUAL_LOAD_WEIGHT),
    recentPeak: upstream.inFlight,
    previousPeak: upstream.recentPeak,
    reportedAtMs: nowMs,
    reportedWaiting: report.waiting,
    machineSlowness: report.machineSlowness ?? 1,
  };
};

/**
 * Adjusts the concurrency limit by additive increase and multiplicative decrease (AIMD). The times
 * of single first tokens vary with prompts and prefix caches, so only their average indicates
 * congestion, and the limit decreases at most once per interval.
 */
const adjustLimit = (
  upstream: UpstreamState,
  nowMs: number,
): Pick<UpstreamState, 'limit' | 'limitDecreasedAtMs'> => {
  const { limit, limitDecreasedAtMs } = upstream;
  if (upstream.slowness.value > CONGESTED_SLOWNESS) {
    return nowMs - limitDecreasedAtMs < LIMIT_DECREASE_INTERVAL_MS
      ? { limit, limitDecreasedAtMs }
      : { limit: Math.max(1, limit * LIMIT_DECREASE), limitDecreasedAtMs: nowMs };
  }
  const isUsed = upstream.inFlight * 2 >= limit;
  const ceiling = Math.max(1, upstream.slots * LIMIT_HEADROOM);
  return {
    limit: isUsed ? Math.min(ceiling, limit + 1 / limit) : limit,
    limitDecreasedAtMs,
  };
};

/** Records the time to a first token relative to the service's typical one, and adjusts the limit. */
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

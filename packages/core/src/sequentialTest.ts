import * as ratings from './ratings.js';

/** Verdict of the test on a candidate version. */
export type Verdict = 'worse' | 'notWorse' | 'undecided';

/** Input of the test. */
export interface TestQuery {
  readonly stable: ratings.VersionCounts;
  readonly candidate: ratings.VersionCounts;
  /** Epoch in which the roll-out began. */
  readonly firstEpoch: number;
  /** Epoch in which the current step began. */
  readonly stepEpoch: number;
}

/**
 * Upper bound on the probability that a candidate as good as the stable version is ever found worse.
 */
export const FALSE_ALARM_RATE = 0.001;
/** Tolerated drop in the share of good answers. */
const TOLERATED_DROP = 0.03;
/** Further drop that the test is designed to detect. */
const DETECTED_DROP = 0.17;
/** Standard deviations subtracted from the stable version's observed share. */
const BASELINE_MARGIN = 2;
/** Prior counts that stabilise the estimate of the stable version's share. */
const BASELINE_PRIOR = { good: 8, bad: 2 } as const;
/** Bounds of the hypotheses' shares, which keep their logarithms finite. */
const MIN_SHARE = 0.1;
const MAX_SHARE = 0.99;
/** Sum of 1/n² over all n, used to divide the false-alarm rate among starting epochs. */
const BASEL_SUM = Math.PI ** 2 / 6;
/** Cap on one customer's log-likelihood ratio in the verdict that lets a candidate advance. */
const PASS_CUSTOMER_CAP = Math.log(1 / FALSE_ALARM_RATE) / 2;
/** Log-likelihood ratio at or below which a candidate may advance; one customer alone cannot reach it. */
const PASS_RATIO = -(PASS_CUSTOMER_CAP + 1);

/** The two shares of good answers that the test compares. */
interface Hypotheses {
  /** Share of good answers of a candidate that is acceptable. */
  readonly accepted: number;
  /** Share of good answers of a candidate that is worse. */
  readonly rejected: number;
}

const clamp = (value: number, low: number, high: number): number =>
  Math.min(high, Math.max(low, value));

/** Estimates a lower bound of the stable version's share of good answers, less the tolerated drop. */
const estimateBaseline = (stable: ratings.Counts): number => {
  const good = stable.good + BASELINE_PRIOR.good;
  const total = good + stable.bad + BASELINE_PRIOR.bad;
  const share = good / total;
  const margin = BASELINE_MARGIN * Math.sqrt((share * (1 - share)) / total);
  return clamp(share - margin - TOLERATED_DROP, MIN_SHARE + DETECTED_DROP, MAX_SHARE);
};

/** Computes the log-likelihood ratio of the hypotheses; positive values favour rejection. */
const computeLogRatio = (counts: ratings.Counts, { accepted, rejected }: Hypotheses): number =>
  counts.good * Math.log(rejected / accepted) +
  counts.bad * Math.log((1 - rejected) / (1 - accepted));

const sumCappedRatios = (
  customers: ratings.CustomerCounts,
  hypotheses: Hypotheses,
  cap: number,
): number =>
  customers
    .valueSeq()
    .map((counts) => clamp(computeLogRatio(counts, hypotheses), -cap, cap))
    .reduce((sum, ratio) => sum + ratio, 0);

/**
 * Tests the ratings since one epoch. The n-th starting epoch gets a share of the false-alarm rate
 * in proportion to 1/n². A customer's log-likelihood ratio is capped, so that at least two customers
 * must agree. Each capped likelihood ratio is at most the ratio plus the floor, and the product of
 * these over customers is a non-negative supermartingale, so by Ville's inequality the bound holds
 * at every evaluation.
 */
const isWorseSince = (
  customers: ratings.CustomerCounts,
  hypotheses: Hypotheses,
  startIndex: number,
): boolean => {
  const logThreshold = Math.log((BASEL_SUM * startIndex ** 2) / FALSE_ALARM_RATE);
  const cap = (logThreshold + 1) / 2;
  const bound = logThreshold + customers.size * Math.log1p(Math.exp(-cap));
  return sumCappedRatios(customers, hypotheses, cap) >= bound;
};

const findHypotheses = (stable: ratings.VersionCounts): Hypotheses => {
  const accepted = estimateBaseline(ratings.sumCounts(stable));
  return { accepted, rejected: accepted - DETECTED_DROP };
};

/**
 * Sequential probability ratio test of a candidate against the stable version, for a drop that may
 * begin in any epoch. It may be evaluated after every rating without raising the false-alarm rate.
 */
export const compareVersions = (query: TestQuery): Verdict => {
  const hypotheses = findHypotheses(query.stable);
  const startEpochs = Array.from(query.candidate.keys());
  const isWorse = startEpochs.some((epoch) =>
    isWorseSince(
      ratings.sumSince(query.candidate, epoch),
      hypotheses,
      Math.max(1, epoch - query.firstEpoch + 1),
    ),
  );
  if (isWorse) {
    return 'worse';
  }
  const stepCounts = ratings.sumSince(query.candidate, query.stepEpoch);
  return sumCappedRatios(stepCounts, hypotheses, PASS_CUSTOMER_CAP) <= PASS_RATIO
    ? 'notWorse'
    : 'undecided';
};

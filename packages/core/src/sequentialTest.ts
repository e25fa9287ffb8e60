import * as ratings from './ratings.js';

/** Verdict of the test on a candidate version. */
export type Verdict = 'worse' | 'notWorse' | 'undecided';

/** What the test looks at. */
export interface TestQuery {
  readonly stable: ratings.VersionCounts;
  readonly candidate: ratings.VersionCounts;
  /** Epoch in which the roll-out began. */
  readonly firstEpoch: number;
  /** Epoch in which the present step began. */
  readonly stepEpoch: number;
}

/** Chance that a candidate as good as the stable version is ever called worse. */
export const FALSE_ALARM_RATE = 0.001;
/** Drop in the share of good answers that is tolerated. */
const TOLERATED_DROP = 0.03;
/** Further drop that the test is tuned to detect. */
const DETECTED_DROP = 0.17;
/** Standard deviations taken off the stable version's measured share. */
const BASELINE_MARGIN = 2;
/** Prior ratings that steady the stable version's share. */
const BASELINE_PRIOR = { good: 8, bad: 2 } as const;
const MIN_SHARE = 0.1;
const MAX_SHARE = 0.99;
/** Sum of 1/n² over all n, by which the false-alarm rate is shared out over starting epochs. */
const BASEL_SUM = Math.PI ** 2 / 6;
/** Largest weight of one customer in a verdict that lets a candidate pass. */
const PASS_CUSTOMER_CAP = Math.log(1 / FALSE_ALARM_RATE) / 2;
/** Log-likelihood ratio below which the candidate passes a gate; one customer cannot reach it. */
const PASS_RATIO = -(PASS_CUSTOMER_CAP + 1);

interface Hypotheses {
  /** Share of good answers that is still accepted. */
  readonly accepted: number;
  /** Share of good answers that is rejected. */
  readonly rejected: number;
}

const clamp = (value: number, low: number, high: number): number =>
  Math.min(high, Math.max(low, value));

/** Estimates a cautious lower share of good answers of the stable version. */
const estimateBaseline = (stable: ratings.Counts): number => {
  const good = stable.good + BASELINE_PRIOR.good;
  const total = good + stable.bad + BASELINE_PRIOR.bad;
  const share = good / total;
  const margin = BASELINE_MARGIN * Math.sqrt((share * (1 - share)) / total);
  return clamp(share - margin - TOLERATED_DROP, MIN_SHARE + DETECTED_DROP, MAX_SHARE);
};

const computeRatio = (counts: ratings.Counts, { accepted, rejected }: Hypotheses): number =>
  counts.good * Math.log(rejected / accepted) +
  counts.bad * Math.log((1 - rejected) / (1 - accepted));

const sumCapped = (
  customers: ratings.CustomerCounts,
  hypotheses: Hypotheses,
  cap: number,
): number =>
  customers
    .valueSeq()
    .map((counts) => clamp(computeRatio(counts, hypotheses), -cap, cap))
    .reduce((sum, ratio) => sum + ratio, 0);

/**
 * Tests the ratings since one epoch. The error rate of the n-th starting epoch is its share of the
 * whole, as 1/n². A customer's ratio is capped so that at least two must agree; each capped
 * likelihood ratio is at most the ratio plus the floor, and the product of these over customers is
 * a non-negative supermartingale, so by Ville's inequality the bound holds whenever it is looked at.
 */
const isWorseSince = (
  customers: ratings.CustomerCounts,
  hypotheses: Hypotheses,
  startIndex: number,
): boolean => {
  const base = Math.log((BASEL_SUM * startIndex ** 2) / FALSE_ALARM_RATE);
  const cap = (base + 1) / 2;
  const bound = base + customers.size * Math.log1p(Math.exp(-cap));
  return sumCapped(customers, hypotheses, cap) >= bound;
};

const findHypotheses = (stable: ratings.VersionCounts): Hypotheses => {
  const accepted = estimateBaseline(ratings.sumCounts(stable));
  return { accepted, rejected: accepted - DETECTED_DROP };
};

/**
 * Sequential probability-ratio test of a candidate against the stable version, for a drop that may
 * begin in any epoch. It may be evaluated after every rating without raising the false-alarm rate.
 */
export const compareVersions = (query: TestQuery): Verdict => {
  const hypotheses = findHypotheses(query.stable);
  const starts = Array.from(query.candidate.keys());
  const isWorse = starts.some((epoch) =>
    isWorseSince(
      ratings.sumSince(query.candidate, epoch),
      hypotheses,
      Math.max(1, epoch - query.firstEpoch + 1),
    ),
  );
  if (isWorse) {
    return 'worse';
  }
  const inStep = ratings.sumSince(query.candidate, query.stepEpoch);
  return sumCapped(inStep, hypotheses, PASS_CUSTOMER_CAP) <= PASS_RATIO ? 'notWorse' : 'undecided';
};

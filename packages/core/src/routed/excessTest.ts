/** Counts of one stratum, in which chance alone decides on which version a request runs. */
export interface Stratum {
  /** Requests on the new version, and how many of them had the event that is tested. */
  readonly newCount: number;
  readonly newEvents: number;
  /** The same for the previous versions. */
  readonly oldCount: number;
  readonly oldEvents: number;
}

/** Ratios of the odds of an event on the new version to those on the previous ones, in the tested hypotheses. */
const ODDS_RATIOS: readonly number[] = [2, 4, 16, 64];

/**
 * Computes the log-likelihood ratio of one odds ratio against equal odds. Given that an event occurred, equal odds put it
 * on the new version with the probability of its share of the requests. So it needs no estimate of how often the
 * event occurs, and a stratum without requests on one of the sides says nothing.
 */
const computeLogRatio = (strata: readonly Stratum[], oddsRatio: number): number =>
  strata.reduce((sum, { newCount, newEvents, oldCount, oldEvents }) => {
    const share = newCount / Math.max(1, newCount + oldCount);
    return (
      sum +
      newEvents * Math.log(oddsRatio) -
      (newEvents + oldEvents) * Math.log(1 + share * (oddsRatio - 1))
    );
  }, 0);

/**
 * Computes the log of the evidence that an event is more frequent on the new version: the mean of the likelihood ratios
 * of several odds ratios. With equal odds it exceeds `log(x)` with a probability of at most 1/x, however often it is
 * computed while requests are added.
 */
export const computeExcess = (strata: readonly Stratum[]): number => {
  const logRatios = ODDS_RATIOS.map((oddsRatio) => computeLogRatio(strata, oddsRatio));
  const largest = Math.max(...logRatios);
  const sum = logRatios.reduce((total, logRatio) => total + Math.exp(logRatio - largest), 0);
  return largest + Math.log(sum / logRatios.length);
};

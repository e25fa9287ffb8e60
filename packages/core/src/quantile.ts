/** Streaming estimate of one quantile, updated in constant time and space. */
export interface QuantileEstimate {
  readonly quantile: number;
  readonly value: number;
  readonly count: number;
}

/** Step by which one sample moves the estimate, as a share of the current value. */
const STEP_SHARE = 0.05;
/** Number of first samples, during which the estimate is their maximum. */
const WARM_UP_SAMPLES = 8;

/** Creates the estimate of a quantile in (0, 1), without samples. */
export const makeQuantile = (quantile: number): QuantileEstimate => ({
  quantile,
  value: 0,
  count: 0,
});

/**
 * Adds a sample. The estimate converges to the value below which a share `quantile` of the samples
 * lies.
 */
export const addSample = (estimate: QuantileEstimate, sample: number): QuantileEstimate => {
  const count = estimate.count + 1;
  if (count <= WARM_UP_SAMPLES) {
    return { ...estimate, count, value: Math.max(estimate.value, sample) };
  }
  const step = Math.max(estimate.value, 1) * STEP_SHARE;
  const direction = sample > estimate.value ? estimate.quantile : estimate.quantile - 1;
  return { ...estimate, count, value: Math.max(0, estimate.value + step * direction) };
};

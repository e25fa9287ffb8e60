/** Finds a percentile of some values, given as a fraction (0.99 for p99); Infinity for no values. */
export const findPercentile = (values: readonly number[], share: number): number => {
  const sorted = values.toSorted((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? Infinity;
};

/** Computes the mean of some values; NaN for no values. */
export const computeMean = (values: readonly number[]): number =>
  values.reduce((sum, value) => sum + value, 0) / values.length;

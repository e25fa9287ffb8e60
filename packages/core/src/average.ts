/** Exponentially weighted moving average and the number of its samples. */
export interface Average {
  readonly value: number;
  readonly count: number;
}

/** An average without samples. */
export const EMPTY_AVERAGE: Average = { value: 0, count: 0 };

/**
 * Adds a sample. As long as 1 / count exceeds the weight, the average is the arithmetic mean of all
 * samples.
 */
export const updateAverage = (average: Average, sample: number, weight: number): Average => {
  const count = average.count + 1;
  const share = Math.max(weight, 1 / count);
  return { value: average.value + (sample - average.value) * share, count };
};

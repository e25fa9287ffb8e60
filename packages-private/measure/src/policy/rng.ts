import * as prand from 'pure-rand';

/** A seeded source of random numbers. */
export interface Rng {
  /** Uniform in [0, 1). */
  readonly next: () => number;
  /** Exponential with a mean. */
  readonly nextExponential: (mean: number) => number;
}

const RANGE = 2 ** 32;

/** Makes a source of random numbers from a seed. */
export const makeRng = (seed: number): Rng => {
  let generator = prand.xoroshiro128plus(seed);
  const next = (): number => {
    const [value, nextGenerator] = prand.uniformIntDistribution(0, RANGE - 1, generator);
    generator = nextGenerator;
    return value / RANGE;
  };
  return { next, nextExponential: (mean) => -Math.log(1 - next()) * mean };
};

import * as prand from 'pure-rand';

/** A seeded generator of random numbers. */
export interface Rng {
  /** Draws from the uniform distribution over [0, 1). */
  readonly next: () => number;
  /** Draws from the exponential distribution with a mean. */
  readonly nextExponential: (mean: number) => number;
}

const RANGE = 2 ** 32;

/** Makes a generator of random numbers from a seed. */
export const makeRng = (seed: number): Rng => {
  let generator = prand.xoroshiro128plus(seed);
  const next = (): number => {
    const [value, nextGenerator] = prand.uniformIntDistribution(0, RANGE - 1, generator);
    generator = nextGenerator;
    return value / RANGE;
  };
  return { next, nextExponential: (mean) => -Math.log(1 - next()) * mean };
};

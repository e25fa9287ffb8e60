/** Fractional part of the golden ratio; successive multiples spread evenly over [0, 1). */
const GOLDEN_FRACTION = 0.618_033_988_749_895;
/** Prime factor that decorrelates the fractions derived from one random number. */
const MIX_FACTOR = 7919;

/** Derives the n-th pseudo-independent fraction in [0, 1) from an event's random number. */
export const deriveFraction = (random: number, index: number): number =>
  (random * MIX_FACTOR * (index + 1) + index * GOLDEN_FRACTION) % 1;

/** Picks an index below `length` by a fraction in [0, 1); returns -1 if `length` is 0. */
export const pickIndex = (fraction: number, length: number): number =>
  Math.min(length - 1, Math.floor(fraction * length));

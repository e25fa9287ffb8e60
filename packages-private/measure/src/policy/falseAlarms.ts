import * as core from '@jayrock/core';
import * as immutable from 'immutable';
import * as rngs from './rng.js';
import * as workload from './workload.js';

/** Number of simulated ramps of a good candidate, and in how many of them an alarm was raised. */
export interface FalseAlarms {
  readonly ramps: number;
  readonly alarms: number;
}

const RATINGS_PER_RAMP = 800;
const STABLE_RATINGS = 300;
const RATINGS_PER_EPOCH = 100;
const GOOD_RATING_SHARE = 0.9;

const addRating = (
  counts: core.ratings.VersionCounts,
  epoch: number,
  customer: string,
  isGood: boolean,
): core.ratings.VersionCounts =>
  counts.update(epoch, immutable.Map(), (customers) =>
    customers.update(customer, { good: 0, bad: 0 }, (known) => ({
      good: known.good + Number(isGood),
      bad: known.bad + Number(!isGood),
    })),
  );

/** Draws up to `count` ratings; ends early and returns true once `shouldStop` holds for the counts. */
const drawRatings = (
  draws: rngs.Rng,
  count: number,
  shouldStop: (counts: core.ratings.VersionCounts) => boolean,
): boolean => {
  let counts: core.ratings.VersionCounts = immutable.Map();
  for (let index = 0; index < count; index += 1) {
    const epoch = 1 + Math.floor(index / RATINGS_PER_EPOCH);
    const rank = Math.floor(draws.next() * workload.CUSTOMERS.length);
    const customer = workload.CUSTOMERS[rank] ?? '';
    counts = addRating(counts, epoch, customer, draws.next() < GOOD_RATING_SHARE);
    if (shouldStop(counts)) {
      return true;
    }
  }
  return false;
};

const drawStableCounts = (draws: rngs.Rng): core.ratings.VersionCounts => {
  let stable: core.ratings.VersionCounts = immutable.Map();
  drawRatings(draws, STABLE_RATINGS, (counts) => {
    stable = counts;
    return false;
  });
  return stable;
};

/**
 * Simulates ramps of a candidate that is as good as the stable version, tested after every rating,
 * and counts those in which the sequential test finds the candidate worse.
 */
export const countFalseAlarms = (ramps: number, seed: number): FalseAlarms => {
  const draws = rngs.makeRng(seed);
  const alarms = Array.from({ length: ramps }, () => {
    const stable = drawStableCounts(draws);
    return drawRatings(
      draws,
      RATINGS_PER_RAMP,
      (candidate) =>
        core.sequentialTest.compareVersions({
          stable,
          candidate,
          firstEpoch: 1,
          stepEpoch: 1,
        }) === 'worse',
    );
  }).filter((hasAlarm) => hasAlarm).length;
  return { ramps, alarms };
};

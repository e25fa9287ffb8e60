import type * as configIndex from './configIndex.js';
import * as learning from './learning.js';
import type * as policy from './policy.js';

/** A version of a model that a request may run on. */
export interface VersionOption {
  readonly info: configIndex.VersionInfo;
  /** True if the session's pinned version could not be kept. */
  readonly hasMoved: boolean;
  /** Probability that the answer is rated good. */
  readonly goodProbability: number;
  /** Number of ratings that the probability is estimated from. */
  readonly ratingCount: number;
  /** Expected price, in millionths of the billing currency. */
  readonly costMicros: number;
}

/** Input of the choice among options. */
export interface CascadeQuery {
  /** Required probability of a good rating. */
  readonly target: number;
  /** True when a poor answer can be detected and replaced before it reaches the caller. */
  readonly canEscalate: boolean;
  /** Fraction in [0, 1) that decides whether an option is explored. */
  readonly fraction: number;
}

/**
 * Lowest probability at which trying a cheap model first saves cost, if a poor answer can be
 * replaced.
 */
const MIN_ESCALATION_PROBABILITY = 0.3;
/** Share of requests sent to a model below the target, to keep its estimate up to date. */
const EXPLORATION_SHARE = 0.01;
/** Share of requests sent to a model that has few ratings for their class. */
const NOVELTY_SHARE = 0.2;
/** Number of ratings below which a class counts as new to a model. */
const NOVELTY_RATINGS = 8;

type CascadeHandler = (
  options: readonly VersionOption[],
  query: CascadeQuery,
) => readonly VersionOption[];

const compareCost = (a: VersionOption, b: VersionOption): number => a.costMicros - b.costMicros;

const isExplored = (option: VersionOption, query: CascadeQuery): boolean =>
  query.fraction < (option.ratingCount < NOVELTY_RATINGS ? NOVELTY_SHARE : EXPLORATION_SHARE);

const isAcceptable = (option: VersionOption, query: CascadeQuery): boolean =>
  option.goodProbability >= query.target ||
  (query.canEscalate && option.goodProbability >= MIN_ESCALATION_PROBABILITY) ||
  isExplored(option, query);

const chooseLearned: CascadeHandler = (options, query) => {
  const sorted = options.toSorted(compareCost);
  const accepted = sorted.filter((option) => isAcceptable(option, query));
  const best = sorted.toSorted(
    (a, b) => b.goodProbability - a.goodProbability || compareCost(a, b),
  );
  return accepted.length > 0 ? accepted : best.slice(0, 1);
};

const chooseLargest: CascadeHandler = (options) =>
  options.toSorted((a, b) => compareCost(b, a)).slice(0, 1);

const CASCADE_HANDLERS: Readonly<Record<policy.Policy['cascade'], CascadeHandler>> = {
  learned: chooseLearned,
  largest: chooseLargest,
};

/**
 * Lists the options to try, the preferred one first. In the mode `learned`, an option qualifies if it
 * meets the quality target, if a poor answer of it can be replaced, or for exploration; if none
 * does, the option most likely to be rated good is returned. The mode `largest` returns the most
 * expensive option.
 */
export const chooseOptions = (
  mode: policy.Policy['cascade'],
  options: readonly VersionOption[],
  query: CascadeQuery,
): readonly VersionOption[] => CASCADE_HANDLERS[mode](options, query);

/**
 * Picks the version that replaces one whose answer was rated poor: among the more expensive options,
 * the most likely to be rated good, and the cheapest of equally likely ones.
 */
export const pickEscalation = (
  options: readonly VersionOption[],
  poor: configIndex.VersionInfo,
): VersionOption | undefined => {
  const moreExpensive = options.filter(
    (option) => option.info.costPerThousandTokensMicros > poor.costPerThousandTokensMicros,
  );
  return moreExpensive
    .toSorted((a, b) => b.goodProbability - a.goodProbability || compareCost(a, b))
    .at(0);
};

/** Estimates the price of an answer, in millionths of the billing currency. */
export const estimatePrice = (
  info: configIndex.VersionInfo,
  tokensIn: number,
  tokensOut: number,
): number => Math.ceil(((tokensIn + tokensOut) * info.costPerThousandTokensMicros) / 1_000);

/** Makes the option of running a class of requests on a version. */
export const makeOption = (
  state: learning.LearningState,
  classKey: string,
  info: configIndex.VersionInfo,
  hasMoved: boolean,
  costMicros: number,
): VersionOption => ({
  info,
  hasMoved,
  costMicros,
  goodProbability: learning.estimateGoodProbability(state, classKey, info.id),
  ratingCount: learning.countRatings(state, classKey, info.id),
});

import * as immutable from 'immutable';
import * as average from './average.js';
import type * as requestState from './requestState.js';
import * as versionId from './versionId.js';

/** Number of good and bad ratings, with exponential decay of old ones. */
export interface RatingCounts {
  readonly good: number;
  readonly bad: number;
}

/** Answer lengths and ratings of one class of requests. */
export interface ClassStats {
  /** Moving average of the answer length, in tokens. */
  readonly tokens: average.Average;
  readonly versions: immutable.Map<versionId.VersionId, RatingCounts>;
}

/** Statistics of ratings and answer lengths. */
export interface LearningState {
  readonly classes: immutable.Map<string, ClassStats>;
  /** Ratings of a model over all classes, by model name. */
  readonly models: immutable.Map<string, RatingCounts>;
}

/** Number of prefix groups in a class key, which bounds the number of classes. */
const PREFIX_GROUPS = 256;
/** Prompt lengths at which a new length group begins, in tokens. */
const LENGTH_BOUNDS = [128, 1_024] as const;
/** Weight of a model's estimate as the prior of a class, as a number of ratings. */
const PRIOR_WEIGHT = 4;
/** Weight of the prior of a model, as a number of ratings. */
const MODEL_PRIOR_WEIGHT = 2;
/** Probability of a good answer assumed for a model without ratings. */
const MODEL_PRIOR_PROBABILITY = 0.8;
/** Number of ratings of a version or model from which older ones decay. */
const DECAY_THRESHOLD = 200;
/** Weight of one sample in the moving average of the answer length. */
const LENGTH_WEIGHT = 0.05;
/** Expected length of a class without samples, in tokens. */
const DEFAULT_TOKENS = 128;
/** Cost of one call of a plain service, in tokens. */
const CALL_TOKENS = 4;
/** Lowest score of a good answer. */
export const GOOD_SCORE = 0.5;

const EMPTY_COUNTS: RatingCounts = { good: 0, bad: 0 };

const EMPTY_CLASS: ClassStats = { tokens: average.EMPTY_AVERAGE, versions: immutable.Map() };

/** Statistics without samples. */
export const EMPTY_LEARNING: LearningState = {
  classes: immutable.Map(),
  models: immutable.Map(),
};

const findLengthGroup = (tokensIn: number): number =>
  LENGTH_BOUNDS.filter((bound) => tokensIn >= bound).length;

/** Returns the class key of a request: service and path, or groups of prompt prefix and length. */
export const classifyRequest = (shape: requestState.RequestShape): string =>
  shape.kind === 'call'
    ? `call:${shape.target}${shape.path.slice(0, 32)}`
    : `chat:${shape.prefix % PREFIX_GROUPS}:${findLengthGroup(shape.tokensIn)}`;

/** Adds a rating to the counts; from the decay threshold on, older ratings are scaled down. */
export const addRating = (counts: RatingCounts, isGood: boolean): RatingCounts => {
  const total = counts.good + counts.bad;
  const decayFactor = total >= DECAY_THRESHOLD ? (DECAY_THRESHOLD - 1) / total : 1;
  return {
    good: counts.good * decayFactor + (isGood ? 1 : 0),
    bad: counts.bad * decayFactor + (isGood ? 0 : 1),
  };
};

/** Records a rating of a version for a class of requests. */
export const recordRating = (
  learning: LearningState,
  classKey: string,
  id: versionId.VersionId,
  isGood: boolean,
): LearningState => {
  const model = versionId.getModelName(id);
  const stats = learning.classes.get(classKey, EMPTY_CLASS);
  const counts = addRating(stats.versions.get(id, EMPTY_COUNTS), isGood);
  return {
    classes: learning.classes.set(classKey, { ...stats, versions: stats.versions.set(id, counts) }),
    models: learning.models.set(model, addRating(learning.models.get(model, EMPTY_COUNTS), isGood)),
  };
};

/** Records the length of a finished answer, in tokens. */
export const recordLength = (
  learning: LearningState,
  classKey: string,
  tokens: number,
): LearningState => {
  const stats = learning.classes.get(classKey, EMPTY_CLASS);
  const next = { ...stats, tokens: average.updateAverage(stats.tokens, tokens, LENGTH_WEIGHT) };
  return { ...learning, classes: learning.classes.set(classKey, next) };
};

/** Drops the ratings of versions that are no longer listed. */
export const forgetVersions = (
  learning: LearningState,
  isListed: (id: versionId.VersionId) => boolean,
): LearningState => ({
  ...learning,
  classes: learning.classes.map((stats) => ({
    ...stats,
    versions: stats.versions.filter((_, id) => isListed(id)),
  })),
});

const estimateModelProbability = (learning: LearningState, model: string): number => {
  const counts = learning.models.get(model, EMPTY_COUNTS);
  return (
    (counts.good + MODEL_PRIOR_WEIGHT * MODEL_PRIOR_PROBABILITY) /
    (counts.good + counts.bad + MODEL_PRIOR_WEIGHT)
  );
};

/** Estimates the probability that a version's answer to a class of requests is rated good. */
export const estimateGoodProbability = (
  learning: LearningState,
  classKey: string,
  id: versionId.VersionId,
): number => {
  const prior = estimateModelProbability(learning, versionId.getModelName(id));
  const counts = learning.classes.get(classKey)?.versions.get(id) ?? EMPTY_COUNTS;
  return (counts.good + PRIOR_WEIGHT * prior) / (counts.good + counts.bad + PRIOR_WEIGHT);
};

/** Counts the ratings of a version for a class of requests, after decay. */
export const countRatings = (
  learning: LearningState,
  classKey: string,
  id: versionId.VersionId,
): number => {
  const counts = learning.classes.get(classKey)?.versions.get(id) ?? EMPTY_COUNTS;
  return counts.good + counts.bad;
};

/** Estimates the length of the answer to a request, in tokens. */
export const estimateTokens = (
  learning: LearningState,
  classKey: string,
  shape: requestState.RequestShape,
): number => {
  if (shape.kind === 'call') {
    return CALL_TOKENS;
  }
  const averageLength = learning.classes.get(classKey)?.tokens;
  const expected =
    averageLength === undefined || averageLength.count === 0 ? DEFAULT_TOKENS : averageLength.value;
  return Math.max(1, Math.min(expected, shape.maxTokens));
};

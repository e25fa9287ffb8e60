import * as immutable from 'immutable';
import * as average from './average.js';
import type * as requestState from './requestState.js';
import * as versionId from './versionId.js';

/** Good and bad ratings, with old ones fading. */
export interface RatingCounts {
  readonly good: number;
  readonly bad: number;
}

/** What was learned about one class of requests. */
export interface ClassStats {
  readonly tokens: average.Average;
  readonly versions: immutable.Map<versionId.VersionId, RatingCounts>;
}

/** What was learned from ratings and answer lengths. */
export interface LearningState {
  readonly classes: immutable.Map<string, ClassStats>;
  /** Ratings of a model over all classes, by model name. */
  readonly models: immutable.Map<string, RatingCounts>;
}

/** Number of prefix groups a class key distinguishes, which bounds the number of classes. */
const PREFIX_GROUPS = 256;
/** Prompt lengths at which a new length group begins, in tokens. */
const LENGTH_BOUNDS = [128, 1_024] as const;
/** Weight of a class's prior in ratings. */
const PRIOR_WEIGHT = 4;
/** Weight of the assumption about a model that has no ratings. */
const MODEL_PRIOR_WEIGHT = 2;
/** Chance of a good answer assumed for a model without ratings. */
const MODEL_PRIOR_CHANCE = 0.8;
/** Ratings after which a tally's older ratings fade. */
const TALLY_MEMORY = 200;
/** Weight of one sample in the expected length. */
const LENGTH_WEIGHT = 0.05;
/** Expected length of a class without samples, in tokens. */
const DEFAULT_TOKENS = 128;
/** Cost of one call of a plain service, in tokens. */
const CALL_TOKENS = 4;
/** Rating from which an answer counts as good. */
export const GOOD_SCORE = 0.5;

const EMPTY_TALLY: RatingCounts = { good: 0, bad: 0 };

const EMPTY_CLASS: ClassStats = { tokens: average.EMPTY_AVERAGE, versions: immutable.Map() };

/** A router that has learned nothing yet. */
export const EMPTY_LEARNING: LearningState = {
  classes: immutable.Map(),
  models: immutable.Map(),
};

const findLengthGroup = (tokensIn: number): number =>
  LENGTH_BOUNDS.filter((bound) => tokensIn >= bound).length;

/** Classifies a request by what it shows: its service or prompt prefix, and its length. */
export const classifyRequest = (shape: requestState.RequestShape): string =>
  shape.kind === 'call'
    ? `call:${shape.target}${shape.path.slice(0, 32)}`
    : `chat:${shape.prefix % PREFIX_GROUPS}:${findLengthGroup(shape.tokensIn)}`;

/** Adds a rating to a tally. */
export const addRating = (tally: RatingCounts, isGood: boolean): RatingCounts => {
  const total = tally.good + tally.bad;
  const keep = total >= TALLY_MEMORY ? (TALLY_MEMORY - 1) / total : 1;
  return {
    good: tally.good * keep + (isGood ? 1 : 0),
    bad: tally.bad * keep + (isGood ? 0 : 1),
  };
};

/** Records a rating of a version on a class. */
export const recordRating = (
  learning: LearningState,
  classKey: string,
  id: versionId.VersionId,
  isGood: boolean,
): LearningState => {
  const model = versionId.getModelName(id);
  const known = learning.classes.get(classKey, EMPTY_CLASS);
  const tally = addRating(known.versions.get(id, EMPTY_TALLY), isGood);
  return {
    classes: learning.classes.set(classKey, { ...known, versions: known.versions.set(id, tally) }),
    models: learning.models.set(model, addRating(learning.models.get(model, EMPTY_TALLY), isGood)),
  };
};

/** Records the length of a finished answer. */
export const recordLength = (
  learning: LearningState,
  classKey: string,
  tokens: number,
): LearningState => {
  const known = learning.classes.get(classKey, EMPTY_CLASS);
  const next = { ...known, tokens: average.updateAverage(known.tokens, tokens, LENGTH_WEIGHT) };
  return { ...learning, classes: learning.classes.set(classKey, next) };
};

/** Drops what was learned about versions that no list names any more. */
export const forgetVersions = (
  learning: LearningState,
  isKnown: (id: versionId.VersionId) => boolean,
): LearningState => ({
  ...learning,
  classes: learning.classes.map((known) => ({
    ...known,
    versions: known.versions.filter((_, id) => isKnown(id)),
  })),
});

const estimateModelChance = (learning: LearningState, model: string): number => {
  const tally = learning.models.get(model, EMPTY_TALLY);
  return (
    (tally.good + MODEL_PRIOR_WEIGHT * MODEL_PRIOR_CHANCE) /
    (tally.good + tally.bad + MODEL_PRIOR_WEIGHT)
  );
};

/** Estimates the chance that a version's answer to a class of requests is rated good. */
export const estimateGoodProbability = (
  learning: LearningState,
  classKey: string,
  id: versionId.VersionId,
): number => {
  const prior = estimateModelChance(learning, versionId.getModelName(id));
  const tally = learning.classes.get(classKey)?.versions.get(id) ?? EMPTY_TALLY;
  return (tally.good + PRIOR_WEIGHT * prior) / (tally.good + tally.bad + PRIOR_WEIGHT);
};

/** Counts the ratings behind an estimate. */
export const countRatings = (
  learning: LearningState,
  classKey: string,
  id: versionId.VersionId,
): number => {
  const tally = learning.classes.get(classKey)?.versions.get(id) ?? EMPTY_TALLY;
  return tally.good + tally.bad;
};

/** Estimates an answer's length, in tokens. */
export const estimateTokens = (
  learning: LearningState,
  classKey: string,
  shape: requestState.RequestShape,
): number => {
  if (shape.kind === 'call') {
    return CALL_TOKENS;
  }
  const known = learning.classes.get(classKey)?.tokens;
  const expected = known === undefined || known.count === 0 ? DEFAULT_TOKENS : known.value;
  return Math.max(1, Math.min(expected, shape.maxTokens));
};

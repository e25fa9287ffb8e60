import type * as shared from '@jayrock/shared';
import type * as configIndex from './configIndex.js';
import type * as effects from './effects.js';
import type * as events from './events.js';
import * as learning from './learning.js';
import * as ratings from './ratings.js';
import * as rolloutState from './rolloutState.js';
import * as sequentialTest from './sequentialTest.js';
import type * as routerState from './routerState.js';
import * as transition from './transition.js';
import * as versionId from './versionId.js';

/** Age of the last configuration confirmation past which candidates get no new sessions, in milliseconds. */
export const STALE_CONFIG_MS = 10_000;
/** Unrated answers of a candidate at which a router stops giving it new sessions. */
const MAX_UNRATED = 24;
/** Interval at which one unrated answer is written off, in milliseconds. */
const UNRATED_DECAY_MS = 5_000;
/** Ratings that a candidate needs at a step before it can advance. */
const MIN_RATINGS_PER_STEP = 30;
/** Minimum time at a step, in milliseconds. */
const MIN_STEP_MS = 5_000;
/** Time from the start of an epoch within which ticks fold old epochs, in milliseconds. */
const FOLD_SPAN_MS = 500;
/** Time at each step of the fixed baseline ramp, in milliseconds. */
const FIXED_STEP_MS = 30_000;

type VerdictHandler = (
  current: routerState.RouterState,
  rollout: shared.lists.Rollout,
  progress: rolloutState.RolloutState,
  nowMs: number,
) => transition.Transition;

const isStale = (current: routerState.RouterState, nowMs: number): boolean =>
  nowMs - current.confirmedAtMs > STALE_CONFIG_MS;

/** Returns whether this router may give new sessions to a roll-out's candidate now. */
export const isOpenToSessions = (
  current: routerState.RouterState,
  rollout: shared.lists.Rollout,
  nowMs: number,
): boolean => {
  if (rollout.state === 'halted') {
    return false;
  }
  if (current.policy.ramp === 'fixed') {
    return true;
  }
  const progress = current.rollouts.get(rollout.model);
  return !isStale(current, nowMs) && (progress?.unrated ?? 0) < MAX_UNRATED;
};

const countRated = (current: routerState.RouterState, id: versionId.VersionId): number => {
  const counts = ratings.sumCounts(ratings.getVersionCounts(current.ratings, id));
  return counts.good + counts.bad;
};

/**
 * Returns the progress of a roll-out at its current step. A new step starts over, but keeps the
 * number of unrated answers and the first epoch.
 */
const adoptRollout = (
  current: routerState.RouterState,
  rollout: shared.lists.Rollout,
  nowMs: number,
): rolloutState.RolloutState => {
  const previous = current.rollouts.get(rollout.model);
  if (previous !== undefined && previous.to === rollout.to && previous.step === rollout.step) {
    return previous;
  }
  const rated = countRated(current, versionId.makeVersionId(rollout.model, rollout.to));
  const epoch = ratings.findEpoch(nowMs);
  const fresh = rolloutState.makeRollout(rollout.to, rollout.step, nowMs, rated, epoch);
  return previous?.to === rollout.to
    ? { ...fresh, unrated: previous.unrated, firstEpoch: previous.firstEpoch }
    : fresh;
};

const isCompared = (config: configIndex.ConfigIndex, id: versionId.VersionId): boolean => {
  const rollout = config.comparedRollouts.get(versionId.getModelName(id));
  return (
    rollout !== undefined &&
    [rollout.from, rollout.to].some(
      (version) => versionId.makeVersionId(rollout.model, version) === id,
    )
  );
};

/** Lists candidates whose halted roll-out was restarted by an operator. */
const listRestarted = (
  current: routerState.RouterState,
  config: configIndex.ConfigIndex,
): readonly versionId.VersionId[] =>
  Array.from(config.openRollouts.values())
    .filter((rollout) => {
      const before = current.config?.openRollouts.get(rollout.model);
      return before?.state === 'halted' && before.to === rollout.to && rollout.state === 'running';
    })
    .map((rollout) => versionId.makeVersionId(rollout.model, rollout.to));

/** Updates roll-outs, ratings and blocked versions for a newly adopted configuration. */
export const adoptRollouts = (
  current: routerState.RouterState,
  config: configIndex.ConfigIndex,
  nowMs: number,
): routerState.RouterState => {
  const restarted = listRestarted(current, config);
  const kept = ratings.forgetVersions(
    current.ratings,
    (id) => isCompared(config, id) && !restarted.includes(id),
  );
  const next = { ...current, ratings: kept };
  const compared = Array.from(config.comparedRollouts.values());
  return {
    ...next,
    blockedVersions: current.blockedVersions.filter(
      (id) => config.versions.has(id) && !restarted.includes(id),
    ),
    rollouts: next.rollouts
      .filter((_, model) => config.comparedRollouts.has(model))
      .merge(compared.map((rollout) => [rollout.model, adoptRollout(next, rollout, nowMs)])),
  };
};

const changeUnrated = (
  current: routerState.RouterState,
  id: versionId.VersionId,
  change: number,
): routerState.RouterState => {
  const model = versionId.getModelName(id);
  const progress = current.rollouts.get(model);
  if (progress === undefined || versionId.makeVersionId(model, progress.to) !== id) {
    return current;
  }
  const unrated = Math.max(0, progress.unrated + change);
  return { ...current, rollouts: current.rollouts.set(model, { ...progress, unrated }) };
};

/** Counts an answer of a candidate as not yet rated. */
export const countExposure = (
  current: routerState.RouterState,
  id: versionId.VersionId,
): routerState.RouterState => changeUnrated(current, id, 1);

const decayUnrated = (
  progress: rolloutState.RolloutState,
  nowMs: number,
): rolloutState.RolloutState =>
  progress.unrated > 0 && nowMs - progress.unratedDecayedAtMs >= UNRATED_DECAY_MS
    ? { ...progress, unrated: progress.unrated - 1, unratedDecayedAtMs: nowMs }
    : progress;

const proposeChange = (
  current: routerState.RouterState,
  rollout: shared.lists.Rollout,
  progress: rolloutState.RolloutState,
  change: 'advance' | 'halt',
): transition.Transition => {
  const updated = current.rollouts.set(rollout.model, { ...progress, proposed: change });
  const effect: effects.EffectOf<'proposeRollout'> = {
    type: 'proposeRollout',
    model: rollout.model,
    to: rollout.to,
    fromStep: rollout.step,
    change,
  };
  return transition.makeTransition({ ...current, rollouts: updated }, effect);
};

/** Blocks new work for a version that failed its test. */
export const blockVersion = (
  current: routerState.RouterState,
  id: versionId.VersionId,
): routerState.RouterState => ({
  ...current,
  blockedVersions: current.blockedVersions.add(id),
});

/** Blocks the candidate here and at peers, and proposes to halt its roll-out. */
const haltRollout: VerdictHandler = (current, rollout, progress) => {
  const id = versionId.makeVersionId(rollout.model, rollout.to);
  if (current.blockedVersions.has(id)) {
    return transition.makeTransition(current);
  }
  const blocked = blockVersion(current, id);
  const proposed = proposeChange(blocked, rollout, progress, 'halt');
  return {
    state: proposed.state,
    effects: [{ type: 'broadcastBlock', versionId: id }, ...proposed.effects],
  };
};

/** Proposes the next step once the candidate has enough ratings and time at the current one. */
const advanceIfReady: VerdictHandler = (current, rollout, progress, nowMs) => {
  const id = versionId.makeVersionId(rollout.model, rollout.to);
  const rated = countRated(current, id) - progress.ratedAtStep;
  const isReady =
    rollout.state === 'running' &&
    progress.proposed === 'none' &&
    rated >= MIN_RATINGS_PER_STEP &&
    nowMs - progress.stepSinceMs >= MIN_STEP_MS;
  return isReady
    ? proposeChange(current, rollout, progress, 'advance')
    : transition.makeTransition(current);
};

const VERDICT_HANDLERS: Readonly<Record<sequentialTest.Verdict, VerdictHandler>> = {
  worse: haltRollout,
  notWorse: advanceIfReady,
  undecided: (current) => transition.makeTransition(current),
};

const evaluateRollout = (
  current: routerState.RouterState,
  rollout: shared.lists.Rollout,
  nowMs: number,
): transition.Transition => {
  const progress = current.rollouts.get(rollout.model);
  if (progress === undefined || rollout.state === 'halted') {
    return transition.makeTransition(current);
  }
  const stable = versionId.makeVersionId(rollout.model, rollout.from);
  const candidate = versionId.makeVersionId(rollout.model, rollout.to);
  const verdict = sequentialTest.compareVersions({
    stable: ratings.getVersionCounts(current.ratings, stable),
    candidate: ratings.getVersionCounts(current.ratings, candidate),
    firstEpoch: progress.firstEpoch,
    stepEpoch: progress.stepEpoch,
  });
  return VERDICT_HANDLERS[verdict](current, rollout, progress, nowMs);
};

const evaluateModel = (
  current: routerState.RouterState,
  model: string,
  nowMs: number,
): transition.Transition => {
  const rollout = current.config?.comparedRollouts.get(model);
  return rollout === undefined || current.policy.ramp === 'fixed'
    ? transition.makeTransition(current)
    : evaluateRollout(current, rollout, nowMs);
};

const evaluateAll = (current: routerState.RouterState, nowMs: number): transition.Transition =>
  Array.from(current.config?.comparedRollouts.keys() ?? []).reduce(
    (result, model) =>
      transition.composeTransition(result, (next) => evaluateModel(next, model, nowMs)),
    transition.makeTransition(current),
  );

const advanceFixed = (
  current: routerState.RouterState,
  rollout: shared.lists.Rollout,
  nowMs: number,
): transition.Transition => {
  const progress = current.rollouts.get(rollout.model);
  const isDue =
    progress !== undefined &&
    progress.proposed === 'none' &&
    rollout.state === 'running' &&
    nowMs - progress.stepSinceMs >= FIXED_STEP_MS;
  return isDue
    ? proposeChange(current, rollout, progress, 'advance')
    : transition.makeTransition(current);
};

/** Folds old epochs at the start of an epoch only: ticks are far more frequent than is needed. */
const foldIfDue = (state: ratings.RatingsState, nowMs: number): ratings.RatingsState =>
  nowMs % ratings.EPOCH_MS < FOLD_SPAN_MS ? ratings.foldOldEpochs(state, nowMs) : state;

/** Decays unrated answers and evaluates roll-outs; the fixed baseline ramp advances by time alone. */
export const tickRollouts = (
  current: routerState.RouterState,
  nowMs: number,
): transition.Transition => {
  const decayed = {
    ...current,
    ratings: foldIfDue(current.ratings, nowMs),
    rollouts: current.rollouts.map((progress) => decayUnrated(progress, nowMs)),
  };
  if (current.policy.ramp === 'gated') {
    return evaluateAll(decayed, nowMs);
  }
  return Array.from(current.config?.openRollouts.values() ?? []).reduce(
    (result, rollout) =>
      transition.composeTransition(result, (next) => advanceFixed(next, rollout, nowMs)),
    transition.makeTransition(decayed),
  );
};

/** Customer, request class and version to which a rating applies. */
export interface RatedAnswer {
  readonly customer: string;
  readonly classKey: string;
  readonly versionId: versionId.VersionId;
}

/** Records a rating in [0, 1] and evaluates the roll-out of its version. */
export const recordRating = (
  current: routerState.RouterState,
  rated: RatedAnswer,
  score: number,
  nowMs: number,
): transition.Transition => {
  const isGood = score >= learning.GOOD_SCORE;
  const learned = {
    ...current,
    learning: learning.recordRating(current.learning, rated.classKey, rated.versionId, isGood),
  };
  if (current.config === null || !isCompared(current.config, rated.versionId)) {
    return transition.makeTransition(learned);
  }
  const counted = {
    ...changeUnrated(learned, rated.versionId, -1),
    ratings: ratings.addRating(learned.ratings, rated.versionId, rated.customer, isGood, nowMs),
  };
  return evaluateModel(counted, versionId.getModelName(rated.versionId), nowMs);
};

const handlePeerCounters = (
  current: routerState.RouterState,
  event: events.EventOf<'peerCountersReceived'>,
): transition.Transition => {
  const { config } = current;
  const rows =
    config === null ? [] : event.counters.filter((row) => isCompared(config, row.versionId));
  const merged = {
    ...current,
    ratings: ratings.mergeSource(current.ratings, event.source, rows),
  };
  return evaluateAll(merged, event.nowMs);
};

const handleVersionBlocked = (
  current: routerState.RouterState,
  event: events.EventOf<'versionBlocked'>,
): transition.Transition => transition.makeTransition(blockVersion(current, event.versionId));

/** Handlers of roll-out events. */
export const HANDLERS = {
  peerCountersReceived: handlePeerCounters,
  versionBlocked: handleVersionBlocked,
} as const;

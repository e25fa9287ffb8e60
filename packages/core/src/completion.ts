import type * as shared from '@jayrock/shared';
import * as average from './average.js';
import * as cascade from './cascade.js';
import type * as configIndex from './configIndex.js';
import * as dispatch from './dispatch.js';
import type * as effects from './effects.js';
import type * as events from './events.js';
import * as serviceState from './serviceState.js';
import * as ledgerState from './ledger/ledgerState.js';
import * as learning from './learning.js';
import * as quarantine from './quarantine.js';
import * as recovery from './recovery.js';
import * as requestState from './requestState.js';
import * as rollouts from './rollouts.js';
import * as routing from './routing.js';
import * as routerState from './routerState.js';
import * as sessions from './sessions.js';
import * as transition from './transition.js';
import * as versionId from './versionId.js';

/** Longest time an answer is held until it is rated, in milliseconds. */
const MAX_HOLD_MS = 1_500;
/** Maximum number of escalations per request. */
const MAX_ESCALATIONS = 1;
/** Share of answers that are rated once a class has enough ratings. */
const SAMPLED_RATING_SHARE = 0.1;
/** Number of ratings of a version for a class from which only a share of answers is rated. */
const WELL_KNOWN_RATINGS = 50;
/** Weight of one rating in a plan's moving average of good answers. */
const PLAN_QUALITY_WEIGHT = 0.02;

type AttemptEnded = events.EventOf<'attemptEnded'>;

const recordAttemptEnd = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  attempt: requestState.Attempt,
  event: AttemptEnded,
): routerState.RouterState => {
  const cost = requestState.estimateCost(request);
  const timed = routerState.updateServiceState(current, request.service, event.nowMs, (service) =>
    serviceState.recordFinished(service, cost, event.nowMs - attempt.startedAtMs, event.nowMs),
  );
  const filled = routerState.updateUpstream(
    recovery.fillRetryBudget(timed, request.customer),
    attempt.upstreamId,
    recovery.fillUpstreamBudget,
  );
  return {
    ...filled,
    learning: learning.recordLength(filled.learning, request.classKey, event.tokensOut),
    quarantine: quarantine.clearSuspicion(filled.quarantine, request.shape.fingerprint),
  };
};

const computePrice = (request: requestState.RequestState): number => {
  if (!request.isBilled) {
    return 0;
  }
  return request.shape.kind === 'call'
    ? request.priceMicros
    : Math.ceil(((request.shape.tokensIn + request.tokensOut) * request.priceMicros) / 1_000);
};

const makeEntry = (
  request: requestState.RequestState,
  nowMs: number,
): shared.ledgerEntry.LedgerEntry => ({
  requestId: request.id,
  customer: request.customer,
  plan: request.plan,
  model: versionId.getModelName(request.versionId),
  version: request.versionId.split('@')[1] ?? routing.PLAIN_VERSION,
  upstream: request.triedUpstreams.at(-1) ?? '',
  tokensIn: request.shape.tokensIn,
  tokensOut: request.tokensOut,
  costMicros: computePrice(request),
  atMs: nowMs,
});

const wantsRating = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  stamp: events.Stamp,
): boolean => {
  const isInRollout = current.config?.comparedRollouts.has(
    versionId.getModelName(request.versionId),
  );
  const rated = learning.countRatings(current.learning, request.classKey, request.versionId);
  return isInRollout === true || rated < WELL_KNOWN_RATINGS || stamp.random < SAMPLED_RATING_SHARE;
};

const makeRatingEffects = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  stamp: events.Stamp,
): readonly effects.Effect[] =>
  request.shape.kind === 'chat' && wantsRating(current, request, stamp)
    ? [
        {
          type: 'rateAnswer',
          requestId: request.id,
          customer: request.customer,
          plan: request.plan,
          classKey: request.classKey,
          versionId: request.versionId,
        },
      ]
    : [];

/** Bills a complete answer. Its end is sent to the caller once a witness has stored the entry. */
const billAnswer = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  ratingEffects: readonly effects.Effect[],
  nowMs: number,
): transition.Transition => {
  const entry = makeEntry(request, nowMs);
  const ending = routerState.setRequest(current, { ...request, phase: 'ending' });
  return transition.makeTransition(ledgerState.addEntry(ending, entry), ...ratingEffects, {
    type: 'witnessEntry',
    entry,
  });
};

const getQualityTarget = (
  current: routerState.RouterState,
  request: requestState.RequestState,
): number => current.config?.plans.get(request.plan)?.qualityTarget ?? 0;

const findInfo = (
  current: routerState.RouterState,
  request: requestState.RequestState,
): configIndex.VersionInfo | undefined => current.config?.versions.get(request.versionId);

const findEscalation = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  nowMs: number,
): cascade.VersionOption | undefined => {
  const info = findInfo(current, request);
  const plan = current.config?.plans.get(request.plan);
  if (
    info === undefined ||
    plan === undefined ||
    request.shape.target !== 'auto' ||
    request.escalationCount >= MAX_ESCALATIONS
  ) {
    return undefined;
  }
  const options = routing
    .listOptions(current, plan.models, {
      requestId: request.id,
      shape: request.shape,
      pin: request.pin,
      session: null,
      nowMs,
    })
    .filter((option) => option.costMicros <= plan.costCeilingMicros);
  return cascade.pickEscalation(options, info);
};

/**
 * Returns whether an answer is held until it is rated: it is likely to be poor, the deadline leaves
 * time for the rating, and the answer of another model can replace it.
 */
const shouldHold = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  nowMs: number,
): boolean => {
  if (request.shape.streaming || request.shape.kind !== 'chat') {
    return false;
  }
  const goodProbability = learning.estimateGoodProbability(
    current.learning,
    request.classKey,
    request.versionId,
  );
  return (
    current.policy.cascade === 'learned' &&
    goodProbability < getQualityTarget(current, request) &&
    nowMs + MAX_HOLD_MS < request.deadlineAtMs &&
    findEscalation(current, request, nowMs) !== undefined
  );
};

const holdAnswer = (
  current: routerState.RouterState,
  request: requestState.RequestState,
): transition.Transition =>
  transition.makeTransition(routerState.setRequest(current, { ...request, phase: 'rating' }), {
    type: 'rateHeldAnswer',
    requestId: request.id,
    timeoutMs: MAX_HOLD_MS,
  });

/** Completes an answer whose end marker has arrived: holds it for a rating, or bills it. */
export const endAnswer = (
  current: routerState.RouterState,
  requestId: string,
  attempt: requestState.Attempt,
  event: AttemptEnded,
): transition.Transition => {
  const request = current.requests.get(requestId);
  if (request === undefined) {
    return transition.makeTransition(current);
  }
  const ended = { ...request, tokensOut: event.tokensOut, isBilled: event.isBilled };
  const recorded = routerState.setRequest(recordAttemptEnd(current, ended, attempt, event), ended);
  const exposed = rollouts.countExposure(recorded, ended.versionId);
  return shouldHold(exposed, ended, event.nowMs)
    ? holdAnswer(exposed, ended)
    : billAnswer(exposed, ended, makeRatingEffects(exposed, ended, event), event.nowMs);
};

const recordScore = (
  current: routerState.RouterState,
  plan: string,
  score: number,
): routerState.RouterState => {
  const quality = current.planQuality.get(plan, average.EMPTY_AVERAGE);
  const sample = Number(score >= learning.GOOD_SCORE);
  return {
    ...current,
    planQuality: current.planQuality.set(
      plan,
      average.updateAverage(quality, sample, PLAN_QUALITY_WEIGHT),
    ),
  };
};

const escalate = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  option: cascade.VersionOption,
  stamp: events.Stamp,
): transition.Transition =>
  dispatch.placeRequest(
    current,
    {
      ...request,
      service: option.info.service,
      versionId: option.info.id,
      priceMicros: option.info.costPerThousandTokensMicros,
      hasMovedSession: request.hasMovedSession || option.hasMoved,
      forwardedAttempt: null,
      tokensForwarded: 0,
      tokensOut: 0,
      triedUpstreams: [],
      escalationCount: request.escalationCount + 1,
    },
    stamp,
  );

const handleAnswerRated = (
  current: routerState.RouterState,
  event: events.EventOf<'answerRated'>,
): transition.Transition => {
  const request = current.requests.get(event.requestId);
  if (request === undefined || request.phase !== 'rating') {
    return transition.makeTransition(current);
  }
  const { score } = event;
  const rated =
    score === null
      ? transition.makeTransition(current)
      : rollouts.recordRating(
          current,
          { ...request, classKey: request.classKey },
          score,
          event.nowMs,
        );
  const isPoor = score !== null && score < learning.GOOD_SCORE;
  const option = isPoor ? findEscalation(rated.state, request, event.nowMs) : undefined;
  return transition.composeTransition(rated, (next) =>
    option === undefined
      ? billAnswer(
          score === null ? next : recordScore(next, request.plan, score),
          request,
          [],
          event.nowMs,
        )
      : escalate(next, request, option, event),
  );
};

const handleEntryWitnessed = (
  current: routerState.RouterState,
  event: events.EventOf<'entryWitnessed'>,
): transition.Transition => {
  const request = current.requests.get(event.requestId);
  if (request === undefined || request.phase !== 'ending') {
    return transition.makeTransition(current);
  }
  return transition.makeTransition(
    { ...current, requests: current.requests.remove(request.id) },
    {
      type: 'finishAnswer',
      requestId: request.id,
      pin: sessions.makePin(request),
      hasMovedSession: request.hasMovedSession,
    },
  );
};

const handleRatingArrived = (
  current: routerState.RouterState,
  event: events.EventOf<'ratingArrived'>,
): transition.Transition =>
  rollouts.recordRating(
    recordScore(current, event.plan, event.score),
    event,
    event.score,
    event.nowMs,
  );

/** Handlers of ratings and of witnessed ledger entries. */
export const HANDLERS = {
  answerRated: handleAnswerRated,
  entryWitnessed: handleEntryWitnessed,
  ratingArrived: handleRatingArrived,
} as const;

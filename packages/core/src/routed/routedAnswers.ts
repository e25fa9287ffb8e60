import * as answerTime from '../admission/answerTime.js';
import * as average from '../average.js';
import * as dispatch from '../dispatch.js';
import type * as effects from '../effects.js';
import type * as events from '../events.js';
import * as health from '../health.js';
import * as coldStart from '../rateLimits/coldStart.js';
import * as requestAttempt from '../requestAttempt.js';
import type * as requestState from '../requestState.js';
import * as routerState from '../routerState.js';
import * as serviceState from '../serviceState.js';
import * as slots from '../slots.js';
import * as transition from '../transition.js';
import * as upstreamState from '../upstreamState.js';
import * as modelChoice from './modelChoice.js';
import * as prefixCache from './prefixCache.js';
import * as routedCrashes from './routedCrashes.js';
import * as routedContext from './routedContext.js';
import * as routedRetry from './routedRetry.js';
import * as routedState from './routedState.js';
import * as versionEvidence from './versionEvidence.js';

/** Finds the attempt that an event refers to; null if it has already ended or its request is not routed. */
const findAttempt = (
  current: routerState.RouterState,
  event: { readonly requestId: string; readonly attemptId: number },
): routedRetry.RoutedRequestAttempt | null => {
  const target = requestAttempt.findAttempt(current, event);
  const routed = target?.request.routed ?? null;
  return target === null || routed === null ? null : { ...target, routed };
};

/** Updates averages, prefix cache and health from the time to an answer's head. */
const recordHead = (
  current: routerState.RouterState,
  { request, routed, attempt }: routedRetry.RoutedRequestAttempt,
  nowMs: number,
): routerState.RouterState => {
  const units = 1 + attempt.prefillTokens / routedContext.TOKENS_PER_UNIT;
  const unitMs = (nowMs - attempt.startedAtMs) / units;
  const typicalMs = routedContext.getTypicalMs(
    current.routed,
    'headTimes',
    request.service,
    routed.model,
  );
  const slowness = typicalMs === null ? 1 : unitMs / Math.max(1, typicalMs);
  const context = routedContext.recordTypicalMs(
    current.routed,
    'headTimes',
    request.service,
    routed.model,
    unitMs,
  );
  const elapsedMs = nowMs - attempt.startedAtMs;
  const withSaturation = routedContext.recordSaturation(
    context,
    request.service,
    elapsedMs / routed.route.targetLatencyMs,
  );
  const cachedParts = prefixCache.recordParts(
    withSaturation.cachedParts,
    attempt.upstreamId,
    routed.model,
    routed.call,
    nowMs,
  );
  const withFirstToken = routerState.updateUpstream(
    { ...current, routed: { ...withSaturation, cachedParts } },
    attempt.upstreamId,
    (upstream) => upstreamState.recordFirstToken(upstream, slowness, nowMs),
  );
  const evaluated = health.evaluateProbation(withFirstToken, attempt.upstreamId, slowness, nowMs);
  return health.evaluateUpstream(evaluated, attempt.upstreamId, nowMs);
};

/**
 * Records that an answer has begun, and removes the attempt's tokens from its upstream's prefill load, since prefill is
 * complete when the head arrives.
 */
const recordBegin = (
  current: routerState.RouterState,
  { request, attempt }: routedRetry.RoutedRequestAttempt,
  nowMs: number,
): routerState.RouterState =>
  routerState.setRequest(
    routerState.updateUpstream(
      routedCrashes.recordBegin(current, request, attempt, nowMs),
      attempt.upstreamId,
      (upstream) => ({
        ...upstream,
        prefillTokens: Math.max(0, upstream.prefillTokens - attempt.prefillTokens),
      }),
    ),
    {
      ...request,
      attempts: request.attempts.map((item) =>
        item.id === attempt.id ? { ...item, prefillTokens: 0, headAtMs: nowMs } : item,
      ),
    },
  );

/** Starts to forward an attempt's answer to the caller, and records the version that gave it. */
const forwardHead = (
  current: routerState.RouterState,
  target: routedRetry.RoutedRequestAttempt,
): transition.Transition => {
  const version = current.upstreams.get(target.attempt.upstreamId)?.host.version ?? null;
  const request = current.requests.get(target.request.id) ?? target.request;
  return transition.makeTransition(
    routerState.setRequest(current, {
      ...request,
      forwardedAttempt: target.attempt.id,
      // The rest of an answer that has begun may wait for capacity until the deadline.
      routed: { ...target.routed, version, queueUntilMs: request.deadlineAtMs },
    }),
    { type: 'forwardAnswer', requestId: request.id, attemptId: target.attempt.id },
  );
};

const describePool = (
  current: routerState.RouterState,
  { request, routed }: routedRetry.RoutedRequestAttempt,
  nowMs: number,
): modelChoice.PoolState => {
  const largest = routed.route.sizes.at(-1) ?? null;
  return {
    saturation: routedContext.getSaturation(current.routed, request.service),
    largestModelMs: answerTime.estimateStreamMs(current, request.service, largest, routed.call),
    remainingMs: request.deadlineAtMs - nowMs,
  };
};

/** Makes the log line of the decision on an answer that has a confidence score. */
const describeDecision = (
  { request, routed, attempt }: routedRetry.RoutedRequestAttempt,
  event: events.EventOf<'routedHeadArrived'>,
  better: string | null,
): effects.EffectOf<'log'> => ({
  type: 'log',
  message: better === null ? 'answer kept' : 'answer replaced',
  fields: {
    request: request.id,
    upstream: attempt.upstreamId,
    model: routed.model,
    better,
    confidence: event.head.confidence,
    tokensIn: routed.call.tokensIn,
    tokensOut: request.expectedTokens,
    elapsedMs: Math.round(event.nowMs - attempt.startedAtMs),
  },
});

/** Makes the log line of an upstream's error response. */
const describeFailure = (
  { request, attempt }: routedRetry.RoutedRequestAttempt,
  event: events.EventOf<'routedHeadArrived'>,
): effects.EffectOf<'log'> => ({
  type: 'log',
  message: 'upstream answered with a failure',
  fields: {
    request: request.id,
    upstream: attempt.upstreamId,
    status: event.head.status,
    sentCount: request.sentCount,
    elapsedMs: Math.round(event.nowMs - attempt.startedAtMs),
  },
});

/** Returns whether a request with this status is sent again if that is allowed; only a success can continue an answer that has begun. */
const isFailure = (request: requestState.RequestState, status: number): boolean =>
  status >=
  (request.forwardedAttempt === null
    ? routedState.FIRST_FAILURE_STATUS
    : routedState.FIRST_UNUSABLE_STATUS);

/**
 * Handles the head of an answer: retries a failure, sends a request with an answer of low confidence to a better
 * model, and otherwise forwards the answer.
 */
const handleHead = (
  current: routerState.RouterState,
  event: events.EventOf<'routedHeadArrived'>,
): transition.Transition => {
  const target = findAttempt(current, event);
  if (target === null) {
    return transition.makeTransition(current);
  }
  const { request, routed } = target;
  const withEvidence = versionEvidence.recordHead(current, target, event.head.status, event.nowMs);
  if (isFailure(request, event.head.status)) {
    return transition.composeTransition(
      transition.makeTransition(withEvidence, describeFailure(target, event)),
      (next) => routedRetry.retryFailedAnswer(next, target, event),
    );
  }
  const withHead = recordBegin(recordHead(withEvidence, target, event.nowMs), target, event.nowMs);
  const { routeIndex: index } = withHead.routed;
  const isFirstAnswer = request.forwardedAttempt === null && routed.call.lastEventId === null;
  const better =
    index === null || !isFirstAnswer
      ? null
      : modelChoice.pickBetterModel(
          index,
          request.service,
          routed,
          event.head.confidence,
          describePool(withHead, target, event.nowMs),
        );
  const replaced =
    better === null ? null : routedRetry.escalateModel(withHead, target, better, event);
  const decided = replaced ?? forwardHead(withHead, target);
  return event.head.confidence === null
    ? decided
    : transition.composeTransition(decided, (next) =>
        transition.makeTransition(
          next,
          describeDecision(target, event, replaced === null ? null : better),
        ),
      );
};

/** Weight of one stream in the average of an upstream's relative time between events. */
const EVENT_TIME_WEIGHT = 0.2;

/** Records the time between the events of a stream, relative to the model's typical time. */
const recordEventTimes = (
  current: routerState.RouterState,
  { request, routed, attempt }: routedRetry.RoutedRequestAttempt,
  event: events.EventOf<'routedAttemptEnded'>,
): routerState.RouterState => {
  if (event.events < 2) {
    return current;
  }
  const eventMs = Math.max(0.1, event.streamMs / (event.events - 1));
  const typicalMs = routedContext.getTypicalMs(
    current.routed,
    'eventTimes',
    request.service,
    routed.model,
  );
  const context = routedContext.recordTypicalMs(
    current.routed,
    'eventTimes',
    request.service,
    routed.model,
    eventMs,
  );
  return routerState.updateUpstream(
    { ...current, routed: context },
    attempt.upstreamId,
    (upstream) => ({
      ...upstream,
      eventSlowness: average.updateAverage(
        upstream.eventSlowness,
        typicalMs === null ? 1 : eventMs / typicalMs,
        EVENT_TIME_WEIGHT,
      ),
    }),
  );
};

/** Finishes a request whose answer was forwarded completely, and gives the free capacity to queued requests. */
const handleEnded = (
  current: routerState.RouterState,
  event: events.EventOf<'routedAttemptEnded'>,
): transition.Transition => {
  const target = findAttempt(current, event);
  if (target === null) {
    return transition.makeTransition(current);
  }
  const { request, attempt } = target;
  const withEvidence =
    event.events < 2
      ? current
      : versionEvidence.recordEvidence(
          current,
          target,
          event.streamMs / (event.events - 1),
          event.nowMs,
          'event',
        );
  const withEventTimes = recordEventTimes(withEvidence, target, event);
  const freed = routerState.updateUpstream(
    slots.releaseAttempt(withEventTimes, request.id, attempt, event.nowMs),
    attempt.upstreamId,
    (upstream) => ({ ...upstream, idleSinceMs: event.nowMs }),
  );
  const withThroughput = routerState.updateServiceState(
    freed,
    request.service,
    event.nowMs,
    (service) =>
      serviceState.recordFinished(
        service,
        request.expectedTokens,
        event.nowMs - attempt.startedAtMs,
        event.nowMs,
      ),
  );
  const finished: routerState.RouterState = {
    ...withThroughput,
    requests: withThroughput.requests.remove(request.id),
  };
  const effect: effects.EffectOf<'finishAnswer'> = {
    type: 'finishAnswer',
    requestId: request.id,
    pin: null,
    hasMovedSession: false,
  };
  const ended = transition.composeTransition(transition.makeTransition(finished, effect), (next) =>
    routedCrashes.recordEnd(next, request, attempt, event.nowMs),
  );
  return transition.composeTransition(ended, (next) =>
    dispatch.drainUpstream(next, attempt.upstreamId, event),
  );
};

/** Failures that count as evidence about the upstream's version. */
const EVIDENCE_FAILURES: ReadonlySet<events.RoutedFailure> = new Set([
  'broken',
  'silent',
  'garbage',
  'excessive',
]);

/** Recovers a failed attempt; the failure is evidence for a canary if the upstream's version may be the cause. */
const handleFailed = (
  current: routerState.RouterState,
  event: events.EventOf<'routedAttemptFailed'>,
): transition.Transition => {
  const target = findAttempt(current, event);
  if (target === null) {
    return transition.makeTransition(current);
  }
  const withEvidence = EVIDENCE_FAILURES.has(event.failure)
    ? versionEvidence.recordEvidence(current, target, null, event.nowMs)
    : current;
  const withBreak =
    event.failure === 'broken' && !event.isNotRun
      ? routedCrashes.recordBreak(withEvidence, target.request, target.attempt, event.nowMs)
      : withEvidence;
  return routedRetry.recoverAttempt(withBreak, target, event);
};

/**
 * Handles a pause of an answer that has begun: continues it on another upstream if one has capacity, and otherwise
 * keeps waiting for this one, unless it is unreachable.
 */
const handleSilent = (
  current: routerState.RouterState,
  event: events.EventOf<'routedAttemptSilent'>,
): transition.Transition => {
  const target = findAttempt(current, event);
  if (target === null) {
    return transition.makeTransition(current);
  }
  const { requestId, attemptId } = event;
  const isReachable = current.upstreams.get(target.attempt.upstreamId)?.isReachable === true;
  const withEvidence = versionEvidence.recordEvidence(current, target, null, event.nowMs);
  if (isReachable && !routedRetry.canMoveElsewhere(withEvidence, target, event)) {
    return transition.makeTransition(routedRetry.recordSilence(withEvidence, target, event.nowMs));
  }
  const cancelled = transition.makeTransition(withEvidence, {
    type: 'cancelAttempt',
    requestId,
    attemptId,
  });
  return transition.composeTransition(cancelled, (next) =>
    routedRetry.recoverAttempt(next, target, {
      ...event,
      type: 'routedAttemptFailed',
      failure: 'silent',
      isUnsent: false,
      isNotRun: false,
    }),
  );
};

/** Lists the attempts of routed requests on an upstream. */
const listAttempts = (
  current: routerState.RouterState,
  upstreamId: string,
): readonly routedRetry.RoutedRequestAttempt[] =>
  current.requests
    .valueSeq()
    .toArray()
    .flatMap((request) =>
      request.attempts
        .filter((attempt) => attempt.upstreamId === upstreamId)
        .map((attempt) => findAttempt(current, { requestId: request.id, attemptId: attempt.id })),
    )
    .filter((target) => target !== null);

/**
 * Records an upstream's reachability; moves attempts off an unreachable one and queued requests to a reachable one.
 * One that refuses new connections still answers on those that are open.
 */
const handleReachabilityObserved = (
  current: routerState.RouterState,
  event: events.EventOf<'reachabilityObserved'>,
): transition.Transition => {
  const { upstreamId, isReachable, isRefused = false } = event;
  const marked = coldStart.recordReachability(current, event, event);
  const updated = transition.makeTransition(
    routerState.updateUpstream(marked.state, upstreamId, (upstream) => ({
      ...upstream,
      isReachable,
    })),
    ...marked.effects,
    {
      type: 'log',
      message: 'upstream reachability changed',
      fields: { upstream: upstreamId, isReachable, isRefused },
    },
  );
  return isReachable
    ? transition.composeTransition(updated, (next) =>
        dispatch.drainUpstream(next, upstreamId, event),
      )
    : listAttempts(current, upstreamId).reduce(
        (done, target) =>
          transition.composeTransition(done, (next) =>
            isRefused
              ? routedRetry.rerouteUnsent(next, target)
              : routedRetry.rerouteAttempt(next, target, event),
          ),
        updated,
      );
};

/** Handlers of the answers of routed requests. */
export const HANDLERS = {
  routedHeadArrived: handleHead,
  routedAttemptEnded: handleEnded,
  routedAttemptFailed: handleFailed,
  routedAttemptSilent: handleSilent,
  reachabilityObserved: handleReachabilityObserved,
} as const;

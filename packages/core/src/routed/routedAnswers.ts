import * as average from '../average.js';
import * as dispatch from '../dispatch.js';
import type * as effects from '../effects.js';
import type * as events from '../events.js';
import * as health from '../health.js';
import * as serviceState from '../serviceState.js';
import * as requestAttempt from '../requestAttempt.js';
import * as quarantine from '../quarantine.js';
import * as routerState from '../routerState.js';
import * as slots from '../slots.js';
import * as transition from '../transition.js';
import * as upstreamState from '../upstreamState.js';
import * as modelChoice from './modelChoice.js';
import * as prefixCache from './prefixCache.js';
import * as routedContext from './routedContext.js';
import * as routedPlacement from './routedPlacement.js';
import * as routedRetry from './routedRetry.js';
import * as routedState from './routedState.js';
import * as canaryState from './canaryState.js';

/** Finds the routed attempt an event speaks of. */
const findAttempt = (
  current: routerState.RouterState,
  event: { readonly requestId: string; readonly attemptId: number },
): routedRetry.RoutedRequestAttempt | null => {
  const located = requestAttempt.findAttempt(current, event);
  const relay = located?.request.routed ?? null;
  return located === null || relay === null ? null : { ...located, routed: relay };
};

/** Counts an answer or a failure as evidence in a roll-out of its service. */
const recordEvidence = (
  current: routerState.RouterState,
  { request, routed: relay, attempt }: routedRetry.RoutedRequestAttempt,
  elapsedMs: number | null,
  nowMs: number,
): routerState.RouterState => {
  const trial = current.routed.canaries.get(request.service);
  const version = current.upstreams.get(attempt.upstreamId)?.host.version;
  if (trial === undefined || trial.stage !== 'running' || version === undefined) {
    return current;
  }
  const kind = `${relay.route.name}|${relay.model ?? ''}`;
  const answer = { kind, isNew: version === trial.order.to, elapsedMs };
  const counted = canaryState.recordAnswer(trial, current.self.routerId, answer, nowMs);
  const trials = current.routed.canaries.set(request.service, canaryState.evaluateCanary(counted));
  return { ...current, routed: { ...current.routed, canaries: trials } };
};

const recordHead = (
  current: routerState.RouterState,
  { request, routed: relay, attempt }: routedRetry.RoutedRequestAttempt,
  nowMs: number,
): routerState.RouterState => {
  const units = 1 + attempt.prefillTokens / routedContext.TOKENS_PER_UNIT;
  const unitMs = (nowMs - attempt.startedAtMs) / units;
  const typicalMs = routedContext.getTypicalMs(
    current.routed,
    'headTimes',
    request.service,
    relay.model,
  );
  const slowness = typicalMs === null ? 1 : unitMs / Math.max(1, typicalMs);
  const context = routedContext.recordTypical(
    current.routed,
    'headTimes',
    request.service,
    relay.model,
    unitMs,
  );
  const elapsedMs = nowMs - attempt.startedAtMs;
  const crowded = routedContext.recordSaturation(
    context,
    request.service,
    elapsedMs / relay.route.targetLatencyMs,
  );
  const parts = prefixCache.recordParts(
    crowded.cachedParts,
    attempt.upstreamId,
    relay.model,
    relay.call,
    nowMs,
  );
  const timed = routerState.updateUpstream(
    { ...current, routed: { ...crowded, cachedParts: parts } },
    attempt.upstreamId,
    (known) => upstreamState.recordFirstToken(known, slowness, nowMs),
  );
  const returned = health.evaluateProbation(timed, attempt.upstreamId, slowness, nowMs);
  return health.evaluateUpstream(returned, attempt.upstreamId, nowMs);
};

/** An attempt that has its head no longer waits to read its prompt. */
const clearPrefill = (
  current: routerState.RouterState,
  { request, attempt }: routedRetry.RoutedRequestAttempt,
): routerState.RouterState =>
  routerState.setRequest(
    routerState.updateUpstream(current, attempt.upstreamId, (known) => ({
      ...known,
      prefillTokens: Math.max(0, known.prefillTokens - attempt.prefillTokens),
    })),
    {
      ...request,
      attempts: request.attempts.map((item) =>
        item.id === attempt.id ? { ...item, prefillTokens: 0 } : item,
      ),
    },
  );

const forwardHead = (
  current: routerState.RouterState,
  located: routedRetry.RoutedRequestAttempt,
): transition.Transition => {
  const version = current.upstreams.get(located.attempt.upstreamId)?.host.version ?? null;
  const request = current.requests.get(located.request.id) ?? located.request;
  return transition.makeTransition(
    routerState.setRequest(current, {
      ...request,
      forwardedAttempt: located.attempt.id,
      routed: { ...located.routed, version },
    }),
    { type: 'forwardAnswer', requestId: request.id, attemptId: located.attempt.id },
  );
};

const describePool = (
  current: routerState.RouterState,
  { request, routed: relay }: routedRetry.RoutedRequestAttempt,
  nowMs: number,
): modelChoice.PoolState => {
  const largest = relay.route.sizes.at(-1) ?? null;
  return {
    saturation: routedContext.getSaturation(current.routed, request.service),
    largestModelMs: routedPlacement.estimateStreamMs(current, request.service, largest, relay.call),
    remainingMs: request.deadlineAtMs - nowMs,
  };
};

const describeDecision = (
  { request, routed: relay, attempt }: routedRetry.RoutedRequestAttempt,
  event: events.EventOf<'routedHeadArrived'>,
  better: string | null,
): effects.EffectOf<'log'> => ({
  type: 'log',
  message: better === null ? 'answer kept' : 'answer replaced',
  fields: {
    request: request.id,
    upstream: attempt.upstreamId,
    model: relay.model,
    better,
    confidence: event.head.confidence,
    tokensIn: relay.call.tokensIn,
    tokensOut: request.expectedTokens,
    elapsedMs: Math.round(event.nowMs - attempt.startedAtMs),
  },
});

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

const handleHead = (
  current: routerState.RouterState,
  event: events.EventOf<'routedHeadArrived'>,
): transition.Transition => {
  const located = findAttempt(current, event);
  if (located === null) {
    return transition.makeTransition(current);
  }
  const { request, routed: relay, attempt } = located;
  const elapsedMs = event.nowMs - attempt.startedAtMs;
  if (event.head.status >= routedState.FIRST_FAILURE_STATUS) {
    const counted = recordEvidence(current, located, null, event.nowMs);
    return transition.composeTransition(
      transition.makeTransition(counted, describeFailure(located, event)),
      (next) => routedRetry.retryFailedAnswer(next, located, event),
    );
  }
  const counted = recordEvidence(current, located, elapsedMs, event.nowMs);
  const timed = clearPrefill(recordHead(counted, located, event.nowMs), located);
  const { routeIndex: view } = timed.routed;
  const isFirstPiece = request.forwardedAttempt === null && relay.call.lastEventId === null;
  const better =
    view === null || !isFirstPiece
      ? null
      : modelChoice.pickBetterModel(
          view,
          request.service,
          relay,
          event.head.confidence,
          describePool(timed, located, event.nowMs),
        );
  const replaced =
    better === null ? null : routedRetry.escalateModel(timed, located, better, event);
  const decided = replaced ?? forwardHead(timed, located);
  return event.head.confidence === null
    ? decided
    : transition.composeTransition(decided, (next) =>
        transition.makeTransition(
          next,
          describeDecision(located, event, replaced === null ? null : better),
        ),
      );
};

/** Weight of one stream in an upstream's relative pace. */
const EVENT_TIME_WEIGHT = 0.2;

/** Learns how fast an upstream's streams go on, relative to others of the same model. */
const recordEventTimes = (
  current: routerState.RouterState,
  { request, routed: relay, attempt }: routedRetry.RoutedRequestAttempt,
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
    relay.model,
  );
  const context = routedContext.recordTypical(
    current.routed,
    'eventTimes',
    request.service,
    relay.model,
    eventMs,
  );
  return routerState.updateUpstream(
    { ...current, routed: context },
    attempt.upstreamId,
    (known) => ({
      ...known,
      eventSlowness: average.updateAverage(
        known.eventSlowness,
        typicalMs === null ? 1 : eventMs / typicalMs,
        EVENT_TIME_WEIGHT,
      ),
    }),
  );
};

const handleEnded = (
  current: routerState.RouterState,
  event: events.EventOf<'routedAttemptEnded'>,
): transition.Transition => {
  const located = findAttempt(current, event);
  if (located === null) {
    return transition.makeTransition(current);
  }
  const { request, attempt } = located;
  const paced = recordEventTimes(current, located, event);
  const freed = slots.releaseAttempt(paced, request.id, attempt, event.nowMs);
  const timed = routerState.updateServiceState(freed, request.service, event.nowMs, (lane) =>
    serviceState.recordFinished(
      lane,
      request.expectedTokens,
      event.nowMs - attempt.startedAtMs,
      event.nowMs,
    ),
  );
  const finished: routerState.RouterState = {
    ...timed,
    requests: timed.requests.remove(request.id),
    quarantine: quarantine.clearSuspicion(timed.quarantine, request.shape.fingerprint),
  };
  const effect: effects.EffectOf<'finishAnswer'> = {
    type: 'finishAnswer',
    requestId: request.id,
    pin: null,
    hasMovedSession: false,
  };
  return transition.composeTransition(transition.makeTransition(finished, effect), (next) =>
    dispatch.drainUpstream(next, attempt.upstreamId, event),
  );
};

/** Failures that say something about the upstream's version. */
const EVIDENCE_FAILURES: ReadonlySet<events.RoutedFailure> = new Set([
  'broken',
  'silent',
  'garbage',
]);

const handleFailed = (
  current: routerState.RouterState,
  event: events.EventOf<'routedAttemptFailed'>,
): transition.Transition => {
  const located = findAttempt(current, event);
  if (located === null) {
    return transition.makeTransition(current);
  }
  const counted = EVIDENCE_FAILURES.has(event.failure)
    ? recordEvidence(current, located, null, event.nowMs)
    : current;
  return routedRetry.recoverAttempt(counted, located, event);
};

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
    .filter((located) => located !== null);

const handleReachabilityObserved = (
  current: routerState.RouterState,
  event: events.EventOf<'reachabilityObserved'>,
): transition.Transition => {
  const { upstreamId, isReachable } = event;
  const noted = transition.makeTransition(
    routerState.updateUpstream(current, upstreamId, (known) => ({ ...known, isReachable })),
    { type: 'log', message: 'upstream reached', fields: { upstream: upstreamId, isReachable } },
  );
  return isReachable
    ? transition.composeTransition(noted, (next) => dispatch.drainUpstream(next, upstreamId, event))
    : listAttempts(current, upstreamId).reduce(
        (done, located) =>
          transition.composeTransition(done, (next) =>
            routedRetry.rerouteAttempt(next, located, event),
          ),
        noted,
      );
};

/** Handlers of the answers of routed requests. */
export const HANDLERS = {
  routedHeadArrived: handleHead,
  routedAttemptEnded: handleEnded,
  routedAttemptFailed: handleFailed,
  reachabilityObserved: handleReachabilityObserved,
} as const;

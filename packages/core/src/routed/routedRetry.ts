import type * as shared from '@jayrock/shared';
import * as waitingRequests from '../admission/waitingRequests.js';
import * as dispatch from '../dispatch.js';
import * as evacuatedPlacement from '../evacuations/evacuatedPlacement.js';
import * as evacuatedZones from '../evacuations/evacuatedZones.js';
import type * as events from '../events.js';
import * as health from '../health.js';
import * as memberTable from '../membership/memberTable.js';
import * as brittleUpstreams from '../notices/brittleUpstreams.js';
import * as upstreamRest from '../notices/upstreamRest.js';
import * as refusal from '../refusal.js';
import type * as requestAttempt from '../requestAttempt.js';
import type * as requestState from '../requestState.js';
import * as routerState from '../routerState.js';
import * as slots from '../slots.js';
import * as transition from '../transition.js';
import type * as upstreamState from '../upstreamState.js';
import * as overdueSend from './overdueSend.js';
import * as routedContext from './routedContext.js';
import * as routedExpiry from './routedExpiry.js';
import * as routedRefusal from './routedRefusal.js';
import * as routedResolve from './routedResolve.js';
import type * as routedState from './routedState.js';
import * as routedSend from './routedSend.js';
import * as sendBudget from './sendBudget.js';

/** A routed request with one of its attempts. */
export interface RoutedRequestAttempt extends requestAttempt.RequestAttempt {
  readonly routed: routedState.RoutedState;
}

/** Remaining time at or below which a request is not sent again, in milliseconds. */
const MIN_REMAINING_MS = 30;

const countRouters = (current: routerState.RouterState): number =>
  memberTable.listActiveMembers(current.members).length + 1;

/** Returns whether the route's limit on attempts, the deadline and the fleet's send budget allow one more send. */
const canSendAgain = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  routed: routedState.RoutedState,
  nowMs: number,
): boolean =>
  request.sentCount < routed.route.maxAttempts &&
  request.deadlineAtMs - nowMs > MIN_REMAINING_MS &&
  sendBudget.hasRepeatBudget(
    routedContext.getSendWindow(current.routed, request.service),
    current.routed.settings.repeats,
    countRouters(current),
    nowMs,
  );

/** Returns whether an attempt that has not failed, or has an answer, may be given up for one more send. */
const canMove = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  routed: routedState.RoutedState,
  nowMs: number,
): boolean =>
  canSendAgain(current, request, routed, nowMs) &&
  !evacuatedZones.isServiceEvacuated(current, request.service) &&
  routedResolve.resolveRequest(current, request).ok;

/** Places a request by the table in force in its remaining time, and arms its timeout anew if that has changed. */
export const placeWithin = (
  current: routerState.RouterState,
  former: requestState.RequestState,
  request: requestState.RequestState,
  stamp: events.Stamp,
  place: typeof dispatch.placeRequest,
): transition.Transition => {
  if (request.deadlineAtMs <= stamp.nowMs) {
    return routedRefusal.endUnanswered(current, request, 'deadlineExceeded', stamp);
  }
  const placed = place(routerState.setRequest(current, request), request, stamp);
  return transition.composeTransition(placed, (next) =>
    request.deadlineAtMs !== former.deadlineAtMs && next.requests.has(request.id)
      ? routedExpiry.scheduleTimeout(next, request, stamp.nowMs)
      : transition.makeTransition(next),
  );
};

/** Places a request that was sent before as the table in force says, if that table allows one more send as well. */
export const placeAgain = (
  current: routerState.RouterState,
  former: requestState.RequestState,
  request: requestState.RequestState,
  stamp: events.Stamp,
): transition.Transition => {
  const { routed } = request;
  const canRepeat =
    request === former ||
    ((request.isRepeatable || routedRefusal.countPossibleExecutions(request) === 0) &&
      routed !== null &&
      canSendAgain(current, request, routed, stamp.nowMs));
  return canRepeat
    ? placeWithin(current, former, request, stamp, evacuatedPlacement.placeRequest)
    : routedRefusal.endUnanswered(current, request, 'upstreamFailed', stamp);
};

/** Sends a request again where the table in force leads, or queues it until an upstream has capacity. */
const sendAgain = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  stamp: events.Stamp,
): transition.Transition => {
  const again: requestState.RequestState = {
    ...request,
    retryCount: request.retryCount + 1,
    phase: 'queued',
  };
  const resolved = routedResolve.resolveRequest(current, again);
  return resolved.ok
    ? placeAgain(current, again, resolved.value, stamp)
    : routedRefusal.endUnserved(current, again, resolved.error);
};

/** Cancels an attempt and sends its request again. */
const moveAttempt = (
  current: routerState.RouterState,
  attempt: requestState.Attempt,
  requestId: string,
  stamp: events.Stamp,
): transition.Transition => {
  const cancelled = slots.cancelAttempt(current, requestId, attempt, stamp);
  return transition.composeTransition(cancelled, (next) => {
    const latest = next.requests.get(requestId);
    return latest === undefined ? transition.makeTransition(next) : sendAgain(next, latest, stamp);
  });
};

/** Drops an answer of low confidence and sends the request to a better model; null if that is impossible now. */
export const escalateModel = (
  current: routerState.RouterState,
  { request, routed, attempt }: RoutedRequestAttempt,
  model: string,
  stamp: events.Stamp,
): transition.Transition | null => {
  const resolved = routedResolve.resolveRequest(current, request);
  // Its model was chosen for the route as it was, so an answer is kept once that has changed.
  if (
    !canSendAgain(current, request, routed, stamp.nowMs) ||
    waitingRequests.isAwaited(current, request, stamp.nowMs) ||
    !resolved.ok ||
    resolved.value !== request
  ) {
    return null;
  }
  const escalated: requestState.RequestState = {
    ...(current.requests.get(request.id) ?? request),
    routed: { ...routed, model },
    escalationCount: request.escalationCount + 1,
    triedUpstreams: [],
  };
  return dispatch.findUpstream(current, escalated, stamp) === null
    ? null
    : moveAttempt(routerState.setRequest(current, escalated), attempt, request.id, stamp);
};

/** Applies a failure to an upstream's state, and evaluates its health. */
const recordUpstreamFailure = (
  current: routerState.RouterState,
  id: string,
  nowMs: number,
  change: (upstream: upstreamState.UpstreamState) => upstreamState.UpstreamState,
): routerState.RouterState =>
  health.evaluateUpstream(routerState.updateUpstream(current, id, change), id, nowMs);

const countFailure = (upstream: upstreamState.UpstreamState): upstreamState.UpstreamState => ({
  ...upstream,
  consecutiveFailures: upstream.consecutiveFailures + 1,
});

/**
 * Marks an upstream that rejects work as full; this overrides its last load report. One that asks for a pause says itself
 * when it has room again.
 */
const markFull =
  (nowMs: number) =>
  (upstream: upstreamState.UpstreamState): upstreamState.UpstreamState =>
    upstreamRest.isResting(upstream.rest, nowMs)
      ? upstream
      : {
          ...upstream,
          externalLoad: Math.max(
            upstream.externalLoad,
            (upstream.host.slots ?? upstream.slots) - upstream.inFlight,
          ),
          reportedAtMs: nowMs,
        };

/** Marks an upstream as leaving: another one now has its address, which the host list does not show yet. */
const markLeaving = (upstream: upstreamState.UpstreamState): upstreamState.UpstreamState => ({
  ...upstream,
  host: { ...upstream.host, state: 'leaving' },
});

/** Effect of each failure on the state of the upstream. */
const UPSTREAM_UPDATES: Readonly<
  Record<
    events.RoutedFailure,
    (nowMs: number) => (upstream: upstreamState.UpstreamState) => upstreamState.UpstreamState
  >
> = {
  unreachable: () => countFailure,
  broken: () => countFailure,
  silent: () => countFailure,
  garbage: () => (upstream) => upstream,
  excessive: () => countFailure,
  turnedAway: markFull,
  misdirected: () => markLeaving,
  overdue: () => (upstream) => upstream,
};

/** Aborts an answer that has begun and that no upstream can continue; the caller sees that it is incomplete. */
const abortAnswer = (
  current: routerState.RouterState,
  { request, attempt }: RoutedRequestAttempt,
  stamp: events.Stamp,
): transition.Transition => {
  const cancelled = slots.cancelAttempt(current, request.id, attempt, stamp);
  return transition.composeTransition(cancelled, (next) =>
    refusal.refuseRequest(next, next.requests.get(request.id) ?? request, 'answerIncomplete', null),
  );
};

/**
 * Handles a complete error response of an upstream: sends the request again if that is allowed. Otherwise it
 * forwards the response, or aborts an answer that has already begun.
 */
export const retryFailedAnswer = (
  current: routerState.RouterState,
  { request, routed, attempt }: RoutedRequestAttempt,
  event: events.EventOf<'routedHeadArrived'>,
): transition.Transition => {
  const updated = recordUpstreamFailure(current, attempt.upstreamId, event.nowMs, countFailure);
  const latest = updated.requests.get(request.id) ?? request;
  const hasBegun = request.forwardedAttempt !== null;
  if (!request.isRepeatable || !canMove(updated, request, routed, event.nowMs)) {
    return hasBegun
      ? abortAnswer(updated, { request: latest, routed, attempt }, event)
      : transition.makeTransition(
          routerState.setRequest(updated, { ...latest, forwardedAttempt: attempt.id }),
          {
            type: 'forwardAnswer',
            requestId: request.id,
            attemptId: attempt.id,
          },
        );
  }
  return moveAttempt(updated, attempt, request.id, event);
};

/** Error code for the caller if a request ends with this failure. */
const FAILURE_CODES: Readonly<Record<events.RoutedFailure, shared.errorCodes.ErrorCode>> = {
  unreachable: 'upstreamFailed',
  broken: 'upstreamFailed',
  silent: 'deadlineExceeded',
  garbage: 'upstreamGarbage',
  excessive: 'upstreamGarbage',
  // Used only if an earlier send may have been executed; otherwise the request is refused as not run.
  turnedAway: 'upstreamFailed',
  misdirected: 'upstreamFailed',
  overdue: 'deadlineExceeded',
};

/** Sends a request again if that is safe and allowed; otherwise ends it without an answer. */
const recoverRequest = (
  current: routerState.RouterState,
  requestId: string,
  event: events.EventOf<'routedAttemptFailed'>,
): transition.Transition => {
  const request = current.requests.get(requestId);
  const routed = request?.routed ?? null;
  if (request === undefined || routed === null) {
    return transition.makeTransition(current);
  }
  if (!overdueSend.isKeyHeld(current, request)) {
    return routedRefusal.countPossibleExecutions(request) === 0
      ? refusal.refuseRequest(current, request, 'unauthorized', null)
      : refusal.refuseRequest(current, request, FAILURE_CODES[event.failure], null);
  }
  const canRepeat = request.isRepeatable || routedRefusal.countPossibleExecutions(request) === 0;
  return canRepeat && canSendAgain(current, request, routed, event.nowMs)
    ? sendAgain(current, request, event)
    : routedRefusal.endUnanswered(current, request, FAILURE_CODES[event.failure], event);
};

/** Returns whether the rest of an answer can be sent to another upstream now; true if the answer has not begun. */
const hasPlaceForRest = (
  current: routerState.RouterState,
  { request, attempt }: RoutedRequestAttempt,
  stamp: events.Stamp,
): boolean => {
  const upstreamId =
    request.forwardedAttempt === null ? null : dispatch.findUpstream(current, request, stamp);
  return (
    request.forwardedAttempt === null || (upstreamId !== null && upstreamId !== attempt.upstreamId)
  );
};

/** Moves an attempt away from its upstream if nothing of it was sent. */
export const rerouteUnsent = (
  current: routerState.RouterState,
  { request, attempt }: RoutedRequestAttempt,
): transition.Transition =>
  transition.makeTransition(current, {
    type: 'dropUnsent',
    requestId: request.id,
    attemptId: attempt.id,
  });

/**
 * Moves an attempt away from an unreachable upstream if the request is repeatable or has not been sent yet. Any
 * other attempt keeps waiting for its answer, and so does one whose rest no other upstream can take now.
 */
export const rerouteAttempt = (
  current: routerState.RouterState,
  target: RoutedRequestAttempt,
  stamp: events.Stamp,
): transition.Transition => {
  const { request, routed, attempt } = target;
  return request.isRepeatable &&
    canMove(current, request, routed, stamp.nowMs) &&
    hasPlaceForRest(current, target, stamp)
    ? moveAttempt(current, attempt, request.id, stamp)
    : rerouteUnsent(current, target);
};

/** Releases a failed attempt, and sends its request again or ends it without an answer. */
export const recoverAttempt = (
  current: routerState.RouterState,
  target: RoutedRequestAttempt,
  event: events.EventOf<'routedAttemptFailed'>,
): transition.Transition => {
  const { request, routed, attempt } = target;
  const freed = slots.releaseAttempt(current, request.id, attempt, event.nowMs);
  const updated = recordUpstreamFailure(
    freed,
    attempt.upstreamId,
    event.nowMs,
    UPSTREAM_UPDATES[event.failure](event.nowMs),
  );
  const rested =
    event.failure === 'turnedAway'
      ? brittleUpstreams.startRestAfterTurnAway(updated, attempt.upstreamId, event)
      : updated;
  const latest = rested.requests.get(request.id) ?? request;
  const counted = event.isUnsent ? routedSend.withdrawSend(rested, latest, attempt) : rested;
  const progressed = routerState.setRequest(counted, {
    ...latest,
    sentCount: latest.sentCount - Number(event.isUnsent),
    routed: {
      ...routed,
      notRunCount: routed.notRunCount + Number(event.isNotRun && !event.isUnsent),
      excessiveUpstreams:
        event.failure === 'excessive'
          ? [...routed.excessiveUpstreams, attempt.upstreamId]
          : routed.excessiveUpstreams,
    },
  });
  const recovered = recoverRequest(progressed, request.id, event);
  return transition.composeTransition(recovered, (next) =>
    dispatch.drainUpstream(next, attempt.upstreamId, event),
  );
};

/** Returns whether an answer that pauses may be continued on an upstream that can do so now. */
export const canMoveElsewhere = (
  current: routerState.RouterState,
  { request, routed }: RoutedRequestAttempt,
  stamp: events.Stamp,
): boolean =>
  request.isRepeatable &&
  overdueSend.isKeyHeld(current, request) &&
  canSendAgain(current, request, routed, stamp.nowMs) &&
  dispatch.findUntriedUpstream(current, request, stamp) !== null;

/** Counts a pause of an answer as a failure of its upstream. */
export const recordSilence = (
  current: routerState.RouterState,
  { attempt }: RoutedRequestAttempt,
  nowMs: number,
): routerState.RouterState =>
  recordUpstreamFailure(current, attempt.upstreamId, nowMs, countFailure);

import type * as shared from '@jayrock/shared';
import * as dispatch from '../dispatch.js';
import type * as events from '../events.js';
import * as health from '../health.js';
import type * as requestAttempt from '../requestAttempt.js';
import * as memberTable from '../membership/memberTable.js';
import * as refusal from '../refusal.js';
import type * as requestState from '../requestState.js';
import * as routerState from '../routerState.js';
import * as slots from '../slots.js';
import * as transition from '../transition.js';
import type * as upstreamState from '../upstreamState.js';
import * as routedContext from './routedContext.js';
import * as routedRefusal from './routedRefusal.js';
import type * as routedState from './routedState.js';
import * as sendBudget from './sendBudget.js';

/** A routed request with the attempt an event speaks of. */
export interface RoutedRequestAttempt extends requestAttempt.RequestAttempt {
  readonly routed: routedState.RoutedState;
}

/** Time that must be left for a further send to make sense, in milliseconds. */
const MIN_LEFT_MS = 30;

const countRouters = (current: routerState.RouterState): number =>
  memberTable.listAlive(current.members).length + 1;

/** Tells whether one more send fits the request, its time and the fleet's budget. */
const canSendAgain = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  relay: routedState.RoutedState,
  nowMs: number,
): boolean =>
  request.sentCount < relay.route.maxAttempts &&
  request.deadlineAtMs - nowMs > MIN_LEFT_MS &&
  sendBudget.hasRepeatBudget(
    routedContext.getSendWindow(current.routed, request.service),
    current.routed.settings.repeats,
    countRouters(current),
    nowMs,
  );

/** Sends a request again, or queues it until an upstream has room. */
const sendAgain = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  stamp: events.Stamp,
): transition.Transition =>
  dispatch.placeRequest(
    routerState.setRequest(current, request),
    { ...request, retryCount: request.retryCount + 1, phase: 'queued' },
    stamp,
  );

/** Cancels an attempt and sends its request again. */
const moveAttempt = (
  current: routerState.RouterState,
  attempt: requestState.Attempt,
  requestId: string,
  stamp: events.Stamp,
): transition.Transition => {
  const cancelled = slots.cancelAttempt(current, requestId, attempt, stamp);
  return transition.composeTransition(cancelled, (next) => {
    const left = next.requests.get(requestId);
    return left === undefined ? transition.makeTransition(next) : sendAgain(next, left, stamp);
  });
};

/** Drops an answer whose model doubts it and asks a better one; null if that is not possible now. */
export const escalateModel = (
  current: routerState.RouterState,
  { request, routed: relay, attempt }: RoutedRequestAttempt,
  model: string,
  stamp: events.Stamp,
): transition.Transition | null => {
  if (!canSendAgain(current, request, relay, stamp.nowMs)) {
    return null;
  }
  const wanted: requestState.RequestState = {
    ...(current.requests.get(request.id) ?? request),
    routed: { ...relay, model },
    escalationCount: request.escalationCount + 1,
    triedUpstreams: [],
  };
  return dispatch.findUpstream(current, wanted, stamp) === null
    ? null
    : moveAttempt(routerState.setRequest(current, wanted), attempt, request.id, stamp);
};

const recordUpstreamFailure = (
  current: routerState.RouterState,
  id: string,
  nowMs: number,
  change: (known: upstreamState.UpstreamState) => upstreamState.UpstreamState,
): routerState.RouterState =>
  health.evaluateUpstream(routerState.updateUpstream(current, id, change), id, nowMs);

const countFailure = (known: upstreamState.UpstreamState): upstreamState.UpstreamState => ({
  ...known,
  consecutiveFailures: known.consecutiveFailures + 1,
});

/** An upstream that turns work away is full, whatever its last report said. */
const markFull =
  (nowMs: number) =>
  (known: upstreamState.UpstreamState): upstreamState.UpstreamState => ({
    ...known,
    externalLoad: Math.max(known.externalLoad, (known.host.slots ?? known.slots) - known.inFlight),
    reportedAtMs: nowMs,
  });

/** Another upstream has the address; the host list will follow. */
const markLeaving = (known: upstreamState.UpstreamState): upstreamState.UpstreamState => ({
  ...known,
  host: { ...known.host, state: 'leaving' },
});

const UPSTREAM_UPDATES: Readonly<
  Record<
    events.RoutedFailure,
    (nowMs: number) => (known: upstreamState.UpstreamState) => upstreamState.UpstreamState
  >
> = {
  unreachable: () => countFailure,
  broken: () => countFailure,
  silent: () => countFailure,
  garbage: () => (known) => known,
  turnedAway: markFull,
  misdirected: () => markLeaving,
};

/** Ends an answer that has begun and that no upstream goes on with, so that it looks cut off. */
const cutAnswer = (
  current: routerState.RouterState,
  { request, attempt }: RoutedRequestAttempt,
  stamp: events.Stamp,
): transition.Transition => {
  const cancelled = slots.cancelAttempt(current, request.id, attempt, stamp);
  return transition.composeTransition(cancelled, (next) =>
    refusal.refuseRequest(next, next.requests.get(request.id) ?? request, 'answerIncomplete', null),
  );
};

/** A whole failure of an upstream's own is passed on unless the request may run elsewhere. */
export const retryFailedAnswer = (
  current: routerState.RouterState,
  { request, routed: relay, attempt }: RoutedRequestAttempt,
  event: events.EventOf<'routedHeadArrived'>,
): transition.Transition => {
  const noted = recordUpstreamFailure(current, attempt.upstreamId, event.nowMs, countFailure);
  const held = noted.requests.get(request.id) ?? request;
  const hasBegun = request.forwardedAttempt !== null;
  if (!request.isRepeatable || !canSendAgain(noted, request, relay, event.nowMs)) {
    return hasBegun
      ? cutAnswer(noted, { request: held, routed: relay, attempt }, event)
      : transition.makeTransition(
          routerState.setRequest(noted, { ...held, forwardedAttempt: attempt.id }),
          {
            type: 'forwardAnswer',
            requestId: request.id,
            attemptId: attempt.id,
          },
        );
  }
  return moveAttempt(noted, attempt, request.id, event);
};

const FAILURE_CODES: Readonly<Record<events.RoutedFailure, shared.errorCodes.ErrorCode>> = {
  unreachable: 'upstreamFailed',
  broken: 'upstreamFailed',
  silent: 'deadlineExceeded',
  garbage: 'upstreamGarbage',
  // Told only if an earlier send may have run; else the request is refused as not run.
  turnedAway: 'upstreamFailed',
  misdirected: 'upstreamFailed',
};

const recoverRequest = (
  current: routerState.RouterState,
  requestId: string,
  event: events.EventOf<'routedAttemptFailed'>,
): transition.Transition => {
  const request = current.requests.get(requestId);
  const relay = request?.routed ?? null;
  if (request === undefined || relay === null) {
    return transition.makeTransition(current);
  }
  const mayRepeat = request.isRepeatable || routedRefusal.countPossibleExecutions(request) === 0;
  return mayRepeat && canSendAgain(current, request, relay, event.nowMs)
    ? sendAgain(current, request, event)
    : routedRefusal.endUnanswered(current, request, FAILURE_CODES[event.failure], event);
};

/**
 * Work on an upstream that cannot be reached goes on elsewhere if it may be repeated or was not sent yet; the
 * rest keeps waiting.
 */
export const rerouteAttempt = (
  current: routerState.RouterState,
  located: RoutedRequestAttempt,
  stamp: events.Stamp,
): transition.Transition => {
  const { request, routed: relay, attempt } = located;
  return request.isRepeatable && canSendAgain(current, request, relay, stamp.nowMs)
    ? moveAttempt(current, attempt, request.id, stamp)
    : transition.makeTransition(current, {
        type: 'dropUnsent',
        requestId: request.id,
        attemptId: attempt.id,
      });
};

/** Decides what becomes of a request whose attempt failed. */
export const recoverAttempt = (
  current: routerState.RouterState,
  located: RoutedRequestAttempt,
  event: events.EventOf<'routedAttemptFailed'>,
): transition.Transition => {
  const { request, routed: relay, attempt } = located;
  const freed = slots.releaseAttempt(current, request.id, attempt, event.nowMs);
  const noted = recordUpstreamFailure(
    freed,
    attempt.upstreamId,
    event.nowMs,
    UPSTREAM_UPDATES[event.failure](event.nowMs),
  );
  const held = noted.requests.get(request.id) ?? request;
  const progressed = routerState.setRequest(noted, {
    ...held,
    sentCount: held.sentCount - Number(event.isUnsent),
    routed: {
      ...relay,
      notRunCount: relay.notRunCount + Number(event.isNotRun && !event.isUnsent),
    },
  });
  const recovered = recoverRequest(progressed, request.id, event);
  return transition.composeTransition(recovered, (next) =>
    dispatch.drainUpstream(next, attempt.upstreamId, event),
  );
};

import * as dispatch from './dispatch.js';
import type * as events from './events.js';
import type * as requestState from './requestState.js';
import * as routerState from './routerState.js';
import * as transition from './transition.js';

/** Removes an attempt from its request and from the counters of its upstream and service. */
export const releaseAttempt = (
  current: routerState.RouterState,
  requestId: string,
  attempt: requestState.Attempt,
  nowMs: number,
): routerState.RouterState => {
  const request = current.requests.get(requestId);
  const held = request?.attempts.find((item) => item.id === attempt.id);
  if (request === undefined || held === undefined) {
    return current;
  }
  const freed = routerState.updateUpstream(current, held.upstreamId, (known) => ({
    ...known,
    inFlight: known.inFlight - 1,
    prefillTokens: Math.max(0, known.prefillTokens - held.prefillTokens),
    longInFlight: known.longInFlight - Number(request.isLong),
    suspectInFlight: known.suspectInFlight - Number(request.isSuspect),
    overdue: known.overdue - Number(held.isOverdue),
  }));
  const counted = routerState.updateServiceState(freed, request.service, nowMs, (known) => ({
    ...known,
    running: known.running - 1,
  }));
  return routerState.setRequest(counted, {
    ...request,
    attempts: request.attempts.filter((item) => item.id !== held.id),
  });
};

/** Cancels an attempt and gives its slot to queued requests. */
export const cancelAttempt = (
  current: routerState.RouterState,
  requestId: string,
  attempt: requestState.Attempt,
  stamp: events.Stamp,
): transition.Transition => {
  const freed = releaseAttempt(current, requestId, attempt, stamp.nowMs);
  const cancelled = transition.makeTransition(freed, {
    type: 'cancelAttempt',
    requestId,
    attemptId: attempt.id,
  });
  return transition.composeTransition(cancelled, (next) =>
    dispatch.drainUpstream(next, attempt.upstreamId, stamp),
  );
};

/** Cancels several attempts of one request. */
export const cancelAttempts = (
  current: routerState.RouterState,
  requestId: string,
  attempts: readonly requestState.Attempt[],
  stamp: events.Stamp,
): transition.Transition =>
  attempts.reduce(
    (done, attempt) =>
      transition.composeTransition(done, (next) => cancelAttempt(next, requestId, attempt, stamp)),
    transition.makeTransition(current),
  );

/** Marks an attempt as overdue: its hedge delay has passed without a token. */
export const markOverdue = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  attempt: requestState.Attempt,
): routerState.RouterState => {
  const marked = routerState.updateUpstream(current, attempt.upstreamId, (known) => ({
    ...known,
    overdue: known.overdue + Number(!attempt.isOverdue),
  }));
  return routerState.setRequest(marked, {
    ...request,
    attempts: request.attempts.map((item) =>
      item.id === attempt.id ? { ...item, isOverdue: true } : item,
    ),
  });
};

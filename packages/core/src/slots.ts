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
  const active = request?.attempts.find((item) => item.id === attempt.id);
  if (request === undefined || active === undefined) {
    return current;
  }
  const freed = routerState.updateUpstream(current, active.upstreamId, (upstream) => ({
    ...upstream,
    inFlight: upstream.inFlight - 1,
    prefillTokens: Math.max(0, upstream.prefillTokens - active.prefillTokens),
    longInFlight: upstream.longInFlight - Number(request.isLong),
    suspectInFlight: upstream.suspectInFlight - Number(request.isSuspect),
    overdue: upstream.overdue - Number(active.isOverdue),
  }));
  const counted = routerState.updateServiceState(freed, request.service, nowMs, (service) => ({
    ...service,
    attemptsInFlight: service.attemptsInFlight - 1,
  }));
  return routerState.setRequest(counted, {
    ...request,
    attempts: request.attempts.filter((item) => item.id !== active.id),
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
    (result, attempt) =>
      transition.composeTransition(result, (next) =>
        cancelAttempt(next, requestId, attempt, stamp),
      ),
    transition.makeTransition(current),
  );

/** Marks an attempt as overdue: its hedge delay has passed without a token. */
export const markOverdue = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  attempt: requestState.Attempt,
): routerState.RouterState => {
  const marked = routerState.updateUpstream(current, attempt.upstreamId, (upstream) => ({
    ...upstream,
    overdue: upstream.overdue + Number(!attempt.isOverdue),
  }));
  return routerState.setRequest(marked, {
    ...request,
    attempts: request.attempts.map((item) =>
      item.id === attempt.id ? { ...item, isOverdue: true } : item,
    ),
  });
};

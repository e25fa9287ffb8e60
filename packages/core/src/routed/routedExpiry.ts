import * as dispatch from '../dispatch.js';
import type * as events from '../events.js';
import type * as routerState from '../routerState.js';
import * as slots from '../slots.js';
import * as transition from '../transition.js';
import * as routedRefusal from './routedRefusal.js';

/** Ends a request whose deadline or route timeout has passed. */
export const expireRequest = (
  current: routerState.RouterState,
  requestId: string,
  stamp: events.Stamp,
): transition.Transition => {
  const request = current.requests.get(requestId);
  if (request === undefined) {
    return transition.makeTransition(current);
  }
  const dequeued = dispatch.removeFromQueue(current, request, stamp.nowMs);
  const cancelled = slots.cancelAttempts(dequeued, request.id, request.attempts, stamp);
  return transition.composeTransition(cancelled, (next) =>
    routedRefusal.endUnanswered(
      next,
      next.requests.get(requestId) ?? request,
      'deadlineExceeded',
      stamp,
    ),
  );
};

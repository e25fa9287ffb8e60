import * as dispatch from '../dispatch.js';
import type * as events from '../events.js';
import type * as routerState from '../routerState.js';
import * as slots from '../slots.js';
import * as step from '../step.js';
import * as relayRefusal from './relayRefusal.js';

/** Ends a request whose caller or route waits no longer. */
export const expireRequest = (
  current: routerState.RouterState,
  requestId: string,
  stamp: events.Stamp,
): step.Step => {
  const request = current.requests.get(requestId);
  if (request === undefined) {
    return step.makeStep(current);
  }
  const left = dispatch.leaveQueue(current, request, stamp.nowMs);
  const cancelled = slots.cancelAttempts(left, request.id, request.attempts, stamp);
  return step.chainStep(cancelled, (next) =>
    relayRefusal.endUnanswered(
      next,
      next.requests.get(requestId) ?? request,
      'deadlineExceeded',
      stamp,
    ),
  );
};

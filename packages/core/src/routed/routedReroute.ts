import * as waitingRequests from '../admission/waitingRequests.js';
import * as dispatch from '../dispatch.js';
import type * as events from '../events.js';
import type * as requestState from '../requestState.js';
import * as routerState from '../routerState.js';
import * as transition from '../transition.js';
import * as routedRefusal from './routedRefusal.js';
import * as routedResolve from './routedResolve.js';
import * as routedRetry from './routedRetry.js';

/** Places a request that was not sent yet as the table in force says. */
const placeUnsent = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  stamp: events.Stamp,
): transition.Transition =>
  routerState.listCandidates(current, request.service).length === 0
    ? routedRefusal.refuseNotRun(current, request, 'noUpstream', stamp)
    : dispatch.placeRequest(current, request, stamp);

const rerouteRequest = (
  current: routerState.RouterState,
  requestId: string,
  stamp: events.Stamp,
): transition.Transition => {
  const request = current.requests.get(requestId);
  // A request that was moved before may have given this one its place.
  if (request === undefined || request.routed === null || request.phase !== 'queued') {
    return transition.makeTransition(current);
  }
  const resolved = routedResolve.resolveRequest(current, request);
  if (resolved.ok && resolved.value === request) {
    return transition.makeTransition(current);
  }
  const dequeued = waitingRequests.removeFromQueue(current, request, stamp.nowMs);
  if (!resolved.ok) {
    return routedRefusal.endUnserved(dequeued, request, resolved.error);
  }
  return resolved.value.sentCount === 0
    ? routedRetry.placeWithin(dequeued, request, resolved.value, stamp, placeUnsent)
    : routedRetry.placeAgain(dequeued, request, resolved.value, stamp);
};

/** Moves the requests that wait to where the table in force leads, or ends those that it does not serve. */
export const rerouteWaiting = (
  current: routerState.RouterState,
  stamp: events.Stamp,
): transition.Transition =>
  current.requests
    .valueSeq()
    .filter(({ phase, routed }) => phase === 'queued' && routed !== null)
    .map(({ id }) => id)
    .toArray()
    .reduce(
      (result, id) =>
        transition.composeTransition(result, (next) => rerouteRequest(next, id, stamp)),
      transition.makeTransition(current),
    );

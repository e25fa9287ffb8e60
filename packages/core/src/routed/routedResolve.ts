import * as shared from '@jayrock/shared';
import type * as requestState from '../requestState.js';
import type * as routerState from '../routerState.js';
import * as modelChoice from './modelChoice.js';
import * as overdueSend from './overdueSend.js';
import * as routedTarget from './routedTarget.js';

const isEqual = (a: unknown, b: unknown): boolean =>
  a === b || JSON.stringify(a) === JSON.stringify(b);

/**
 * Resolves a request that waits to be sent on the table in force, or says why that table does not serve it. It stays at its
 * service and model if its route still leads there. The rest of an answer that has begun is not resolved again: no other service
 * can continue it.
 */
export const resolveRequest = (
  current: routerState.RouterState,
  request: requestState.RequestState,
): shared.outcome.Outcome<requestState.RequestState, routedTarget.NoMatch> => {
  const { routed } = request;
  const { routeIndex } = current.routed;
  if (routed === null || routeIndex === null || request.forwardedAttempt !== null) {
    return shared.outcome.makeOk(request);
  }
  const match = routedTarget.findMatch(routeIndex, routed.call);
  if (!match.ok) {
    return match;
  }
  const { route, holder } = match.value;
  if (holder !== null && !overdueSend.isKeyHeld(current, request)) {
    return shared.outcome.makeFailed('unauthorized');
  }
  const isKept = routedTarget.isTarget(route, request.service);
  const service = isKept
    ? request.service
    : routedTarget.pickService(route, shared.hash.hashToFraction(request.id));
  const target = routedTarget.makeTarget(routed.call, match.value, service, request.arrivedAtMs);
  if (isEqual(route, routed.route) && target.routed.priority === routed.priority) {
    return shared.outcome.makeOk(request);
  }
  const isModelKept = isKept && isEqual(route.sizes, routed.route.sizes);
  return shared.outcome.makeOk({
    ...request,
    ...target,
    // A request that was sent may be repeated only if its former route allows it as well.
    isRepeatable: target.isRepeatable && (request.isRepeatable || request.sentCount === 0),
    triedUpstreams: isKept ? request.triedUpstreams : [],
    routed: {
      ...routed,
      ...target.routed,
      model: isModelKept ? routed.model : modelChoice.pickFirstModel(route.sizes, routed.call),
    },
  });
};

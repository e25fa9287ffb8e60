import * as waitingRequests from './admission/waitingRequests.js';
import * as cascade from './cascade.js';
import * as dispatch from './dispatch.js';
import type * as events from './events.js';
import * as refusal from './refusal.js';
import type * as requestState from './requestState.js';
import * as routing from './routing.js';
import type * as routerState from './routerState.js';
import * as transition from './transition.js';
import * as versionChoice from './versionChoice.js';

/** Returns whether a request may still start on the version chosen for it. */
export const isStillAllowed = (
  current: routerState.RouterState,
  request: requestState.RequestState,
): boolean => {
  // A routed request was checked on arrival against the route table in force.
  if (request.routed !== null) {
    return true;
  }
  const plan = current.config?.plans.get(
    current.config.customers.get(request.customer)?.plan ?? '',
  );
  if (plan === undefined) {
    return false;
  }
  if (request.shape.kind === 'call') {
    return plan.services.includes(request.service);
  }
  const info = current.config?.versions.get(request.versionId);
  return (
    info !== undefined &&
    plan.models.includes(info.model) &&
    versionChoice.isUsable(current, info, request.shape.adapter)
  );
};

const moveRequest = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  stamp: events.Stamp,
): transition.Transition => {
  const customer = current.config?.customers.get(request.customer);
  const plan = current.config?.plans.get(customer?.plan ?? '');
  const models = request.shape.target === 'auto' ? (plan?.models ?? []) : [request.shape.target];
  const allowed = models.filter((model) => plan?.models.includes(model));
  const options = routing.listOptions(current, allowed, {
    requestId: request.id,
    shape: request.shape,
    pin: request.pin,
    session: null,
    nowMs: stamp.nowMs,
  });
  const [option] = cascade.chooseOptions(current.policy.cascade, options, {
    target: plan?.qualityTarget ?? 0,
    canEscalate: false,
    fraction: 1,
  });
  if (option === undefined) {
    return refusal.refuseRequest(current, request, 'modelNotAllowed', null);
  }
  const moved: requestState.RequestState = {
    ...request,
    service: option.info.service,
    versionId: option.info.id,
    priceMicros: option.info.costPerThousandTokensMicros,
    hasMovedSession: option.hasMoved,
  };
  return dispatch.placeRequest(current, moved, stamp);
};

/** A partly answered request keeps its version, so that one version generates the whole answer. */
const mayMove = (request: requestState.RequestState): boolean =>
  (request.phase === 'queued' || request.phase === 'backingOff') && request.tokensForwarded === 0;

/** Moves a request to another version, or refuses it, if its version can no longer start new work. */
const rerouteRequest = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  stamp: events.Stamp,
): transition.Transition => {
  if (isStillAllowed(current, request)) {
    return transition.makeTransition(current);
  }
  const dequeued = waitingRequests.removeFromQueue(current, request, stamp.nowMs);
  return mayMove(request) && request.shape.kind === 'chat'
    ? moveRequest(dequeued, request, stamp)
    : refusal.refuseRequest(dequeued, request, 'modelNotAllowed', null);
};

/** Starts a retry, on another version if its own can no longer start new work. */
export const retryRequest = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  stamp: events.Stamp,
): transition.Transition =>
  // The rest of a partly forwarded answer is not new work and stays with its version.
  request.tokensForwarded > 0 || isStillAllowed(current, request)
    ? dispatch.placeRequest(current, request, stamp)
    : rerouteRequest(current, request, stamp);

/** Moves or refuses requests that have not started and are no longer allowed on their version. */
export const rerouteWaiting = (
  current: routerState.RouterState,
  stamp: events.Stamp,
): transition.Transition =>
  current.requests
    .valueSeq()
    .filter((request) => ['queued', 'backingOff', 'claiming'].includes(request.phase))
    .toArray()
    .reduce(
      (result, request) =>
        transition.composeTransition(result, (next) => rerouteRequest(next, request, stamp)),
      transition.makeTransition(current),
    );

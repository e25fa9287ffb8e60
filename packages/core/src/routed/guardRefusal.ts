import type * as events from '../events.js';
import * as refusal from '../refusal.js';
import type * as requestState from '../requestState.js';
import type * as routerState from '../routerState.js';
import type * as transition from '../transition.js';
import * as guardState from './guardState.js';
import * as guardUpdates from './guardUpdates.js';
import * as routedRefusal from './routedRefusal.js';
import type * as routedState from './routedState.js';

/** Returns whether a call has a part, or is a request, that crashes upstreams. */
export const isHeldBack = (
  current: routerState.RouterState,
  call: routedState.RoutedCall,
): boolean => guardState.findGuard(current.routed.guard, call) !== undefined;

/** Records that a call was refused, so that its guard stays. */
const renewGuard = (
  current: routerState.RouterState,
  call: routedState.RoutedCall,
  nowMs: number,
): routerState.RouterState => {
  const guard = guardState.findGuard(current.routed.guard, call);
  return guard === undefined
    ? current
    : {
        ...current,
        routed: {
          ...current.routed,
          guard: guardUpdates.renewGuard(current.routed.guard, guard, nowMs),
        },
      };
};

/** Refuses a call that is held back, before it has a request state. */
export const refuseHeldBack = (
  current: routerState.RouterState,
  arrival: events.EventOf<'routedRequestArrived'>,
): transition.Transition =>
  routedRefusal.refuseHeldBack(renewGuard(current, arrival.call, arrival.nowMs), arrival);

/** Ends a request that is held back; it is reported as not run only if no send can have been executed. */
export const endHeldBack = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  nowMs: number,
): transition.Transition => {
  const renewed =
    request.routed === null ? current : renewGuard(current, request.routed.call, nowMs);
  return refusal.refuseRequest(
    renewed,
    request,
    routedRefusal.countPossibleExecutions(request) === 0 ? 'heldBack' : 'upstreamFailed',
    null,
  );
};

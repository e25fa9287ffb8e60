import type * as requestState from '../requestState.js';
import type * as routerState from '../routerState.js';
import * as guardRefusal from './guardRefusal.js';

/** Reason why a send that was decided is no longer due. */
export type OverdueReason = 'deadlinePassed' | 'keyWithdrawn' | 'heldBack' | 'upstreamLeft';

/** Returns whether the key of a request still belongs to the organisation for which it was admitted. */
export const isKeyHeld = (
  current: routerState.RouterState,
  request: requestState.RequestState,
): boolean => {
  const { routed } = request;
  if (routed === null || routed.route.isPublic) {
    return true;
  }
  const holder = current.routed.routeIndex?.holdersByKey.get(routed.call.key ?? '');
  return holder?.organisation === request.customer;
};

/** Returns why a request is no longer due on an upstream, or null if it is. */
export const detectOverdue = (
  current: routerState.RouterState,
  requestId: string,
  upstreamId: string,
  nowMs: number,
): OverdueReason | null => {
  const request = current.requests.get(requestId);
  if (request === undefined || nowMs >= request.deadlineAtMs) {
    return 'deadlinePassed';
  }
  if (!isKeyHeld(current, request)) {
    return 'keyWithdrawn';
  }
  if (request.routed !== null && guardRefusal.isHeldBack(current, request.routed.call)) {
    return 'heldBack';
  }
  return current.upstreams.get(upstreamId)?.host.state === 'live' ? null : 'upstreamLeft';
};

import * as evacuatedZones from '../evacuations/evacuatedZones.js';
import * as upstreamRest from '../notices/upstreamRest.js';
import * as rateLimit from '../rateLimits/rateLimit.js';
import type * as requestState from '../requestState.js';
import type * as routerState from '../routerState.js';
import type * as upstreamState from '../upstreamState.js';
import * as guardRefusal from './guardRefusal.js';
import * as routedTarget from './routedTarget.js';
import * as routeIndex from './routeIndex.js';

/** Reason why a send that was decided is no longer due. */
export type OverdueReason =
  | 'deadlinePassed'
  | 'keyWithdrawn'
  | 'routeMoved'
  | 'heldBack'
  | 'upstreamLeft'
  | 'zoneEvacuated'
  | 'upstreamRests'
  | 'rateLimited';

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

/** Returns whether the route of a request leads to its service; the rest of an answer that has begun stays there. */
const isRouteHeld = (
  current: routerState.RouterState,
  { routed, service, forwardedAttempt }: requestState.RequestState,
): boolean => {
  const { routeIndex: index } = current.routed;
  if (routed === null || index === null || forwardedAttempt !== null) {
    return true;
  }
  const route = routeIndex.findRoute(index, routed.call.host, routed.call.path);
  return route !== undefined && routedTarget.isTarget(route, service);
};

/** Returns whether a request may still be sent to an upstream that may have named a limit since it was placed. */
const isPermitted = (
  request: requestState.RequestState,
  { host, rateLimit: limit }: upstreamState.UpstreamState,
  nowMs: number,
): boolean =>
  !rateLimit.isLimited(limit) ||
  request.attempts.some(
    ({ upstreamId, permitEndsAtMs }) =>
      upstreamId === host.id && permitEndsAtMs !== null && permitEndsAtMs > nowMs,
  );

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
  if (!isRouteHeld(current, request)) {
    return 'routeMoved';
  }
  if (request.routed !== null && guardRefusal.isHeldBack(current, request.routed.call)) {
    return 'heldBack';
  }
  const upstream = current.upstreams.get(upstreamId);
  if (upstream?.host.state !== 'live') {
    return 'upstreamLeft';
  }
  if (!evacuatedZones.mayReceive(current, upstream)) {
    return 'zoneEvacuated';
  }
  if (upstreamRest.isResting(upstream.rest, nowMs)) {
    return 'upstreamRests';
  }
  return isPermitted(request, upstream, nowMs) ? null : 'rateLimited';
};

import * as shared from '@jayrock/shared';
import type * as requestState from '../requestState.js';
import * as prefixCache from './prefixCache.js';
import type * as routedState from './routedState.js';
import * as routeIndex from './routeIndex.js';

/** Route of a call and holder of its key, or null if the route is public. */
export interface RouteMatch {
  readonly route: shared.routeTable.Route;
  readonly holder: routeIndex.KeyHolder | null;
}

/** Why a table has no match for a call. */
export type NoMatch = 'noRoute' | 'unauthorized';

/** Part of a request's state that follows from the table. */
export type RequestTarget = Pick<
  requestState.RequestState,
  'customer' | 'shape' | 'service' | 'versionId' | 'classKey' | 'isRepeatable' | 'deadlineAtMs'
> & {
  readonly routed: Pick<routedState.RoutedState, 'route' | 'queueUntilMs' | 'priority'>;
};

/** Share of the target latency for which a request may wait in this router's queue. */
const QUEUE_SHARE = 0.5;

/** Finds the route of a call and the holder of its key in a table. */
export const findMatch = (
  index: routeIndex.RouteIndex,
  call: routedState.RoutedCall,
): shared.outcome.Outcome<RouteMatch, NoMatch> => {
  const route = routeIndex.findRoute(index, call.host, call.path);
  if (route === undefined) {
    return shared.outcome.makeFailed('noRoute');
  }
  if (route.isPublic) {
    return shared.outcome.makeOk({ route, holder: null });
  }
  const holder = call.key === null ? undefined : index.holdersByKey.get(call.key);
  return holder === undefined
    ? shared.outcome.makeFailed('unauthorized')
    : shared.outcome.makeOk({ route, holder });
};

/** Lists the targets of a route that get requests: those with a weight, or the first one if none has. */
const listTargets = (route: shared.routeTable.Route): shared.routeTable.Route['targets'] => {
  const weighted = route.targets.filter(({ weight }) => weight > 0);
  return weighted.length > 0 ? weighted : route.targets.slice(0, 1);
};

/** Returns whether a route leads to a service. */
export const isTarget = (route: shared.routeTable.Route, service: string): boolean =>
  listTargets(route).some((target) => target.service === service);

/** Picks a target service by the route's weights; `fraction` is in [0, 1). */
export const pickService = (route: shared.routeTable.Route, fraction: number): string => {
  const targets = listTargets(route);
  const total = targets.reduce((sum, target) => sum + target.weight, 0);
  let remaining = fraction * total;
  const found = targets.find((target) => {
    remaining -= target.weight;
    return remaining < 0;
  });
  return (found ?? targets[0])?.service ?? '';
};

/** Makes the shape of a routed request, which never names an adapter. */
const makeShape = (
  call: routedState.RoutedCall,
  route: shared.routeTable.Route,
): requestState.RequestShape => ({
  kind: 'call',
  target: route.name,
  adapter: null,
  path: call.path,
  streaming: route.kind === 'streaming',
  tokensIn: call.tokensIn,
  maxTokens: call.maxTokens,
  prefix: shared.hash.hashText(prefixCache.getSharedPartId(call) ?? ''),
  fingerprint: call.fingerprint,
});

/** Makes what follows from the table for a call that has arrived at a time in milliseconds and is for a target of its route. */
export const makeTarget = (
  call: routedState.RoutedCall,
  { route, holder }: RouteMatch,
  service: string,
  arrivedAtMs: number,
): RequestTarget => {
  const deadlineAtMs = arrivedAtMs + Math.min(route.timeoutMs, call.deadlineMs ?? route.timeoutMs);
  return {
    customer: holder?.organisation ?? '*',
    shape: makeShape(call, route),
    service,
    versionId: service,
    classKey: `route:${route.name}`,
    isRepeatable: route.kind === 'safe' || (route.kind === 'streaming' && route.isResumable),
    deadlineAtMs,
    routed: {
      route,
      queueUntilMs: Math.min(deadlineAtMs, arrivedAtMs + route.targetLatencyMs * QUEUE_SHARE),
      priority: holder?.priority ?? route.priority,
    },
  };
};

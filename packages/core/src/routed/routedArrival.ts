import * as shared from '@jayrock/shared';
import * as dispatch from '../dispatch.js';
import type * as events from '../events.js';
import * as random from '../random.js';
import * as requestState from '../requestState.js';
import * as routerState from '../routerState.js';
import * as transition from '../transition.js';
import * as guardRefusal from './guardRefusal.js';
import * as modelChoice from './modelChoice.js';
import * as prefixCache from './prefixCache.js';
import * as routedRefusal from './routedRefusal.js';
import * as routedState from './routedState.js';
import * as routeIndex from './routeIndex.js';

type Arrival = events.EventOf<'routedRequestArrived'>;

interface RouteMatch {
  readonly route: shared.routeTable.Route;
  readonly holder: routeIndex.KeyHolder | null;
}

type RouteLookup = shared.outcome.Outcome<RouteMatch, shared.errorCodes.ErrorCode>;

/** Share of the target latency for which a request may wait in this router's queue. */
const QUEUE_SHARE = 0.5;
/** Expected output length from which an answer counts as long, in tokens. */
const LONG_TOKENS = 400;

/**
 * Finds the route of a call and the holder of its key. A call is denied only if the table was confirmed recently;
 * otherwise it fails with `viewOutdated`, so that the caller retries.
 */
const resolveCaller = (current: routerState.RouterState, arrival: Arrival): RouteLookup => {
  const { routeIndex: index, settings } = current.routed;
  const { call, tableAgeMs } = arrival;
  if (index === null) {
    return shared.outcome.makeFailed('noConfiguration');
  }
  const isRecent = tableAgeMs <= settings.maxDenyAgeMs;
  const route = routeIndex.findRoute(index, call.host, call.path);
  if (route === undefined) {
    return shared.outcome.makeFailed(isRecent ? 'noRoute' : 'viewOutdated');
  }
  if (route.isPublic) {
    return shared.outcome.makeOk({ route, holder: null });
  }
  const holder = call.key === null ? undefined : index.holdersByKey.get(call.key);
  if (holder === undefined) {
    return shared.outcome.makeFailed(isRecent ? 'unauthorized' : 'viewOutdated');
  }
  return tableAgeMs <= settings.maxKeyAgeMs
    ? shared.outcome.makeOk({ route, holder })
    : shared.outcome.makeFailed('viewOutdated');
};

/** Picks a target service by the route's weights; `fraction` is in [0, 1). */
const pickService = (route: shared.routeTable.Route, fraction: number): string => {
  const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
  let remaining = fraction * total;
  const found = route.targets.find((target) => {
    remaining -= target.weight;
    return remaining < 0;
  });
  return (found ?? route.targets[0])?.service ?? '';
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

const makeRequest = (
  current: routerState.RouterState,
  arrival: Arrival,
  { route, holder }: RouteMatch,
): requestState.RequestState => {
  const { call } = arrival;
  const arrivedAtMs = arrival.nowMs - arrival.waitedMs;
  const deadlineAtMs = arrivedAtMs + Math.min(route.timeoutMs, call.deadlineMs ?? route.timeoutMs);
  const service = pickService(route, random.deriveFraction(arrival.random, 1));
  const tokensOut = routedState.estimateTokensOut(call);
  return {
    ...requestState.INITIAL_PROGRESS,
    id: arrival.requestId,
    customer: holder?.organisation ?? '*',
    plan: '',
    shape: makeShape(call, route),
    service,
    versionId: service,
    classKey: `route:${route.name}`,
    expectedTokens: tokensOut,
    isLong: tokensOut >= LONG_TOKENS,
    isRepeatable: route.kind === 'safe' || (route.kind === 'streaming' && route.isResumable),
    isSuspect: false,
    pin: null,
    hasMovedSession: false,
    arrivedAtMs,
    deadlineAtMs,
    priceMicros: 0,
    isBilled: false,
    routed: {
      call,
      route,
      queueUntilMs: Math.min(deadlineAtMs, arrivedAtMs + route.targetLatencyMs * QUEUE_SHARE),
      model: modelChoice.pickFirstModel(route.sizes, call),
      priority: holder?.priority ?? route.priority,
      version: null,
      notRunCount: 0,
      excessiveUpstreams: [],
    },
  };
};

/** Refuses or places an arrived request, and arms its timeout if it is still open. */
const handleArrived = (
  current: routerState.RouterState,
  arrival: Arrival,
): transition.Transition => {
  if (current.isStopping) {
    return routedRefusal.refuseCall(current, arrival, 'routerStopping');
  }
  const lookup = resolveCaller(current, arrival);
  if (!lookup.ok) {
    return routedRefusal.refuseCall(current, arrival, lookup.error);
  }
  if (guardRefusal.isHeldBack(current, arrival.call)) {
    return guardRefusal.refuseHeldBack(current, arrival);
  }
  const request = makeRequest(current, arrival, lookup.value);
  if (request.deadlineAtMs <= arrival.nowMs) {
    return routedRefusal.refuseNotRun(current, request, 'overloaded', arrival);
  }
  if (routerState.listCandidates(current, request.service).length === 0) {
    return routedRefusal.refuseNotRun(current, request, 'noUpstream', arrival);
  }
  const placed = dispatch.placeRequest(current, request, arrival);
  return transition.composeTransition(placed, (next) =>
    next.requests.has(request.id)
      ? transition.makeTransition(next, {
          type: 'armTimer',
          timer: { kind: 'routedTimeout', requestId: request.id },
          delayMs: Math.max(0, request.deadlineAtMs - arrival.nowMs),
        })
      : transition.makeTransition(next),
  );
};

/** Handlers of arrivals of routed requests. */
export const HANDLERS = { routedRequestArrived: handleArrived } as const;

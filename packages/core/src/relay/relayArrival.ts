import * as shared from '@jayrock/shared';
import * as dispatch from '../dispatch.js';
import type * as events from '../events.js';
import * as quarantine from '../quarantine.js';
import * as random from '../random.js';
import * as requestState from '../requestState.js';
import type * as routerState from '../routerState.js';
import * as step from '../step.js';
import * as modelChoice from './modelChoice.js';
import * as prefixMemory from './prefixMemory.js';
import * as relayPlacement from './relayPlacement.js';
import * as relayRefusal from './relayRefusal.js';
import * as relayState from './relayState.js';
import * as routeView from './routeView.js';

type Arrival = events.EventOf<'relayArrived'>;

interface Found {
  readonly route: shared.routeTable.Route;
  readonly holder: routeView.KeyHolder | null;
}

type Lookup = shared.outcome.Outcome<Found, shared.errorCodes.ErrorCode>;

/** Part of the target latency for which a request may wait here for room. */
const QUEUE_SHARE = 0.5;
/** Expected length from which an answer counts as long, in tokens. */
const LONG_TOKENS = 400;

/** Denies only what a recent table denies; with an old one the caller should ask again. */
const findCaller = (current: routerState.RouterState, arrival: Arrival): Lookup => {
  const { view, settings } = current.relay;
  const { call, viewAgeMs } = arrival;
  if (view === null) {
    return shared.outcome.makeFailed('noConfiguration');
  }
  const isRecent = viewAgeMs <= settings.maxDenyAgeMs;
  const route = routeView.findRoute(view, call.host, call.path);
  if (route === undefined) {
    return shared.outcome.makeFailed(isRecent ? 'noRoute' : 'viewOutdated');
  }
  if (route.isPublic) {
    return shared.outcome.makeOk({ route, holder: null });
  }
  const holder = call.key === null ? undefined : view.holdersByKey.get(call.key);
  if (holder === undefined) {
    return shared.outcome.makeFailed(isRecent ? 'unauthorized' : 'viewOutdated');
  }
  return viewAgeMs <= settings.maxKeyAgeMs
    ? shared.outcome.makeOk({ route, holder })
    : shared.outcome.makeFailed('viewOutdated');
};

/** Picks a service by the route's weights. */
const pickService = (route: shared.routeTable.Route, fraction: number): string => {
  const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
  let left = fraction * total;
  const found = route.targets.find((target) => {
    left -= target.weight;
    return left < 0;
  });
  return (found ?? route.targets[0])?.service ?? '';
};

const makeShape = (
  call: relayState.RelayCall,
  route: shared.routeTable.Route,
): requestState.RequestShape => ({
  kind: 'call',
  target: route.name,
  adapter: null,
  path: call.path,
  streaming: route.kind === 'streaming',
  tokensIn: call.tokensIn,
  maxTokens: call.maxTokens,
  prefix: shared.hash.hashText(prefixMemory.getSubject(call) ?? ''),
  fingerprint: call.fingerprint,
});

const makeRequest = (
  current: routerState.RouterState,
  arrival: Arrival,
  { route, holder }: Found,
): requestState.RequestState => {
  const { call, nowMs } = arrival;
  const deadlineAtMs = nowMs + Math.min(route.timeoutMs, call.deadlineMs ?? route.timeoutMs);
  const service = pickService(route, random.deriveFraction(arrival.random, 1));
  const tokensOut = relayState.estimateTokensOut(call);
  return {
    ...requestState.UNSTARTED,
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
    isSuspect: quarantine.isSuspect(current.quarantine, call.fingerprint, nowMs),
    pin: null,
    hasMovedSession: false,
    arrivedAtMs: nowMs,
    deadlineAtMs,
    priceMicros: 0,
    isBilled: false,
    relay: {
      call,
      route,
      queueUntilMs: Math.min(deadlineAtMs, nowMs + route.targetLatencyMs * QUEUE_SHARE),
      model: modelChoice.pickFirstModel(route.sizes, call),
      rank: holder?.priority ?? route.priority,
      version: null,
      notRunCount: 0,
    },
  };
};

const isHeldBack = (
  current: routerState.RouterState,
  fingerprint: string,
  nowMs: number,
): boolean =>
  quarantine.isQuarantined(current.quarantine, fingerprint, nowMs, quarantine.ROUTE_RULE);

const handleArrived = (current: routerState.RouterState, arrival: Arrival): step.Step => {
  const found = findCaller(current, arrival);
  if (!found.ok) {
    return relayRefusal.refuseCall(current, arrival, found.error);
  }
  const { fingerprint } = arrival.call;
  if (isHeldBack(current, fingerprint, arrival.nowMs)) {
    return relayRefusal.refuseCall(current, arrival, 'heldBack');
  }
  const request = makeRequest(current, arrival, found.value);
  if (relayPlacement.listUpstreams(current, request.service).length === 0) {
    return relayRefusal.refuseNotRun(current, request, 'noUpstream', arrival);
  }
  const placed = dispatch.placeRequest(current, request, arrival);
  return step.chainStep(placed, (next) =>
    next.requests.has(request.id)
      ? step.makeStep(next, {
          type: 'armTimer',
          timer: { kind: 'relayTimeout', requestId: request.id },
          delayMs: Math.max(0, request.deadlineAtMs - arrival.nowMs),
        })
      : step.makeStep(next),
  );
};

/** Handlers of arriving routed requests. */
export const HANDLERS = { relayArrived: handleArrived } as const;

import * as shared from '@jayrock/shared';
import * as dispatch from '../dispatch.js';
import * as evacuatedZones from '../evacuations/evacuatedZones.js';
import type * as events from '../events.js';
import * as random from '../random.js';
import * as requestState from '../requestState.js';
import * as routerState from '../routerState.js';
import * as transition from '../transition.js';
import * as guardRefusal from './guardRefusal.js';
import * as modelChoice from './modelChoice.js';
import * as routedExpiry from './routedExpiry.js';
import * as routedRefusal from './routedRefusal.js';
import * as routedState from './routedState.js';
import * as routedTarget from './routedTarget.js';

type Arrival = events.EventOf<'routedRequestArrived'>;

type RouteLookup = shared.outcome.Outcome<routedTarget.RouteMatch, shared.errorCodes.ErrorCode>;

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
  const match = routedTarget.findMatch(index, call);
  if (!match.ok) {
    return tableAgeMs <= settings.maxDenyAgeMs ? match : shared.outcome.makeFailed('viewOutdated');
  }
  return match.value.holder === null || tableAgeMs <= settings.maxKeyAgeMs
    ? match
    : shared.outcome.makeFailed('viewOutdated');
};

const makeRequest = (
  arrival: Arrival,
  match: routedTarget.RouteMatch,
): requestState.RequestState => {
  const { call } = arrival;
  const arrivedAtMs = arrival.nowMs - arrival.waitedMs;
  const service = routedTarget.pickService(match.route, random.deriveFraction(arrival.random, 1));
  const target = routedTarget.makeTarget(call, match, service, arrivedAtMs);
  const tokensOut = routedState.estimateTokensOut(call);
  return {
    ...requestState.INITIAL_PROGRESS,
    ...target,
    id: arrival.requestId,
    plan: '',
    expectedTokens: tokensOut,
    isLong: tokensOut >= LONG_TOKENS,
    isSuspect: false,
    pin: null,
    hasMovedSession: false,
    arrivedAtMs,
    priceMicros: 0,
    isBilled: false,
    routed: {
      ...target.routed,
      call,
      model: modelChoice.pickFirstModel(match.route.sizes, call),
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
  const request = makeRequest(arrival, lookup.value);
  if (request.deadlineAtMs <= arrival.nowMs) {
    return routedRefusal.refuseNotRun(current, request, 'overloaded', arrival);
  }
  if (
    routerState.listCandidates(current, request.service).length === 0 ||
    evacuatedZones.isServiceEvacuated(current, request.service)
  ) {
    return routedRefusal.refuseNotRun(current, request, 'noUpstream', arrival);
  }
  const placed = dispatch.placeRequest(current, request, arrival);
  return transition.composeTransition(placed, (next) =>
    next.requests.has(request.id)
      ? routedExpiry.scheduleTimeout(next, request, arrival.nowMs)
      : transition.makeTransition(next),
  );
};

/** Handlers of arrivals of routed requests. */
export const HANDLERS = { routedRequestArrived: handleArrived } as const;

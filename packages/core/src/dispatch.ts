import * as turnAway from './admission/turnAway.js';
import * as waitingRequests from './admission/waitingRequests.js';
import * as budget from './budget.js';
import type * as effects from './effects.js';
import type * as events from './events.js';
import * as serviceState from './serviceState.js';
import * as placement from './placement.js';
import * as permits from './rateLimits/permits.js';
import * as rateLimit from './rateLimits/rateLimit.js';
import * as refusal from './refusal.js';
import * as guardRefusal from './routed/guardRefusal.js';
import * as permitWait from './routed/permitWait.js';
import * as routedRefusal from './routed/routedRefusal.js';
import * as routedSend from './routed/routedSend.js';
import * as versionShare from './routed/versionShare.js';
import * as requestState from './requestState.js';
import * as routerState from './routerState.js';
import * as transition from './transition.js';
import type * as upstreamState from './upstreamState.js';

/** Lower bound of the hedge delay, in milliseconds. */
const MIN_HEDGE_MS = 20;
/** Number of first tokens required before requests are hedged. */
const MIN_HEDGE_SAMPLES = 20;
/** Prompt length at which the expected time to first token is twice that of an empty prompt. */
const FIRST_TOKEN_SCALE_TOKENS = 500;

/** Computes the expected time to first token relative to that of an empty prompt. */
export const computePromptFactor = (shape: requestState.RequestShape): number =>
  1 + shape.tokensIn / FIRST_TOKEN_SCALE_TOKENS;

const acquireSlot = (
  upstream: upstreamState.UpstreamState,
  request: requestState.RequestState,
  prefillTokens: number,
  limit: rateLimit.RateLimit,
): upstreamState.UpstreamState => ({
  ...upstream,
  rateLimit: limit,
  inFlight: upstream.inFlight + 1,
  prefillTokens: upstream.prefillTokens + prefillTokens,
  recentPeak: Math.max(upstream.recentPeak, upstream.inFlight + 1),
  longInFlight: upstream.longInFlight + Number(request.isLong),
  suspectInFlight: upstream.suspectInFlight + Number(request.isSuspect),
  retryBudget:
    request.retryCount > 0 ? budget.takeBudget(upstream.retryBudget) : upstream.retryBudget,
});

const computeHedgeDelayMs = (
  service: serviceState.ServiceState,
  shape: requestState.RequestShape,
): number | null =>
  service.hedgeFirstTokenMs.count < MIN_HEDGE_SAMPLES
    ? null
    : Math.max(MIN_HEDGE_MS, service.hedgeFirstTokenMs.value * computePromptFactor(shape));

const makeHedgeTimer = (
  service: serviceState.ServiceState,
  running: requestState.RequestState,
  attemptId: number,
): readonly effects.Effect[] => {
  const delayMs = computeHedgeDelayMs(service, running.shape);
  return delayMs === null
    ? []
    : [
        {
          type: 'armTimer',
          timer: { kind: 'hedge', requestId: running.id, attemptId },
          delayMs,
        },
      ];
};

/**
 * Starts an attempt of a request on an upstream, occupies a slot there and arms the hedge timer.
 * Does nothing if the upstream is not known.
 */
export const startAttempt = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  upstreamId: string,
  isHedge: boolean,
  stamp: events.Stamp,
): transition.Transition => {
  const target = current.upstreams.get(upstreamId);
  if (target === undefined) {
    return transition.makeTransition(current);
  }
  const taken = rateLimit.takePermit(target.rateLimit, stamp.nowMs);
  const attempt: requestState.Attempt = {
    id: request.nextAttemptId,
    upstreamId,
    startedAtMs: stamp.nowMs,
    isHedge,
    isOverdue: false,
    prefillTokens: routedSend.estimatePrefill(current, request, upstreamId, stamp.nowMs),
    headAtMs: null,
    permitEndsAtMs: taken.permitEndsAtMs,
  };
  const running: requestState.RequestState = {
    ...request,
    phase: 'running',
    attempts: [...request.attempts, attempt],
    nextAttemptId: request.nextAttemptId + 1,
    sentCount: request.sentCount + 1,
    triedUpstreams: [...request.triedUpstreams, upstreamId],
  };
  const service = routerState.getServiceState(current, request.service, stamp.nowMs);
  const next = routerState.updateServiceState(
    routerState.updateUpstream(routerState.setRequest(current, running), upstreamId, (upstream) =>
      acquireSlot(upstream, request, attempt.prefillTokens, taken.limit),
    ),
    request.service,
    stamp.nowMs,
    (state) => ({
      ...state,
      attemptsInFlight: state.attemptsInFlight + 1,
      roundRobin: state.roundRobin + 1,
      hedgeBudget: isHedge
        ? state.hedgeBudget
        : budget.fillBudget(state.hedgeBudget, serviceState.HEDGE_RULE),
    }),
  );
  const start: effects.EffectOf<'startAttempt'> = {
    type: 'startAttempt',
    requestId: request.id,
    attemptId: attempt.id,
    upstreamId,
    address: target.host.address,
    versionId: request.versionId,
    priority: request.isLong ? 1 : 0,
    resumeFrom: request.tokensForwarded,
    routed: routedSend.makeSend(current, request, stamp.nowMs),
  };
  const counted = routedSend.recordSend(next, request, stamp.nowMs);
  const timers = request.routed === null ? makeHedgeTimer(service, running, attempt.id) : [];
  const logged = versionShare.logSessionVersion(current, request, target, stamp.nowMs);
  return transition.makeTransition(counted, start, ...timers, ...logged);
};

/**
 * Writes the claim of a non-idempotent request before the request is sent. No slot is reserved: the
 * request is placed again once the claim is granted.
 */
const startClaim = (
  current: routerState.RouterState,
  request: requestState.RequestState,
): transition.Transition =>
  transition.makeTransition(routerState.setRequest(current, { ...request, phase: 'claiming' }), {
    type: 'writeClaim',
    requestId: request.id,
  });

/** Starts a request on an upstream, or first writes its claim if it needs one; refuses one that is held back. */
export const startRequest = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  upstreamId: string,
  stamp: events.Stamp,
): transition.Transition => {
  if (request.routed !== null && guardRefusal.isHeldBack(current, request.routed.call)) {
    return guardRefusal.endHeldBack(current, request, stamp.nowMs);
  }
  // A routed request is handled by one router alone and therefore needs no claim.
  return request.isRepeatable || request.hasClaim || request.routed !== null
    ? startAttempt(current, request, upstreamId, false, stamp)
    : startClaim(current, request);
};

/** Picks an upstream for a request, preferring those not tried yet, or null if none accepts it. */
export const findUpstream = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  stamp: events.Stamp,
  ignoresRateLimits = false,
): string | null => {
  const service = routerState.getServiceState(current, request.service, stamp.nowMs);
  const pick = (excluded: readonly string[]): string | null =>
    placement.pickUpstream(
      current,
      placement.makeQuery(request, excluded, stamp, ignoresRateLimits),
      service,
    );
  return pick(request.triedUpstreams) ?? pick([]);
};

/** Picks an upstream that a request was not tried on, or null if none accepts it. */
export const findUntriedUpstream = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  stamp: events.Stamp,
): string | null =>
  placement.pickUpstream(
    current,
    placement.makeQuery(request, request.triedUpstreams, stamp),
    routerState.getServiceState(current, request.service, stamp.nowMs),
  );

/** Charges a request that does not wait to its customer's share of the service, and starts it. */
const startUnqueued = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  upstreamId: string,
  stamp: events.Stamp,
): transition.Transition =>
  startRequest(
    waitingRequests.chargeUnqueued(current, request, stamp.nowMs),
    request,
    upstreamId,
    stamp,
  );

/** Requests permits of an upstream that would have been preferred to the chosen one but for its limit. */
const recordMiss = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  chosenId: string,
  stamp: events.Stamp,
): transition.Transition => {
  const preferredId = permits.hasLimitedUpstream(current, request.versionId)
    ? findUpstream(current, request, stamp, true)
    : null;
  return preferredId === null || preferredId === chosenId
    ? transition.makeTransition(current)
    : permits.recordMiss(current, preferredId, stamp.nowMs);
};

/** Queues a request, and requests the permits that it may wait for; refuses it if its turn would come too late. */
const enqueueOrRefuse = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  stamp: events.Stamp,
): transition.Transition => {
  const { queue } = routerState.getServiceState(current, request.service, stamp.nowMs);
  const requested = permits.requestForQueue(
    current,
    request.versionId,
    queue.size + 1,
    stamp.nowMs,
  );
  return transition.composeTransition(requested, (next) => {
    // A router that allocates the permits itself may have one at once.
    const upstreamId = next === current ? null : findUpstream(next, request, stamp);
    if (upstreamId !== null) {
      return startUnqueued(next, request, upstreamId, stamp);
    }
    const waiting = permitWait.admitPermitWait(next, request, stamp.nowMs);
    return waiting === null
      ? routedRefusal.endUnanswered(next, request, 'deadlineExceeded', stamp)
      : turnAway.admitToQueue(next, waiting, stamp);
  });
};

const isTooLate = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  nowMs: number,
): boolean => current.policy.admission === 'early' && nowMs > request.deadlineAtMs;

const startWaiting = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  upstreamId: string,
  stamp: events.Stamp,
): transition.Transition => {
  const taken = waitingRequests.takeWaiting(current, request, stamp.nowMs);
  return isTooLate(current, request, stamp.nowMs)
    ? refusal.refuseRequest(taken, request, 'overloaded', null)
    : startRequest(taken, request, upstreamId, stamp);
};

/**
 * Starts a request on an upstream that accepts it now, or queues it if none does. Requests that wait for the same place and
 * precede it start first.
 */
export const placeRequest = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  stamp: events.Stamp,
): transition.Transition => {
  const upstreamId = findUpstream(current, request, stamp);
  if (upstreamId === null) {
    return enqueueOrRefuse(current, request, stamp);
  }
  const preceding = waitingRequests.findPreceding(current, request, upstreamId, stamp);
  return preceding === null
    ? transition.composeTransition(recordMiss(current, request, upstreamId, stamp), (next) =>
        startUnqueued(next, request, upstreamId, stamp),
      )
    : transition.composeTransition(startWaiting(current, preceding, upstreamId, stamp), (next) =>
        placeRequest(next, request, stamp),
      );
};

/** Starts waiting requests on an upstream's free slots, in fair-queueing order. */
export const drainUpstream = (
  current: routerState.RouterState,
  upstreamId: string,
  stamp: events.Stamp,
): transition.Transition => {
  let drained = transition.makeTransition(current);
  for (;;) {
    const upstream = drained.state.upstreams.get(upstreamId);
    const waiting =
      upstream === undefined ? null : waitingRequests.findNext(drained.state, upstream, stamp);
    if (waiting === null) {
      return drained;
    }
    drained = transition.composeTransition(drained, (next) =>
      startWaiting(next, waiting, upstreamId, stamp),
    );
  }
};

/** Starts waiting requests on the free slots of all upstreams of a service. */
export const drainService = (
  current: routerState.RouterState,
  service: string,
  stamp: events.Stamp,
): transition.Transition => {
  if (routerState.getServiceState(current, service, stamp.nowMs).queue.size === 0) {
    return transition.makeTransition(current);
  }
  return current.upstreams
    .valueSeq()
    .filter((upstream) => upstream.host.service === service)
    .reduce(
      (drained, upstream) =>
        transition.composeTransition(drained, (next) =>
          drainUpstream(next, upstream.host.id, stamp),
        ),
      transition.makeTransition(current),
    );
};

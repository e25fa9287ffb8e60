import * as budget from './budget.js';
import type * as effects from './effects.js';
import type * as events from './events.js';
import * as fairQueue from './fairQueue.js';
import * as serviceState from './serviceState.js';
import * as placement from './placement.js';
import * as refusal from './refusal.js';
import * as routedSend from './routed/routedSend.js';
import * as requestState from './requestState.js';
import * as routerState from './routerState.js';
import * as transition from './transition.js';
import type * as upstreamState from './upstreamState.js';

/** Waiting requests of one customer looked at for a free upstream. */
const HEADS_PER_CUSTOMER = 4;
/** Shortest hedge delay, in milliseconds. */
const MIN_HEDGE_MS = 20;
/** First tokens needed before hedges start. */
const MIN_HEDGE_SAMPLES = 20;
/** Prompt tokens that double the expected time to first token. */
const FIRST_TOKEN_SCALE_TOKENS = 500;
/** Rate at which waiting makes up for length: milliseconds of wait per millisecond of work. */
const LENGTH_PENALTY = 4;

/** Returns how much longer than a short prompt's a request's first token should take. */
export const computePromptFactor = (shape: requestState.RequestShape): number =>
  1 + shape.tokensIn / FIRST_TOKEN_SCALE_TOKENS;

const makeQuery = (
  request: requestState.RequestState,
  excluded: readonly string[],
  stamp: events.Stamp,
): placement.PlacementQuery => ({
  versionId: request.versionId,
  shape: request.shape,
  isLong: request.isLong,
  isSuspect: request.isSuspect,
  isRetry: request.retryCount > 0,
  excluded,
  routedRequest: request.routed === null ? null : request,
  nowMs: stamp.nowMs,
  random: stamp.random,
});

const getWeight = (current: routerState.RouterState, customer: string): number =>
  current.config?.customers.get(customer)?.weight ?? 1;

/** All customers share one queue in the first-come baseline. */
const getQueueName = (
  current: routerState.RouterState,
  request: requestState.RequestState,
): string => (current.policy.queue === 'fair' ? request.customer : '*');

const makeKey = (request: requestState.RequestState): fairQueue.QueueKey => ({
  order: request.queueOrder,
  requestId: request.id,
});

const takeSlot = (
  upstream: upstreamState.UpstreamState,
  request: requestState.RequestState,
  prefillTokens: number,
): upstreamState.UpstreamState => ({
  ...upstream,
  inFlight: upstream.inFlight + 1,
  prefillTokens: upstream.prefillTokens + prefillTokens,
  recentPeak: Math.max(upstream.recentPeak, upstream.inFlight + 1),
  longInFlight: upstream.longInFlight + Number(request.isLong),
  suspectInFlight: upstream.suspectInFlight + Number(request.isSuspect),
  retryBudget:
    request.retryCount > 0 ? budget.takeBudget(upstream.retryBudget) : upstream.retryBudget,
});

const computeHedgeDelayMs = (
  lane: serviceState.ServiceState,
  shape: requestState.RequestShape,
): number | null =>
  lane.hedgeFirstTokenMs.count < MIN_HEDGE_SAMPLES
    ? null
    : Math.max(MIN_HEDGE_MS, lane.hedgeFirstTokenMs.value * computePromptFactor(shape));

const makeHedgeTimer = (
  lane: serviceState.ServiceState,
  running: requestState.RequestState,
  attemptId: number,
): readonly effects.Effect[] => {
  const delayMs = computeHedgeDelayMs(lane, running.shape);
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

/** Sends a request to an upstream. */
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
  const attempt: requestState.Attempt = {
    id: request.nextAttemptId,
    upstreamId,
    startedAtMs: stamp.nowMs,
    isHedge,
    isOverdue: false,
    prefillTokens: routedSend.estimatePrefill(current, request, upstreamId, stamp.nowMs),
  };
  const running: requestState.RequestState = {
    ...request,
    phase: 'running',
    attempts: [...request.attempts, attempt],
    nextAttemptId: request.nextAttemptId + 1,
    sentCount: request.sentCount + 1,
    triedUpstreams: [...request.triedUpstreams, upstreamId],
  };
  const lane = routerState.getServiceState(current, request.service, stamp.nowMs);
  const next = routerState.updateServiceState(
    routerState.updateUpstream(routerState.setRequest(current, running), upstreamId, (one) =>
      takeSlot(one, request, attempt.prefillTokens),
    ),
    request.service,
    stamp.nowMs,
    (one) => ({
      ...one,
      running: one.running + 1,
      roundRobin: one.roundRobin + 1,
      hedgeBudget: isHedge
        ? one.hedgeBudget
        : budget.fillBudget(one.hedgeBudget, serviceState.HEDGE_RULE),
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
  const timers = request.routed === null ? makeHedgeTimer(lane, running, attempt.id) : [];
  return transition.makeTransition(counted, start, ...timers);
};

/** Reserves an upstream while the claim of a request that may not be repeated is written. */
const startClaim = (
  current: routerState.RouterState,
  request: requestState.RequestState,
): transition.Transition =>
  transition.makeTransition(routerState.setRequest(current, { ...request, phase: 'claiming' }), {
    type: 'writeClaim',
    requestId: request.id,
  });

/** Starts a request on an upstream, by way of its claim if it needs one. */
export const startRequest = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  upstreamId: string,
  stamp: events.Stamp,
): transition.Transition =>
  // A routed request is handled by one router alone, so that it needs no claim.
  request.isRepeatable || request.hasClaim || request.routed !== null
    ? startAttempt(current, request, upstreamId, false, stamp)
    : startClaim(current, request);

/** Picks an upstream for a request; untried ones go first. */
export const findUpstream = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  stamp: events.Stamp,
): string | null => {
  const lane = routerState.getServiceState(current, request.service, stamp.nowMs);
  const fresh = placement.pickUpstream(
    current,
    makeQuery(request, request.triedUpstreams, stamp),
    lane,
  );
  return fresh ?? placement.pickUpstream(current, makeQuery(request, [], stamp), lane);
};

/** Picks an upstream other than those a request was tried on. */
export const findUntriedUpstream = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  stamp: events.Stamp,
): string | null =>
  placement.pickUpstream(
    current,
    makeQuery(request, request.triedUpstreams, stamp),
    routerState.getServiceState(current, request.service, stamp.nowMs),
  );

/** Orders waiting work: earlier arrival and shorter work first, so that waiting ages long work. */
const computeOrder = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  nowMs: number,
): number => {
  const msPerCost = serviceState.getMsPerCost(
    routerState.getServiceState(current, request.service, nowMs),
  );
  const workMs = requestState.estimateCost(request) * msPerCost;
  return current.policy.queue === 'fair'
    ? request.arrivedAtMs + LENGTH_PENALTY * workMs
    : request.arrivedAtMs;
};

/** Puts a request into its service's queue and bounds its wait by a timer. */
export const enqueueRequest = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  nowMs: number,
): transition.Transition => {
  const queued: requestState.RequestState = {
    ...request,
    phase: 'queued',
    queueOrder: computeOrder(current, request, nowMs),
  };
  const next = routerState.updateServiceState(
    routerState.setRequest(current, queued),
    request.service,
    nowMs,
    (one) => ({
      ...one,
      queue: fairQueue.enqueue(
        one.queue,
        getQueueName(current, queued),
        getWeight(current, queued.customer),
        makeKey(queued),
        requestState.estimateCost(queued),
      ),
    }),
  );
  return transition.makeTransition(next, {
    type: 'armTimer',
    timer: { kind: 'queueDeadline', requestId: request.id },
    delayMs: Math.max(0, (request.routed?.queueUntilMs ?? request.deadlineAtMs) - nowMs),
  });
};

/** Takes a waiting request out of its queue without running it. */
export const removeFromQueue = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  nowMs: number,
): routerState.RouterState =>
  request.phase !== 'queued'
    ? current
    : routerState.updateServiceState(current, request.service, nowMs, (one) => ({
        ...one,
        queue: fairQueue.removeKey(one.queue, getQueueName(current, request), makeKey(request)),
      }));

/** Starts a request at once if an upstream is free and nobody waits, else queues it. */
export const placeRequest = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  stamp: events.Stamp,
): transition.Transition => {
  const upstreamId = findUpstream(current, request, stamp);
  if (upstreamId === null) {
    return enqueueRequest(current, request, stamp.nowMs);
  }
  const charged = routerState.updateServiceState(current, request.service, stamp.nowMs, (one) => ({
    ...one,
    queue: fairQueue.chargeCustomer(
      one.queue,
      getQueueName(current, request),
      getWeight(current, request.customer),
      requestState.estimateCost(request),
    ),
  }));
  return startRequest(charged, request, upstreamId, stamp);
};

interface Waiting {
  readonly queueName: string;
  readonly request: requestState.RequestState;
}

/** Tells whether an upstream serves what a waiting request is for. */
const isServedBy = (
  upstream: upstreamState.UpstreamState,
  request: requestState.RequestState,
): boolean => request.shape.kind === 'call' || upstream.loaded.includes(request.versionId);

const canRunOn = (
  current: routerState.RouterState,
  upstream: upstreamState.UpstreamState,
  request: requestState.RequestState,
  stamp: events.Stamp,
): boolean =>
  isServedBy(upstream, request) &&
  placement.canAccept(current, upstream, makeQuery(request, [], stamp));

const findNext = (
  current: routerState.RouterState,
  upstream: upstreamState.UpstreamState,
  stamp: events.Stamp,
): Waiting | null => {
  const { queue } = routerState.getServiceState(current, upstream.host.service, stamp.nowMs);
  const customers = queue.size === 0 ? [] : fairQueue.listBacklogged(queue);
  for (const own of customers) {
    for (const key of fairQueue.listHeads(own, HEADS_PER_CUSTOMER)) {
      const request = current.requests.get(key.requestId);
      if (request !== undefined && canRunOn(current, upstream, request, stamp)) {
        return { queueName: own.customer, request };
      }
    }
  }
  return null;
};

const takeWaiting = (
  current: routerState.RouterState,
  waiting: Waiting,
  nowMs: number,
): routerState.RouterState =>
  routerState.updateServiceState(current, waiting.request.service, nowMs, (one) => ({
    ...one,
    queue: fairQueue.takeKey(one.queue, waiting.queueName, makeKey(waiting.request)),
  }));

const isTooLate = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  nowMs: number,
): boolean => current.policy.admission === 'early' && nowMs > request.deadlineAtMs;

const startWaiting = (
  current: routerState.RouterState,
  waiting: Waiting,
  upstreamId: string,
  stamp: events.Stamp,
): transition.Transition => {
  const taken = takeWaiting(current, waiting, stamp.nowMs);
  return isTooLate(current, waiting.request, stamp.nowMs)
    ? refusal.refuseRequest(taken, waiting.request, 'overloaded', null)
    : startRequest(taken, waiting.request, upstreamId, stamp);
};

/** Gives an upstream's free slots to waiting requests in fair order. */
export const drainUpstream = (
  current: routerState.RouterState,
  upstreamId: string,
  stamp: events.Stamp,
): transition.Transition => {
  let done = transition.makeTransition(current);
  for (;;) {
    const upstream = done.state.upstreams.get(upstreamId);
    const waiting = upstream === undefined ? null : findNext(done.state, upstream, stamp);
    if (waiting === null) {
      return done;
    }
    done = transition.composeTransition(done, (next) =>
      startWaiting(next, waiting, upstreamId, stamp),
    );
  }
};

/** Tries waiting work on every upstream of a service. */
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
      (done, upstream) =>
        transition.composeTransition(done, (next) => drainUpstream(next, upstream.host.id, stamp)),
      transition.makeTransition(current),
    );
};

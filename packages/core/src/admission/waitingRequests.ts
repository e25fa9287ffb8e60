import type * as events from '../events.js';
import * as fairQueue from '../fairQueue.js';
import * as placement from '../placement.js';
import * as requestState from '../requestState.js';
import * as routerState from '../routerState.js';
import * as transition from '../transition.js';
import type * as upstreamState from '../upstreamState.js';
import * as urgencies from './urgency.js';
import * as waitOrder from './waitOrder.js';
import * as waitQueue from './waitQueue.js';

/** Number of waiting requests per customer that are checked for a free upstream. */
const HEADS_PER_CUSTOMER = 4;

/** Computes what a request is charged; a call without tokens counts as one, so that calls share by number. */
const computeCharge = (request: requestState.RequestState): number =>
  Math.max(1, requestState.estimateCost(request));

/** Adds a request to its service's queue. */
const addToQueue = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  place: waitOrder.WaitPlace,
  nowMs: number,
): routerState.RouterState => {
  const queued: requestState.RequestState = {
    ...request,
    phase: 'queued',
    queueRank: place.rank,
    queueName: place.name,
    queueOrder: place.order,
  };
  return routerState.updateServiceState(
    routerState.setRequest(current, queued),
    request.service,
    nowMs,
    (service) => ({
      ...service,
      queue: waitQueue.enqueue(
        service.queue,
        waitOrder.getPosition(queued),
        place.weight,
        computeCharge(queued),
      ),
    }),
  );
};

/** Arms the timer that places a waiting request anew, if its place changes. */
const scheduleReview = (
  current: routerState.RouterState,
  requestId: string,
  { reviewAtMs }: waitOrder.WaitPlace,
  nowMs: number,
): transition.Transition =>
  reviewAtMs === null
    ? transition.makeTransition(current)
    : transition.makeTransition(current, {
        type: 'armTimer',
        timer: { kind: 'waitReview', requestId },
        delayMs: Math.max(1, reviewAtMs - nowMs),
      });

/** Adds a request to its service's queue and arms the timers that limit its waiting time and change its place. */
export const enqueueRequest = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  nowMs: number,
): transition.Transition => {
  const place = waitOrder.computePlace(current, request, nowMs);
  const queued = transition.makeTransition(addToQueue(current, request, place, nowMs), {
    type: 'armTimer',
    timer: { kind: 'queueDeadline', requestId: request.id },
    delayMs: Math.max(0, (request.routed?.queueUntilMs ?? request.deadlineAtMs) - nowMs),
  });
  return transition.composeTransition(queued, (next) =>
    scheduleReview(next, request.id, place, nowMs),
  );
};

/** Removes a waiting request from its queue without starting it. */
export const removeFromQueue = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  nowMs: number,
): routerState.RouterState =>
  request.phase !== 'queued'
    ? current
    : routerState.updateServiceState(current, request.service, nowMs, (service) => ({
        ...service,
        queue: waitQueue.removeKey(service.queue, waitOrder.getPosition(request)),
      }));

/** Places a waiting request anew by the time that it has waited, and arms the timer of its next change. */
export const moveWaiting = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  nowMs: number,
): transition.Transition => {
  const place = waitOrder.computePlace(current, request, nowMs);
  const moved = addToQueue(removeFromQueue(current, request, nowMs), request, place, nowMs);
  return scheduleReview(moved, request.id, place, nowMs);
};

/** Charges a request that does not wait to its customer's share of the service. */
export const chargeUnqueued = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  nowMs: number,
): routerState.RouterState => {
  const place = waitOrder.computePlace(current, request, nowMs);
  return routerState.updateServiceState(current, request.service, nowMs, (service) => ({
    ...service,
    queue: waitQueue.chargeCustomer(service.queue, place, place.weight, computeCharge(request)),
  }));
};

/** Returns whether an upstream can serve a request: any call, or a version that it has loaded. */
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
  placement.canAccept(current, upstream, placement.makeQuery(request, [], stamp));

/** Finds the waiting request that an upstream should run next, of a rank up to `maxRank`; null if it can run none. */
export const findNext = (
  current: routerState.RouterState,
  upstream: upstreamState.UpstreamState,
  stamp: events.Stamp,
  maxRank = Infinity,
): requestState.RequestState | null => {
  const { queue } = routerState.getServiceState(current, upstream.host.service, stamp.nowMs);
  const ranks = waitQueue.listWaitingRanks(queue).filter((rank) => rank <= maxRank);
  for (const rank of ranks) {
    for (const customerQueue of fairQueue.listBacklogged(waitQueue.getClass(queue, rank))) {
      for (const key of fairQueue.listHeads(customerQueue, HEADS_PER_CUSTOMER)) {
        const request = current.requests.get(key.requestId);
        if (request !== undefined && canRunOn(current, upstream, request, stamp)) {
          return request;
        }
      }
    }
  }
  return null;
};

/**
 * Finds the waiting request that precedes a new one on an upstream that could take either; null if there is none, or if all
 * requests of the service have the same priority.
 */
export const findPreceding = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  upstreamId: string,
  stamp: events.Stamp,
): requestState.RequestState | null => {
  const { queue } = routerState.getServiceState(current, request.service, stamp.nowMs);
  const upstream = current.upstreams.get(upstreamId);
  if (
    queue.size === 0 ||
    upstream === undefined ||
    urgencies.findUrgency(current, request) === null
  ) {
    return null;
  }
  const { rank } = waitOrder.computePlace(current, request, stamp.nowMs);
  return findNext(current, upstream, stamp, rank);
};

/** Takes a waiting request out of its queue to run it, and charges its customer. */
export const takeWaiting = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  nowMs: number,
): routerState.RouterState =>
  routerState.updateServiceState(current, request.service, nowMs, (service) => ({
    ...service,
    queue: waitQueue.takeKey(service.queue, waitOrder.getPosition(request)),
  }));

/** Returns whether requests wait for the places of a request's service, which a second send of it would take. */
export const isAwaited = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  nowMs: number,
): boolean =>
  urgencies.findUrgency(current, request) !== null &&
  routerState.getServiceState(current, request.service, nowMs).queue.size > 0;

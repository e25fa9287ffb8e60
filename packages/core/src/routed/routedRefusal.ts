import type * as shared from '@jayrock/shared';
import * as room from '../admission/room.js';
import * as urgencies from '../admission/urgency.js';
import type * as events from '../events.js';
import * as random from '../random.js';
import * as restWait from '../notices/restWait.js';
import * as permits from '../rateLimits/permits.js';
import * as refusal from '../refusal.js';
import type * as requestState from '../requestState.js';
import * as routerState from '../routerState.js';
import type * as transition from '../transition.js';

/** Largest retry-after time, as a share of the caller's remaining time. */
const MAX_RETRY_AFTER_SHARE = 0.3;
/** Shortest retry-after time, also used while the throughput is unknown, in milliseconds. */
const DEFAULT_RETRY_AFTER_MS = 400;
/** Range of the jitter as a share of the retry-after time, so that callers refused together do not retry together. */
const RETRY_AFTER_JITTER = 0.5;

/** Estimates the time until a request that comes now would start, in milliseconds. */
const estimateQueueMs = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  nowMs: number,
): number => {
  const { queue, throughput, holdMs } = routerState.getServiceState(
    current,
    request.service,
    nowMs,
  );
  if (urgencies.findUrgency(current, request) !== null && holdMs.count > 0) {
    const { startMs } = room.estimateRoom(
      current,
      request.service,
      { rank: request.queueRank, name: request.queueName, key: { order: Infinity, requestId: '' } },
      nowMs,
    );
    return startMs;
  }
  return throughput.value > 0 ? (queue.cost * 1_000) / throughput.value : DEFAULT_RETRY_AFTER_MS;
};

/** Estimates when capacity will be free, in milliseconds from now, with jitter. */
const computeRetryAfterMs = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  stamp: events.Stamp,
): number => {
  const serviceState = routerState.getServiceState(current, request.service, stamp.nowMs);
  const waitMs =
    restWait.estimateRestMs(current, request.versionId, stamp.nowMs) ??
    permits.estimateWaitMs(current, request.versionId, serviceState.queue.size, stamp.nowMs) ??
    estimateQueueMs(current, request, stamp.nowMs);
  const fraction = random.deriveFraction(stamp.random, 9);
  const remainingMs = Math.max(0, request.deadlineAtMs - stamp.nowMs);
  const mostMs = remainingMs * MAX_RETRY_AFTER_SHARE;
  const urgency = urgencies.findUrgency(current, request);
  if (urgency === null) {
    const delayMs = Math.max(DEFAULT_RETRY_AFTER_MS, waitMs) * (1 + RETRY_AFTER_JITTER * fraction);
    return Math.min(mostMs, delayMs);
  }
  // Each class returns within a span of its own, the most urgent first, also where the time left cuts the wait short.
  const turn = (urgency.index + fraction) / urgency.count;
  const earliestMs = Math.min(mostMs / (1 + RETRY_AFTER_JITTER), waitMs);
  return earliestMs * (1 + RETRY_AFTER_JITTER * turn);
};

/** Codes of conditions that soon pass without intervention, so that a retry may succeed. */
const TRANSIENT_CODES: ReadonlySet<shared.errorCodes.ErrorCode> = new Set([
  'noConfiguration',
  'viewOutdated',
]);

/** Refuses a call that has no request state yet; adds a retry-after time if the condition is transient. */
export const refuseCall = (
  current: routerState.RouterState,
  arrival: events.EventOf<'routedRequestArrived'>,
  code: shared.errorCodes.ErrorCode,
): transition.Transition => {
  const jitter = 1 + RETRY_AFTER_JITTER * random.deriveFraction(arrival.random, 9);
  const delayMs = Math.min(
    (arrival.call.deadlineMs ?? Infinity) * MAX_RETRY_AFTER_SHARE,
    DEFAULT_RETRY_AFTER_MS * jitter,
  );
  const retryAfterMs = TRANSIENT_CODES.has(code) ? delayMs : null;
  return refusal.refuseArrival(current, arrival.requestId, code, retryAfterMs);
};

/** Refuses a call that is held back; a retry is of no use soon, so the caller is asked to wait as long as it may. */
export const refuseHeldBack = (
  current: routerState.RouterState,
  arrival: events.EventOf<'routedRequestArrived'>,
): transition.Transition =>
  refusal.refuseArrival(
    current,
    arrival.requestId,
    'heldBack',
    (arrival.call.deadlineMs ?? DEFAULT_RETRY_AFTER_MS) * MAX_RETRY_AFTER_SHARE,
  );

/** Refuses a request of which nothing was executed, with a retry-after time. */
export const refuseNotRun = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  code: shared.errorCodes.ErrorCode,
  stamp: events.Stamp,
): transition.Transition =>
  refusal.refuseRequest(current, request, code, computeRetryAfterMs(current, request, stamp));

/** Counts the sends that an upstream may have executed. */
export const countPossibleExecutions = (request: requestState.RequestState): number =>
  request.sentCount - (request.routed?.notRunCount ?? 0);

/** Ends a routed request without an answer; reports it as not run only if no send can have been executed. */
export const endUnanswered = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  code: shared.errorCodes.ErrorCode,
  stamp: events.Stamp,
): transition.Transition =>
  countPossibleExecutions(request) === 0
    ? refuseNotRun(current, request, 'overloaded', stamp)
    : refusal.refuseRequest(current, request, code, null);

/** Ends a routed request that the table in force does not serve. */
export const endUnserved = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  code: shared.errorCodes.ErrorCode,
): transition.Transition =>
  refusal.refuseRequest(
    current,
    request,
    countPossibleExecutions(request) === 0 ? code : 'upstreamFailed',
    null,
  );

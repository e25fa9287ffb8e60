import type * as shared from '@jayrock/shared';
import type * as events from '../events.js';
import * as random from '../random.js';
import * as refusal from '../refusal.js';
import type * as requestState from '../requestState.js';
import * as routerState from '../routerState.js';
import type * as transition from '../transition.js';

/** Part of its time that a caller may be asked to stay away. */
const MAX_RETRY_AFTER_SHARE = 0.3;
/** Pause advised when nothing is known of the queue, in milliseconds. */
const DEFAULT_RETRY_AFTER_MS = 400;
/** Callers refused together come back spread over this part of the pause. */
const RETRY_AFTER_JITTER = 0.5;

/** Estimates when room is expected, spread so that refused callers do not return together. */
const computeRetryAfterMs = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  stamp: events.Stamp,
): number => {
  const lane = routerState.getServiceState(current, request.service, stamp.nowMs);
  const rate = lane.throughput.value;
  const waitMs = rate > 0 ? (lane.queue.cost * 1_000) / rate : DEFAULT_RETRY_AFTER_MS;
  const spread = 1 + RETRY_AFTER_JITTER * random.deriveFraction(stamp.random, 9);
  const leftMs = Math.max(0, request.deadlineAtMs - stamp.nowMs);
  return Math.min(
    leftMs * MAX_RETRY_AFTER_SHARE,
    Math.max(DEFAULT_RETRY_AFTER_MS, waitMs) * spread,
  );
};

/** Codes of refusals that end by themselves soon, so that the caller may come back. */
const TRANSIENT_CODES: ReadonlySet<shared.errorCodes.ErrorCode> = new Set([
  'noConfiguration',
  'viewOutdated',
]);

/** Refuses a call before it became a request; tells when to come back where that may help. */
export const refuseCall = (
  current: routerState.RouterState,
  arrival: events.EventOf<'routedRequestArrived'>,
  code: shared.errorCodes.ErrorCode,
): transition.Transition => {
  const spread = 1 + RETRY_AFTER_JITTER * random.deriveFraction(arrival.random, 9);
  const pauseMs = Math.min(
    (arrival.call.deadlineMs ?? Infinity) * MAX_RETRY_AFTER_SHARE,
    DEFAULT_RETRY_AFTER_MS * spread,
  );
  const retryAfterMs = TRANSIENT_CODES.has(code) ? pauseMs : null;
  return refusal.refuseArrival(current, arrival.requestId, code, retryAfterMs);
};

/** Refuses a request of which nothing has run, and tells when to come back. */
export const refuseNotRun = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  code: shared.errorCodes.ErrorCode,
  stamp: events.Stamp,
): transition.Transition =>
  refusal.refuseRequest(current, request, code, computeRetryAfterMs(current, request, stamp));

/** Sends that may have run. */
export const countPossibleExecutions = (request: requestState.RequestState): number =>
  request.sentCount - (request.routed?.notRunCount ?? 0);

/** Ends a routed request without an answer, saying only what is certain. */
export const endUnanswered = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  code: shared.errorCodes.ErrorCode,
  stamp: events.Stamp,
): transition.Transition =>
  countPossibleExecutions(request) === 0
    ? refuseNotRun(current, request, 'overloaded', stamp)
    : refusal.refuseRequest(current, request, code, null);

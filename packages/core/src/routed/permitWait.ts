import * as answerTime from '../admission/answerTime.js';
import * as restWait from '../notices/restWait.js';
import * as permits from '../rateLimits/permits.js';
import type * as requestState from '../requestState.js';
import * as routerState from '../routerState.js';

/**
 * Share of the time that a request can wait for a permit that the expected wait may take. The backlog of other routers
 * is known with a delay, and a request that waits in vain costs its caller the time to try elsewhere.
 */
const MAX_WAIT_SHARE = 0.7;

/**
 * Lets a routed request wait for a permit, or for the end of a pause, until it could no longer be answered in time; null if its turn comes later
 * than that. A request that waits for neither is returned unchanged.
 */
export const admitPermitWait = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  nowMs: number,
): requestState.RequestState | null => {
  const { queue } = routerState.getServiceState(current, request.service, nowMs);
  const waitMs =
    restWait.estimateRestMs(current, request.versionId, nowMs) ??
    permits.estimateWaitMs(current, request.versionId, queue.size, nowMs);
  if (request.routed === null || waitMs === null) {
    return request;
  }
  const queueUntilMs = request.deadlineAtMs - answerTime.estimateAnswerTime(current, request).endMs;
  return waitMs > (queueUntilMs - nowMs) * MAX_WAIT_SHARE
    ? null
    : { ...request, routed: { ...request.routed, queueUntilMs } };
};

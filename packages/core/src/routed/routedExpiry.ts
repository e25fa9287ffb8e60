import * as waitingRequests from '../admission/waitingRequests.js';
import type * as events from '../events.js';
import * as refusal from '../refusal.js';
import type * as requestState from '../requestState.js';
import type * as routerState from '../routerState.js';
import * as slots from '../slots.js';
import * as transition from '../transition.js';
import * as routedRefusal from './routedRefusal.js';
import * as versionEvidence from './versionEvidence.js';

/** Schedules the end of a request at its deadline. */
export const scheduleTimeout = (
  current: routerState.RouterState,
  { id, deadlineAtMs }: requestState.RequestState,
  nowMs: number,
): transition.Transition =>
  transition.makeTransition(current, {
    type: 'armTimer',
    timer: { kind: 'routedTimeout', requestId: id, deadlineAtMs },
    delayMs: Math.max(0, deadlineAtMs - nowMs),
  });

/**
 * Ends a request whose deadline or route timeout has passed; a timer of an earlier deadline ends nothing. `unsentCount` of
 * its attempts still wait for a connection; nothing of them is sent once they are cancelled.
 */
export const expireRequest = (
  current: routerState.RouterState,
  { requestId, deadlineAtMs }: events.TimerOf<'routedTimeout'>,
  unsentCount: number,
  stamp: events.Stamp,
): transition.Transition => {
  const request = current.requests.get(requestId);
  if (request === undefined || deadlineAtMs < request.deadlineAtMs) {
    return transition.makeTransition(current);
  }
  // Which of several attempts were not sent is not known.
  const withEvidence =
    unsentCount > 0 ? current : versionEvidence.recordUnanswered(current, request, 0, stamp.nowMs);
  const dequeued = waitingRequests.removeFromQueue(withEvidence, request, stamp.nowMs);
  const cancelled = slots.cancelAttempts(dequeued, request.id, request.attempts, stamp);
  return transition.composeTransition(cancelled, (next) => {
    const latest = next.requests.get(requestId) ?? request;
    const counted = { ...latest, sentCount: latest.sentCount - unsentCount };
    return routedRefusal.endUnanswered(next, counted, 'deadlineExceeded', stamp);
  });
};

/** Ends a request of a stopping router; another router can serve it at once if nothing can have been executed. */
const endStopped = (
  current: routerState.RouterState,
  request: requestState.RequestState,
): transition.Transition =>
  routedRefusal.countPossibleExecutions(request) === 0
    ? refusal.refuseRequest(current, request, 'routerStopping', 0)
    : refusal.refuseRequest(current, request, 'deadlineExceeded', null);

/** Ends all requests. All leave the queue before attempts are cancelled, so that free slots start none of them. */
const handleStopExpired = (
  current: routerState.RouterState,
  event: events.EventOf<'stopExpired'>,
): transition.Transition => {
  const open = current.requests
    .valueSeq()
    .toArray()
    .filter(({ routed }) => routed !== null);
  const dequeued = open.reduce(
    (next, request) => waitingRequests.removeFromQueue(next, request, event.nowMs),
    { ...current, isStopping: true },
  );
  return open.reduce(
    (result, request) =>
      transition.composeTransition(result, (next) =>
        transition.composeTransition(
          slots.cancelAttempts(next, request.id, request.attempts, event),
          (freed) => endStopped(freed, request),
        ),
      ),
    transition.makeTransition(dequeued),
  );
};

/** Handlers of the end of a stop. */
export const HANDLERS = { stopExpired: handleStopExpired } as const;

import * as waitingRequests from './admission/waitingRequests.js';
import * as turnAway from './admission/turnAway.js';
import * as budget from './budget.js';
import * as dispatch from './dispatch.js';
import type * as events from './events.js';
import * as health from './health.js';
import * as refusal from './refusal.js';
import type * as requestState from './requestState.js';
import * as routedExpiry from './routed/routedExpiry.js';
import * as reroute from './reroute.js';
import * as routerState from './routerState.js';
import * as slots from './slots.js';
import * as transition from './transition.js';

/** Minimum delay before a hedge that was not possible is tried again, in milliseconds. */
const MIN_REHEDGE_MS = 50;

type TimerHandler = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  timer: events.Timer,
  event: events.EventOf<'timerFired'>,
) => transition.Transition;

const hedgeRequest: TimerHandler = (current, request, timer, stamp) => {
  const attempt =
    timer.kind === 'hedge'
      ? request.attempts.find((item) => item.id === timer.attemptId)
      : undefined;
  if (attempt === undefined || request.forwardedAttempt !== null) {
    return transition.makeTransition(current);
  }
  const marked = slots.markOverdue(current, request, attempt);
  const evaluated = health.evaluateUpstream(marked, attempt.upstreamId, stamp.nowMs);
  const overdue = evaluated.requests.get(request.id) ?? request;
  const service = routerState.getServiceState(evaluated, request.service, stamp.nowMs);
  const mayHedge =
    evaluated.policy.hedging === 'budgeted' &&
    request.isRepeatable &&
    !request.isSuspect &&
    reroute.isStillAllowed(evaluated, request) &&
    request.attempts.length === 1 &&
    budget.hasBudget(service.hedgeBudget);
  const upstreamId = mayHedge ? dispatch.findUntriedUpstream(evaluated, overdue, stamp) : null;
  if (upstreamId === null) {
    // Tries again later, when the budget may allow a hedge; without one, a silent connection would
    // delay the request for long.
    const delayMs = Math.max(MIN_REHEDGE_MS, stamp.nowMs - attempt.startedAtMs);
    return transition.makeTransition(evaluated, { type: 'armTimer', timer, delayMs });
  }
  const charged = routerState.updateServiceState(
    evaluated,
    request.service,
    stamp.nowMs,
    (state) => ({
      ...state,
      hedgeBudget: budget.takeBudget(state.hedgeBudget),
    }),
  );
  return dispatch.startAttempt(charged, overdue, upstreamId, true, stamp);
};

const expireRoutedRequest: TimerHandler = (current, request, _, stamp) =>
  request.phase === 'queued' && stamp.nowMs >= (request.routed?.queueUntilMs ?? 0)
    ? turnAway.expireWaiting(current, request, stamp)
    : transition.makeTransition(current);

const expirePlanRequest: TimerHandler = (current, request, _, stamp) =>
  request.phase === 'queued' && stamp.nowMs >= request.deadlineAtMs
    ? refusal.refuseRequest(
        waitingRequests.removeFromQueue(current, request, stamp.nowMs),
        request,
        request.sentCount === 0 ? 'overloaded' : 'deadlineExceeded',
        null,
      )
    : transition.makeTransition(current);

const expireQueued: TimerHandler = (current, request, timer, stamp) =>
  request.routed === null
    ? expirePlanRequest(current, request, timer, stamp)
    : expireRoutedRequest(current, request, timer, stamp);

const retryRequest: TimerHandler = (current, request, _, stamp) =>
  request.phase === 'backingOff'
    ? reroute.retryRequest(current, request, stamp)
    : transition.makeTransition(current);

const TIMER_HANDLERS: Readonly<Record<events.Timer['kind'], TimerHandler>> = {
  hedge: hedgeRequest,
  queueDeadline: expireQueued,
  waitReview: (current, request, _, event) => turnAway.updateWaiting(current, request, event),
  routedTimeout: (current, _, timer, event) =>
    timer.kind === 'routedTimeout'
      ? routedExpiry.expireRequest(current, timer, event.unsentCount ?? 0, event)
      : transition.makeTransition(current),
  retry: retryRequest,
};

const handleTimerFired = (
  current: routerState.RouterState,
  event: events.EventOf<'timerFired'>,
): transition.Transition => {
  const request = current.requests.get(event.timer.requestId);
  return request === undefined
    ? transition.makeTransition(current)
    : TIMER_HANDLERS[event.timer.kind](current, request, event.timer, event);
};

/** Handlers of the timers that the shell runs. */
export const HANDLERS = { timerFired: handleTimerFired } as const;

import * as budget from './budget.js';
import * as dispatch from './dispatch.js';
import type * as events from './events.js';
import * as health from './health.js';
import * as refusal from './refusal.js';
import type * as requestState from './requestState.js';
import * as relayExpiry from './relay/relayExpiry.js';
import * as relayRefusal from './relay/relayRefusal.js';
import * as reroute from './reroute.js';
import * as routerState from './routerState.js';
import * as slots from './slots.js';
import * as step from './step.js';

/** Shortest pause before a hedge that was not possible is tried again, in milliseconds. */
const MIN_REHEDGE_MS = 50;

type TimerHandler = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  timer: events.Timer,
  stamp: events.Stamp,
) => step.Step;

const hedgeRequest: TimerHandler = (current, request, timer, stamp) => {
  const attempt =
    timer.kind === 'hedge'
      ? request.attempts.find((item) => item.id === timer.attemptId)
      : undefined;
  if (attempt === undefined || request.relayedAttempt !== null) {
    return step.makeStep(current);
  }
  const marked = slots.markOverdue(current, request, attempt);
  const judged = health.judgeUpstream(marked, attempt.upstreamId, stamp.nowMs);
  const overdue = judged.requests.get(request.id) ?? request;
  const lane = routerState.getLane(judged, request.service, stamp.nowMs);
  const mayHedge =
    judged.policy.hedging === 'budgeted' &&
    request.isRepeatable &&
    !request.isSuspect &&
    reroute.isStillAllowed(judged, request) &&
    request.attempts.length === 1 &&
    budget.hasBudget(lane.hedgeBudget);
  const other = mayHedge ? dispatch.findOtherUpstream(judged, overdue, stamp) : null;
  if (other === null) {
    // The budget may allow a hedge later, and a silent connection would otherwise wait long.
    const delayMs = Math.max(MIN_REHEDGE_MS, stamp.nowMs - attempt.startedAtMs);
    return step.makeStep(judged, { type: 'armTimer', timer, delayMs });
  }
  const paid = routerState.updateLane(judged, request.service, stamp.nowMs, (known) => ({
    ...known,
    hedgeBudget: budget.takeBudget(known.hedgeBudget),
  }));
  return dispatch.startAttempt(paid, overdue, other, true, stamp);
};

const expireRelay: TimerHandler = (current, request, _, stamp) =>
  request.phase === 'queued' && stamp.nowMs >= (request.relay?.queueUntilMs ?? 0)
    ? relayRefusal.endUnanswered(
        dispatch.leaveQueue(current, request, stamp.nowMs),
        request,
        'deadlineExceeded',
        stamp,
      )
    : step.makeStep(current);

const expireCall: TimerHandler = (current, request, _, stamp) =>
  request.phase === 'queued' && stamp.nowMs >= request.deadlineAtMs
    ? refusal.refuseRequest(
        dispatch.leaveQueue(current, request, stamp.nowMs),
        request,
        request.sentCount === 0 ? 'overloaded' : 'deadlineExceeded',
        null,
      )
    : step.makeStep(current);

const expireQueued: TimerHandler = (current, request, timer, stamp) =>
  request.relay === null
    ? expireCall(current, request, timer, stamp)
    : expireRelay(current, request, timer, stamp);

const retryRequest: TimerHandler = (current, request, _, stamp) =>
  request.phase === 'backingOff'
    ? reroute.retryRequest(current, request, stamp)
    : step.makeStep(current);

const TIMER_HANDLERS: Readonly<Record<events.Timer['kind'], TimerHandler>> = {
  hedge: hedgeRequest,
  queueDeadline: expireQueued,
  relayTimeout: (current, request, _, stamp) =>
    relayExpiry.expireRequest(current, request.id, stamp),
  retry: retryRequest,
};

const handleTimerFired = (
  current: routerState.RouterState,
  event: events.EventOf<'timerFired'>,
): step.Step => {
  const request = current.requests.get(event.timer.requestId);
  return request === undefined
    ? step.makeStep(current)
    : TIMER_HANDLERS[event.timer.kind](current, request, event.timer, event);
};

/** Handlers of the timers that the shell keeps. */
export const HANDLERS = { timerFired: handleTimerFired } as const;

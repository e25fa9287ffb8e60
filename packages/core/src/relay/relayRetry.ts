import type * as shared from '@jayrock/shared';
import * as dispatch from '../dispatch.js';
import type * as events from '../events.js';
import * as health from '../health.js';
import type * as locatedAttempt from '../locatedAttempt.js';
import * as memberTable from '../membership/memberTable.js';
import * as refusal from '../refusal.js';
import type * as requestState from '../requestState.js';
import * as routerState from '../routerState.js';
import * as slots from '../slots.js';
import * as step from '../step.js';
import type * as upstreamState from '../upstreamState.js';
import * as relayContext from './relayContext.js';
import * as relayRefusal from './relayRefusal.js';
import type * as relayState from './relayState.js';
import * as sendBudget from './sendBudget.js';

/** A routed request with the attempt an event speaks of. */
export interface Located extends locatedAttempt.Located {
  readonly relay: relayState.RelayState;
}

/** Time that must be left for a further send to make sense, in milliseconds. */
const MIN_LEFT_MS = 30;

const countRouters = (current: routerState.RouterState): number =>
  memberTable.listAlive(current.members).length + 1;

/** Tells whether one more send fits the request, its time and the fleet's budget. */
const canSendAgain = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  relay: relayState.RelayState,
  nowMs: number,
): boolean =>
  request.sentCount < relay.route.maxAttempts &&
  request.deadlineAtMs - nowMs > MIN_LEFT_MS &&
  sendBudget.hasRepeatRoom(
    relayContext.getWindow(current.relay, request.service),
    current.relay.settings.repeats,
    countRouters(current),
    nowMs,
  );

/** Sends a request again, or queues it until an upstream has room. */
const sendAgain = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  stamp: events.Stamp,
): step.Step =>
  dispatch.placeRequest(
    routerState.setRequest(current, request),
    { ...request, retryCount: request.retryCount + 1, phase: 'queued' },
    stamp,
  );

/** Cancels an attempt and sends its request again. */
const moveAttempt = (
  current: routerState.RouterState,
  attempt: requestState.Attempt,
  requestId: string,
  stamp: events.Stamp,
): step.Step => {
  const cancelled = slots.cancelAttempt(current, requestId, attempt, stamp);
  return step.chainStep(cancelled, (next) => {
    const left = next.requests.get(requestId);
    return left === undefined ? step.makeStep(next) : sendAgain(next, left, stamp);
  });
};

/** Drops an answer whose model doubts it and asks a better one; null if that is not possible now. */
export const replaceModel = (
  current: routerState.RouterState,
  { request, relay, attempt }: Located,
  model: string,
  stamp: events.Stamp,
): step.Step | null => {
  if (!canSendAgain(current, request, relay, stamp.nowMs)) {
    return null;
  }
  const wanted: requestState.RequestState = {
    ...(current.requests.get(request.id) ?? request),
    relay: { ...relay, model },
    escalationCount: request.escalationCount + 1,
    triedUpstreams: [],
  };
  return dispatch.findUpstream(current, wanted, stamp) === null
    ? null
    : moveAttempt(routerState.setRequest(current, wanted), attempt, request.id, stamp);
};

const noteUpstream = (
  current: routerState.RouterState,
  id: string,
  nowMs: number,
  change: (known: upstreamState.UpstreamState) => upstreamState.UpstreamState,
): routerState.RouterState =>
  health.judgeUpstream(routerState.updateUpstream(current, id, change), id, nowMs);

const countFailure = (known: upstreamState.UpstreamState): upstreamState.UpstreamState => ({
  ...known,
  failuresInRow: known.failuresInRow + 1,
});

/** An upstream that turns work away is full, whatever its last report said. */
const markFull =
  (nowMs: number) =>
  (known: upstreamState.UpstreamState): upstreamState.UpstreamState => ({
    ...known,
    foreignLoad: Math.max(known.foreignLoad, (known.host.slots ?? known.slots) - known.inFlight),
    reportedAtMs: nowMs,
  });

/** Another upstream has the address; the host list will follow. */
const markGone = (known: upstreamState.UpstreamState): upstreamState.UpstreamState => ({
  ...known,
  host: { ...known.host, state: 'leaving' },
});

const UPSTREAM_NOTES: Readonly<
  Record<
    events.RelayFailure,
    (nowMs: number) => (known: upstreamState.UpstreamState) => upstreamState.UpstreamState
  >
> = {
  unreachable: () => countFailure,
  broken: () => countFailure,
  silent: () => countFailure,
  garbage: () => (known) => known,
  turnedAway: markFull,
  misdirected: () => markGone,
};

/** Ends an answer that has begun and that no upstream goes on with, so that it looks cut off. */
const cutAnswer = (
  current: routerState.RouterState,
  { request, attempt }: Located,
  stamp: events.Stamp,
): step.Step => {
  const cancelled = slots.cancelAttempt(current, request.id, attempt, stamp);
  return step.chainStep(cancelled, (next) =>
    refusal.refuseRequest(next, next.requests.get(request.id) ?? request, 'answerIncomplete', null),
  );
};

/** A whole failure of an upstream's own is passed on unless the request may run elsewhere. */
export const retryAnswered = (
  current: routerState.RouterState,
  { request, relay, attempt }: Located,
  event: events.EventOf<'relayHeadArrived'>,
): step.Step => {
  const noted = noteUpstream(current, attempt.upstreamId, event.nowMs, countFailure);
  const held = noted.requests.get(request.id) ?? request;
  const hasBegun = request.relayedAttempt !== null;
  if (!request.isRepeatable || !canSendAgain(noted, request, relay, event.nowMs)) {
    return hasBegun
      ? cutAnswer(noted, { request: held, relay, attempt }, event)
      : step.makeStep(routerState.setRequest(noted, { ...held, relayedAttempt: attempt.id }), {
          type: 'relayAnswer',
          requestId: request.id,
          attemptId: attempt.id,
        });
  }
  return moveAttempt(noted, attempt, request.id, event);
};

const FAILURE_CODES: Readonly<Record<events.RelayFailure, shared.errorCodes.ErrorCode>> = {
  unreachable: 'upstreamFailed',
  broken: 'upstreamFailed',
  silent: 'deadlineExceeded',
  garbage: 'upstreamGarbage',
  // Told only if an earlier send may have run; else the request is refused as not run.
  turnedAway: 'upstreamFailed',
  misdirected: 'upstreamFailed',
};

const recoverRequest = (
  current: routerState.RouterState,
  requestId: string,
  event: events.EventOf<'relayFailed'>,
): step.Step => {
  const request = current.requests.get(requestId);
  const relay = request?.relay ?? null;
  if (request === undefined || relay === null) {
    return step.makeStep(current);
  }
  const mayRepeat = request.isRepeatable || relayRefusal.countPossibleRuns(request) === 0;
  return mayRepeat && canSendAgain(current, request, relay, event.nowMs)
    ? sendAgain(current, request, event)
    : relayRefusal.endUnanswered(current, request, FAILURE_CODES[event.failure], event);
};

/**
 * Work on an upstream that cannot be reached goes on elsewhere if it may be repeated or was not sent yet; the
 * rest keeps waiting.
 */
export const leaveUpstream = (
  current: routerState.RouterState,
  located: Located,
  stamp: events.Stamp,
): step.Step => {
  const { request, relay, attempt } = located;
  return request.isRepeatable && canSendAgain(current, request, relay, stamp.nowMs)
    ? moveAttempt(current, attempt, request.id, stamp)
    : step.makeStep(current, {
        type: 'dropUnsent',
        requestId: request.id,
        attemptId: attempt.id,
      });
};

/** Decides what becomes of a request whose attempt failed. */
export const recoverFailed = (
  current: routerState.RouterState,
  located: Located,
  event: events.EventOf<'relayFailed'>,
): step.Step => {
  const { request, relay, attempt } = located;
  const freed = slots.releaseAttempt(current, request.id, attempt, event.nowMs);
  const noted = noteUpstream(
    freed,
    attempt.upstreamId,
    event.nowMs,
    UPSTREAM_NOTES[event.failure](event.nowMs),
  );
  const held = noted.requests.get(request.id) ?? request;
  const progressed = routerState.setRequest(noted, {
    ...held,
    sentCount: held.sentCount - Number(event.isUnsent),
    relay: {
      ...relay,
      notRunCount: relay.notRunCount + Number(event.isNotRun && !event.isUnsent),
    },
  });
  const recovered = recoverRequest(progressed, request.id, event);
  return step.chainStep(recovered, (next) =>
    dispatch.drainUpstream(next, attempt.upstreamId, event),
  );
};

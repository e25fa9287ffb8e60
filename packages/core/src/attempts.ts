import type * as effects from './effects.js';
import * as completion from './completion.js';
import * as crashEvidence from './crashEvidence.js';
import * as dispatch from './dispatch.js';
import type * as events from './events.js';
import * as health from './health.js';
import * as serviceState from './serviceState.js';
import * as requestAttempt from './requestAttempt.js';
import * as quarantine from './quarantine.js';
import * as recovery from './recovery.js';
import * as refusal from './refusal.js';
import type * as requestState from './requestState.js';
import * as routerState from './routerState.js';
import * as sessions from './sessions.js';
import * as slots from './slots.js';
import * as transition from './transition.js';
import * as upstreamState from './upstreamState.js';

const recordFirstTokenTiming = (
  current: routerState.RouterState,
  { request, attempt }: requestAttempt.RequestAttempt,
  nowMs: number,
): routerState.RouterState => {
  const elapsedMs = (nowMs - attempt.startedAtMs) / dispatch.computePromptFactor(request.shape);
  const lane = routerState.getServiceState(current, request.service, nowMs);
  const typicalMs = Math.max(1, lane.medianFirstTokenMs.value);
  const slowness = lane.medianFirstTokenMs.count === 0 ? 1 : elapsedMs / typicalMs;
  const timed = routerState.updateServiceState(current, request.service, nowMs, (known) =>
    serviceState.recordFirstToken(known, elapsedMs),
  );
  const noted = routerState.updateUpstream(timed, attempt.upstreamId, (known) =>
    upstreamState.recordFirstToken(known, slowness, nowMs),
  );
  const returned = health.evaluateProbation(noted, attempt.upstreamId, slowness, nowMs);
  return health.evaluateUpstream(returned, attempt.upstreamId, nowMs);
};

const cancelOthers = (
  current: routerState.RouterState,
  { request, attempt }: requestAttempt.RequestAttempt,
  stamp: events.Stamp,
): transition.Transition =>
  slots.cancelAttempts(
    current,
    request.id,
    request.attempts.filter((other) => other.id !== attempt.id),
    stamp,
  );

const forwardAttempt = (
  current: routerState.RouterState,
  { request, attempt }: requestAttempt.RequestAttempt,
): transition.Transition =>
  transition.makeTransition(
    routerState.setRequest(current, { ...request, forwardedAttempt: attempt.id }),
    {
      type: 'forwardAttempt',
      requestId: request.id,
      attemptId: attempt.id,
      pin: sessions.makePin(request),
      hasMovedSession: request.hasMovedSession,
    },
  );

const chooseAttempt = (
  current: routerState.RouterState,
  located: requestAttempt.RequestAttempt,
  stamp: events.Stamp,
): transition.Transition =>
  transition.composeTransition(forwardAttempt(current, located), (next) =>
    cancelOthers(next, located, stamp),
  );

const handleFirstToken = (
  current: routerState.RouterState,
  event: events.EventOf<'attemptFirstToken'>,
): transition.Transition => {
  const located = requestAttempt.findAttempt(current, event);
  if (located === null || located.request.forwardedAttempt !== null) {
    return transition.makeTransition(current);
  }
  return chooseAttempt(recordFirstTokenTiming(current, located, event.nowMs), located, event);
};

const handleAttemptEnded = (
  current: routerState.RouterState,
  event: events.EventOf<'attemptEnded'>,
): transition.Transition => {
  const located = requestAttempt.findAttempt(current, event);
  if (located === null) {
    return transition.makeTransition(current);
  }
  const first =
    located.request.forwardedAttempt === null
      ? handleFirstToken(current, { ...event, type: 'attemptFirstToken' })
      : transition.makeTransition(current);
  return transition.composeTransition(first, (next) => {
    const freed = slots.releaseAttempt(next, located.request.id, located.attempt, event.nowMs);
    const ended = completion.endAnswer(freed, located.request.id, located.attempt, event);
    return transition.composeTransition(ended, (after) =>
      dispatch.drainUpstream(after, located.attempt.upstreamId, event),
    );
  });
};

const UPSTREAM_FAILURES: ReadonlySet<events.AttemptFailure> = new Set([
  'unreachable',
  'crashed',
  'silent',
  'failed',
]);

const countUpstreamFailure = (
  current: routerState.RouterState,
  { attempt }: requestAttempt.RequestAttempt,
  event: events.EventOf<'attemptFailed'>,
): routerState.RouterState => {
  if (!UPSTREAM_FAILURES.has(event.failure)) {
    return current;
  }
  const noted = routerState.updateUpstream(current, attempt.upstreamId, (known) => ({
    ...known,
    consecutiveFailures: known.consecutiveFailures + 1,
  }));
  return health.evaluateUpstream(noted, attempt.upstreamId, event.nowMs);
};

/** Failures of one upstream within this span count as one crash, in milliseconds. */
const CRASH_SPAN_MS = 1_000;

/** Names a crash so that routers which see the same one count it once. */
const nameCrash = (upstreamId: string, nowMs: number): string =>
  `${upstreamId}@${Math.floor(nowMs / CRASH_SPAN_MS)}`;

const recordCrash = (
  current: routerState.RouterState,
  { request, attempt }: requestAttempt.RequestAttempt,
  event: events.EventOf<'attemptFailed'>,
): transition.Transition => {
  if (event.failure !== 'crashed' || current.policy.quarantine === 'off') {
    return transition.makeTransition(current);
  }
  const suspect = { ...request, isSuspect: true };
  return crashEvidence.recordCrash(
    routerState.setRequest(current, suspect),
    request.shape.fingerprint,
    nameCrash(attempt.upstreamId, event.nowMs),
    event.nowMs,
  );
};

const recordProgress = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  event: events.EventOf<'attemptFailed'>,
): routerState.RouterState =>
  routerState.setRequest(current, {
    ...request,
    sentCount: request.sentCount - Number(event.isUnsent),
    tokensForwarded: Math.max(request.tokensForwarded, event.tokensForwarded),
    forwardedAttempt:
      request.forwardedAttempt === event.attemptId ? null : request.forwardedAttempt,
  });

const handleAttemptFailed = (
  current: routerState.RouterState,
  event: events.EventOf<'attemptFailed'>,
): transition.Transition => {
  const located = requestAttempt.findAttempt(current, event);
  if (located === null) {
    return transition.makeTransition(current);
  }
  const progressed = recordProgress(current, located.request, event);
  const freed = slots.releaseAttempt(progressed, located.request.id, located.attempt, event.nowMs);
  const noted = countUpstreamFailure(freed, located, event);
  const request = noted.requests.get(located.request.id);
  if (request === undefined) {
    return transition.makeTransition(noted);
  }
  const crashed = recordCrash(noted, { ...located, request }, event);
  const recovered = transition.composeTransition(crashed, (next) =>
    recovery.recoverRequest(next, request.id, event),
  );
  return transition.composeTransition(recovered, (next) =>
    dispatch.drainUpstream(next, located.attempt.upstreamId, event),
  );
};

const handleCallerGone = (
  current: routerState.RouterState,
  event: events.EventOf<'callerGone'>,
): transition.Transition => {
  const request = current.requests.get(event.requestId);
  // Once the entry is on its way the answer is whole and billed, even if nobody reads its end.
  if (request === undefined || request.phase === 'ending') {
    return transition.makeTransition(current);
  }
  const left = dispatch.removeFromQueue(current, request, event.nowMs);
  const cancelled = slots.cancelAttempts(left, request.id, request.attempts, event);
  return transition.composeTransition(cancelled, (next) =>
    refusal.refuseRequest(next, next.requests.get(request.id) ?? request, 'callerGone', null),
  );
};

const handleClaimResolved = (
  current: routerState.RouterState,
  event: events.EventOf<'claimResolved'>,
): transition.Transition => {
  const request = current.requests.get(event.requestId);
  if (request === undefined) {
    // The caller left while the claim was written; nothing was sent, so a resend may run.
    const release: readonly effects.Effect[] =
      event.result === 'granted' ? [{ type: 'releaseClaim', requestId: event.requestId }] : [];
    return transition.makeTransition(current, ...release);
  }
  if (request.phase !== 'claiming') {
    return transition.makeTransition(current);
  }
  if (event.result === 'answered') {
    return transition.makeTransition(
      { ...current, requests: current.requests.remove(request.id) },
      { type: 'replayAnswer', requestId: request.id },
    );
  }
  if (event.result !== 'granted') {
    const code = event.result === 'mayHaveRun' ? 'mayHaveRun' : 'claimsUnavailable';
    return refusal.refuseRequest(current, request, code, null);
  }
  return dispatch.placeRequest(current, { ...request, hasClaim: true }, event);
};

const handleCrashEvidence = (
  current: routerState.RouterState,
  event: events.EventOf<'crashEvidenceReceived'>,
): transition.Transition =>
  transition.makeTransition({
    ...current,
    quarantine: quarantine.addCrashes(
      current.quarantine,
      event.fingerprint,
      event.crashes,
      event.nowMs,
    ),
  });

/** Handlers of the events in the life of a request after its arrival. */
export const HANDLERS = {
  claimResolved: handleClaimResolved,
  attemptFirstToken: handleFirstToken,
  attemptEnded: handleAttemptEnded,
  attemptFailed: handleAttemptFailed,
  callerGone: handleCallerGone,
  crashEvidenceReceived: handleCrashEvidence,
} as const;

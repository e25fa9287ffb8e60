import type * as effects from './effects.js';
import * as waitingRequests from './admission/waitingRequests.js';
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
import * as versionEvidence from './routed/versionEvidence.js';
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
  const service = routerState.getServiceState(current, request.service, nowMs);
  const typicalMs = Math.max(1, service.medianFirstTokenMs.value);
  const slowness = service.medianFirstTokenMs.count === 0 ? 1 : elapsedMs / typicalMs;
  const timed = routerState.updateServiceState(current, request.service, nowMs, (state) =>
    serviceState.recordFirstToken(state, elapsedMs),
  );
  const updated = routerState.updateUpstream(timed, attempt.upstreamId, (upstream) =>
    upstreamState.recordFirstToken(upstream, slowness, nowMs),
  );
  const evaluated = health.evaluateProbation(updated, attempt.upstreamId, slowness, nowMs);
  return health.evaluateUpstream(evaluated, attempt.upstreamId, nowMs);
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
  target: requestAttempt.RequestAttempt,
  stamp: events.Stamp,
): transition.Transition =>
  transition.composeTransition(forwardAttempt(current, target), (next) =>
    cancelOthers(next, target, stamp),
  );

const handleFirstToken = (
  current: routerState.RouterState,
  event: events.EventOf<'attemptFirstToken'>,
): transition.Transition => {
  const target = requestAttempt.findAttempt(current, event);
  if (target === null || target.request.forwardedAttempt !== null) {
    return transition.makeTransition(current);
  }
  return chooseAttempt(recordFirstTokenTiming(current, target, event.nowMs), target, event);
};

const handleAttemptEnded = (
  current: routerState.RouterState,
  event: events.EventOf<'attemptEnded'>,
): transition.Transition => {
  const target = requestAttempt.findAttempt(current, event);
  if (target === null) {
    return transition.makeTransition(current);
  }
  const first =
    target.request.forwardedAttempt === null
      ? handleFirstToken(current, { ...event, type: 'attemptFirstToken' })
      : transition.makeTransition(current);
  return transition.composeTransition(first, (next) => {
    const freed = slots.releaseAttempt(next, target.request.id, target.attempt, event.nowMs);
    const ended = completion.endAnswer(freed, target.request.id, target.attempt, event);
    return transition.composeTransition(ended, (after) =>
      dispatch.drainUpstream(after, target.attempt.upstreamId, event),
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
  const updated = routerState.updateUpstream(current, attempt.upstreamId, (upstream) => ({
    ...upstream,
    consecutiveFailures: upstream.consecutiveFailures + 1,
  }));
  return health.evaluateUpstream(updated, attempt.upstreamId, event.nowMs);
};

/** Time span within which failures of one upstream count as the same crash, in milliseconds. */
const CRASH_SPAN_MS = 1_000;

/**
 * Builds the id of a crash. Routers that observe the same crash build the same id, so that it is
 * counted once.
 */
const makeCrashId = (upstreamId: string, nowMs: number): string =>
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
    makeCrashId(attempt.upstreamId, event.nowMs),
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
  const target = requestAttempt.findAttempt(current, event);
  if (target === null) {
    return transition.makeTransition(current);
  }
  const progressed = recordProgress(current, target.request, event);
  const freed = slots.releaseAttempt(progressed, target.request.id, target.attempt, event.nowMs);
  const updated = countUpstreamFailure(freed, target, event);
  const request = updated.requests.get(target.request.id);
  if (request === undefined) {
    return transition.makeTransition(updated);
  }
  const crashed = recordCrash(updated, { ...target, request }, event);
  const recovered = transition.composeTransition(crashed, (next) =>
    recovery.recoverRequest(next, request.id, event),
  );
  return transition.composeTransition(recovered, (next) =>
    dispatch.drainUpstream(next, target.attempt.upstreamId, event),
  );
};

const handleCallerGone = (
  current: routerState.RouterState,
  event: events.EventOf<'callerGone'>,
): transition.Transition => {
  const request = current.requests.get(event.requestId);
  // In the ending phase the answer is complete and billed, whether or not the caller reads its end.
  if (request === undefined || request.phase === 'ending') {
    return transition.makeTransition(current);
  }
  // A caller that leaves before its answer is late says nothing about the version.
  const lateMs = request.routed?.route.targetLatencyMs ?? Infinity;
  const withEvidence = versionEvidence.recordUnanswered(current, request, lateMs, event.nowMs);
  const dequeued = waitingRequests.removeFromQueue(withEvidence, request, event.nowMs);
  const cancelled = slots.cancelAttempts(dequeued, request.id, request.attempts, event);
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
    // The caller disconnected while the claim was written. Nothing was sent, so the claim is
    // released to let a resend run.
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

/** Handlers of claim results, attempts, disconnected callers and crash evidence of other routers. */
export const HANDLERS = {
  claimResolved: handleClaimResolved,
  attemptFirstToken: handleFirstToken,
  attemptEnded: handleAttemptEnded,
  attemptFailed: handleAttemptFailed,
  callerGone: handleCallerGone,
  crashEvidenceReceived: handleCrashEvidence,
} as const;

import type * as effects from './effects.js';
import * as completion from './completion.js';
import * as crashEvidence from './crashEvidence.js';
import * as dispatch from './dispatch.js';
import type * as events from './events.js';
import * as health from './health.js';
import * as laneState from './laneState.js';
import * as locatedAttempt from './locatedAttempt.js';
import * as quarantine from './quarantine.js';
import * as recovery from './recovery.js';
import * as refusal from './refusal.js';
import type * as requestState from './requestState.js';
import * as routerState from './routerState.js';
import * as sessions from './sessions.js';
import * as slots from './slots.js';
import * as step from './step.js';
import * as upstreamState from './upstreamState.js';

const recordTiming = (
  current: routerState.RouterState,
  { request, attempt }: locatedAttempt.Located,
  nowMs: number,
): routerState.RouterState => {
  const elapsedMs = (nowMs - attempt.startedAtMs) / dispatch.getSizeFactor(request.shape);
  const lane = routerState.getLane(current, request.service, nowMs);
  const typicalMs = Math.max(1, lane.medianFirstTokenMs.value);
  const slowness = lane.medianFirstTokenMs.count === 0 ? 1 : elapsedMs / typicalMs;
  const timed = routerState.updateLane(current, request.service, nowMs, (known) =>
    laneState.recordFirstToken(known, elapsedMs),
  );
  const noted = routerState.updateUpstream(timed, attempt.upstreamId, (known) =>
    upstreamState.recordFirstToken(known, slowness, nowMs),
  );
  const returned = health.judgeProbation(noted, attempt.upstreamId, slowness, nowMs);
  return health.judgeUpstream(returned, attempt.upstreamId, nowMs);
};

const cancelOthers = (
  current: routerState.RouterState,
  { request, attempt }: locatedAttempt.Located,
  stamp: events.Stamp,
): step.Step =>
  slots.cancelAttempts(
    current,
    request.id,
    request.attempts.filter((other) => other.id !== attempt.id),
    stamp,
  );

const markRelayed = (
  current: routerState.RouterState,
  { request, attempt }: locatedAttempt.Located,
): step.Step =>
  step.makeStep(routerState.setRequest(current, { ...request, relayedAttempt: attempt.id }), {
    type: 'relayAttempt',
    requestId: request.id,
    attemptId: attempt.id,
    pin: sessions.makePin(request),
    hasMovedSession: request.hasMovedSession,
  });

const chooseAttempt = (
  current: routerState.RouterState,
  located: locatedAttempt.Located,
  stamp: events.Stamp,
): step.Step =>
  step.chainStep(markRelayed(current, located), (next) => cancelOthers(next, located, stamp));

const handleFirstToken = (
  current: routerState.RouterState,
  event: events.EventOf<'attemptFirstToken'>,
): step.Step => {
  const located = locatedAttempt.findAttempt(current, event);
  if (located === null || located.request.relayedAttempt !== null) {
    return step.makeStep(current);
  }
  return chooseAttempt(recordTiming(current, located, event.nowMs), located, event);
};

const handleAttemptEnded = (
  current: routerState.RouterState,
  event: events.EventOf<'attemptEnded'>,
): step.Step => {
  const located = locatedAttempt.findAttempt(current, event);
  if (located === null) {
    return step.makeStep(current);
  }
  const first =
    located.request.relayedAttempt === null
      ? handleFirstToken(current, { ...event, type: 'attemptFirstToken' })
      : step.makeStep(current);
  return step.chainStep(first, (next) => {
    const freed = slots.releaseAttempt(next, located.request.id, located.attempt, event.nowMs);
    const ended = completion.endAnswer(freed, located.request.id, located.attempt, event);
    return step.chainStep(ended, (after) =>
      dispatch.drainUpstream(after, located.attempt.upstreamId, event),
    );
  });
};

const FAILURES_OF_UPSTREAM: ReadonlySet<events.AttemptFailure> = new Set([
  'unreachable',
  'crashed',
  'silent',
  'failed',
]);

const noteFailure = (
  current: routerState.RouterState,
  { attempt }: locatedAttempt.Located,
  event: events.EventOf<'attemptFailed'>,
): routerState.RouterState => {
  if (!FAILURES_OF_UPSTREAM.has(event.failure)) {
    return current;
  }
  const noted = routerState.updateUpstream(current, attempt.upstreamId, (known) => ({
    ...known,
    failuresInRow: known.failuresInRow + 1,
  }));
  return health.judgeUpstream(noted, attempt.upstreamId, event.nowMs);
};

/** Failures of one upstream within this span count as one crash, in milliseconds. */
const CRASH_SPAN_MS = 1_000;

/** Names a crash so that routers which see the same one count it once. */
const nameCrash = (upstreamId: string, nowMs: number): string =>
  `${upstreamId}@${Math.floor(nowMs / CRASH_SPAN_MS)}`;

const noteCrash = (
  current: routerState.RouterState,
  { request, attempt }: locatedAttempt.Located,
  event: events.EventOf<'attemptFailed'>,
): step.Step => {
  if (event.failure !== 'crashed' || current.policy.quarantine === 'off') {
    return step.makeStep(current);
  }
  const suspect = { ...request, isSuspect: true };
  return crashEvidence.recordCrash(
    routerState.setRequest(current, suspect),
    request.shape.fingerprint,
    nameCrash(attempt.upstreamId, event.nowMs),
    event.nowMs,
  );
};

const noteProgress = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  event: events.EventOf<'attemptFailed'>,
): routerState.RouterState =>
  routerState.setRequest(current, {
    ...request,
    sentCount: request.sentCount - Number(event.isUnsent),
    tokensRelayed: Math.max(request.tokensRelayed, event.tokensRelayed),
    relayedAttempt: request.relayedAttempt === event.attemptId ? null : request.relayedAttempt,
  });

const handleAttemptFailed = (
  current: routerState.RouterState,
  event: events.EventOf<'attemptFailed'>,
): step.Step => {
  const located = locatedAttempt.findAttempt(current, event);
  if (located === null) {
    return step.makeStep(current);
  }
  const progressed = noteProgress(current, located.request, event);
  const freed = slots.releaseAttempt(progressed, located.request.id, located.attempt, event.nowMs);
  const noted = noteFailure(freed, located, event);
  const request = noted.requests.get(located.request.id);
  if (request === undefined) {
    return step.makeStep(noted);
  }
  const crashed = noteCrash(noted, { ...located, request }, event);
  const recovered = step.chainStep(crashed, (next) =>
    recovery.recoverRequest(next, request.id, event),
  );
  return step.chainStep(recovered, (next) =>
    dispatch.drainUpstream(next, located.attempt.upstreamId, event),
  );
};

const handleCallerGone = (
  current: routerState.RouterState,
  event: events.EventOf<'callerGone'>,
): step.Step => {
  const request = current.requests.get(event.requestId);
  // Once the entry is on its way the answer is whole and billed, even if nobody reads its end.
  if (request === undefined || request.phase === 'ending') {
    return step.makeStep(current);
  }
  const left = dispatch.leaveQueue(current, request, event.nowMs);
  const cancelled = slots.cancelAttempts(left, request.id, request.attempts, event);
  return step.chainStep(cancelled, (next) =>
    refusal.refuseRequest(next, next.requests.get(request.id) ?? request, 'callerGone', null),
  );
};

const handleClaimSettled = (
  current: routerState.RouterState,
  event: events.EventOf<'claimSettled'>,
): step.Step => {
  const request = current.requests.get(event.requestId);
  if (request === undefined) {
    // The caller left while the claim was written; nothing was sent, so a resend may run.
    const release: readonly effects.Effect[] =
      event.result === 'granted' ? [{ type: 'releaseClaim', requestId: event.requestId }] : [];
    return step.makeStep(current, ...release);
  }
  if (request.phase !== 'claiming') {
    return step.makeStep(current);
  }
  if (event.result === 'answered') {
    return step.makeStep(
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
): step.Step =>
  step.makeStep({
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
  claimSettled: handleClaimSettled,
  attemptFirstToken: handleFirstToken,
  attemptEnded: handleAttemptEnded,
  attemptFailed: handleAttemptFailed,
  callerGone: handleCallerGone,
  crashEvidenceReceived: handleCrashEvidence,
} as const;

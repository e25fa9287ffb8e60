import * as average from '../average.js';
import * as dispatch from '../dispatch.js';
import type * as effects from '../effects.js';
import type * as events from '../events.js';
import * as health from '../health.js';
import * as laneState from '../laneState.js';
import * as locatedAttempt from '../locatedAttempt.js';
import * as quarantine from '../quarantine.js';
import * as routerState from '../routerState.js';
import * as slots from '../slots.js';
import * as step from '../step.js';
import * as upstreamState from '../upstreamState.js';
import * as modelChoice from './modelChoice.js';
import * as prefixMemory from './prefixMemory.js';
import * as relayContext from './relayContext.js';
import * as relayPlacement from './relayPlacement.js';
import * as relayRetry from './relayRetry.js';
import * as relayState from './relayState.js';
import * as versionTrial from './versionTrial.js';

/** Finds the routed attempt an event speaks of. */
const findAttempt = (
  current: routerState.RouterState,
  event: { readonly requestId: string; readonly attemptId: number },
): relayRetry.Located | null => {
  const located = locatedAttempt.findAttempt(current, event);
  const relay = located?.request.relay ?? null;
  return located === null || relay === null ? null : { ...located, relay };
};

/** Counts an answer or a failure as evidence in a roll-out of its service. */
const countEvidence = (
  current: routerState.RouterState,
  { request, relay, attempt }: relayRetry.Located,
  elapsedMs: number | null,
  nowMs: number,
): routerState.RouterState => {
  const trial = current.relay.trials.get(request.service);
  const version = current.upstreams.get(attempt.upstreamId)?.host.version;
  if (trial === undefined || trial.stage !== 'running' || version === undefined) {
    return current;
  }
  const kind = `${relay.route.name}|${relay.model ?? ''}`;
  const answer = { kind, isNew: version === trial.order.to, elapsedMs };
  const counted = versionTrial.countAnswer(trial, current.self.routerId, answer, nowMs);
  const trials = current.relay.trials.set(request.service, versionTrial.judgeTrial(counted));
  return { ...current, relay: { ...current.relay, trials } };
};

const recordHead = (
  current: routerState.RouterState,
  { request, relay, attempt }: relayRetry.Located,
  nowMs: number,
): routerState.RouterState => {
  const units = 1 + attempt.prefillTokens / relayContext.TOKENS_PER_UNIT;
  const unitMs = (nowMs - attempt.startedAtMs) / units;
  const typicalMs = relayContext.getTypicalMs(
    current.relay,
    'headTimes',
    request.service,
    relay.model,
  );
  const slowness = typicalMs === null ? 1 : unitMs / Math.max(1, typicalMs);
  const context = relayContext.recordTypical(
    current.relay,
    'headTimes',
    request.service,
    relay.model,
    unitMs,
  );
  const elapsedMs = nowMs - attempt.startedAtMs;
  const crowded = relayContext.recordCrowding(
    context,
    request.service,
    elapsedMs / relay.route.targetLatencyMs,
  );
  const parts = prefixMemory.recordParts(
    crowded.parts,
    attempt.upstreamId,
    relay.model,
    relay.call,
    nowMs,
  );
  const timed = routerState.updateUpstream(
    { ...current, relay: { ...crowded, parts } },
    attempt.upstreamId,
    (known) => upstreamState.recordFirstToken(known, slowness, nowMs),
  );
  const returned = health.judgeProbation(timed, attempt.upstreamId, slowness, nowMs);
  return health.judgeUpstream(returned, attempt.upstreamId, nowMs);
};

/** An attempt that has its head no longer waits to read its prompt. */
const clearPrefill = (
  current: routerState.RouterState,
  { request, attempt }: relayRetry.Located,
): routerState.RouterState =>
  routerState.setRequest(
    routerState.updateUpstream(current, attempt.upstreamId, (known) => ({
      ...known,
      prefillTokens: Math.max(0, known.prefillTokens - attempt.prefillTokens),
    })),
    {
      ...request,
      attempts: request.attempts.map((item) =>
        item.id === attempt.id ? { ...item, prefillTokens: 0 } : item,
      ),
    },
  );

const relayHead = (current: routerState.RouterState, located: relayRetry.Located): step.Step => {
  const version = current.upstreams.get(located.attempt.upstreamId)?.host.version ?? null;
  const request = current.requests.get(located.request.id) ?? located.request;
  return step.makeStep(
    routerState.setRequest(current, {
      ...request,
      relayedAttempt: located.attempt.id,
      relay: { ...located.relay, version },
    }),
    { type: 'relayAnswer', requestId: request.id, attemptId: located.attempt.id },
  );
};

const describePool = (
  current: routerState.RouterState,
  { request, relay }: relayRetry.Located,
  nowMs: number,
): modelChoice.PoolState => {
  const largest = relay.route.sizes.at(-1) ?? null;
  return {
    crowding: relayContext.getCrowding(current.relay, request.service),
    largestMs: relayPlacement.estimateStreamMs(current, request.service, largest, relay.call),
    leftMs: request.deadlineAtMs - nowMs,
  };
};

const describeDecision = (
  { request, relay, attempt }: relayRetry.Located,
  event: events.EventOf<'relayHeadArrived'>,
  better: string | null,
): effects.EffectOf<'log'> => ({
  type: 'log',
  message: better === null ? 'answer kept' : 'answer replaced',
  fields: {
    request: request.id,
    upstream: attempt.upstreamId,
    model: relay.model,
    better,
    confidence: event.head.confidence,
    tokensIn: relay.call.tokensIn,
    tokensOut: request.expectedTokens,
    elapsedMs: Math.round(event.nowMs - attempt.startedAtMs),
  },
});

const describeFailure = (
  { request, attempt }: relayRetry.Located,
  event: events.EventOf<'relayHeadArrived'>,
): effects.EffectOf<'log'> => ({
  type: 'log',
  message: 'upstream answered with a failure',
  fields: {
    request: request.id,
    upstream: attempt.upstreamId,
    status: event.head.status,
    sentCount: request.sentCount,
    elapsedMs: Math.round(event.nowMs - attempt.startedAtMs),
  },
});

const handleHead = (
  current: routerState.RouterState,
  event: events.EventOf<'relayHeadArrived'>,
): step.Step => {
  const located = findAttempt(current, event);
  if (located === null) {
    return step.makeStep(current);
  }
  const { request, relay, attempt } = located;
  const elapsedMs = event.nowMs - attempt.startedAtMs;
  if (event.head.status >= relayState.FIRST_FAILURE_STATUS) {
    const counted = countEvidence(current, located, null, event.nowMs);
    return step.chainStep(step.makeStep(counted, describeFailure(located, event)), (next) =>
      relayRetry.retryAnswered(next, located, event),
    );
  }
  const counted = countEvidence(current, located, elapsedMs, event.nowMs);
  const timed = clearPrefill(recordHead(counted, located, event.nowMs), located);
  const { view } = timed.relay;
  const isFirstPiece = request.relayedAttempt === null && relay.call.lastEventId === null;
  const better =
    view === null || !isFirstPiece
      ? null
      : modelChoice.pickBetterModel(
          view,
          request.service,
          relay,
          event.head.confidence,
          describePool(timed, located, event.nowMs),
        );
  const replaced = better === null ? null : relayRetry.replaceModel(timed, located, better, event);
  const decided = replaced ?? relayHead(timed, located);
  return event.head.confidence === null
    ? decided
    : step.chainStep(decided, (next) =>
        step.makeStep(next, describeDecision(located, event, replaced === null ? null : better)),
      );
};

/** Weight of one stream in an upstream's relative pace. */
const PACE_WEIGHT = 0.2;

/** Learns how fast an upstream's streams go on, relative to others of the same model. */
const recordPace = (
  current: routerState.RouterState,
  { request, relay, attempt }: relayRetry.Located,
  event: events.EventOf<'relayEnded'>,
): routerState.RouterState => {
  if (event.events < 2) {
    return current;
  }
  const eventMs = Math.max(0.1, event.streamMs / (event.events - 1));
  const typicalMs = relayContext.getTypicalMs(
    current.relay,
    'eventTimes',
    request.service,
    relay.model,
  );
  const context = relayContext.recordTypical(
    current.relay,
    'eventTimes',
    request.service,
    relay.model,
    eventMs,
  );
  return routerState.updateUpstream(
    { ...current, relay: context },
    attempt.upstreamId,
    (known) => ({
      ...known,
      eventSlowness: average.updateAverage(
        known.eventSlowness,
        typicalMs === null ? 1 : eventMs / typicalMs,
        PACE_WEIGHT,
      ),
    }),
  );
};

const handleEnded = (
  current: routerState.RouterState,
  event: events.EventOf<'relayEnded'>,
): step.Step => {
  const located = findAttempt(current, event);
  if (located === null) {
    return step.makeStep(current);
  }
  const { request, attempt } = located;
  const paced = recordPace(current, located, event);
  const freed = slots.releaseAttempt(paced, request.id, attempt, event.nowMs);
  const timed = routerState.updateLane(freed, request.service, event.nowMs, (lane) =>
    laneState.recordFinished(
      lane,
      request.expectedTokens,
      event.nowMs - attempt.startedAtMs,
      event.nowMs,
    ),
  );
  const finished: routerState.RouterState = {
    ...timed,
    requests: timed.requests.remove(request.id),
    quarantine: quarantine.clearSuspicion(timed.quarantine, request.shape.fingerprint),
  };
  const effect: effects.EffectOf<'finishAnswer'> = {
    type: 'finishAnswer',
    requestId: request.id,
    pin: null,
    hasMovedSession: false,
  };
  return step.chainStep(step.makeStep(finished, effect), (next) =>
    dispatch.drainUpstream(next, attempt.upstreamId, event),
  );
};

/** Failures that say something about the upstream's version. */
const EVIDENCE: ReadonlySet<events.RelayFailure> = new Set(['broken', 'silent', 'garbage']);

const handleFailed = (
  current: routerState.RouterState,
  event: events.EventOf<'relayFailed'>,
): step.Step => {
  const located = findAttempt(current, event);
  if (located === null) {
    return step.makeStep(current);
  }
  const counted = EVIDENCE.has(event.failure)
    ? countEvidence(current, located, null, event.nowMs)
    : current;
  return relayRetry.recoverFailed(counted, located, event);
};

const listAttempts = (
  current: routerState.RouterState,
  upstreamId: string,
): readonly relayRetry.Located[] =>
  current.requests
    .valueSeq()
    .toArray()
    .flatMap((request) =>
      request.attempts
        .filter((attempt) => attempt.upstreamId === upstreamId)
        .map((attempt) => findAttempt(current, { requestId: request.id, attemptId: attempt.id })),
    )
    .filter((located) => located !== null);

const handleReached = (
  current: routerState.RouterState,
  event: events.EventOf<'upstreamReached'>,
): step.Step => {
  const { upstreamId, isReachable } = event;
  const noted = step.makeStep(
    routerState.updateUpstream(current, upstreamId, (known) => ({ ...known, isReachable })),
    { type: 'log', message: 'upstream reached', fields: { upstream: upstreamId, isReachable } },
  );
  return isReachable
    ? step.chainStep(noted, (next) => dispatch.drainUpstream(next, upstreamId, event))
    : listAttempts(current, upstreamId).reduce(
        (done, located) =>
          step.chainStep(done, (next) => relayRetry.leaveUpstream(next, located, event)),
        noted,
      );
};

/** Handlers of the answers of routed requests. */
export const HANDLERS = {
  relayHeadArrived: handleHead,
  relayEnded: handleEnded,
  relayFailed: handleFailed,
  upstreamReached: handleReached,
} as const;

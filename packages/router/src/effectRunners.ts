import type * as core from '@jayrock/core';
import type * as stores from '@jayrock/stores';
import * as shared from '@jayrock/shared';
import type * as pino from 'pino';
import * as problem from './callers/problem.js';
import * as sessionToken from './callers/sessionToken.js';
import type * as claimService from './claims/claimService.js';
import type * as inputBarrier from './eventLoop/inputBarrier.js';
import type * as ledgerService from './ledger/ledgerService.js';
import type * as namedSessions from './namedSessions.js';
import type * as orderService from './orders/orderService.js';
import type * as peerService from './peers/peerService.js';
import type * as pendingRequest from './pendingRequest.js';
import type * as routerRuntime from './routerRuntime.js';
import type * as serviceLevels from './serviceLevels.js';
import * as timerEvents from './timerEvents.js';
import type * as connectionPools from './upstreams/connectionPools.js';
import * as attemptRunner from './upstreams/attemptRunner.js';
import type * as interTokenMonitor from './upstreams/interTokenMonitor.js';

/** Dependencies of the effect runners. */
export interface RunnerContext {
  readonly runtime: routerRuntime.Runtime;
  readonly settings: shared.settings.Settings;
  readonly pending: Map<string, pendingRequest.PendingRequest>;
  readonly pools: connectionPools.ConnectionPools;
  readonly barrier: inputBarrier.InputBarrier;
  readonly interTokens: interTokenMonitor.InterTokenMonitor;
  readonly rating: stores.ratingService.RatingService;
  readonly claims: claimService.ClaimService;
  readonly ledger: ledgerService.LedgerService;
  readonly peers: peerService.PeerService;
  readonly levels: serviceLevels.ServiceLevels;
  readonly log: pino.Logger;
  readonly orders: orderService.OrderService;
  readonly sessions: namedSessions.NamedSessions;
  readonly proposeRollout: (change: core.effects.EffectOf<'proposeRollout'>) => void;
}

type Pending = pendingRequest.PendingRequest;

const makeHeaders = (
  context: RunnerContext,
  pending: Pending,
  pin: core.requestState.SessionPin | null,
  hasMovedSession: boolean,
): Readonly<Record<string, string>> => {
  const signingKey = context.runtime.getState().config?.source.signingKey;
  const tokenHeader =
    pin === null || signingKey === undefined
      ? {}
      : { 'x-jayrock-session': sessionToken.signToken(pin, pending.customer, signingKey) };
  const movedHeader = hasMovedSession ? { 'x-jayrock-session-moved': 'true' } : {};
  return {
    'x-request-id': pending.requestId,
    'x-jayrock-version': pending.versionId,
    ...tokenHeader,
    ...movedHeader,
  };
};

const logRequest = (context: RunnerContext, pending: Pending, outcome: string): void =>
  context.log.info(
    {
      requestId: pending.requestId,
      customer: pending.customer,
      version: pending.versionId,
      upstream: pending.upstreamId,
      outcome,
      tokens: pending.tokensForwarded,
      elapsedMs: Date.now() - pending.arrivedAtMs,
    },
    'request ended',
  );

const withPending = (
  context: RunnerContext,
  requestId: string,
  run: (pending: Pending) => void,
): void => {
  const pending = context.pending.get(requestId);
  if (pending !== undefined) {
    run(pending);
  }
};

/** Removes a finished request, and records and logs its outcome. */
export const endRequest = (context: RunnerContext, pending: Pending, outcome: string): void => {
  context.pending.delete(pending.requestId);
  context.levels.record(context.runtime.getState(), pending, outcome);
  logRequest(context, pending, outcome);
};

const refuse = (
  context: RunnerContext,
  pending: Pending,
  effect: core.effects.EffectOf<'refuse'>,
): void => {
  const refusal = problem.makeProblem(effect.code, effect.notRun, {
    requestId: pending.requestId,
  });
  pending.sink.fail(refusal, effect.retryAfterMs);
  endRequest(context, pending, effect.code);
};

const forwardAttempt = (
  context: RunnerContext,
  pending: Pending,
  effect: core.effects.EffectOf<'forwardAttempt'>,
): void => {
  pending.forwardedAttempt = effect.attemptId;
  if (!pending.isSinkBegun) {
    pending.isSinkBegun = true;
    pending.sink.begin(makeHeaders(context, pending, effect.pin, effect.hasMovedSession));
  }
};

const finishAnswer = (
  context: RunnerContext,
  pending: Pending,
  effect: core.effects.EffectOf<'finishAnswer'>,
): void => {
  if (pending.session !== null && effect.pin !== null) {
    context.sessions.record(pending.session, effect.pin);
  }
  if (pending.answer !== null) {
    context.claims.recordAnswer(pending.requestId, pending.answer);
  }
  pending.sink.finish(makeHeaders(context, pending, effect.pin, effect.hasMovedSession));
  endRequest(context, pending, 'answered');
};

const replayAnswer = (context: RunnerContext, pending: Pending): void => {
  pending.sink.finish({ 'x-request-id': pending.requestId, 'x-jayrock-replayed': 'true' });
  endRequest(context, pending, 'replayed');
};

const rateAnswer = (
  context: RunnerContext,
  pending: Pending,
  effect: core.effects.EffectOf<'rateAnswer'>,
): void => {
  const query = {
    requestId: pending.requestId,
    versionId: effect.versionId,
    prompt: pending.prompt,
    answer: pending.sink.getText(),
  };
  context.rating
    .rate(query)
    .then((score) => {
      if (score !== null) {
        const { customer, plan, classKey, versionId } = effect;
        context.runtime.dispatch({
          type: 'ratingArrived',
          customer,
          plan,
          classKey,
          versionId,
          score,
        });
      }
    })
    .catch((error: unknown) => context.log.error({ error }, 'rating failed'));
};

const rateHeldAnswer = (
  context: RunnerContext,
  pending: Pending,
  effect: core.effects.EffectOf<'rateHeldAnswer'>,
): void => {
  const { requestId, versionId, prompt, sink } = pending;
  context.rating
    .rate({ requestId, versionId, prompt, answer: sink.getText() }, effect.timeoutMs)
    .then((score) => context.runtime.dispatch({ type: 'answerRated', requestId, score }))
    .catch((error: unknown) => context.log.error({ error }, 'rating failed'));
};

const writeClaim = (context: RunnerContext, requestId: string): void => {
  context.claims
    .claim(requestId)
    .then((reply) => {
      withPending(context, requestId, (pending) => {
        pending.answer = reply.answer;
      });
      context.runtime.dispatch({ type: 'claimResolved', requestId, result: reply.result });
    })
    .catch((error: unknown) => context.log.error({ error }, 'claim failed'));
};

/** Makes the effect runners of a router with its own platform, by effect type. */
export const makeEffectRunners = (context: RunnerContext): routerRuntime.EffectRunners => ({
  refuse: (effect) =>
    withPending(context, effect.requestId, (pending) => refuse(context, pending, effect)),
  writeClaim: (effect) => writeClaim(context, effect.requestId),
  releaseClaim: (effect) => context.claims.release(effect.requestId),
  startAttempt: (effect) =>
    withPending(context, effect.requestId, (pending) =>
      attemptRunner.startAttempt(context, pending, effect),
    ),
  forwardAttempt: (effect) =>
    withPending(context, effect.requestId, (pending) => forwardAttempt(context, pending, effect)),
  replayAnswer: (effect) =>
    withPending(context, effect.requestId, (pending) => replayAnswer(context, pending)),
  cancelAttempt: (effect) =>
    withPending(context, effect.requestId, (pending) => {
      pending.attempts.get(effect.attemptId)?.();
      pending.attempts.delete(effect.attemptId);
    }),
  rateHeldAnswer: (effect) =>
    withPending(context, effect.requestId, (pending) => rateHeldAnswer(context, pending, effect)),
  rateAnswer: (effect) =>
    withPending(context, effect.requestId, (pending) => rateAnswer(context, pending, effect)),
  witnessEntry: (effect) => context.ledger.witness(effect.entry),
  writeEntries: (effect) => context.ledger.writeEntries(effect.entries),
  releaseEntries: (effect) => context.ledger.releaseEntries(effect.requestIds),
  finishAnswer: (effect) =>
    withPending(context, effect.requestId, (pending) => finishAnswer(context, pending, effect)),
  armTimer: (effect) => {
    setTimeout(
      () => timerEvents.dispatchTimer(context.barrier, context.runtime, effect.timer),
      effect.delayMs,
    ).unref();
  },
  broadcastBlock: (effect) => context.peers.broadcastBlock(effect.versionId),
  broadcastCrashEvidence: (effect) =>
    context.peers.broadcastCrashEvidence(effect.fingerprint, effect.crashes),
  broadcastLeavingNews: (effect) => context.peers.broadcastLeavingNews(effect.news),
  broadcastRateLimitNews: (effect) => context.peers.broadcastRateLimitNews(effect.news),
  requestPermits: (effect) => context.peers.requestPermits(effect),
  grantPermits: (effect) => context.peers.grantPermits(effect),
  sendProbe: (effect) => context.peers.sendProbe(effect),
  sendIndirectProbe: (effect) => context.peers.sendIndirectProbe(effect),
  fetchConfig: (effect) => context.peers.fetchConfig(effect.address),
  loadClaimLog: (effect) => context.claims.loadLog(effect),
  writeClaimSegment: (effect) => context.claims.writeSegment(effect),
  armClaimTimer: (effect) => {
    setTimeout(
      () => context.runtime.dispatch({ type: 'claimTimerFired', bucket: effect.bucket }),
      effect.delayMs,
    );
  },
  sendOrder: (effect) => context.orders.sendOrder(effect),
  answerClaim: (effect) => context.claims.answerClaim(effect),
  proposeRollout: (effect) => context.proposeRollout(effect),
  log: (effect) => context.log.info(effect.fields, effect.message),
});

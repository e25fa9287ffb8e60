import type * as core from '@jayrock/core';
import * as shared from '@jayrock/shared';
import type * as pino from 'pino';
import type * as peerService from '../peers/peerService.js';
import type * as runtime from '../runtime.js';
import type * as agents from '../upstreams/agents.js';
import * as attemptFailure from '../upstreams/attemptFailure.js';
import type * as reachMonitor from './reachMonitor.js';
import * as relayAttempt from './relayAttempt.js';
import type * as relayMetrics from './relayMetrics.js';
import type * as relayPending from './relayPending.js';
import * as relayServer from './relayServer.js';
import type * as routeSource from './routeSource.js';

/** What the runners of routed requests' effects work with. */
export interface RelayRunnerContext {
  readonly node: runtime.Runtime;
  readonly pending: Map<string, relayPending.RelayPending>;
  readonly pools: agents.Agents;
  readonly peers: peerService.PeerService;
  readonly source: routeSource.RouteSource;
  readonly reach: reachMonitor.ReachMonitor;
  readonly metrics: relayMetrics.RelayMetrics;
  readonly log: pino.Logger;
}

const endRequest = (
  context: RelayRunnerContext,
  pending: relayPending.RelayPending,
  outcome: string,
): void => {
  context.pending.delete(pending.id);
  context.metrics.recordEnd(outcome, performance.now() - pending.arrivedAtMs);
};

/** A process that has ended refuses connections; one that only cut this connection does not. */
const noteCrash = (
  context: RelayRunnerContext,
  upstreamId: string,
  address: string,
  fingerprint: string,
): void => {
  attemptFailure
    .isRefusing(address)
    .then((isRefusing) => {
      if (isRefusing) {
        context.node.dispatch({ type: 'crashWitnessed', fingerprint, upstreamId });
      }
    })
    .catch((error: unknown) => context.log.warn({ error, upstreamId }, 'crash not looked into'));
};

const startAttempt = (
  context: RelayRunnerContext,
  pending: relayPending.RelayPending,
  effect: core.effects.EffectOf<'startAttempt'>,
): void => {
  if (effect.relay === null) {
    return;
  }
  const { requestId, attemptId, upstreamId, address, relay: send } = effect;
  const { fingerprint } = pending;
  context.reach.recordStart(upstreamId, address);
  const running = relayAttempt.startRelayAttempt(
    context.pools,
    { pending, attemptId, upstreamId, address, send },
    {
      handleHead: (head) => {
        context.node.dispatch({ type: 'relayHeadArrived', requestId, attemptId, head });
      },
      handleEnd: (stream) => {
        pending.attempts.delete(attemptId);
        context.node.dispatch({ type: 'relayEnded', requestId, attemptId, ...stream });
      },
      handleFailure: ({ failure, isUnsent, isNotRun, reason }) => {
        pending.attempts.delete(attemptId);
        context.metrics.countFailure(failure);
        context.log.warn(
          {
            requestId: pending.callerId,
            upstream: upstreamId,
            attempt: attemptId,
            failure,
            isUnsent,
            isNotRun,
            reason,
          },
          'attempt failed',
        );
        context.node.dispatch({
          type: 'relayFailed',
          requestId,
          attemptId,
          failure,
          isUnsent,
          isNotRun,
        });
        if (failure === 'broken' && !isNotRun) {
          noteCrash(context, upstreamId, address, fingerprint);
        }
      },
      handleHeard: () => context.reach.recordHeard(upstreamId),
      handleOver: () => context.reach.recordEnd(upstreamId),
      handleLoad: (report) => context.node.dispatch({ type: 'loadReported', upstreamId, report }),
    },
  );
  pending.attempts.set(attemptId, running);
};

const refuse = (
  context: RelayRunnerContext,
  pending: relayPending.RelayPending,
  effect: core.effects.EffectOf<'refuse'>,
): void => {
  const { status } = shared.errorCodes.getErrorRow(effect.code);
  endRequest(context, pending, effect.code);
  if (effect.code !== 'callerGone') {
    context.log.info(
      {
        requestId: pending.callerId,
        code: effect.code,
        notRun: effect.notRun,
        retryAfterMs: effect.retryAfterMs,
        heldMs: Math.round(performance.now() - pending.arrivedAtMs),
      },
      'request refused',
    );
  }
  if (pending.hasBegun || pending.response.destroyed) {
    // An answer that cannot be finished must not look complete.
    pending.response.destroy();
    return;
  }
  relayServer.writeRefusal(pending.response, status, effect.code, effect.retryAfterMs);
};

/** Makes the runners of routed requests' effects. */
export const makeRelayRunners = (context: RelayRunnerContext): runtime.EffectRunners => {
  const withPending = (id: string, run: (pending: relayPending.RelayPending) => void): void => {
    const pending = context.pending.get(id);
    if (pending !== undefined) {
      run(pending);
    }
  };
  return {
    startAttempt: (effect) =>
      withPending(effect.requestId, (pending) => startAttempt(context, pending, effect)),
    relayAnswer: (effect) =>
      withPending(effect.requestId, (pending) => pending.attempts.get(effect.attemptId)?.relay()),
    cancelAttempt: (effect) =>
      withPending(effect.requestId, (pending) => {
        pending.attempts.get(effect.attemptId)?.cancel();
        pending.attempts.delete(effect.attemptId);
      }),
    dropUnsent: (effect) =>
      withPending(effect.requestId, (pending) =>
        pending.attempts.get(effect.attemptId)?.dropUnsent(),
      ),
    finishAnswer: (effect) =>
      withPending(effect.requestId, (pending) => {
        endRequest(context, pending, 'answered');
        pending.response.end();
      }),
    refuse: (effect) =>
      withPending(effect.requestId, (pending) => refuse(context, pending, effect)),
    armTimer: (effect) => {
      setTimeout(
        () => context.node.dispatch({ type: 'timerFired', timer: effect.timer }),
        effect.delayMs,
      ).unref();
    },
    broadcastCrashEvidence: (effect) =>
      context.peers.broadcastCrashEvidence(effect.fingerprint, effect.crashes),
    sendProbe: (effect) => context.peers.sendProbe(effect),
    sendIndirectProbe: (effect) => context.peers.sendIndirectProbe(effect),
    settleTrial: (effect) => context.source.settle(effect),
    log: (effect) => context.log.info(effect.fields, effect.message),
  };
};

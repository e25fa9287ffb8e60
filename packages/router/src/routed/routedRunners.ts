import * as core from '@jayrock/core';
import * as shared from '@jayrock/shared';
import type * as pino from 'pino';
import type * as callerConnections from '../callers/callerConnections.js';
import type * as inputBarrier from '../eventLoop/inputBarrier.js';
import type * as loopMonitor from '../eventLoop/loopMonitor.js';
import type * as peerService from '../peers/peerService.js';
import type * as routerRuntime from '../routerRuntime.js';
import * as timerEvents from '../timerEvents.js';
import * as attemptFailure from '../upstreams/attemptFailure.js';
import type * as connectionPools from '../upstreams/connectionPools.js';
import * as upstreamNotices from '../upstreams/upstreamNotices.js';
import type * as freshnessGate from './freshnessGate.js';
import type * as pendingRoutedRequest from './pendingRoutedRequest.js';
import type * as reachabilityMonitor from './reachabilityMonitor.js';
import type * as routeSource from './routeSource.js';
import * as routedAttempt from './routedAttempt.js';
import type * as routedMetrics from './routedMetrics.js';
import * as routedServer from './routedServer.js';
import * as timeoutLead from './timeoutLead.js';

/** Dependencies of the runners of routed requests' effects. */
export interface RoutedRunnerContext {
  readonly runtime: routerRuntime.Runtime;
  readonly pending: Map<string, pendingRoutedRequest.PendingRoutedRequest>;
  readonly pools: connectionPools.ConnectionPools;
  readonly peers: peerService.PeerService;
  readonly source: routeSource.RouteSource;
  readonly gate: freshnessGate.FreshnessGate;
  readonly getMaxListAgeMs: () => number;
  readonly reachability: reachabilityMonitor.ReachabilityMonitor;
  readonly barrier: inputBarrier.InputBarrier;
  readonly loop: loopMonitor.LoopMonitor;
  readonly connections: callerConnections.CallerConnections;
  readonly metrics: routedMetrics.RoutedMetrics;
  readonly log: pino.Logger;
}

/** Removes a finished request and records its outcome. */
const endRequest = (
  context: RoutedRunnerContext,
  pending: pendingRoutedRequest.PendingRoutedRequest,
  outcome: string,
): void => {
  context.pending.delete(pending.id);
  context.metrics.recordEnd(outcome, performance.now() - pending.arrivedAtMs);
};

/**
 * Conditions under which a failure may be caused by a crash: it breaks connections, may end a stream within an event,
 * and may only show when the next request cannot connect.
 */
const CRASH_CHECKS: Readonly<
  Partial<
    Record<core.events.RoutedFailure, (context: RoutedRunnerContext, upstreamId: string) => boolean>
  >
> = {
  broken: () => true,
  garbage: () => true,
  unreachable: ({ runtime }, upstreamId) =>
    core.routedCrashes.mayHaveCrashed(runtime.getState(), upstreamId),
};

/**
 * Dispatches a crash of the upstream if it now refuses connections: a process that has ended does, one that only
 * closed this connection does not. An upstream of an evacuated zone is not asked.
 */
const detectCrash = (context: RoutedRunnerContext, upstreamId: string, address: string): void => {
  if (core.evacuatedZones.isEvacuated(context.runtime.getState(), upstreamId)) {
    return;
  }
  attemptFailure
    .isPortClosed(address)
    .then((isClosed) => {
      if (isClosed) {
        context.runtime.dispatch({ type: 'crashObserved', upstreamId });
      }
    })
    .catch((error: unknown) => context.log.warn({ error, upstreamId }, 'crash check failed'));
};

/** Starts an attempt, and dispatches its events to the reducer. */
const startAttempt = (
  context: RoutedRunnerContext,
  pending: pendingRoutedRequest.PendingRoutedRequest,
  effect: core.effects.EffectOf<'startAttempt'>,
): void => {
  if (effect.routed === null) {
    return;
  }
  const { requestId, attemptId, upstreamId, address, routed: send } = effect;
  context.reachability.recordStart(upstreamId, address, send.patience);
  const getElapsedMs = (): number => Math.round(performance.now() - pending.readAtMs);
  const times: pendingRoutedRequest.SendTimes = {
    upstream: upstreamId,
    startedMs: getElapsedMs(),
    sentMs: null,
  };
  pending.sends.push(times);
  const running = routedAttempt.startRoutedAttempt(
    context.pools,
    context.barrier,
    { pending, attemptId, upstreamId, address, send },
    {
      handleHead: (head) => {
        context.runtime.dispatch({ type: 'routedHeadArrived', requestId, attemptId, head });
      },
      handleEnd: ({ events, streamMs, mayBeCut }) => {
        pending.attempts.delete(attemptId);
        context.runtime.dispatch({
          type: 'routedAttemptEnded',
          requestId,
          attemptId,
          events,
          streamMs,
        });
        if (mayBeCut) {
          detectCrash(context, upstreamId, address);
        }
      },
      handleFailure: ({ failure, isUnsent, isNotRun, reason }) => {
        pending.attempts.delete(attemptId);
        context.metrics.countFailure(failure);
        if (failure === 'unreachable') {
          context.reachability.recordUnreachable(upstreamId);
        }
        context.log.warn(
          {
            requestId: pending.callerRequestId,
            upstream: upstreamId,
            attempt: attemptId,
            failure,
            isUnsent,
            isNotRun,
            reason,
          },
          'attempt failed',
        );
        context.runtime.dispatch({
          type: 'routedAttemptFailed',
          requestId,
          attemptId,
          failure,
          isUnsent,
          isNotRun,
        });
        if (CRASH_CHECKS[failure]?.(context, upstreamId) === true && (isUnsent || !isNotRun)) {
          detectCrash(context, upstreamId, address);
        }
      },
      handleSilence: () => {
        context.metrics.countFailure('silent');
        context.log.warn(
          { requestId: pending.callerRequestId, upstream: upstreamId, attempt: attemptId },
          'answer paused',
        );
        context.runtime.dispatch({ type: 'routedAttemptSilent', requestId, attemptId });
      },
      confirmUpstreams: () => context.gate.confirm(context.getMaxListAgeMs()),
      detectOverdue: () =>
        core.overdueSend.detectOverdue(
          context.runtime.getState(),
          requestId,
          upstreamId,
          context.runtime.getNowMs(),
        ),
      handleSent: () => {
        times.sentMs = getElapsedMs();
      },
      handleActivity: () => context.reachability.recordActivity(upstreamId),
      handleClose: () => context.reachability.recordEnd(upstreamId),
      handleLoad: (report) =>
        context.runtime.dispatch({ type: 'loadReported', upstreamId, report }),
      handleRateLimit: (requestsPerSecond) =>
        context.runtime.dispatch({ type: 'rateLimitObserved', upstreamId, requestsPerSecond }),
      handleNotice: upstreamNotices.makeNoticeHandler(context, upstreamId),
    },
  );
  pending.attempts.set(attemptId, running);
};

/** Logs a request whose caller left, with the times that show where it waited. */
const logGoneCaller = (
  context: RoutedRunnerContext,
  pending: pendingRoutedRequest.PendingRoutedRequest,
): void =>
  context.log.info(
    {
      requestId: pending.callerRequestId,
      unreadMs: Math.round(pending.readAtMs - pending.arrivedAtMs),
      heldMs: Math.round(performance.now() - pending.readAtMs),
      sends: pending.sends,
    },
    'caller gone',
  );

/** Ends a request whose caller left before the request was dispatched. */
export const endAbandoned = (
  context: RoutedRunnerContext,
  pending: pendingRoutedRequest.PendingRoutedRequest,
): void => {
  endRequest(context, pending, 'callerGone');
  logGoneCaller(context, pending);
  pending.response.destroy();
};

/** Ends a request without an answer: writes the error, or closes the connection if an answer has begun. */
const refuse = (
  context: RoutedRunnerContext,
  pending: pendingRoutedRequest.PendingRoutedRequest,
  effect: core.effects.EffectOf<'refuse'>,
): void => {
  const { status } = shared.errorCodes.getErrorRow(effect.code);
  endRequest(context, pending, effect.code);
  if (effect.code === 'callerGone') {
    logGoneCaller(context, pending);
    pending.response.destroy();
    return;
  }
  context.log.info(
    {
      requestId: pending.callerRequestId,
      code: effect.code,
      notRun: effect.notRun,
      retryAfterMs: effect.retryAfterMs,
      heldMs: Math.round(performance.now() - pending.arrivedAtMs),
      doubtMs: Math.round(context.connections.getArrivalDoubtMs(pending.response)),
    },
    'request refused',
  );
  if (pending.isHeadWritten || pending.response.destroyed) {
    // Destroys the connection, so that a truncated answer does not look complete.
    pending.response.destroy();
    return;
  }
  routedServer.writeRefusal(pending.response, status, effect.code, effect.retryAfterMs);
};

/** Refuses a request that a stopping router does not start; another router can take it at once. */
export const refuseLate = (
  context: RoutedRunnerContext,
  pending: pendingRoutedRequest.PendingRoutedRequest,
): void =>
  refuse(context, pending, {
    type: 'refuse',
    requestId: pending.id,
    code: 'routerStopping',
    notRun: true,
    retryAfterMs: 0,
  });

/**
 * Arms a timer. That of a request without an answer fires ahead of its time if the event loop is late. An answer that has
 * begun ends only once its time-out has passed since the latest time at which its request can have arrived.
 */
const scheduleTimer = (
  context: RoutedRunnerContext,
  { timer, delayMs }: core.effects.EffectOf<'armTimer'>,
): void => {
  const leadMs =
    timer.kind === 'routedTimeout'
      ? timeoutLead.computeTimeoutLeadMs(delayMs, context.loop.getRecentTurnMs())
      : 0;
  const countUnsent = (): number =>
    Array.from(context.pending.get(timer.requestId)?.attempts.values() ?? []).filter((attempt) =>
      attempt.isUnsent(),
    ).length;
  const fire = (): void =>
    timerEvents.dispatchTimer(context.barrier, context.runtime, timer, countUnsent);
  setTimeout(() => {
    const pending = context.pending.get(timer.requestId);
    if (timer.kind === 'routedTimeout' && pending?.isHeadWritten === true) {
      const doubtMs = context.connections.getArrivalDoubtMs(pending.response);
      setTimeout(fire, leadMs + doubtMs).unref();
    } else {
      fire();
    }
  }, delayMs - leadMs).unref();
};

/** Creates the runners of routed requests' effects. */
export const makeRoutedRunners = (context: RoutedRunnerContext): routerRuntime.EffectRunners => {
  const withPending = (
    id: string,
    run: (pending: pendingRoutedRequest.PendingRoutedRequest) => void,
  ): void => {
    const pending = context.pending.get(id);
    if (pending !== undefined) {
      run(pending);
    }
  };
  return {
    startAttempt: (effect) =>
      withPending(effect.requestId, (pending) => startAttempt(context, pending, effect)),
    forwardAnswer: (effect) =>
      withPending(effect.requestId, (pending) => pending.attempts.get(effect.attemptId)?.forward()),
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
    armTimer: (effect) => scheduleTimer(context, effect),
    broadcastGuardNews: (effect) => context.peers.broadcastGuardNews(effect.news),
    broadcastLeavingNews: (effect) => context.peers.broadcastLeavingNews(effect.news),
    broadcastRateLimitNews: (effect) => context.peers.broadcastRateLimitNews(effect.news),
    requestPermits: (effect) => context.peers.requestPermits(effect),
    grantPermits: (effect) => context.peers.grantPermits(effect),
    sendProbe: (effect) => context.peers.sendProbe(effect),
    sendIndirectProbe: (effect) => context.peers.sendIndirectProbe(effect),
    recordGuard: (effect) => context.source.recordGuard(effect),
    recordCanaryOutcome: (effect) => context.source.recordCanaryOutcome(effect),
    log: (effect) => context.log.info(effect.fields, effect.message),
  };
};

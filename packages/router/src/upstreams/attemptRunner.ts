import type * as core from '@jayrock/core';
import type * as effectRunners from '../effectRunners.js';
import type * as pendingRequest from '../pendingRequest.js';
import * as callAttempt from './callAttempt.js';
import * as chatAttempt from './chatAttempt.js';
import * as upstreamNotices from './upstreamNotices.js';

type StartEffect = core.effects.EffectOf<'startAttempt'>;
type Context = effectRunners.RunnerContext;
type Pending = pendingRequest.PendingRequest;

type AttemptStarter = (
  context: Context,
  pending: Pending,
  effect: StartEffect,
) => pendingRequest.CancelAttempt;

const makeFailureHandler =
  (
    context: Context,
    pending: Pending,
    effect: StartEffect,
  ): chatAttempt.AttemptListener['handleFailure'] =>
  ({ failure, isUnsent }) => {
    pending.attempts.delete(effect.attemptId);
    context.log.warn(
      { requestId: pending.requestId, upstream: effect.upstreamId, failure },
      'attempt failed',
    );
    context.runtime.dispatch({
      type: 'attemptFailed',
      requestId: pending.requestId,
      attemptId: effect.attemptId,
      failure,
      isUnsent,
      tokensForwarded: pending.tokensForwarded,
    });
  };

const makeRateLimitHandler =
  (context: Context, { upstreamId }: StartEffect): chatAttempt.AttemptListener['handleRateLimit'] =>
  (requestsPerSecond) =>
    context.runtime.dispatch({ type: 'rateLimitObserved', upstreamId, requestsPerSecond });

const forwardEvents = (
  pending: Pending,
  effect: StartEffect,
  events: readonly string[],
): Promise<void> | undefined => {
  if (pending.forwardedAttempt !== effect.attemptId) {
    return undefined;
  }
  const nowMs = Date.now();
  pending.firstTokenAtMs ??= nowMs;
  pending.lastTokenAtMs = nowMs;
  pending.tokensForwarded += events.length;
  return pending.sink.writeEvents(events);
};

/** Discards a buffered answer, still unsent, that a new attempt replaces after a poor rating. */
const resetAnswer = (pending: Pending, effect: StartEffect): void => {
  if (effect.resumeFrom === 0 && pending.forwardedAttempt !== null && !pending.shape.streaming) {
    pending.sink.discard();
    pending.tokensForwarded = 0;
    pending.forwardedAttempt = null;
  }
};

/** Time added to the first-byte timeout for each prompt token, in milliseconds. */
const FIRST_BYTE_MS_PER_TOKEN = 2;

const startChat: AttemptStarter = (context, pending, effect) => {
  resetAnswer(pending, effect);
  let isMonitored = false;
  const endMonitoring = (): void => {
    if (isMonitored) {
      isMonitored = false;
      context.interTokens.recordEnd(effect.upstreamId);
    }
  };
  const handleFailure = makeFailureHandler(context, pending, effect);
  const cancel = chatAttempt.runChatAttempt(
    context.pools,
    {
      requestId: pending.requestId,
      address: effect.address,
      versionId: effect.versionId,
      priority: effect.priority,
      resumeFrom: effect.resumeFrom,
      body: pending.body,
    },
    {
      silentStreamMs: context.settings.limits.silentStreamMs,
      firstByteTimeoutMs:
        context.settings.limits.firstByteTimeoutMs +
        pending.shape.tokensIn * FIRST_BYTE_MS_PER_TOKEN,
    },
    {
      handleRateLimit: makeRateLimitHandler(context, effect),
      handleNotice: upstreamNotices.makeNoticeHandler(context, effect.upstreamId),
      handleFirstToken: () => {
        isMonitored = true;
        context.interTokens.recordStart(effect.upstreamId);
        pending.versionId = effect.versionId;
        pending.upstreamId = effect.upstreamId;
        context.runtime.dispatch({
          type: 'attemptFirstToken',
          requestId: pending.requestId,
          attemptId: effect.attemptId,
        });
      },
      handleEvents: (events) => {
        context.interTokens.recordTokens(effect.upstreamId, events.length);
        return forwardEvents(pending, effect, events);
      },
      handleEnd: () => {
        endMonitoring();
        pending.attempts.delete(effect.attemptId);
        context.runtime.dispatch({
          type: 'attemptEnded',
          requestId: pending.requestId,
          attemptId: effect.attemptId,
          tokensOut: pending.tokensForwarded,
          isBilled: true,
        });
      },
      handleFailure: (failure) => {
        endMonitoring();
        handleFailure(failure);
      },
    },
  );
  return () => {
    endMonitoring();
    cancel();
  };
};

const FIRST_REJECTED_STATUS = 400;

const startCall: AttemptStarter = (context, pending, effect) =>
  callAttempt.runCallAttempt(
    context.pools,
    {
      requestId: pending.requestId,
      address: effect.address,
      path: pending.shape.path,
      body: typeof pending.body === 'string' ? pending.body : JSON.stringify(pending.body),
      timeoutMs: context.settings.limits.firstByteTimeoutMs,
    },
    {
      handleRateLimit: makeRateLimitHandler(context, effect),
      handleNotice: upstreamNotices.makeNoticeHandler(context, effect.upstreamId),
      handleAnswer: (answer) => {
        pending.attempts.delete(effect.attemptId);
        pending.versionId = effect.versionId;
        pending.upstreamId = effect.upstreamId;
        pending.answer = answer;
        pending.firstTokenAtMs = Date.now();
        pending.lastTokenAtMs = pending.firstTokenAtMs;
        context.runtime.dispatch({
          type: 'attemptEnded',
          requestId: pending.requestId,
          attemptId: effect.attemptId,
          tokensOut: 0,
          isBilled: answer.status < FIRST_REJECTED_STATUS,
        });
      },
      handleFailure: makeFailureHandler(context, pending, effect),
    },
  );

const STARTERS: Readonly<Record<core.requestState.RequestShape['kind'], AttemptStarter>> = {
  chat: startChat,
  call: startCall,
};

/**
 * Starts an attempt after the input that had arrived has been read, unless it is cancelled by then, and stores its
 * cancel function.
 */
export const startAttempt = (context: Context, pending: Pending, effect: StartEffect): void => {
  const { attemptId } = effect;
  pending.attempts.set(attemptId, () => undefined);
  context.barrier.run(() => {
    if (pending.attempts.has(attemptId) && context.pending.has(pending.requestId)) {
      pending.attempts.set(attemptId, STARTERS[pending.shape.kind](context, pending, effect));
    }
  });
};

import type * as core from '@jayrock/core';
import * as connectionPools from './connectionPools.js';
import * as answerReader from './answerReader.js';
import * as attemptFailure from './attemptFailure.js';
import * as rateLimitHeader from './rateLimitHeader.js';
import * as upstreamNotices from './upstreamNotices.js';
import * as watchdog from './watchdog.js';

/** Callbacks of a chat attempt. */
export interface AttemptListener {
  /** An answer has begun that names a limit in requests per second or, if it is null, none. */
  readonly handleRateLimit: (requestsPerSecond: number | null) => void;
  /** An answer says whether its upstream leaves, and which pause it wants. */
  readonly handleNotice: upstreamNotices.NoticeHandler;
  readonly handleFirstToken: () => void;
  /** Returns a promise to wait for before reading on, if the caller is slow. */
  readonly handleEvents: (events: readonly string[]) => Promise<void> | undefined;
  readonly handleEnd: () => void;
  readonly handleFailure: (failure: attemptFailure.AttemptFailure) => void;
}

/** Timeouts of an attempt, in milliseconds. */
export interface AttemptLimits {
  readonly firstByteTimeoutMs: number;
  readonly silentStreamMs: number;
}

/** One attempt to run a chat request on one engine. */
export interface ChatAttempt {
  readonly requestId: string;
  readonly address: string;
  readonly versionId: string;
  readonly priority: number;
  /** Number of tokens that the caller already has. */
  readonly resumeFrom: number;
  readonly body: unknown;
}

const STATUS_FAILURES: ReadonlyMap<number, core.events.AttemptFailure> = new Map([
  [429, 'busy'],
  [503, 'busy'],
]);

const sendRequest = (
  pools: connectionPools.ConnectionPools,
  attempt: ChatAttempt,
  signal: AbortSignal,
): ReturnType<ReturnType<connectionPools.ConnectionPools['get']>['request']> =>
  pools.get(attempt.address).request({
    method: 'POST',
    path: '/v1/chat/completions',
    headers: {
      'content-type': 'application/json',
      'x-request-id': attempt.requestId,
      'x-resume-from': String(attempt.resumeFrom),
    },
    body: JSON.stringify({
      ...(attempt.body as object),
      model: attempt.versionId,
      stream: true,
      priority: attempt.priority,
    }),
    signal,
  });

type ReadOutcome = 'ended' | 'garbage' | 'incomplete';

const forwardBody = async (
  body: AsyncIterable<Uint8Array>,
  listener: AttemptListener,
  silence: watchdog.Watchdog,
  limits: AttemptLimits,
): Promise<ReadOutcome> => {
  const reader = answerReader.makeAnswerReader();
  let hasFirstToken = false;
  for await (const bytes of body) {
    const decoded = reader.read(bytes);
    if (decoded.isGarbage) {
      return 'garbage';
    }
    if (!hasFirstToken && (decoded.events.length > 0 || decoded.hasEnded)) {
      hasFirstToken = true;
      listener.handleFirstToken();
    }
    if (decoded.events.length > 0) {
      // Backpressure from a slow caller must not count as silence of the upstream.
      silence.stop();
      await listener.handleEvents(decoded.events);
    }
    silence.reset(limits.silentStreamMs);
    if (decoded.hasEnded) {
      return 'ended';
    }
  }
  return 'incomplete';
};

/**
 * Runs one attempt and reports its first token, its events and its end. Returns a function that
 * cancels it.
 */
export const runChatAttempt = (
  pools: connectionPools.ConnectionPools,
  attempt: ChatAttempt,
  limits: AttemptLimits,
  listener: AttemptListener,
): (() => void) => {
  const controller = new AbortController();
  let isOver = false;
  const fail = (failure: attemptFailure.AttemptFailure): void => {
    if (!isOver) {
      isOver = true;
      listener.handleFailure(failure);
    }
  };
  const silence = watchdog.startWatchdog(pools.barrier, limits.firstByteTimeoutMs, () => {
    pools.renew(attempt.address);
    fail({ failure: 'silent', isUnsent: false });
    controller.abort();
  });
  const handleOutcome = (result: ReadOutcome): void => {
    if (result !== 'ended') {
      fail({ failure: result, isUnsent: false });
      controller.abort();
    } else if (!isOver) {
      isOver = true;
      listener.handleEnd();
    }
  };
  const run = async (): Promise<void> => {
    try {
      const response = await sendRequest(pools, attempt, controller.signal);
      listener.handleRateLimit(rateLimitHeader.readRateLimit(response.headers));
      const notice = upstreamNotices.readNotice(response.statusCode, response.headers);
      listener.handleNotice(notice.isLeaving, notice.rest);
      if (response.statusCode !== 200) {
        response.body.dump().catch(() => undefined);
        fail({ failure: STATUS_FAILURES.get(response.statusCode) ?? 'failed', isUnsent: false });
        return;
      }
      handleOutcome(await forwardBody(response.body, listener, silence, limits));
    } catch (error) {
      if (!isOver) {
        fail(await attemptFailure.classifyConnectionError(attempt.address, error));
      }
    } finally {
      silence.stop();
    }
  };
  run().catch((error: unknown) => {
    throw error;
  });
  return () => {
    isOver = true;
    silence.stop();
    controller.abort();
  };
};

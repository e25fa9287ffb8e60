import type * as core from '@jayrock/core';
import * as connectionPools from './connectionPools.js';
import * as answerReader from './answerReader.js';
import * as attemptFailure from './attemptFailure.js';

/** What an attempt tells the router. */
export interface AttemptListener {
  readonly handleFirstToken: () => void;
  readonly handleEvents: (events: readonly string[]) => Promise<void> | undefined;
  readonly handleEnd: () => void;
  readonly handleFailure: (failure: attemptFailure.AttemptFailure) => void;
}

/** Limits of an attempt's waits, in milliseconds. */
export interface AttemptLimits {
  readonly firstByteTimeoutMs: number;
  readonly silentStreamMs: number;
}

/** One chat request to one engine. */
export interface ChatAttempt {
  readonly requestId: string;
  readonly address: string;
  readonly versionId: string;
  readonly priority: number;
  readonly resumeFrom: number;
  readonly body: unknown;
}

const STATUS_FAILURES: ReadonlyMap<number, core.events.AttemptFailure> = new Map([
  [429, 'busy'],
  [503, 'busy'],
]);

interface Watchdog {
  readonly touch: (timeoutMs: number) => void;
  readonly stop: () => void;
}

/** Calls back when it was not touched for the time last given. */
const startWatchdog = (timeoutMs: number, onSilence: () => void): Watchdog => {
  let timer = setTimeout(onSilence, timeoutMs);
  return {
    touch: (nextMs) => {
      clearTimeout(timer);
      timer = setTimeout(onSilence, nextMs);
    },
    stop: () => clearTimeout(timer),
  };
};

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

const relayBody = async (
  body: AsyncIterable<Uint8Array>,
  listener: AttemptListener,
  watchdog: Watchdog,
  limits: AttemptLimits,
): Promise<ReadOutcome> => {
  const reader = answerReader.makeAnswerReader();
  let hasFirst = false;
  for await (const bytes of body) {
    const found = reader.read(bytes);
    if (found.isGarbage) {
      return 'garbage';
    }
    if (!hasFirst && (found.events.length > 0 || found.hasEnded)) {
      hasFirst = true;
      listener.handleFirstToken();
    }
    if (found.events.length > 0) {
      // Waiting for a slow caller is no silence of the upstream.
      watchdog.stop();
      await listener.handleEvents(found.events);
    }
    watchdog.touch(limits.silentStreamMs);
    if (found.hasEnded) {
      return 'ended';
    }
  }
  return 'incomplete';
};

/** Runs one attempt and reports its first token, its tokens and its end. Returns its cancellation. */
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
  const watchdog = startWatchdog(limits.firstByteTimeoutMs, () => {
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
      if (response.statusCode !== 200) {
        response.body.dump().catch(() => undefined);
        fail({ failure: STATUS_FAILURES.get(response.statusCode) ?? 'failed', isUnsent: false });
        return;
      }
      handleOutcome(await relayBody(response.body, listener, watchdog, limits));
    } catch (error) {
      if (!isOver) {
        fail(await attemptFailure.classifyConnectionError(attempt.address, error));
      }
    } finally {
      watchdog.stop();
    }
  };
  run().catch((error: unknown) => {
    throw error;
  });
  return () => {
    isOver = true;
    watchdog.stop();
    controller.abort();
  };
};

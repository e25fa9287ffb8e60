import type * as bufferBudget from './bufferBudget.js';
import type * as connectionPools from './connectionPools.js';
import * as answerFraming from './answerFraming.js';
import * as attemptFailure from './attemptFailure.js';
import * as rateLimitHeader from './rateLimitHeader.js';
import * as upstreamNotices from './upstreamNotices.js';
import * as watchdog from './watchdog.js';
import type * as replySink from '../callers/replySink.js';

/** One attempt to call a plain service; the timeout is in milliseconds. */
export interface CallAttempt {
  readonly requestId: string;
  readonly address: string;
  readonly path: string;
  readonly body: string;
  readonly timeoutMs: number;
}

/** Callbacks of a call attempt; at most one of those that end it is invoked. */
export interface CallListener {
  /** An answer has arrived that names a limit in requests per second or, if it is null, none. */
  readonly handleRateLimit: (requestsPerSecond: number | null) => void;
  /** An answer says whether its upstream leaves, and which pause it wants. */
  readonly handleNotice: upstreamNotices.NoticeHandler;
  readonly handleAnswer: (answer: replySink.CallAnswer) => void;
  readonly handleFailure: (failure: attemptFailure.AttemptFailure) => void;
}

const BUSY_STATUS = 503;
const FIRST_FAILURE_STATUS = 500;

/** Reads a body as text; resolves to null if it is too large, or the largest when all together are. */
const readText = async (
  body: AsyncIterable<Uint8Array>,
  buffers: bufferBudget.BufferBudget,
): Promise<string | null> => {
  const chunks: Uint8Array[] = [];
  let bytes = 0;
  let isDropped = false;
  const share = buffers.open(() => {
    isDropped = true;
  });
  try {
    for await (const chunk of body) {
      chunks.push(chunk);
      bytes += chunk.length;
      share.resize(bytes);
      if (isDropped || bytes > buffers.maxAnswerBytes) {
        return null;
      }
    }
    return Buffer.concat(chunks).toString('utf8');
  } finally {
    share.release();
  }
};

const classifyStatus = (status: number): attemptFailure.AttemptFailure => ({
  failure: status === BUSY_STATUS ? 'busy' : 'failed',
  isUnsent: false,
});

/** Runs one call and reports its answer or its failure. Returns a function that cancels it. */
export const runCallAttempt = (
  pools: connectionPools.ConnectionPools,
  attempt: CallAttempt,
  listener: CallListener,
): (() => void) => {
  const controller = new AbortController();
  let isOver = false;
  const fail = (failure: attemptFailure.AttemptFailure): void => {
    if (!isOver) {
      isOver = true;
      listener.handleFailure(failure);
    }
  };
  const silence = watchdog.startWatchdog(pools.barrier, attempt.timeoutMs, () => {
    pools.renew(attempt.address);
    fail({ failure: 'silent', isUnsent: false });
    controller.abort();
  });
  let wasReset = false;
  const run = async (): Promise<void> => {
    try {
      const options: connectionPools.PausableOptions = {
        method: 'POST',
        path: attempt.path,
        headers: { 'content-type': 'application/json', 'x-request-id': attempt.requestId },
        body: attempt.body,
        onConnectionEnd: () => {
          wasReset = pools.wasReset();
        },
      };
      const response = await pools
        .get(attempt.address)
        .request({ ...options, signal: controller.signal });
      listener.handleRateLimit(rateLimitHeader.readRateLimit(response.headers));
      const notice = upstreamNotices.readNotice(response.statusCode, response.headers);
      listener.handleNotice(notice.isLeaving, notice.rest);
      const body = await readText(response.body, pools.buffers);
      if (body === null) {
        fail({ failure: 'garbage', isUnsent: false });
      } else if (wasReset && answerFraming.isUnframed(response.headers)) {
        fail({ failure: 'incomplete', isUnsent: false });
      } else if (response.statusCode >= FIRST_FAILURE_STATUS) {
        fail(classifyStatus(response.statusCode));
      } else if (!isOver) {
        isOver = true;
        const contentType = String(response.headers['content-type'] ?? 'text/plain');
        listener.handleAnswer({ status: response.statusCode, contentType, body });
      }
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

import type * as http from 'node:http';
import * as problem from './problem.js';

/** Writes an answer to the caller. */
export interface ReplySink {
  /** Sends the response headers if the sink streams; called once, before the first token. */
  readonly begin: (headers: Readonly<Record<string, string>>) => void;
  /**
   * Writes server-sent events that were read together; returns a promise to wait for under
   * backpressure.
   */
  readonly writeEvents: (events: readonly string[]) => Promise<void> | undefined;
  /** Discards the buffered answer before another attempt replaces it. */
  readonly discard: () => void;
  /** Sends the end of a complete answer. */
  readonly finish: (headers: Readonly<Record<string, string>>) => void;
  /** Sends a refusal, or aborts an answer that has begun. */
  readonly fail: (refusal: problem.Problem, retryAfterMs: number | null) => void;
  /** Returns the buffered text of the answer so far. */
  readonly getText: () => string;
}

const MS_PER_SECOND = 1_000;

const makeRetryHeader = (retryAfterMs: number | null): Readonly<Record<string, string>> =>
  retryAfterMs === null
    ? {}
    : { 'retry-after': String(Math.max(1, Math.ceil(retryAfterMs / MS_PER_SECOND))) };

/** Sends a refusal as the whole response, unless headers were already sent. */
export const sendProblem = (
  response: http.ServerResponse,
  refusal: problem.Problem,
  retryAfterMs: number | null,
): void => {
  if (response.destroyed || response.headersSent) {
    return;
  }
  response.writeHead(refusal.status, {
    'content-type': problem.PROBLEM_TYPE,
    ...makeRetryHeader(retryAfterMs),
  });
  response.end(JSON.stringify(refusal));
};

const waitDrain = (response: http.ServerResponse): Promise<void> =>
  new Promise((resolve) => {
    const finish = (): void => {
      response.off('drain', finish);
      response.off('close', finish);
      resolve();
    };
    response.once('drain', finish);
    response.once('close', finish);
  });

interface ChunkDelta {
  readonly choices: readonly {
    readonly delta?: { readonly content?: string };
    readonly finish_reason?: string | null;
  }[];
}

/** Returns the text that one chunk of a streamed answer adds. */
export const readDelta = (data: string): string => {
  const chunk = JSON.parse(data) as ChunkDelta;
  return chunk.choices[0]?.delta?.content ?? '';
};

/** Length at which a streamed answer's text is no longer buffered for its rating, in characters. */
const MAX_RATED_CHARACTERS = 16_384;

/** Makes a sink that streams server-sent events and withholds the end mark until the answer is billed. */
export const makeStreamSink = (response: http.ServerResponse): ReplySink => {
  let text = '';
  return {
    begin: (headers) => {
      response.writeHead(200, {
        'content-type': 'text/event-stream',
        'cache-control': 'no-store',
        ...headers,
      });
    },
    writeEvents: (events) => {
      if (response.destroyed) {
        return undefined;
      }
      if (text.length < MAX_RATED_CHARACTERS) {
        text += events.map(readDelta).join('');
      }
      const canWriteMore = response.write(events.map((data) => `data: ${data}\n\n`).join(''));
      return canWriteMore ? undefined : waitDrain(response);
    },
    discard: () => {
      text = '';
    },
    finish: () => {
      response.end('data: [DONE]\n\n');
    },
    fail: (refusal, retryAfterMs) => {
      if (!response.headersSent) {
        sendProblem(response, refusal, retryAfterMs);
        return;
      }
      response.end(`event: error\ndata: ${JSON.stringify(refusal)}\n\n`);
    },
    getText: () => text,
  };
};

/** Makes a sink that buffers an answer and sends it as one JSON body. */
export const makeBufferedSink = (
  response: http.ServerResponse,
  describe: () => { readonly id: string; readonly model: string },
): ReplySink => {
  let parts: string[] = [];
  let finishReason: string | null = 'stop';
  return {
    begin: () => undefined,
    writeEvents: (events) => {
      events.forEach((data) => {
        const chunk = JSON.parse(data) as ChunkDelta;
        parts.push(chunk.choices[0]?.delta?.content ?? '');
        finishReason = chunk.choices[0]?.finish_reason ?? finishReason;
      });
      return undefined;
    },
    discard: () => {
      parts = [];
    },
    finish: (headers) => {
      const { id, model } = describe();
      response.writeHead(200, { 'content-type': 'application/json', ...headers });
      response.end(
        JSON.stringify({
          id,
          object: 'chat.completion',
          model,
          choices: [
            {
              index: 0,
              message: { role: 'assistant', content: parts.join('') },
              finish_reason: finishReason,
            },
          ],
        }),
      );
    },
    fail: (refusal, retryAfterMs) => sendProblem(response, refusal, retryAfterMs),
    getText: () => parts.join(''),
  };
};

/** Answer of a plain service, buffered until it is billed. */
export interface CallAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

/** Makes a sink that sends the answer of a plain service unchanged. */
export const makeCallSink = (
  response: http.ServerResponse,
  getAnswer: () => CallAnswer | null,
): ReplySink => ({
  begin: () => undefined,
  writeEvents: () => undefined,
  discard: () => undefined,
  finish: (headers) => {
    const answer = getAnswer();
    response.writeHead(answer?.status ?? 502, {
      'content-type': answer?.contentType ?? 'text/plain',
      ...headers,
    });
    response.end(answer?.body ?? '');
  },
  fail: (refusal, retryAfterMs) => sendProblem(response, refusal, retryAfterMs),
  getText: () => getAnswer()?.body ?? '',
});

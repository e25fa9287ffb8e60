import type * as http from 'node:http';
import * as problem from './problem.js';

/** Where an answer goes. */
export interface ReplySink {
  /** Sends headers if the sink streams; called once, before the first token. */
  readonly begin: (headers: Readonly<Record<string, string>>) => void;
  /** Takes server-sent events that were read together; resolves when more may be written. */
  readonly writeEvents: (events: readonly string[]) => Promise<void> | undefined;
  /** Forgets an answer that is replaced by another one. */
  readonly discard: () => void;
  /** Sends the end of a whole answer. */
  readonly finish: (headers: Readonly<Record<string, string>>) => void;
  /** Sends a refusal, or breaks off an answer that has begun. */
  readonly fail: (refusal: problem.Problem, retryAfterMs: number | null) => void;
  /** Text of the answer so far, as far as the sink keeps it. */
  readonly getText: () => string;
}

const MS_PER_SECOND = 1_000;

const makeRetryHeader = (retryAfterMs: number | null): Readonly<Record<string, string>> =>
  retryAfterMs === null
    ? {}
    : { 'retry-after': String(Math.max(1, Math.ceil(retryAfterMs / MS_PER_SECOND))) };

/** Sends a refusal as the whole response. */
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
    const settle = (): void => {
      response.off('drain', settle);
      response.off('close', settle);
      resolve();
    };
    response.once('drain', settle);
    response.once('close', settle);
  });

interface ChunkDelta {
  readonly choices: readonly {
    readonly delta?: { readonly content?: string };
    readonly finish_reason?: string | null;
  }[];
}

/** Reads the text that one chunk of a streamed answer adds. */
export const readDelta = (data: string): string => {
  const chunk = JSON.parse(data) as ChunkDelta;
  return chunk.choices[0]?.delta?.content ?? '';
};

/** Largest text of a streamed answer that is kept for its rating, in characters. */
const MAX_KEPT_CHARACTERS = 16_384;

/** Streams an answer as server-sent events and keeps the end mark back until the answer is billed. */
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
      if (text.length < MAX_KEPT_CHARACTERS) {
        text += events.map(readDelta).join('');
      }
      const hasRoom = response.write(events.map((data) => `data: ${data}\n\n`).join(''));
      return hasRoom ? undefined : waitDrain(response);
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

/** Collects an answer and sends it as one JSON body. */
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

/** Answer of a plain service, kept until it is billed. */
export interface CallAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

/** Sends the answer of a plain service as it came. */
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

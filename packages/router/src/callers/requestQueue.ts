import type * as bufferBudget from '../upstreams/bufferBudget.js';

/** Requests of one connection that were sent ahead of the answers to those before them. */
export interface RequestQueue {
  /** Starts a request, or holds it until one of those before it is answered. */
  readonly add: (start: () => void) => void;
  /** Records that a request that was started is answered, and starts the next one. */
  readonly handleAnswered: () => void;
  /** Takes input; hands it to the parser now, or once nothing waits any more. */
  readonly addInput: (bytes: Buffer) => void;
  /** Returns the bytes of input that the parser has not got yet. */
  readonly countHeldBytes: () => number;
  readonly close: () => void;
}

/** What the queue does to its connection. */
export interface QueueHandlers {
  /** Hands input to the parser, which adds the requests in it. */
  readonly parse: (bytes: Buffer) => void;
  readonly pause: () => void;
  readonly resume: () => void;
  /** Closes the connection, because its requests take more memory than others leave. */
  readonly cut: () => void;
}

/** Requests of one connection that are served at once. */
const MAX_STARTED = 8;
/** Input that is parsed at once, in bytes; all requests in it are read. */
const SLICE_BYTES = 4_096;
/** Memory that a request takes while it waits, in bytes. */
const REQUEST_BYTES = 8_192;

/**
 * Makes the queue of one connection. The parser goes on to the end of the input that it gets, whatever that holds, so it
 * gets little at once; while requests wait, the connection is not read further.
 */
export const makeRequestQueue = (
  buffers: bufferBudget.BufferBudget,
  handlers: QueueHandlers,
): RequestQueue => {
  let startedCount = 0;
  let waiting: (() => void)[] = [];
  let input: Buffer[] = [];
  let inputBytes = 0;
  let share: bufferBudget.BufferShare | null = null;
  let isClosed = false;
  let isParsing = false;
  let isPaused = false;

  const close = (): void => {
    isClosed = true;
    waiting = [];
    input = [];
    inputBytes = 0;
    share?.release();
    share = null;
  };
  const resize = (): void => {
    const bytes = inputBytes + waiting.length * REQUEST_BYTES;
    if (bytes > 0 || share !== null) {
      share ??= buffers.openInput(() => {
        close();
        handlers.cut();
      });
      share.resize(bytes);
    }
  };
  const pauseInput = (): void => {
    isPaused = true;
    handlers.pause();
    resize();
  };
  const parseSlices = (bytes: Buffer): void => {
    for (let start = 0; start < bytes.length && !isClosed; start += SLICE_BYTES) {
      if (waiting.length > 0) {
        input.unshift(bytes.subarray(start));
        inputBytes += bytes.length - start;
        pauseInput();
        return;
      }
      handlers.parse(bytes.subarray(start, start + SLICE_BYTES));
    }
  };
  /** Goes on with input that was held. */
  const parseHeld = (): void => {
    if (isParsing || !isPaused) {
      return;
    }
    isParsing = true;
    while (waiting.length === 0 && input.length > 0) {
      const bytes = input.shift();
      if (bytes !== undefined) {
        inputBytes -= bytes.length;
        parseSlices(bytes);
      }
    }
    isParsing = false;
    resize();
    if (waiting.length === 0 && !isClosed) {
      isPaused = false;
      handlers.resume();
    }
  };
  return {
    add: (start) => {
      if (startedCount < MAX_STARTED && waiting.length === 0) {
        startedCount += 1;
        start();
      } else if (!isClosed) {
        waiting.push(start);
      }
    },
    handleAnswered: () => {
      startedCount -= 1;
      while (startedCount < MAX_STARTED && waiting.length > 0) {
        startedCount += 1;
        waiting.shift()?.();
      }
      parseHeld();
    },
    addInput: (bytes) => {
      if (isClosed) {
        return;
      }
      if (isPaused || isParsing) {
        input.push(bytes);
        inputBytes += bytes.length;
        pauseInput();
        return;
      }
      if (bytes.length <= SLICE_BYTES) {
        handlers.parse(bytes);
      } else {
        isParsing = true;
        parseSlices(bytes);
        isParsing = false;
      }
      if (waiting.length > 0) {
        pauseInput();
      }
    },
    countHeldBytes: () => inputBytes,
    close,
  };
};

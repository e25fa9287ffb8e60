import * as os from 'node:os';

/** What one answer holds of the budget. */
export interface BufferShare {
  /** Sets the number of bytes that the answer holds; the largest answer is dropped if all together hold too many. */
  readonly resize: (bytes: number) => void;
  readonly release: () => void;
}

/** Memory for the answers of upstreams that a router holds until it can pass them on. */
export interface BufferBudget {
  /** Largest answer, in bytes. */
  readonly maxAnswerBytes: number;
  /** Opens the share of one answer; `drop` is called at most once, and the share is released before. */
  readonly open: (drop: () => void) => BufferShare;
  /** Returns the bytes that all answers hold. */
  readonly countBytes: () => number;
}

/** Share of the machine's memory that held answers may take. */
const MEMORY_SHARE = 0.04;
/** Most that they may take, in bytes. */
const MAX_BYTES = 67_108_864;
/** Share of the budget that one answer may take. */
const ANSWER_SHARE = 0.25;

interface OpenShare {
  bytes: number;
  readonly drop: () => void;
}

/** Makes the budget of a router; what is dropped first is the answer that holds most, so that small ones go on. */
export const makeBufferBudget = (
  maxBytes = Math.min(MAX_BYTES, os.totalmem() * MEMORY_SHARE),
): BufferBudget => {
  const shares = new Set<OpenShare>();
  let total = 0;
  const release = (share: OpenShare): void => {
    if (shares.delete(share)) {
      total -= share.bytes;
    }
  };
  const dropLargest = (): void => {
    const largest = Array.from(shares).reduce((a, b) => (b.bytes > a.bytes ? b : a));
    release(largest);
    largest.drop();
  };
  return {
    maxAnswerBytes: Math.floor(maxBytes * ANSWER_SHARE),
    countBytes: () => total,
    open: (drop) => {
      const share: OpenShare = { bytes: 0, drop };
      shares.add(share);
      return {
        resize: (bytes) => {
          if (shares.has(share)) {
            total += bytes - share.bytes;
            share.bytes = bytes;
            while (total > maxBytes) {
              dropLargest();
            }
          }
        },
        release: () => release(share),
      };
    },
  };
};

import * as memoryLimit from './memoryLimit.js';

/** What one holder takes of the budget. */
export interface BufferShare {
  /** Sets the number of bytes that are held; if all together hold too many, one gives way, which may be this one. */
  readonly resize: (bytes: number) => void;
  /** Keeps what is held from giving way: it is needed until it is released. */
  readonly keep: () => void;
  readonly release: () => void;
}

/** Memory for what a router holds for its callers and upstreams: what callers send, and answers until they are read. */
export interface BufferBudget {
  /** Largest answer, in bytes. */
  readonly maxAnswerBytes: number;
  /** Opens the share of one answer; `drop` is called at most once, and the share is released before. */
  readonly open: (drop: () => void) => BufferShare;
  /** The same for input of a caller that is not complete, which gives way before answers do. */
  readonly openInput: (drop: () => void) => BufferShare;
  /** Returns the time to wait before the next piece of a large answer is read, in milliseconds; 0 while there is room. */
  readonly getPieceDelayMs: () => number;
  /** Returns the bytes that are held. */
  readonly countBytes: () => number;
}

/** Share of the process's memory that may be held. */
const MEMORY_SHARE = 0.2;
/** Least and most that may be held, in bytes: one body of the largest size has to fit. */
const MIN_BYTES = 8_388_608;
const MAX_BYTES = 67_108_864;
/** Share of the budget that callers' input may take. */
const INPUT_SHARE = 0.6;
/** Share of the budget from which little room is left. */
const SCARCE_SHARE = 0.5;
/** Time between two pieces of all large answers together while little room is left, in milliseconds. */
const MS_PER_ANSWER = 0.1;
/** Share of the budget that one answer may take. */
const ANSWER_SHARE = 0.5;
/** Largest answer, in bytes. */
const MAX_ANSWER_BYTES = 16_777_216;

interface OpenShare {
  bytes: number;
  readonly drop: () => void;
}

/** Holders of one kind. */
interface ShareGroup {
  /** Those that can give way. */
  readonly shares: Set<OpenShare>;
  readonly add: (bytes: number) => void;
  readonly countBytes: () => number;
}

const makeGroup = (): ShareGroup => {
  let total = 0;
  return {
    shares: new Set(),
    add: (bytes) => {
      total += bytes;
    },
    countBytes: () => total,
  };
};

/** Computes the memory that may be held in a process that may use so many bytes. */
export const computeBudgetBytes = (memoryBytes: number): number =>
  Math.max(MIN_BYTES, Math.min(MAX_BYTES, memoryBytes * MEMORY_SHARE));

const getLargest = ({ shares }: ShareGroup): OpenShare | null =>
  Array.from(shares).reduce<OpenShare | null>(
    (largest, share) => (largest === null || share.bytes > largest.bytes ? share : largest),
    null,
  );

/**
 * Makes the budget of a router. What holds most gives way first, so that small requests and answers go on; input that is
 * not complete does before answers.
 */
export const makeBufferBudget = (
  maxBytes = computeBudgetBytes(memoryLimit.readMemoryLimit()),
): BufferBudget => {
  const input = makeGroup();
  const answers = makeGroup();
  const maxInputBytes = Math.floor(maxBytes * INPUT_SHARE);
  const countBytes = (): number => input.countBytes() + answers.countBytes();
  const openIn = ({ shares, add }: ShareGroup, drop: () => void): BufferShare => {
    const share: OpenShare = { bytes: 0, drop };
    let isOpen = true;
    const release = (): void => {
      if (isOpen) {
        isOpen = false;
        shares.delete(share);
        add(-share.bytes);
      }
    };
    const own: OpenShare = Object.assign(share, {
      drop: () => {
        release();
        drop();
      },
    });
    shares.add(own);
    return {
      resize: (bytes) => {
        if (!isOpen) {
          return;
        }
        add(bytes - share.bytes);
        share.bytes = bytes;
        let isOver = true;
        while (isOver) {
          const largestInput =
            input.countBytes() > maxInputBytes || countBytes() > maxBytes
              ? getLargest(input)
              : null;
          const largest = largestInput ?? (countBytes() > maxBytes ? getLargest(answers) : null);
          largest?.drop();
          isOver = largest !== null;
        }
      },
      keep: () => {
        shares.delete(own);
      },
      release,
    };
  };
  return {
    maxAnswerBytes: Math.floor(Math.min(MAX_ANSWER_BYTES, maxBytes * ANSWER_SHARE)),
    countBytes,
    getPieceDelayMs: () =>
      countBytes() > maxBytes * SCARCE_SHARE ? Math.floor(answers.shares.size * MS_PER_ANSWER) : 0,
    open: (drop) => openIn(answers, drop),
    openInput: (drop) => openIn(input, drop),
  };
};

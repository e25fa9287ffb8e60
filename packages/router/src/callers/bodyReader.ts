import type * as http from 'node:http';
import type * as bufferBudget from '../upstreams/bufferBudget.js';

/** Bounds on the body of a request. */
export interface BodyBounds {
  readonly maxBytes: number;
  /** Time within which the body has to arrive, in milliseconds. */
  readonly timeoutMs: number;
  readonly buffers: bufferBudget.BufferBudget;
}

/** Why a body was not read to its end: too large, crowded out by others, too late, or broken off. */
export type BodyFailure = 'bodyTooLarge' | 'bodyCrowded' | 'bodyLate' | 'bodyBroken';

/** A body that was read. */
export type ReadBody =
  | {
      readonly kind: 'whole';
      readonly body: Buffer;
      /** Gives the body's memory back to the budget. */
      readonly release: () => void;
    }
  | { readonly kind: BodyFailure };

/** Size up to which a body is not counted, in bytes; the number of connections bounds what these take. */
const SMALL_BYTES = 16_384;
/** Least size of a block that pieces are joined in, in bytes. */
const MIN_BLOCK_BYTES = 1_024;
const GROWTH = 2;
const EMPTY = Buffer.alloc(0);

/** Returns the announced length of a body, or null if it comes in chunks or is missing. */
export const getAnnouncedBytes = ({ headers }: http.IncomingMessage): number | null =>
  headers['content-length'] === undefined ? null : Number(headers['content-length']);

/**
 * Reads the whole body. Pieces are joined as they come, since each costs memory of its own. One that fails is not read on.
 */
export const readBody = (request: http.IncomingMessage, bounds: BodyBounds): Promise<ReadBody> => {
  const { maxBytes, timeoutMs, buffers } = bounds;
  const announcedBytes = getAnnouncedBytes(request);
  if (announcedBytes !== null && announcedBytes > maxBytes) {
    return Promise.resolve({ kind: 'bodyTooLarge' });
  }
  return new Promise((resolve) => {
    let block: Buffer = EMPTY;
    let bytes = 0;
    let share: bufferBudget.BufferShare | null = null;
    let timer: NodeJS.Timeout | null = null;
    const finish = (outcome: ReadBody): void => {
      /* eslint-disable @typescript-eslint/no-use-before-define -- the listeners end together */
      request.off('data', handleData);
      request.off('end', handleEnd);
      request.off('close', handleClose);
      /* eslint-enable @typescript-eslint/no-use-before-define */
      if (timer !== null) {
        clearTimeout(timer);
      }
      if (outcome.kind !== 'whole') {
        request.pause();
        share?.release();
        block = EMPTY;
      }
      resolve(outcome);
    };
    const fail = (kind: BodyFailure): void => finish({ kind });
    const addPiece = (piece: Buffer): void => {
      const end = bytes + piece.length;
      if (bytes === 0) {
        block = piece;
      } else {
        if (end > block.length) {
          const limit = Math.max(end, announcedBytes ?? maxBytes);
          const size = Math.min(limit, Math.max(end, GROWTH * block.length, MIN_BLOCK_BYTES));
          const larger = Buffer.allocUnsafeSlow(size);
          block.copy(larger, 0, 0, bytes);
          block = larger;
        }
        piece.copy(block, bytes);
      }
      bytes = end;
    };
    const handleData = (piece: Buffer): void => {
      if (bytes + piece.length > maxBytes) {
        fail('bodyTooLarge');
        return;
      }
      addPiece(piece);
      if (block.length > SMALL_BYTES) {
        share ??= buffers.openInput(() => fail('bodyCrowded'));
        share.resize(block.length);
      }
    };
    const handleEnd = (): void => {
      share?.keep();
      finish({
        kind: 'whole',
        body: bytes === block.length ? block : block.subarray(0, bytes),
        release: () => share?.release(),
      });
    };
    const handleClose = (): void => fail('bodyBroken');
    if (announcedBytes !== 0 && (announcedBytes ?? request.headers['transfer-encoding']) != null) {
      timer = setTimeout(() => fail('bodyLate'), timeoutMs);
    }
    // A connection that breaks is noticed by its close.
    request.on('error', () => undefined);
    request.on('data', handleData);
    request.once('end', handleEnd);
    request.once('close', handleClose);
  });
};

/** A complete server-sent event. */
export interface StreamEvent {
  /** Value of the `id` field, or null if the event has no numeric one. */
  readonly id: number | null;
  /** Raw bytes of the event, its delimiter included. */
  readonly bytes: Buffer;
}

/** Splits a byte stream into complete server-sent events. */
export interface EventSplitter {
  /** Appends bytes and returns the events they complete. Throws a RangeError if an event is too large. */
  readonly push: (bytes: Buffer) => readonly StreamEvent[];
  /** Number of buffered bytes that belong to an incomplete event. */
  readonly countBufferedBytes: () => number;
}

/** Largest event, in bytes; bounds the memory that a faulty upstream can make the router use. */
const MAX_EVENT_BYTES = 1_048_576;

const LINE_ENDS = Buffer.from('\n\n');
const CRLF_ENDS = Buffer.from('\r\n\r\n');

/** Bytes of a delimiter that may have arrived before the rest of it. */
const SPLIT_BYTES = 3;

/** Returns the index after the first delimiter at or after an offset, or Infinity if there is none. */
const findEnd = (bytes: Buffer, offset: number): number => {
  const lineEnd = bytes.indexOf(LINE_ENDS, offset);
  const crlfEnd = bytes.indexOf(CRLF_ENDS, offset);
  return Math.min(
    lineEnd === -1 ? Infinity : lineEnd + LINE_ENDS.length,
    crlfEnd === -1 ? Infinity : crlfEnd + CRLF_ENDS.length,
  );
};

const parseId = (bytes: Buffer): number | null => {
  const found = /(?:^|\n)id:\s?(\d+)\s*(?:\r?\n|$)/.exec(bytes.toString('latin1'));
  return found === null ? null : Number(found[1]);
};

/** Creates a splitter for the body of one answer. */
export const makeEventSplitter = (): EventSplitter => {
  /** Bytes of an incomplete event, and room for more, so that small pieces are not joined anew each time. */
  let held: Buffer = Buffer.alloc(0);
  let heldBytes = 0;
  const append = (bytes: Buffer): Buffer => {
    if (heldBytes === 0) {
      return bytes;
    }
    const length = heldBytes + bytes.length;
    if (length > held.length) {
      const next = Buffer.allocUnsafe(Math.max(length, heldBytes * 2));
      held.copy(next, 0, 0, heldBytes);
      held = next;
    }
    bytes.copy(held, heldBytes);
    return held.subarray(0, length);
  };
  return {
    push: (bytes) => {
      const searchFrom = Math.max(0, heldBytes - SPLIT_BYTES);
      const joined = append(bytes);
      const events: StreamEvent[] = [];
      let start = 0;
      let end = findEnd(joined, searchFrom);
      while (end !== Infinity) {
        const complete = joined.subarray(start, end);
        events.push({ id: parseId(complete), bytes: complete });
        start = end;
        end = findEnd(joined, start);
      }
      // Events that were returned are still in use, so what follows them is appended to a copy.
      if (heldBytes === 0 || start > 0) {
        held = joined.subarray(start);
      }
      heldBytes = joined.length - start;
      if (heldBytes > MAX_EVENT_BYTES) {
        throw new RangeError(`an event exceeds ${MAX_EVENT_BYTES} bytes`);
      }
      return events;
    },
    countBufferedBytes: () => heldBytes,
  };
};

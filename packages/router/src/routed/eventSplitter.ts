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

const EVENT_DELIMITERS = [Buffer.from('\n\n'), Buffer.from('\r\n\r\n')] as const;

/** Returns the index after the first delimiter, or Infinity if there is none. */
const findEnd = (bytes: Buffer): number => {
  const ends = EVENT_DELIMITERS.map((delimiter) => {
    const index = bytes.indexOf(delimiter);
    return index === -1 ? Infinity : index + delimiter.length;
  });
  return Math.min(...ends);
};

const parseId = (bytes: Buffer): number | null => {
  const found = /(?:^|\n)id:\s?(\d+)\s*(?:\r?\n|$)/.exec(bytes.toString('latin1'));
  return found === null ? null : Number(found[1]);
};

/** Creates a splitter for the body of one answer. */
export const makeEventSplitter = (): EventSplitter => {
  let buffered: Buffer = Buffer.alloc(0);
  return {
    push: (bytes) => {
      buffered = buffered.length === 0 ? bytes : Buffer.concat([buffered, bytes]);
      const events: StreamEvent[] = [];
      for (let end = findEnd(buffered); end !== Infinity; end = findEnd(buffered)) {
        const complete = buffered.subarray(0, end);
        events.push({ id: parseId(complete), bytes: complete });
        buffered = buffered.subarray(end);
      }
      if (buffered.length > MAX_EVENT_BYTES) {
        throw new RangeError(`an event exceeds ${MAX_EVENT_BYTES} bytes`);
      }
      return events;
    },
    countBufferedBytes: () => buffered.length,
  };
};

/** One whole event of a stream with its bytes. */
export interface StreamEvent {
  /** Identifier of the event, or null when it names none. */
  readonly id: number | null;
  readonly bytes: Buffer;
}

/** Cuts a stream of bytes into whole events. */
export interface EventSplitter {
  /** Adds bytes and returns the events that are whole now. */
  readonly push: (bytes: Buffer) => readonly StreamEvent[];
  /** Bytes of an event that is not whole yet. */
  readonly countBufferedBytes: () => number;
}

/** Largest event, which bounds what a broken upstream can make the router hold, in bytes. */
const MAX_EVENT_BYTES = 1_048_576;

const END_MARKS = [Buffer.from('\n\n'), Buffer.from('\r\n\r\n')] as const;

const findEnd = (bytes: Buffer): number => {
  const ends = END_MARKS.map((mark) => {
    const index = bytes.indexOf(mark);
    return index === -1 ? Infinity : index + mark.length;
  });
  return Math.min(...ends);
};

const parseId = (bytes: Buffer): number | null => {
  const found = /(?:^|\n)id:\s?(\d+)\s*(?:\r?\n|$)/.exec(bytes.toString('latin1'));
  return found === null ? null : Number(found[1]);
};

/** Makes a splitter for one answer. */
export const makeEventSplitter = (): EventSplitter => {
  let rest: Buffer = Buffer.alloc(0);
  return {
    push: (bytes) => {
      rest = rest.length === 0 ? bytes : Buffer.concat([rest, bytes]);
      const events: StreamEvent[] = [];
      for (let end = findEnd(rest); end !== Infinity; end = findEnd(rest)) {
        const whole = rest.subarray(0, end);
        events.push({ id: parseId(whole), bytes: whole });
        rest = rest.subarray(end);
      }
      if (rest.length > MAX_EVENT_BYTES) {
        throw new RangeError(`an event exceeds ${MAX_EVENT_BYTES} bytes`);
      }
      return events;
    },
    countBufferedBytes: () => rest.length,
  };
};

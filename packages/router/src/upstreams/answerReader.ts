import * as eventsourceParser from 'eventsource-parser';

/** Result of decoding one chunk of an upstream's stream. */
export interface ReadResult {
  /** Data of the events completed by this chunk, without the end mark. */
  readonly events: readonly string[];
  /** True once the end mark was read. */
  readonly hasEnded: boolean;
  /** True once the stream contained anything but well-formed events. */
  readonly isGarbage: boolean;
}

/** End mark of a streamed answer. */
const END_MARK = '[DONE]';

/** Largest event, in characters; bounds the memory that a faulty upstream can make the router use. */
const MAX_EVENT_LENGTH = 1_048_576;

const isChunk = (data: string): boolean => {
  try {
    const value: unknown = JSON.parse(data);
    return (
      typeof value === 'object' &&
      value !== null &&
      'choices' in value &&
      Array.isArray(value.choices)
    );
  } catch {
    return false;
  }
};

/** Incremental decoder of a streamed answer. */
export interface AnswerReader {
  readonly read: (bytes: Uint8Array) => ReadResult;
}

/** Makes a reader for one streamed answer. */
export const makeAnswerReader = (): AnswerReader => {
  const decoder = new TextDecoder();
  let events: string[] = [];
  let hasEnded = false;
  let isGarbage = false;
  let incompleteLength = 0;
  const parser = eventsourceParser.createParser({
    onEvent: (event) => {
      incompleteLength = 0;
      if (hasEnded || event.data === END_MARK) {
        hasEnded = true;
        return;
      }
      isGarbage = isGarbage || !isChunk(event.data);
      events.push(event.data);
    },
    onError: () => {
      isGarbage = true;
    },
  });
  return {
    read: (bytes) => {
      events = [];
      const text = decoder.decode(bytes, { stream: true });
      incompleteLength += text.length;
      parser.feed(text);
      isGarbage = isGarbage || incompleteLength > MAX_EVENT_LENGTH;
      return { events, hasEnded, isGarbage };
    },
  };
};

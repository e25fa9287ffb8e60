import type * as http from 'node:http';
import type * as platform from '@jayrock/platform';

/** Controls an attempt in flight. */
export interface RunningAttempt {
  /** Cancels the attempt and closes its connection, which signals the upstream to stop. */
  readonly cancel: () => void;
  /** Returns whether nothing of the request has been handed to a connection. */
  readonly isUnsent: () => boolean;
  /** Fails the attempt as unsent if it is still waiting for a connection. */
  readonly dropUnsent: () => void;
  /** Forwards the answer to the caller, beginning with the buffered part. */
  readonly forward: () => void;
}

/** Times of one send, in milliseconds since the request was read. */
export interface SendTimes {
  readonly upstream: string;
  /** When the attempt was started. */
  readonly startedMs: number;
  /** When its bytes were handed to a connection, or null if they were not. */
  sentMs: number | null;
}

/** The shell's record of a routed request in flight, in addition to the reducer's state. */
export interface PendingRoutedRequest {
  /** Identifier that is unique within this process. */
  readonly id: string;
  /** Request identifier that the caller sent and upstreams echo, or null. */
  readonly callerRequestId: string | null;
  readonly method: string;
  /** Path and query as the caller sent them. */
  readonly url: string;
  readonly rawHeaders: readonly string[];
  readonly headers: platform.callHeaders.ParsedHeaders;
  readonly body: Buffer;
  /** Hash of method, host, path, key and body. */
  readonly fingerprint: string;
  /** The same with the organisation in place of its key, or no key if it has none; null without a key. */
  readonly callerFingerprint: string | null;
  /** Hash by which routers of the former build know the request, or null if other requests have it too. */
  readonly formerFingerprint: string | null;
  readonly response: http.ServerResponse;
  /** Earliest time at which the request can have arrived, on the monotonic clock, in milliseconds. */
  readonly arrivedAtMs: number;
  /** When its headers were read, on the same clock, in milliseconds. */
  readonly readAtMs: number;
  /** Times of all sends, in their order. */
  readonly sends: SendTimes[];
  /** Attempts in flight by attempt identifier. */
  readonly attempts: Map<number, RunningAttempt>;
  /** True once the head of an answer was written to the caller. */
  isHeadWritten: boolean;
  /** Identifier of the last event forwarded to the caller, or null before the first. */
  lastEventId: number | null;
}

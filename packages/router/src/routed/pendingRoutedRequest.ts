import type * as http from 'node:http';
import type * as platform from '@jayrock/platform';

/** An attempt's traffic as the caller's side drives it. */
export interface RunningAttempt {
  /** Stops the traffic and tells the upstream by closing the connection. */
  readonly cancel: () => void;
  /** Fails the attempt as unsent if it still waits for its connection. */
  readonly dropUnsent: () => void;
  /** Passes the answer on to the caller, what was held back first. */
  readonly forward: () => void;
}

/** What the process holds for a routed request in flight, beside the reducer's state. */
export interface PendingRoutedRequest {
  /** Identifier within this process. */
  readonly id: string;
  /** Identifier the caller gave, which upstreams echo. */
  readonly callerRequestId: string | null;
  readonly method: string;
  /** Path and query as sent. */
  readonly url: string;
  readonly rawHeaders: readonly string[];
  readonly headers: platform.callHeaders.ParsedHeaders;
  readonly body: Buffer;
  /** Hash of method, path, caller and body. */
  readonly fingerprint: string;
  readonly response: http.ServerResponse;
  readonly arrivedAtMs: number;
  readonly attempts: Map<number, RunningAttempt>;
  /** True once the head of an answer was written. */
  isHeadWritten: boolean;
  /** Last event passed to the caller, or null before the first. */
  lastEventId: number | null;
}

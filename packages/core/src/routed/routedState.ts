import type * as shared from '@jayrock/shared';

/** One part of a prompt. Requests share a prefix if their leading parts are equal and in the same order. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** Properties of a routed request, as parsed from its head and body. */
export interface RoutedCall {
  readonly host: string;
  /** Path without its query. */
  readonly path: string;
  /** API key, or null if the caller sends none. */
  readonly key: string | null;
  /** Time for which the caller waits, in milliseconds, or null if it sets no deadline. */
  readonly deadlineMs: number | null;
  /** Model named by the caller, `*` for any of the route's sizes, or null. */
  readonly model: string | null;
  readonly tokensIn: number;
  readonly maxTokens: number;
  /** The caller's estimate of the answer's length, in tokens, or null. */
  readonly lengthHint: number | null;
  readonly parts: readonly PromptPart[];
  /** Id of the last event that the caller received from an earlier request, or null. */
  readonly lastEventId: number | null;
  /** Name of the caller's session, or null. */
  readonly session: string | null;
  /** Hash of method, host, path, key and body; equal for repetitions of a request with the same key. */
  readonly fingerprint: string;
  /** The same with the organisation in place of its key, or no key if it has none; null without a key. */
  readonly callerFingerprint: string | null;
  /** Hash by which routers of the former build know the request, or null if other requests have it too. */
  readonly formerFingerprint: string | null;
}

/** Part of a request's state that only routed requests have. */
export interface RoutedState {
  readonly call: RoutedCall;
  readonly route: shared.routeTable.Route;
  /** Model requested from the upstream, or null if the request is forwarded unchanged. */
  readonly model: string | null;
  /** Priority in the upstream's queue, where 0 is the highest. */
  readonly priority: number;
  /** Version of the upstream whose answer was forwarded, or null before that. */
  readonly version: string | null;
  /** Time until which the request may wait in this router's queue, in milliseconds. */
  readonly queueUntilMs: number;
  /** Number of sends that upstreams provably did not execute. */
  readonly notRunCount: number;
  /** Ids of the upstreams whose answer to this request was larger than what this router accepts. */
  readonly excessiveUpstreams: readonly string[];
}

/** Head of an upstream's answer. */
export interface AnswerHead {
  readonly status: number;
  /** Confidence score that the model reports for its answer, from 0 to 100, or null. */
  readonly confidence: number | null;
}

/** Lowest HTTP status that counts as a failure of the upstream. */
export const FIRST_FAILURE_STATUS = 500;
/** Lowest HTTP status that cannot continue an answer which has begun. */
export const FIRST_UNUSABLE_STATUS = 300;

/** Estimates the number of output tokens of a routed request. */
export const estimateTokensOut = (call: RoutedCall): number =>
  call.lengthHint === null
    ? call.maxTokens
    : Math.max(1, Math.min(call.maxTokens || call.lengthHint, call.lengthHint));

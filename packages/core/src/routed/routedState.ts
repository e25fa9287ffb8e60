import type * as shared from '@jayrock/shared';

/** One part of a prompt, which requests may share; the order of parts matters. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** What a routed request shows when it has been read. */
export interface RoutedCall {
  readonly host: string;
  /** Path without its query. */
  readonly path: string;
  readonly key: string | null;
  /** Time the caller will wait, in milliseconds. */
  readonly deadlineMs: number | null;
  /** Model named by the caller, `*` for any of the route's sizes, or null. */
  readonly model: string | null;
  readonly tokensIn: number;
  readonly maxTokens: number;
  /** The caller's guess at the length of the answer, in tokens. */
  readonly lengthHint: number | null;
  readonly parts: readonly PromptPart[];
  /** Last event the caller has from an earlier request, or null. */
  readonly lastEventId: number | null;
  /** Name of the caller's session, or null. */
  readonly session: string | null;
  /** Hash of method, path, caller and body, equal when the same request comes again. */
  readonly fingerprint: string;
}

/** What only routed requests carry. */
export interface RoutedState {
  readonly call: RoutedCall;
  readonly route: shared.routeTable.Route;
  /** Model asked of the upstream, or null when the request passes unchanged. */
  readonly model: string | null;
  /** Rank among waiting work, 0 first. */
  readonly rank: number;
  /** Version of the upstreams that a stream began on, or null. */
  readonly version: string | null;
  /** Time up to which the request waits here for room, in milliseconds. */
  readonly queueUntilMs: number;
  /** Sends that the upstream has proved it did not run. */
  readonly notRunCount: number;
}

/** The head of an upstream's answer. */
export interface AnswerHead {
  readonly status: number;
  /** The model's own opinion of its answer, from 0 to 100, or null. */
  readonly confidence: number | null;
}

/** Status from which an answer is a failure of the upstream. */
export const FIRST_FAILURE_STATUS = 500;

/** Estimates the tokens that a routed request will generate. */
export const estimateTokensOut = (call: RoutedCall): number =>
  call.lengthHint === null
    ? call.maxTokens
    : Math.max(1, Math.min(call.maxTokens || call.lengthHint, call.lengthHint));

import type * as routedState from './routed/routedState.js';
import type * as versionId from './versionId.js';

/** Properties of a request that are known when it arrives. */
export interface RequestShape {
  readonly kind: 'chat' | 'call';
  /** Model named by the caller, `auto`, or the name of a plain service. */
  readonly target: string;
  readonly adapter: string | null;
  /** Path below a plain service, empty for chat. */
  readonly path: string;
  readonly streaming: boolean;
  readonly tokensIn: number;
  readonly maxTokens: number;
  /** Hash of the leading part of the prompt, which engines may have cached. */
  readonly prefix: number;
  /** Hash of the whole request; a resend by the caller has the same value. */
  readonly fingerprint: string;
}

/** Versions to which a session is pinned, carried by a verified token or stored under the session's name. */
export interface SessionPin {
  /** Version of each model that the session has used, by model name. */
  readonly versions: Readonly<Record<string, string>>;
}

/** One attempt to run a request on an upstream. */
export interface Attempt {
  readonly id: number;
  readonly upstreamId: string;
  readonly startedAtMs: number;
  readonly isHedge: boolean;
  /** True once the hedge delay has passed without a token. */
  readonly isOverdue: boolean;
  /** Prompt tokens that the upstream is expected to process before its answer begins. */
  readonly prefillTokens: number;
  /** Time at which the upstream began to answer a routed request, or null before that. */
  readonly headAtMs: number | null;
  /** Time at which the permit for its send expires, in milliseconds, or null if it needed none. */
  readonly permitEndsAtMs: number | null;
}

/**
 * Phase of a request in flight. `rating`: the complete answer is held until it is rated. `ending`:
 * the answer is billed, and its end is sent once a witness has stored the entry.
 */
export type RequestPhase = 'queued' | 'claiming' | 'running' | 'backingOff' | 'rating' | 'ending';

/** A request in flight. */
export interface RequestState {
  readonly id: string;
  readonly customer: string;
  readonly plan: string;
  readonly shape: RequestShape;
  readonly service: string;
  readonly versionId: versionId.VersionId;
  /** Class of similar requests under which lengths and ratings are learned. */
  readonly classKey: string;
  /** Expected length of the answer, in tokens. */
  readonly expectedTokens: number;
  readonly isLong: boolean;
  readonly isRepeatable: boolean;
  /** True once the claim of a non-idempotent request is written. */
  readonly hasClaim: boolean;
  /** True if the request was in flight at a recent crash of an upstream. */
  readonly isSuspect: boolean;
  readonly pin: SessionPin | null;
  /** True if the session's pinned version could not be kept. */
  readonly hasMovedSession: boolean;
  readonly arrivedAtMs: number;
  readonly deadlineAtMs: number;
  readonly phase: RequestPhase;
  /** Class in its service's queue while the request is queued; lower ones start first. */
  readonly queueRank: number;
  /** Name of its queue within that class. */
  readonly queueName: string;
  /** Sort key in that queue; lower keys start first. */
  readonly queueOrder: number;
  readonly attempts: readonly Attempt[];
  readonly nextAttemptId: number;
  /** Number of attempts of which any byte may have reached an upstream. */
  readonly sentCount: number;
  readonly retryCount: number;
  readonly triedUpstreams: readonly string[];
  /** Id of the attempt whose answer is forwarded, or null before the first token. */
  readonly forwardedAttempt: number | null;
  /** Tokens forwarded to the caller, as last reported by the shell. */
  readonly tokensForwarded: number;
  readonly escalationCount: number;
  /** Price per thousand tokens or per call, in millionths of the billing currency. */
  readonly priceMicros: number;
  readonly isBilled: boolean;
  /** Length of the complete answer in tokens, set when it has ended. */
  readonly tokensOut: number;
  /** State that only a routed request has, or null. */
  readonly routed: routedState.RoutedState | null;
}

/** Initial values of the fields that record a request's progress. */
export const INITIAL_PROGRESS = {
  hasClaim: false,
  phase: 'queued',
  queueRank: 0,
  queueName: '',
  queueOrder: 0,
  attempts: [],
  nextAttemptId: 1,
  sentCount: 0,
  retryCount: 0,
  triedUpstreams: [],
  forwardedAttempt: null,
  tokensForwarded: 0,
  escalationCount: 0,
  tokensOut: 0,
} as const satisfies Partial<RequestState>;

/** Prompt tokens that an engine processes in the time of one generated token. */
const PREFILL_TOKENS_PER_TOKEN = 20;

/** Estimates the cost of a request: its work, in units of one generated token. */
export const estimateCost = (request: RequestState): number =>
  request.expectedTokens + request.shape.tokensIn / PREFILL_TOKENS_PER_TOKEN;

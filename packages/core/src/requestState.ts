import type * as routedState from './routed/routedState.js';
import type * as versionId from './versionId.js';

/** What a request shows about itself when it arrives. */
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
  /** Hash of the leading part of the prompt that engines may have cached. */
  readonly prefix: number;
  /** Hash of the whole request, equal when a caller sends it again. */
  readonly fingerprint: string;
}

/** A session's tie to a version, as carried by a verified token or kept by name. */
export interface SessionPin {
  /** Version of each model the session has used, by model name. */
  readonly versions: Readonly<Record<string, string>>;
}

/** One attempt to run a request on an upstream. */
export interface Attempt {
  readonly id: number;
  readonly upstreamId: string;
  readonly startedAtMs: number;
  readonly isHedge: boolean;
  /** True once the attempt has passed its hedge delay without a token. */
  readonly isOverdue: boolean;
  /** Prompt tokens the upstream is expected to read before its answer begins. */
  readonly prefillTokens: number;
}

/** Stage of a request in flight. */
export type RequestPhase = 'queued' | 'claiming' | 'running' | 'backingOff' | 'rating' | 'ending';

/** A request in flight. */
export interface RequestState {
  readonly id: string;
  readonly customer: string;
  readonly plan: string;
  readonly shape: RequestShape;
  readonly service: string;
  readonly versionId: versionId.VersionId;
  readonly classKey: string;
  readonly expectedTokens: number;
  readonly isLong: boolean;
  readonly isRepeatable: boolean;
  /** True once the claim of work that may not be repeated is written. */
  readonly hasClaim: boolean;
  readonly isSuspect: boolean;
  readonly pin: SessionPin | null;
  readonly hasMovedSession: boolean;
  readonly arrivedAtMs: number;
  readonly deadlineAtMs: number;
  readonly phase: RequestPhase;
  /** Position in its customer's queue while queued. */
  readonly queueOrder: number;
  readonly attempts: readonly Attempt[];
  readonly nextAttemptId: number;
  /** Attempts whose bytes reached an upstream or may have. */
  readonly sentCount: number;
  readonly retryCount: number;
  readonly triedUpstreams: readonly string[];
  /** Attempt whose answer is relayed, or null before the first token. */
  readonly forwardedAttempt: number | null;
  /** Tokens already relayed to the caller, as last told by the shell. */
  readonly tokensForwarded: number;
  readonly escalationCount: number;
  /** Price of a thousand tokens or of one call, in millionths of the billing currency. */
  readonly priceMicros: number;
  readonly isBilled: boolean;
  /** Length of the whole answer once it has ended, in tokens. */
  readonly tokensOut: number;
  /** What only a routed request carries, or null. */
  readonly routed: routedState.RoutedState | null;
}

/** Fields of a request of which nothing has been started yet. */
export const INITIAL_PROGRESS = {
  hasClaim: false,
  phase: 'queued',
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

/** Prompt tokens that take an engine as long as one generated token. */
const PREFILL_TOKENS_PER_TOKEN = 20;

/** Estimates the work a request asks for, in generated tokens. */
export const estimateCost = (request: RequestState): number =>
  request.expectedTokens + request.shape.tokensIn / PREFILL_TOKENS_PER_TOKEN;

import type * as shared from '@jayrock/shared';
import type * as claimLog from './claims/claimLog.js';
import type * as events from './events.js';
import type * as leavingNews from './notices/leavingNews.js';
import type * as rateLimitNews from './rateLimits/rateLimitNews.js';
import type * as guardNews from './routed/guardNews.js';
import type * as canaryState from './routed/canaryState.js';
import type * as requestState from './requestState.js';
import type * as versionId from './versionId.js';

/** Parameters of a routed request that are sent to the upstream. */
export interface RoutedSend {
  /** Model to put into the request, or null if the request already names it or has none. */
  readonly model: string | null;
  /** Rank in the upstream's queue, 0 first. */
  readonly priority: number;
  /** Organisation of the caller's key, or null on a public route. */
  readonly organisation: string | null;
  /** Time left until the request's deadline, in milliseconds. */
  readonly timeLeftMs: number;
  /** Time without a head after which the upstream counts as silent, in milliseconds. */
  readonly headTimeoutMs: number;
  /** Time without a further event after which the upstream counts as silent, in milliseconds. */
  readonly gapTimeoutMs: number;
  /** Times without a byte that are no sign of a cut, until the head and between events, in milliseconds. */
  readonly patience: { readonly headMs: number; readonly gapMs: number };
  /** True when the answer is a stream of events. */
  readonly isStream: boolean;
}

/** Payloads of all effects, by type. */
export interface EffectPayloads {
  /** Sends the caller an error; `notRun` states that the request was certainly not executed. */
  readonly refuse: {
    readonly requestId: string;
    readonly code: shared.errorCodes.ErrorCode;
    readonly notRun: boolean;
    readonly retryAfterMs: number | null;
  };
  /** Writes the claim of a non-idempotent request. */
  readonly writeClaim: { readonly requestId: string };
  /** Withdraws a claim under which nothing was sent. */
  readonly releaseClaim: { readonly requestId: string };
  readonly startAttempt: {
    readonly requestId: string;
    readonly attemptId: number;
    readonly upstreamId: string;
    readonly address: string;
    readonly versionId: versionId.VersionId;
    /** Lower values run first on engines that support priorities. */
    readonly priority: number;
    /** Number of tokens that were already forwarded to the caller. */
    readonly resumeFrom: number;
    /** Parameters of a routed request, or null for any other request. */
    readonly routed: RoutedSend | null;
  };
  /** Forwards the answer of a routed request's attempt to the caller. */
  readonly forwardAnswer: { readonly requestId: string; readonly attemptId: number };
  /** Writes the outcome of a canary to the store. */
  readonly recordCanaryOutcome: {
    readonly order: canaryState.RolloutOrder;
    readonly stage: 'completed' | 'rolledBack';
  };
  /** Forwards the answer of an attempt, and the session's pin, to the caller. */
  readonly forwardAttempt: {
    readonly requestId: string;
    readonly attemptId: number;
    readonly pin: requestState.SessionPin | null;
    readonly hasMovedSession: boolean;
  };
  /** Sends the caller the recorded answer of the first execution. */
  readonly replayAnswer: { readonly requestId: string };
  readonly cancelAttempt: { readonly requestId: string; readonly attemptId: number };
  /** Fails an attempt as unsent if no byte of it was sent, so that another upstream can run it. */
  readonly dropUnsent: { readonly requestId: string; readonly attemptId: number };
  /** Requests a rating while the answer is held. */
  readonly rateHeldAnswer: { readonly requestId: string; readonly timeoutMs: number };
  /** Requests a rating that is only used for learning. */
  readonly rateAnswer: {
    readonly requestId: string;
    readonly customer: string;
    readonly plan: string;
    readonly classKey: string;
    readonly versionId: versionId.VersionId;
  };
  /** Stores a billing entry at the witnesses. */
  readonly witnessEntry: { readonly entry: shared.ledgerEntry.LedgerEntry };
  readonly finishAnswer: {
    readonly requestId: string;
    readonly pin: requestState.SessionPin | null;
    readonly hasMovedSession: boolean;
  };
  readonly armTimer: { readonly timer: events.Timer; readonly delayMs: number };
  /** Blocks a version at all peers. */
  readonly broadcastBlock: { readonly versionId: versionId.VersionId };
  readonly broadcastCrashEvidence: {
    readonly fingerprint: string;
    readonly crashes: readonly string[];
  };
  /** Tells all peers what this router knows about requests that crash upstreams. */
  readonly broadcastGuardNews: { readonly news: guardNews.GuardNews };
  /** Tells all peers about upstreams that leave. */
  readonly broadcastLeavingNews: { readonly news: readonly leavingNews.LeavingNews[] };
  /** Tells all peers about a limit that an upstream names, or that has ended. */
  readonly broadcastRateLimitNews: { readonly news: readonly rateLimitNews.RateLimitNews[] };
  /** Asks the allocator of an upstream for permits to send requests. */
  readonly requestPermits: {
    readonly address: string;
    readonly upstreamId: string;
    readonly count: number;
  };
  /** Grants permits to another router, or tells it how many other routers wait for. */
  readonly grantPermits: {
    readonly address: string;
    readonly upstreamId: string;
    readonly count: number;
    readonly backlog: number;
  };
  /** Stores a guard with its reasons or, if `news` is null, removes it from the store. */
  readonly recordGuard: { readonly id: string; readonly news: guardNews.GuardNews | null };
  readonly proposeRollout: {
    readonly model: string;
    readonly to: string;
    readonly fromStep: number;
    readonly change: 'advance' | 'halt';
  };
  readonly sendProbe: {
    /** Member to probe, or null if only its address is known. */
    readonly targetId: string | null;
    readonly address: string;
    readonly message: events.GossipMessage;
  };
  readonly sendIndirectProbe: {
    readonly targetId: string;
    readonly address: string;
    /** Addresses of the peers that send the indirect probe. */
    readonly helpers: readonly string[];
  };
  readonly fetchConfig: { readonly address: string };
  readonly loadClaimLog: { readonly bucket: number; readonly fromSegment: number };
  readonly writeClaimSegment: {
    readonly bucket: number;
    readonly segment: number;
    readonly operations: readonly claimLog.ClaimOperation[];
  };
  readonly armClaimTimer: { readonly bucket: number; readonly delayMs: number };
  readonly answerClaim: {
    readonly token: string;
    readonly result: claimLog.ClaimResult;
    readonly answer: claimLog.RecordedAnswer | null;
  };
  readonly writeEntries: { readonly entries: readonly shared.ledgerEntry.LedgerEntry[] };
  readonly releaseEntries: { readonly requestIds: readonly string[] };
  readonly sendOrder: {
    readonly upstreamId: string;
    readonly address: string;
    /** Complete list of the versions that the engine should have loaded. */
    readonly loaded: readonly versionId.VersionId[];
  };
  readonly log: { readonly message: string; readonly fields: Readonly<Record<string, unknown>> };
}

/** Type tag of an effect. */
export type EffectType = keyof EffectPayloads;

/** One effect of a given type. */
export type EffectOf<T extends EffectType> = { readonly type: T } & EffectPayloads[T];

/** Any effect. */
export type Effect = { readonly [T in EffectType]: EffectOf<T> }[EffectType];

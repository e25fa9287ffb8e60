import type * as shared from '@jayrock/shared';
import type * as claimLog from './claims/claimLog.js';
import type * as events from './events.js';
import type * as canaryState from './routed/canaryState.js';
import type * as requestState from './requestState.js';
import type * as versionId from './versionId.js';

/** What a send of a routed request tells the upstream. */
export interface RoutedSend {
  /** Model asked for, or null when the request names its own or none. */
  readonly model: string | null;
  /** Rank among the upstream's waiting work, 0 first. */
  readonly rank: number;
  /** Organisation that holds the caller's key, or null on a public route. */
  readonly organisation: string | null;
  /** Time the upstream is given, in milliseconds. */
  readonly timeLeftMs: number;
  /** Time without an answer after which the upstream counts as silent, in milliseconds. */
  readonly headTimeoutMs: number;
  /** Time without a further event after which it counts as silent, in milliseconds. */
  readonly gapTimeoutMs: number;
  /** True when the answer is a stream of events. */
  readonly isStream: boolean;
}

/** Payloads of all effects, by type. */
export interface EffectBodies {
  readonly refuse: {
    readonly requestId: string;
    readonly code: shared.errorCodes.ErrorCode;
    readonly notRun: boolean;
    readonly retryAfterMs: number | null;
  };
  readonly writeClaim: { readonly requestId: string };
  readonly releaseClaim: { readonly requestId: string };
  readonly startAttempt: {
    readonly requestId: string;
    readonly attemptId: number;
    readonly upstreamId: string;
    readonly address: string;
    readonly versionId: versionId.VersionId;
    /** Lower runs first on engines that honour it. */
    readonly priority: number;
    /** Tokens the caller already has. */
    readonly resumeFrom: number;
    /** What only a routed request sends, or null. */
    readonly routed: RoutedSend | null;
  };
  /** Pass an attempt's answer on to the caller. */
  readonly forwardAnswer: { readonly requestId: string; readonly attemptId: number };
  /** Write the end of a roll-out to the store. */
  readonly recordCanaryOutcome: {
    readonly order: canaryState.RolloutOrder;
    readonly stage: 'completed' | 'rolledBack';
  };
  readonly forwardAttempt: {
    readonly requestId: string;
    readonly attemptId: number;
    readonly pin: requestState.SessionPin | null;
    readonly hasMovedSession: boolean;
  };
  /** Give the caller the recorded answer of the first run. */
  readonly replayAnswer: { readonly requestId: string };
  readonly cancelAttempt: { readonly requestId: string; readonly attemptId: number };
  /** Fail an attempt as unsent if no byte of it has left, so that it may go on elsewhere. */
  readonly dropUnsent: { readonly requestId: string; readonly attemptId: number };
  /** Ask for a rating while the answer is held back. */
  readonly rateHeldAnswer: { readonly requestId: string; readonly timeoutMs: number };
  /** Ask for a rating that only teaches. */
  readonly rateAnswer: {
    readonly requestId: string;
    readonly customer: string;
    readonly plan: string;
    readonly classKey: string;
    readonly versionId: versionId.VersionId;
  };
  readonly witnessEntry: { readonly entry: shared.ledgerEntry.LedgerEntry };
  readonly finishAnswer: {
    readonly requestId: string;
    readonly pin: requestState.SessionPin | null;
    readonly hasMovedSession: boolean;
  };
  readonly armTimer: { readonly timer: events.Timer; readonly delayMs: number };
  readonly broadcastBlock: { readonly versionId: versionId.VersionId };
  readonly broadcastCrashEvidence: {
    readonly fingerprint: string;
    readonly crashes: readonly string[];
  };
  readonly proposeRollout: {
    readonly model: string;
    readonly to: string;
    readonly fromStep: number;
    readonly change: 'advance' | 'halt';
  };
  readonly sendProbe: {
    /** Member probed, or null for an address whose member is not known yet. */
    readonly targetId: string | null;
    readonly address: string;
    readonly message: events.GossipMessage;
  };
  readonly sendIndirectProbe: {
    readonly targetId: string;
    readonly address: string;
    /** Addresses of the peers asked to probe. */
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
    /** All versions the engine should have loaded. */
    readonly loaded: readonly versionId.VersionId[];
  };
  readonly log: { readonly message: string; readonly fields: Readonly<Record<string, unknown>> };
}

/** Type tag of an effect. */
export type EffectType = keyof EffectBodies;

/** One effect of a given type. */
export type EffectOf<T extends EffectType> = { readonly type: T } & EffectBodies[T];

/** Any effect. */
export type Effect = { readonly [T in EffectType]: EffectOf<T> }[EffectType];

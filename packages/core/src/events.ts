import type * as shared from '@jayrock/shared';
import type * as claimLog from './claims/claimLog.js';
import type * as demand from './orders/demand.js';
import type * as leavingNews from './notices/leavingNews.js';
import type * as coldTime from './rateLimits/coldTime.js';
import type * as rateLimitNews from './rateLimits/rateLimitNews.js';
import type * as guardNews from './routed/guardNews.js';
import type * as member from './membership/member.js';
import type * as routedContext from './routed/routedContext.js';
import type * as routedState from './routed/routedState.js';
import type * as canaryState from './routed/canaryState.js';
import type * as versionRoles from './routed/versionRoles.js';
import type * as requestState from './requestState.js';
import type * as versionId from './versionId.js';

/** Time and random number that the shell adds to every event, so that the reducer stays pure. */
export interface Stamp {
  /** Time of the event, in milliseconds. */
  readonly nowMs: number;
  /** Uniform in [0, 1). */
  readonly random: number;
}

/** Reason why an attempt ended without a complete answer. */
export type AttemptFailure =
  'unreachable' | 'crashed' | 'silent' | 'failed' | 'busy' | 'garbage' | 'incomplete';

/**
 * Reason why an attempt of a routed request ended without a complete answer. `turnedAway`: the
 * upstream reported that it did not run the request. `misdirected`: another upstream listens at the
 * address. `overdue`: when the request was about to be sent, it was no longer due there. `excessive`:
 * the upstream sent more than an answer may have.
 */
export type RoutedFailure =
  | 'unreachable'
  | 'broken'
  | 'silent'
  | 'garbage'
  | 'excessive'
  | 'turnedAway'
  | 'misdirected'
  | 'overdue';

/** Payloads of all events, by type. */
export interface EventPayloads {
  readonly configAdopted: { readonly configuration: shared.lists.Configuration };
  /** A source confirmed that the generation in force is the latest. */
  readonly configConfirmed: Readonly<Record<never, never>>;
  readonly hostsListed: { readonly hosts: readonly shared.hosts.Host[] };
  readonly loadReported: {
    readonly upstreamId: string;
    readonly report: shared.hosts.LoadReport;
  };
  /** An answer of an upstream names a limit in requests per second for all routers together or, if null, none. */
  readonly rateLimitObserved: {
    readonly upstreamId: string;
    readonly requestsPerSecond: number | null;
    /** Time for which it says that it is cold, in milliseconds; null if it says nothing. */
    readonly coldLeftMs?: number | null;
  };
  /** An answer says that its upstream leaves, or for how many milliseconds it wants nothing from this router. */
  readonly noticeObserved: {
    readonly upstreamId: string;
    readonly isLeaving: boolean;
    readonly restMs: number | null;
    /** Requests that it can turn away in a second without falling over, or null if it can any number. */
    readonly maxTurnAways?: number | null;
  };
  /** Another router knows upstreams that leave. */
  readonly leavingNewsReceived: { readonly news: readonly leavingNews.LeavingNews[] };
  /** Another router knows limits that upstreams name. */
  readonly rateLimitNewsReceived: { readonly news: readonly rateLimitNews.RateLimitNews[] };
  /** Another router asks this one, as the upstream's allocator, for permits to send requests. */
  readonly permitsRequested: {
    readonly routerId: string;
    readonly upstreamId: string;
    readonly count: number;
    /** Time of the request by that router's clock, in milliseconds; routers of older versions send none. */
    readonly sentAtMs?: number;
    /** Cold time of the upstream, as that router knows it. */
    readonly cold?: coldTime.ColdNews;
  };
  /** The allocator of an upstream grants this router permits, or tells it how many other routers wait for. */
  readonly permitsGranted: {
    readonly upstreamId: string;
    readonly count: number;
    readonly backlog: number;
    /** Time of the grant by this router's clock, in milliseconds, or earlier. */
    readonly grantedAtMs?: number;
  };
  /** Time between tokens of an upstream's answers in flight, relative to its usual value. */
  readonly interTokenRatioReported: {
    readonly upstreamId: string;
    readonly interTokenRatio: number;
  };
  readonly requestArrived: {
    readonly requestId: string;
    readonly customer: string;
    readonly shape: requestState.RequestShape;
    readonly pin: requestState.SessionPin | null;
    readonly session: string | null;
  };
  readonly claimResolved: {
    readonly requestId: string;
    readonly result: 'granted' | 'answered' | 'mayHaveRun' | 'unavailable';
  };
  readonly attemptFirstToken: { readonly requestId: string; readonly attemptId: number };
  readonly attemptEnded: {
    readonly requestId: string;
    readonly attemptId: number;
    readonly tokensOut: number;
    /** False for an answer that is not charged, such as a rejected call. */
    readonly isBilled: boolean;
  };
  readonly attemptFailed: {
    readonly requestId: string;
    readonly attemptId: number;
    readonly failure: AttemptFailure;
    /** True when no byte of the request can have reached the upstream. */
    readonly isUnsent: boolean;
    readonly tokensForwarded: number;
  };
  readonly answerRated: { readonly requestId: string; readonly score: number | null };
  readonly entryWitnessed: { readonly requestId: string };
  readonly callerGone: { readonly requestId: string };
  readonly timerFired: {
    readonly timer: Timer;
    /** Number of the request's running attempts of which nothing has been sent. */
    readonly unsentCount?: number;
  };
  readonly ratingArrived: {
    readonly customer: string;
    readonly plan: string;
    readonly classKey: string;
    readonly versionId: versionId.VersionId;
    /** Rating in [0, 1]. */
    readonly score: number;
  };
  readonly peerCountersReceived: {
    readonly source: string;
    readonly counters: readonly CustomerCounters[];
  };
  readonly versionBlocked: { readonly versionId: versionId.VersionId };
  readonly crashEvidenceReceived: {
    readonly fingerprint: string;
    readonly crashes: readonly string[];
  };
  readonly probeDue: Readonly<Record<never, never>>;
  readonly probeFailed: { readonly targetId: string };
  readonly indirectProbeFailed: { readonly targetId: string };
  readonly gossipReceived: { readonly message: GossipMessage };
  readonly seedAddressesChanged: { readonly addresses: readonly string[] };
  readonly claimRequested: {
    readonly bucket: number;
    readonly operation: claimLog.ClaimOperation;
  };
  readonly claimTimerFired: { readonly bucket: number };
  readonly claimLogLoaded: {
    readonly bucket: number;
    /** Segments from the requested one on, or null when the log could not be read. */
    readonly segments: readonly (readonly claimLog.ClaimOperation[])[] | null;
  };
  readonly claimSegmentWritten: {
    readonly bucket: number;
    readonly result: 'committed' | 'conflict' | 'unknown' | 'refused';
  };
  /** Another router asks this one to store its billing entries as a witness. */
  readonly entriesHeld: {
    readonly origin: string;
    readonly entries: readonly shared.ledgerEntry.LedgerEntry[];
  };
  /** Another router has written entries that this one stores as a witness. */
  readonly entriesReleased: { readonly requestIds: readonly string[] };
  readonly entriesWritten: {
    readonly requestIds: readonly string[];
    readonly isWritten: boolean;
  };
  readonly ledgerDue: Readonly<Record<never, never>>;
  /** Sent while this router holds its zone's lease for orders. */
  readonly ordersDue: Readonly<Record<never, never>>;
  readonly demandReported: { readonly source: string; readonly rows: readonly demand.DemandRow[] };
  readonly routesAdopted: { readonly table: shared.routeTable.RouteTable };
  /** The settings of routed requests have changed. */
  readonly routedSettingsChanged: { readonly settings: routedContext.RoutedSettings };
  readonly hostChanged: { readonly host: shared.hosts.Host };
  readonly hostRemoved: { readonly hostId: string };
  /** All availability zones that the operator has evacuated, which replace those known so far. */
  readonly zonesEvacuated: {
    readonly zones: readonly string[];
    /** Revision of the change at the source, or null if a whole read showed it. */
    readonly revision?: number | null;
    /** Longest time for which the change can have been in force at the source, in milliseconds. */
    readonly ageMs?: number;
  };
  readonly routedRequestArrived: {
    readonly requestId: string;
    readonly call: routedState.RoutedCall;
    /** Time since the table of routes was last confirmed, in milliseconds. */
    readonly tableAgeMs: number;
    /** Longest time for which the request can have waited before this event, unread or not, in milliseconds. */
    readonly waitedMs: number;
  };
  readonly routedHeadArrived: {
    readonly requestId: string;
    readonly attemptId: number;
    readonly head: routedState.AnswerHead;
  };
  readonly routedAttemptEnded: {
    readonly requestId: string;
    readonly attemptId: number;
    /** Number of events of a stream. */
    readonly events: number;
    /** Time from the first to the last event of a stream, in milliseconds. */
    readonly streamMs: number;
  };
  readonly routedAttemptFailed: {
    readonly requestId: string;
    readonly attemptId: number;
    readonly failure: RoutedFailure;
    /** True when no byte of the request can have reached the upstream. */
    readonly isUnsent: boolean;
    /** True when the upstream proved that it did not run the request. */
    readonly isNotRun: boolean;
  };
  /** An answer that is being forwarded has paused for longer than its route's gap target allows. */
  readonly routedAttemptSilent: { readonly requestId: string; readonly attemptId: number };
  /** An upstream refuses connections immediately after it aborted a request. */
  readonly crashObserved: { readonly upstreamId: string };
  /** Another router knows something about requests that crash upstreams. */
  readonly guardNewsReceived: { readonly news: guardNews.GuardNews };
  /** Whether an upstream accepts connections from this router. */
  readonly reachabilityObserved: {
    readonly upstreamId: string;
    readonly isReachable: boolean;
    /** True if its host refused the connection; connections that are open still work then. */
    readonly isRefused?: boolean;
  };
  readonly canaryObserved: {
    readonly order: canaryState.RolloutOrder;
    readonly stage: canaryState.CanaryStage;
    /** Time since any router first observed the order, by wall clocks, in milliseconds; 0 if it has no record yet. */
    readonly elapsedMs: number;
    /** True if the order may be the known one, written again under another revision after the store lost data. */
    readonly mayBeRewritten?: boolean;
    /** Versions that earlier roll-outs of the service have rolled back, as far as its record tells. */
    readonly withdrawn?: readonly string[];
    /** What its record tells of the other versions of the service. */
    readonly serving?: readonly string[];
    readonly superseded?: readonly versionRoles.SupersededVersion[];
    readonly offset?: number | null;
  };
  /** The operator has removed the order for a service. */
  readonly canaryOrderRemoved: { readonly service: string };
  /** A peer told the age of an order; `source` is its address. */
  readonly canaryAgeReceived: canaryState.CanaryAge & { readonly source: string };
  readonly canaryReportReceived: canaryState.CanaryReport;
  readonly ticked: Readonly<Record<never, never>>;
  readonly stopRequested: Readonly<Record<never, never>>;
  /** The time for which a stop may wait is over. */
  readonly stopExpired: Readonly<Record<never, never>>;
}

/** Gossip that two routers exchange in a probe and its answer. */
export interface GossipMessage {
  readonly self: member.MemberUpdate;
  readonly updates: readonly member.MemberUpdate[];
  readonly generation: number;
  /** Age of the sender's last confirmation of its generation, in milliseconds. */
  readonly confirmedAgeMs: number;
  /** Guards in force, and for a router that has just joined all evidence; routers of older versions send none. */
  readonly guardNews?: guardNews.GuardNews;
  /** Limits that upstreams name, and those that have ended recently; routers of older versions send none. */
  readonly rateLimitNews?: readonly rateLimitNews.RateLimitNews[];
  /** Upstreams that said lately that they leave; all that are remembered for a router that joins. Older versions send none. */
  readonly leavingNews?: readonly leavingNews.LeavingNews[];
}

/** Ratings of one version by one customer in one epoch. */
export interface CustomerCounters {
  readonly versionId: versionId.VersionId;
  readonly epoch: number;
  readonly customer: string;
  readonly good: number;
  readonly bad: number;
}

/** A timer that the shell runs for the reducer; it fires as `timerFired`. */
export type Timer =
  | { readonly kind: 'queueDeadline'; readonly requestId: string }
  /** The place of a waiting request changes. */
  | { readonly kind: 'waitReview'; readonly requestId: string }
  | { readonly kind: 'hedge'; readonly requestId: string; readonly attemptId: number }
  | { readonly kind: 'retry'; readonly requestId: string }
  /** The route's timeout or the caller's deadline has passed; a new table can replace the deadline. */
  | {
      readonly kind: 'routedTimeout';
      readonly requestId: string;
      readonly deadlineAtMs: number;
    };

/** A timer of one kind. */
export type TimerOf<K extends Timer['kind']> = Extract<Timer, { readonly kind: K }>;

/** Type tag of an event. */
export type EventType = keyof EventPayloads;

/** One event of a given type. */
export type EventOf<T extends EventType> = { readonly type: T } & EventPayloads[T] & Stamp;

/** Any event before it is stamped. */
export type UnstampedEvent = {
  readonly [T in EventType]: { readonly type: T } & EventPayloads[T];
}[EventType];

/** Any event. */
export type Event = { readonly [T in EventType]: EventOf<T> }[EventType];

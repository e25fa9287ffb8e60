import type * as core from '@jayrock/core';
import type * as shared from '@jayrock/shared';
import type * as stores from '@jayrock/stores';
import type * as tableCodec from './tableCodec.js';

/** A claim operation with the time bucket of its request id. */
export interface ClaimMessage {
  readonly bucket: number;
  readonly operation: core.claimLog.ClaimOperation;
}

/** Result of a claim operation. */
export interface ClaimReply {
  readonly result: core.claimLog.ClaimResult;
  readonly answer: core.claimLog.RecordedAnswer | null;
}

/** Evidence that a request was in flight on upstreams when they crashed. */
export interface CrashEvidence {
  readonly fingerprint: string;
  readonly crashes: readonly string[];
}

/** Parameters and results of all JSON-RPC calls between routers, by method. */
export interface PeerMethods {
  /** Checks that a member is alive and exchanges gossip with it. */
  readonly probe: {
    readonly params: { readonly greeting: core.events.GossipMessage };
    readonly result: { readonly greeting: core.events.GossipMessage };
  };
  /** Asks a peer to probe another member. */
  readonly probeFor: {
    readonly params: { readonly address: string };
    readonly result: { readonly isAlive: boolean };
  };
  /** Fetches the configuration if its generation is above the given one. */
  readonly getConfig: {
    readonly params: { readonly above: number };
    /** The configuration as compressed JSON in base64, or null if it is not newer than `above`. */
    readonly result: { readonly packed: string | null };
  };
  /** Fetches the table of routes in force, or null if there is none, and the ages of the running roll-outs. */
  readonly getRoutes: {
    readonly params: Readonly<Record<never, never>>;
    readonly result: tableCodec.EncodedTable & {
      /** Routers of the former build tell none. */
      readonly canaryAges?: readonly core.canaryState.CanaryAge[];
    };
  };
  /** Announces a generation and the address of a router that has it. */
  readonly announceConfig: {
    readonly params: { readonly generation: number; readonly address: string };
    readonly result: null;
  };
  /** Reports blocked versions and crash evidence. */
  readonly alert: {
    readonly params: {
      /** Identifiers of blocked versions. */
      readonly alarms: readonly string[];
      readonly evidence: readonly CrashEvidence[];
      /** What the sender learned about routed requests; routers of older versions send none. */
      readonly guardNews?: core.guardNews.GuardNews;
      /** Upstreams that leave, as they told the sender; routers of older versions send none. */
      readonly leavingNews?: readonly core.leavingNews.LeavingNews[];
      /** Limits of upstreams that the sender learned; routers of older versions send none. */
      readonly rateLimitNews?: readonly core.rateLimitNews.RateLimitNews[];
    };
    readonly result: null;
  };
  /** Reads a prefix of the store through a router that reads it; null if that router does not know it. */
  readonly readPrefix: {
    readonly params: { readonly prefix: string };
    readonly result: {
      readonly snapshot: stores.prefixStore.PrefixSnapshot;
      /** Time since the state was confirmed, in milliseconds. */
      readonly ageMs: number;
      /** True if the router's own last call failed. */
      readonly isFailing: boolean;
      /** True if the values are too large to be passed on. */
      readonly isLarge: boolean;
    } | null;
  };
  /** Waits for changes of a prefix, or a newer confirmation, at a router that reads it. */
  readonly waitForPrefix: {
    readonly params: {
      readonly prefix: string;
      readonly after: number;
      readonly waitMs: number;
      /** Age of the asking router's own confirmation, in milliseconds; null if it has none. */
      readonly ageMs: number | null;
      /** True if no call of the asking router succeeds at present. */
      readonly isFailing?: boolean;
    };
    readonly result: {
      /** Null if changes may be missing. */
      readonly changes: stores.prefixStore.PrefixChanges | null;
      /** Time for which the call was held, in milliseconds. */
      readonly heldMs: number;
      readonly ageMs: number;
      readonly isFailing: boolean;
      readonly isLarge: boolean;
    } | null;
  };
  /** Asks how a relay ended. */
  readonly getRelayEnd: {
    readonly params: { readonly relayId: string };
    /** Bytes after which the upstream ended its connection; null if it has not, or the relay is not known. */
    readonly result: { readonly bytes: number | null };
  };
  /** Asks the allocator of an upstream for permits to send requests; it answers with `grantPermits`. */
  readonly requestPermits: {
    readonly params: {
      readonly routerId: string;
      readonly upstreamId: string;
      readonly count: number;
      /** Time of the request by the sender's clock, in milliseconds; routers of older versions send none. */
      readonly sentAtMs?: number;
      /** Cold time of the upstream, as the sender knows it. */
      readonly cold?: core.coldTime.ColdNews;
    };
    readonly result: null;
  };
  /** Grants permits to send requests to an upstream, or only tells how many other routers wait for. */
  readonly grantPermits: {
    readonly params: {
      readonly upstreamId: string;
      readonly count: number;
      readonly backlog: number;
      /** Time of the grant by the receiver's clock, in milliseconds, or earlier. */
      readonly grantedAtMs?: number;
    };
    readonly result: null;
  };
  /** Reports rating counters of a router or a zone to an aggregator. */
  readonly pushRatings: {
    readonly params: {
      readonly source: string;
      readonly counters: readonly core.events.CustomerCounters[];
    };
    readonly result: null;
  };
  /** Reports evidence on a canary. */
  readonly pushTrial: {
    readonly params: core.canaryState.CanaryReport;
    readonly result: null;
  };
  /** Passes load reports of upstreams on to the routers of a zone. */
  readonly pushLoads: {
    readonly params: {
      readonly reports: readonly {
        readonly upstreamId: string;
        readonly report: shared.hosts.LoadReport;
      }[];
    };
    readonly result: null;
  };
  /** Reports demand to the router that sends the zone's engine orders. */
  readonly pushDemand: {
    readonly params: {
      readonly source: string;
      readonly rows: readonly core.demand.DemandRow[];
    };
    readonly result: null;
  };
  /** Applies a claim operation at the owner of its bucket. */
  readonly claim: { readonly params: ClaimMessage; readonly result: ClaimReply };
  /** Asks a witness to hold billing entries. */
  readonly holdEntries: {
    readonly params: {
      readonly origin: string;
      readonly entries: readonly shared.ledgerEntry.LedgerEntry[];
    };
    readonly result: null;
  };
  /** Releases entries that a witness holds. */
  readonly releaseEntries: {
    readonly params: { readonly requestIds: readonly string[] };
    readonly result: null;
  };
  /** Submits billing entries to the zone's collector. */
  readonly submitEntries: {
    readonly params: { readonly entries: readonly shared.ledgerEntry.LedgerEntry[] };
    readonly result: { readonly isWritten: boolean };
  };
  /** Looks up the versions of a named session at its owner. */
  readonly getSession: {
    readonly params: { readonly session: string };
    readonly result: { readonly versions: Readonly<Record<string, string>> | null };
  };
  /** Stores the versions of a named session at its owner. */
  readonly putSession: {
    readonly params: {
      readonly session: string;
      readonly versions: Readonly<Record<string, string>>;
    };
    readonly result: null;
  };
}

/** Name of a method called between routers. */
export type PeerMethod = keyof PeerMethods;

/** Parameters of a method. */
export type PeerParams<M extends PeerMethod> = PeerMethods[M]['params'];

/** Result of a method. */
export type PeerResult<M extends PeerMethod> = PeerMethods[M]['result'];

/** Handlers of all calls, by method. */
export type PeerHandlers = {
  readonly [M in PeerMethod]: (params: PeerParams<M>) => PeerResult<M> | Promise<PeerResult<M>>;
};

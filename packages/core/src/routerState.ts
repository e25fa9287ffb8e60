import * as immutable from 'immutable';
import * as leavingProcesses from './notices/leavingProcesses.js';
import type * as average from './average.js';
import type * as budget from './budget.js';
import * as claimState from './claims/claimState.js';
import type * as configIndex from './configIndex.js';
import * as serviceState from './serviceState.js';
import * as learning from './learning.js';
import * as ledgerState from './ledger/ledgerState.js';
import * as memberTable from './membership/memberTable.js';
import * as demand from './orders/demand.js';
import * as orders from './orders/orders.js';
import * as policy from './policy.js';
import * as quarantine from './quarantine.js';
import * as ratings from './ratings.js';
import * as handover from './rateLimits/handover.js';
import * as routedContext from './routed/routedContext.js';
import type * as requestState from './requestState.js';
import type * as rolloutState from './rolloutState.js';
import type * as upstreamState from './upstreamState.js';
import type * as versionId from './versionId.js';

/** Identity and capacity of this router. */
export interface RouterIdentity {
  readonly routerId: string;
  readonly zone: string;
  /** `IP:PORT` of the listener for peers. */
  readonly address: string;
  /** Maximum number of billing entries kept in memory. */
  readonly ledgerCapacity: number;
}

/** Ids of upstreams that can run a version: `local` ones in this router's zone, and `remote` ones. */
export interface Candidates {
  readonly local: readonly string[];
  readonly remote: readonly string[];
  /** Ids of the upstreams that are preferred for long prompts. */
  readonly longPromptHosts: ReadonlySet<string>;
}

/** Complete state of the reducer. */
export interface RouterState {
  readonly self: RouterIdentity;
  readonly policy: policy.Policy;
  readonly config: configIndex.ConfigIndex | null;
  /** Last time a source confirmed the generation of the configuration, in milliseconds. */
  readonly confirmedAtMs: number;
  readonly requests: immutable.Map<string, requestState.RequestState>;
  /** States of the services, by name. */
  readonly services: immutable.Map<string, serviceState.ServiceState>;
  readonly upstreams: immutable.Map<string, upstreamState.UpstreamState>;
  /** Upstreams by version id, or by service name for plain and routed services. */
  readonly candidates: ReadonlyMap<versionId.VersionId, Candidates>;
  readonly retryBudgets: immutable.Map<string, budget.Budget>;
  readonly learning: learning.LearningState;
  /** Share of good answers, by plan. */
  readonly planQuality: immutable.Map<string, average.Average>;
  readonly ratings: ratings.RatingsState;
  readonly rollouts: immutable.Map<string, rolloutState.RolloutState>;
  /** Versions that get no new work after a failed test. */
  readonly blockedVersions: immutable.Set<versionId.VersionId>;
  readonly quarantine: quarantine.QuarantineState;
  readonly members: memberTable.MemberTable;
  /** Claim logs that this router has read or writes, by time bucket. */
  readonly claims: claimState.ClaimState;
  readonly ledger: ledgerState.LedgerState;
  readonly demand: demand.DemandState;
  readonly orders: orders.OrdersState;
  readonly routed: routedContext.RoutedContext;
  /** Processes that have said in their answers that they leave. */
  readonly leaving: leavingProcesses.LeavingProcesses;
  /** When this router was last able to follow its peers without a gap. */
  readonly presence: handover.Presence;
  /** Availability zones to whose upstreams nothing is sent, as the operator asks. */
  readonly evacuatedZones: immutable.Set<string>;
  readonly isStopping: boolean;
}

/** Creates the initial state of a router. */
export const makeState = (
  self: RouterIdentity,
  initialPolicy: policy.Policy = policy.DEFAULT_POLICY,
  settings: routedContext.RoutedSettings = routedContext.DEFAULT_SETTINGS,
): RouterState => ({
  self,
  policy: initialPolicy,
  config: null,
  confirmedAtMs: 0,
  requests: immutable.Map(),
  services: immutable.Map(),
  upstreams: immutable.Map(),
  candidates: new Map(),
  retryBudgets: immutable.Map(),
  learning: learning.EMPTY_LEARNING,
  planQuality: immutable.Map(),
  ratings: ratings.EMPTY_RATINGS,
  rollouts: immutable.Map(),
  blockedVersions: immutable.Set(),
  quarantine: quarantine.EMPTY_QUARANTINE,
  members: memberTable.makeTable({
    id: self.routerId,
    address: self.address,
    zone: self.zone,
    status: 'alive',
    incarnation: 1,
  }),
  claims: claimState.EMPTY_CLAIM_STATE,
  ledger: ledgerState.makeLedgerState(self.ledgerCapacity),
  demand: demand.EMPTY_DEMAND,
  orders: orders.EMPTY_ORDERS,
  routed: routedContext.makeContext(settings),
  leaving: leavingProcesses.NONE_LEAVING,
  presence: handover.NO_PRESENCE,
  evacuatedZones: immutable.Set(),
  isStopping: false,
});

/** Returns the state of a service, or a new one for a service without traffic. */
export const getServiceState = (
  state: RouterState,
  service: string,
  nowMs: number,
): serviceState.ServiceState => state.services.get(service) ?? serviceState.makeServiceState(nowMs);

/** Applies a change to the state of a service. */
export const updateServiceState = (
  state: RouterState,
  service: string,
  nowMs: number,
  change: (state: serviceState.ServiceState) => serviceState.ServiceState,
): RouterState => ({
  ...state,
  services: state.services.set(service, change(getServiceState(state, service, nowMs))),
});

/** Applies a change to an upstream, if it is still known. */
export const updateUpstream = (
  state: RouterState,
  id: string,
  change: (upstream: upstreamState.UpstreamState) => upstreamState.UpstreamState,
): RouterState => {
  const upstream = state.upstreams.get(id);
  return upstream === undefined
    ? state
    : { ...state, upstreams: state.upstreams.set(id, change(upstream)) };
};

/** Lists the live upstreams for a version or a routed service, those of the router's own zone first. */
export const listCandidates = (
  state: RouterState,
  id: versionId.VersionId,
): readonly upstreamState.UpstreamState[] => {
  const candidates = state.candidates.get(id);
  return candidates === undefined
    ? []
    : [...candidates.local, ...candidates.remote]
        .map((upstreamId) => state.upstreams.get(upstreamId))
        .filter((upstream) => upstream !== undefined);
};

/** Stores a request under its id. */
export const setRequest = (state: RouterState, next: requestState.RequestState): RouterState => ({
  ...state,
  requests: state.requests.set(next.id, next),
});

import * as immutable from 'immutable';
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
import * as routedContext from './routed/routedContext.js';
import type * as requestState from './requestState.js';
import type * as rollout from './rolloutState.js';
import type * as upstreamState from './upstreamState.js';
import type * as versionId from './versionId.js';

/** What a router knows of itself. */
export interface RouterIdentity {
  readonly routerId: string;
  readonly zone: string;
  /** `IP:PORT` of the listener for other routers. */
  readonly address: string;
  /** Largest number of billing entries kept in memory. */
  readonly ledgerCapacity: number;
}

/** Upstreams that can run a version, split by distance. */
export interface Candidates {
  readonly local: readonly string[];
  readonly remote: readonly string[];
  /** Those behind routes that take long prompts first. */
  readonly longHosts: ReadonlySet<string>;
}

/** Whole state of the decision core. */
export interface RouterState {
  readonly self: RouterIdentity;
  readonly policy: policy.Policy;
  readonly config: configIndex.ConfigIndex | null;
  /** Last time a source confirmed the configuration's generation, in milliseconds. */
  readonly confirmedAtMs: number;
  readonly requests: immutable.Map<string, requestState.RequestState>;
  readonly services: immutable.Map<string, serviceState.ServiceState>;
  readonly upstreams: immutable.Map<string, upstreamState.UpstreamState>;
  /** Upstreams by version, or by name for plain services. */
  readonly candidates: ReadonlyMap<versionId.VersionId, Candidates>;
  readonly retryBudgets: immutable.Map<string, budget.Budget>;
  readonly learning: learning.LearningState;
  /** Share of good answers, by plan. */
  readonly planQuality: immutable.Map<string, average.Average>;
  readonly ratings: ratings.RatingsState;
  readonly rollouts: immutable.Map<string, rollout.RolloutState>;
  readonly blockedVersions: immutable.Set<versionId.VersionId>;
  readonly quarantine: quarantine.QuarantineState;
  readonly members: memberTable.MemberTable;
  /** Claim logs this router has read or writes, by time bucket. */
  readonly claims: claimState.ClaimState;
  readonly ledger: ledgerState.LedgerState;
  readonly demand: demand.DemandState;
  readonly orders: orders.OrdersState;
  readonly routed: routedContext.RoutedContext;
  readonly isStopping: boolean;
}

/** Makes the state of a router that has just started. */
export const makeState = (
  self: RouterIdentity,
  chosen: policy.Policy = policy.DEFAULT_POLICY,
  relay: routedContext.RoutedSettings = routedContext.DEFAULT_SETTINGS,
): RouterState => ({
  self,
  policy: chosen,
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
  routed: routedContext.makeContext(relay),
  isStopping: false,
});

/** Returns a service's lane, or a new one. */
export const getServiceState = (
  state: RouterState,
  service: string,
  nowMs: number,
): serviceState.ServiceState => state.services.get(service) ?? serviceState.makeServiceState(nowMs);

/** Replaces a service's lane. */
export const updateServiceState = (
  state: RouterState,
  service: string,
  nowMs: number,
  change: (known: serviceState.ServiceState) => serviceState.ServiceState,
): RouterState => ({
  ...state,
  services: state.services.set(service, change(getServiceState(state, service, nowMs))),
});

/** Replaces an upstream, if it is still known. */
export const updateUpstream = (
  state: RouterState,
  id: string,
  change: (known: upstreamState.UpstreamState) => upstreamState.UpstreamState,
): RouterState => {
  const known = state.upstreams.get(id);
  return known === undefined
    ? state
    : { ...state, upstreams: state.upstreams.set(id, change(known)) };
};

/** Stores a request. */
export const setRequest = (state: RouterState, next: requestState.RequestState): RouterState => ({
  ...state,
  requests: state.requests.set(next.id, next),
});

import * as immutable from 'immutable';
import type * as average from './average.js';
import type * as budget from './budget.js';
import * as claimBook from './claims/claimBook.js';
import type * as configView from './configView.js';
import * as laneState from './laneState.js';
import * as learning from './learning.js';
import * as ledgerBook from './ledger/ledgerBook.js';
import * as memberTable from './membership/memberTable.js';
import * as demand from './orders/demand.js';
import * as orders from './orders/orders.js';
import * as policy from './policy.js';
import * as quarantine from './quarantine.js';
import * as ratings from './ratings.js';
import * as relayContext from './relay/relayContext.js';
import type * as requestState from './requestState.js';
import type * as rollout from './rolloutState.js';
import type * as upstreamState from './upstreamState.js';
import type * as versionId from './versionId.js';

/** What a router knows of itself. */
export interface Self {
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
  readonly self: Self;
  readonly policy: policy.Policy;
  readonly config: configView.ConfigView | null;
  /** Last time a source confirmed the configuration's generation, in milliseconds. */
  readonly confirmedAtMs: number;
  readonly requests: immutable.Map<string, requestState.RequestState>;
  readonly lanes: immutable.Map<string, laneState.Lane>;
  readonly upstreams: immutable.Map<string, upstreamState.UpstreamState>;
  /** Upstreams by version, or by name for plain services. */
  readonly candidates: ReadonlyMap<versionId.VersionId, Candidates>;
  readonly retryBudgets: immutable.Map<string, budget.Budget>;
  readonly learning: learning.LearningState;
  /** Share of good answers, by plan. */
  readonly planQuality: immutable.Map<string, average.Average>;
  readonly ratings: ratings.RatingsState;
  readonly rollouts: immutable.Map<string, rollout.RolloutState>;
  readonly alarms: immutable.Set<versionId.VersionId>;
  readonly quarantine: quarantine.QuarantineState;
  readonly members: memberTable.MemberTable;
  /** Claim logs this router has read or writes, by time bucket. */
  readonly claims: claimBook.ClaimBook;
  readonly ledger: ledgerBook.LedgerBook;
  readonly demand: demand.DemandState;
  readonly orders: orders.OrdersState;
  readonly relay: relayContext.RelayContext;
  readonly isStopping: boolean;
}

/** Makes the state of a router that has just started. */
export const makeState = (
  self: Self,
  chosen: policy.Policy = policy.DEFAULT_POLICY,
  relay: relayContext.RelaySettings = relayContext.DEFAULT_SETTINGS,
): RouterState => ({
  self,
  policy: chosen,
  config: null,
  confirmedAtMs: 0,
  requests: immutable.Map(),
  lanes: immutable.Map(),
  upstreams: immutable.Map(),
  candidates: new Map(),
  retryBudgets: immutable.Map(),
  learning: learning.EMPTY_LEARNING,
  planQuality: immutable.Map(),
  ratings: ratings.EMPTY_RATINGS,
  rollouts: immutable.Map(),
  alarms: immutable.Set(),
  quarantine: quarantine.EMPTY_QUARANTINE,
  members: memberTable.makeTable({
    id: self.routerId,
    address: self.address,
    zone: self.zone,
    status: 'alive',
    incarnation: 1,
  }),
  claims: claimBook.EMPTY_BOOK,
  ledger: ledgerBook.makeBook(self.ledgerCapacity),
  demand: demand.EMPTY_DEMAND,
  orders: orders.EMPTY_ORDERS,
  relay: relayContext.makeContext(relay),
  isStopping: false,
});

/** Returns a service's lane, or a new one. */
export const getLane = (state: RouterState, service: string, nowMs: number): laneState.Lane =>
  state.lanes.get(service) ?? laneState.makeLane(nowMs);

/** Replaces a service's lane. */
export const updateLane = (
  state: RouterState,
  service: string,
  nowMs: number,
  change: (known: laneState.Lane) => laneState.Lane,
): RouterState => ({
  ...state,
  lanes: state.lanes.set(service, change(getLane(state, service, nowMs))),
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

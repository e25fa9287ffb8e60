import * as immutable from 'immutable';
import type * as effects from '../effects.js';
import * as evacuatedZones from '../evacuations/evacuatedZones.js';
import type * as events from '../events.js';
import type * as routerState from '../routerState.js';
import * as transition from '../transition.js';
import type * as versionId from '../versionId.js';
import * as demand from './demand.js';
import * as planner from './planner.js';

/** State kept between two rounds of orders to engines. */
export interface OrdersState {
  /** Time of the last order to load a version, in milliseconds. */
  readonly lastLoadAtMs: number;
  /** Time since which a version is loaded on more engines than it needs, in milliseconds. */
  readonly surplusSince: immutable.Map<versionId.VersionId, number>;
}

/** Minimum time between two loads in a zone, in milliseconds, because the weight store is rate-limited. */
export const LOAD_INTERVAL_MS = 10_000;
/** Time for which a surplus must last before an engine unloads the version, in milliseconds. */
export const SURPLUS_MS = 60_000;
/** Engines above the target that are tolerated, so that small fluctuations cause no orders. */
const SURPLUS_MARGIN = 1;

/** State before the first round. */
export const EMPTY_ORDERS: OrdersState = {
  lastLoadAtMs: -LOAD_INTERVAL_MS,
  surplusSince: immutable.Map(),
};

const makeQuery = (current: routerState.RouterState, nowMs: number): planner.PlanQuery | null =>
  current.config === null
    ? null
    : {
        config: current.config,
        engines: current.upstreams
          .valueSeq()
          .filter(
            (upstream) =>
              upstream.host.zone === current.self.zone &&
              evacuatedZones.mayReceive(current, upstream) &&
              upstream.reportedAtMs > 0 &&
              current.config?.services.get(upstream.host.service)?.kind === 'engines',
          )
          .toArray(),
        demand: demand.sumDemand(current.demand, nowMs),
      };

const hasSurplus = (need: planner.VersionNeed): boolean =>
  need.targetCount === 0
    ? need.holders.length > 0
    : need.holders.length > need.targetCount + SURPLUS_MARGIN;

const trackSurplus = (
  previous: immutable.Map<versionId.VersionId, number>,
  needs: readonly planner.VersionNeed[],
  nowMs: number,
): immutable.Map<versionId.VersionId, number> =>
  immutable.Map(
    needs.filter(hasSurplus).map((need) => [need.id, previous.get(need.id, nowMs)] as const),
  );

type Order = effects.EffectOf<'sendOrder'>;

/**
 * Plans to load a version on one more engine: of the versions below their target, the one that the
 * fewest engines have loaded. An order contains the complete set of versions that an engine should
 * have loaded, so it is idempotent.
 */
const planLoad = (
  query: planner.PlanQuery,
  needs: readonly planner.VersionNeed[],
): Order | null => {
  const need = needs
    .filter((item) => item.holders.length < item.targetCount)
    .toSorted((a, b) => a.holders.length - b.holders.length)
    .at(0);
  const engine = need === undefined ? undefined : planner.pickEngineToLoad(query, need);
  return need === undefined || engine === undefined
    ? null
    : {
        type: 'sendOrder',
        upstreamId: engine.host.id,
        address: engine.host.address,
        loaded: [...engine.loaded, need.id],
      };
};

/** Plans the unloading of a version whose surplus has lasted long enough. */
const planUnload = (
  needs: readonly planner.VersionNeed[],
  surplusSince: immutable.Map<versionId.VersionId, number>,
  nowMs: number,
): Order | null => {
  const need = needs.find((item) => nowMs - surplusSince.get(item.id, nowMs) >= SURPLUS_MS);
  const engine = need === undefined ? undefined : planner.pickEngineToUnload(need);
  return need === undefined || engine === undefined
    ? null
    : {
        type: 'sendOrder',
        upstreamId: engine.host.id,
        address: engine.host.address,
        loaded: engine.loaded.filter((id) => id !== need.id),
      };
};

const handleOrdersDue = (
  current: routerState.RouterState,
  event: events.EventOf<'ordersDue'>,
): transition.Transition => {
  const query = makeQuery(current, event.nowMs);
  if (query === null) {
    return transition.makeTransition(current);
  }
  const needs = planner.listNeeds(query);
  const surplusSince = trackSurplus(current.orders.surplusSince, needs, event.nowMs);
  const mayLoad = event.nowMs - current.orders.lastLoadAtMs >= LOAD_INTERVAL_MS;
  const load = mayLoad ? planLoad(query, needs) : null;
  const order = load ?? planUnload(needs, surplusSince, event.nowMs);
  const orders: OrdersState = {
    lastLoadAtMs: load === null ? current.orders.lastLoadAtMs : event.nowMs,
    surplusSince,
  };
  return transition.makeTransition({ ...current, orders }, ...(order === null ? [] : [order]));
};

const handleDemandReported = (
  current: routerState.RouterState,
  event: events.EventOf<'demandReported'>,
): transition.Transition =>
  transition.makeTransition({
    ...current,
    demand: demand.mergeDemand(current.demand, event.source, event.rows, event.nowMs),
  });

/** Handlers of the events that lead to orders to engines. */
export const HANDLERS = {
  ordersDue: handleOrdersDue,
  demandReported: handleDemandReported,
} as const;

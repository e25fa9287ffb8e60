import type * as events from '../events.js';
import * as memberTable from '../membership/memberTable.js';
import * as random from '../random.js';
import * as routerState from '../routerState.js';
import * as transition from '../transition.js';
import type * as upstreamState from '../upstreamState.js';
import * as upstreamRest from './upstreamRest.js';

/** Part of the requests that a brittle upstream can turn away which the routers plan for together. */
const PLANNED_SHARE = 0.5;
/** Bounds of the pause of one router after a brittle upstream turned its request away, in milliseconds. */
const MIN_REST_MS = 500;
const MAX_REST_MS = 8_000;

const countRouters = (current: routerState.RouterState): number =>
  memberTable.listActiveMembers(current.members).length + 1;

/**
 * Returns how many attempts this router may have in flight on an upstream. A brittle one is shared out evenly, since no
 * router sees what the others send at the same moment.
 */
export const getMaxInFlight = (
  current: routerState.RouterState,
  upstream: upstreamState.UpstreamState,
): number =>
  upstream.maxTurnAways === null
    ? Infinity
    : Math.max(1, Math.floor((upstream.host.slots ?? upstream.slots) / countRouters(current)));

/** Records whether an upstream is brittle, as its latest answer says. */
export const recordBrittleness = (
  current: routerState.RouterState,
  upstreamId: string,
  maxTurnAways: number | null,
): transition.Transition => {
  const upstream = current.upstreams.get(upstreamId);
  if (upstream === undefined || upstream.maxTurnAways === maxTurnAways) {
    return transition.makeTransition(current);
  }
  return transition.makeTransition(
    routerState.updateUpstream(current, upstreamId, (known) => ({ ...known, maxTurnAways })),
    {
      type: 'log',
      message: 'upstream brittleness changed',
      fields: { upstream: upstreamId, maxTurnAways },
    },
  );
};

/**
 * Lets a brittle upstream rest after it turned a request away, so long that all routers together make it turn away fewer
 * per second than it can. Other upstreams need no rest.
 */
export const startRestAfterTurnAway = (
  current: routerState.RouterState,
  upstreamId: string,
  stamp: events.Stamp,
): routerState.RouterState => {
  const maxTurnAways = current.upstreams.get(upstreamId)?.maxTurnAways ?? null;
  if (maxTurnAways === null) {
    return current;
  }
  const perSecond = Math.max(1, maxTurnAways) * PLANNED_SHARE;
  const restMs = Math.min(
    MAX_REST_MS,
    Math.max(MIN_REST_MS, (countRouters(current) / perSecond) * 1_000),
  );
  return routerState.updateUpstream(current, upstreamId, (upstream) => ({
    ...upstream,
    rest: upstreamRest.startRest(
      upstream.rest,
      restMs,
      random.deriveFraction(stamp.random, 19),
      stamp.nowMs,
    ),
  }));
};

import type * as shared from '@jayrock/shared';
import * as dispatch from '../dispatch.js';
import type * as events from '../events.js';
import * as fleet from '../fleet.js';
import * as leavingProcesses from '../notices/leavingProcesses.js';
import * as coldStart from '../rateLimits/coldStart.js';
import type * as routerState from '../routerState.js';
import * as transition from '../transition.js';
import * as upstreamState from '../upstreamState.js';
import * as prefixCache from './prefixCache.js';
import * as routedReroute from './routedReroute.js';
import * as routeIndex from './routeIndex.js';

const hasColdRate = (table: shared.routeTable.RouteTable): boolean =>
  table.services.some(({ coldPerSecond = 0 }) => coldPerSecond > 0);

/**
 * Returns whether a table replaces the one in force: its version is higher, or it is the same version as the store has it,
 * and the one in force came from a router that does not know rates of cold upstreams.
 */
const isNewer = (
  table: shared.routeTable.RouteTable,
  inForce: routeIndex.RouteIndex | null,
): boolean =>
  inForce === null ||
  table.version > inForce.version ||
  (table.version === inForce.version && hasColdRate(table) && !hasColdRate(inForce.table));

/** Adopts a route table if it is newer than the table in force, also for the requests that wait. */
const handleRoutesAdopted = (
  current: routerState.RouterState,
  event: events.EventOf<'routesAdopted'>,
): transition.Transition => {
  if (!isNewer(event.table, current.routed.routeIndex)) {
    return transition.makeTransition(current);
  }
  const index = routeIndex.makeRouteIndex(event.table);
  const next = fleet.withCandidates({
    ...current,
    routed: { ...current.routed, routeIndex: index },
  });
  const adopted = transition.makeTransition(next, {
    type: 'log',
    message: 'routes adopted',
    fields: { version: index.version, routes: event.table.routes.length },
  });
  const marked = transition.composeTransition(adopted, (after) =>
    coldStart.adoptRules(after, current, event),
  );
  return transition.composeTransition(marked, (after) =>
    routedReroute.rerouteWaiting(after, event),
  );
};

const handleSettingsChanged = (
  current: routerState.RouterState,
  event: events.EventOf<'routedSettingsChanged'>,
): transition.Transition =>
  transition.makeTransition({
    ...current,
    routed: { ...current.routed, settings: event.settings },
  });

/** Applies what an entry says of its upstream's cold time; a process that is not known has just started. */
const applyColdTime = (
  current: routerState.RouterState,
  previous: shared.hosts.Host | null,
  host: shared.hosts.Host,
  stamp: events.Stamp,
): transition.Transition => {
  if (previous === null) {
    return coldStart.markStarted(current, host, stamp);
  }
  return host.coldLeftMs === undefined || host.coldLeftMs === previous.coldLeftMs
    ? transition.makeTransition(current)
    : coldStart.recordReport(current, host.id, host.coldLeftMs, stamp);
};

/** Adds or updates a host; a restarted process loses its learned state and its prefix cache. */
const handleHostChanged = (
  current: routerState.RouterState,
  event: events.EventOf<'hostChanged'>,
): transition.Transition => {
  const host = leavingProcesses.applyLeaving(current.leaving, event.host, event.nowMs);
  const previous = current.upstreams.get(host.id);
  const isSameProcess = previous !== undefined && previous.host.bornAtMs === host.bornAtMs;
  const next = isSameProcess ? { ...previous, host } : upstreamState.makeUpstream(host);
  const upstream = { ...next, inFlight: previous?.inFlight ?? 0 };
  const cachedParts = isSameProcess
    ? current.routed.cachedParts
    : prefixCache.forgetUpstream(current.routed.cachedParts, host.id);
  const merged = fleet.withCandidates({
    ...current,
    routed: { ...current.routed, cachedParts },
    upstreams: current.upstreams.set(host.id, upstream),
  });
  const listed = transition.makeTransition(merged, {
    type: 'log',
    message: 'upstream listed',
    fields: { upstream: host.id, service: host.service, state: host.state, version: host.version },
  });
  const marked = transition.composeTransition(listed, (after) =>
    applyColdTime(after, isSameProcess ? previous.host : null, host, event),
  );
  return transition.composeTransition(marked, (after) =>
    dispatch.drainService(after, host.service, event),
  );
};

/** Removes a host, or marks it as leaving while it has attempts in flight. */
const handleHostRemoved = (
  current: routerState.RouterState,
  event: events.EventOf<'hostRemoved'>,
): transition.Transition => {
  const upstream = current.upstreams.get(event.hostId);
  if (upstream === undefined) {
    return transition.makeTransition(current);
  }
  const upstreams =
    upstream.inFlight > 0
      ? current.upstreams.set(event.hostId, {
          ...upstream,
          host: { ...upstream.host, state: 'leaving' },
        })
      : current.upstreams.remove(event.hostId);
  return transition.makeTransition(fleet.withCandidates({ ...current, upstreams }), {
    type: 'log',
    message: 'upstream removed',
    fields: { upstream: event.hostId, service: upstream.host.service },
  });
};

/** Handlers of events of the configuration and the host list: route tables, settings and single hosts. */
export const HANDLERS = {
  routesAdopted: handleRoutesAdopted,
  routedSettingsChanged: handleSettingsChanged,
  hostChanged: handleHostChanged,
  hostRemoved: handleHostRemoved,
} as const;

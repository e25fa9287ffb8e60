import * as immutable from 'immutable';
import * as waitingRequests from '../admission/waitingRequests.js';
import * as dispatch from '../dispatch.js';
import type * as events from '../events.js';
import * as fleet from '../fleet.js';
import type * as routerState from '../routerState.js';
import * as transition from '../transition.js';
import type * as upstreamState from '../upstreamState.js';
import * as evacuatedPlacement from './evacuatedPlacement.js';
import * as evacuatedZones from './evacuatedZones.js';

/** Lists the names of the services of some upstreams. */
const listServices = (upstreams: readonly upstreamState.UpstreamState[]): readonly string[] =>
  Array.from(new Set(upstreams.map(({ host }) => host.service)));

/** Places a request that waits for an upstream elsewhere, or ends it if none is left. */
const replaceRequest = (
  current: routerState.RouterState,
  requestId: string,
  stamp: events.Stamp,
): transition.Transition => {
  const request = current.requests.get(requestId);
  // A request that was placed before may have given this one its place.
  return request?.phase === 'queued'
    ? evacuatedPlacement.placeRequest(
        waitingRequests.removeFromQueue(current, request, stamp.nowMs),
        request,
        stamp,
      )
    : transition.makeTransition(current);
};

/** Places the routed requests that wait for one of some services anew, those that arrived first before others. */
const replaceWaiting = (
  current: routerState.RouterState,
  services: readonly string[],
  stamp: events.Stamp,
): transition.Transition =>
  current.requests
    .valueSeq()
    .filter(
      ({ phase, routed, service }) =>
        phase === 'queued' && routed !== null && services.includes(service),
    )
    .sortBy(({ arrivedAtMs }) => arrivedAtMs)
    .toArray()
    .reduce(
      (result, { id }) =>
        transition.composeTransition(result, (next) => replaceRequest(next, id, stamp)),
      transition.makeTransition(current),
    );

/** Uses upstreams again whose zone's evacuation was taken back: those that wait for their services are started. */
const takeBackUpstreams = (
  current: routerState.RouterState,
  upstreams: readonly upstreamState.UpstreamState[],
  stamp: events.Stamp,
): transition.Transition =>
  listServices(upstreams).reduce(
    (result, service) =>
      transition.composeTransition(result, (next) => dispatch.drainService(next, service, stamp)),
    transition.makeTransition(current),
  );

const handleZonesEvacuated = (
  current: routerState.RouterState,
  event: events.EventOf<'zonesEvacuated'>,
): transition.Transition => {
  const zones = immutable.Set(event.zones);
  if (zones.equals(current.evacuatedZones)) {
    return transition.makeTransition(current);
  }
  const next = fleet.withCandidates({ ...current, evacuatedZones: zones });
  const evacuated = evacuatedZones
    .listEvacuated(next)
    .filter(({ host }) => !current.evacuatedZones.has(host.zone));
  const takenBack = evacuatedZones
    .listEvacuated(current)
    .filter(({ host }) => !zones.has(host.zone));
  const logged = transition.makeTransition(next, {
    type: 'log',
    message: 'zones evacuated',
    fields: {
      zones: zones.toArray().toSorted(),
      begun: zones.subtract(current.evacuatedZones).toArray(),
      takenBack: current.evacuatedZones.subtract(zones).toArray(),
      upstreams: evacuated.map(({ host }) => host.id),
      upstreamsTakenBack: takenBack.map(({ host }) => host.id),
      running: evacuated.reduce((sum, { inFlight }) => sum + inFlight, 0),
      revision: event.revision ?? null,
      ageMs: event.ageMs === undefined ? null : Math.round(event.ageMs),
    },
  });
  const replaced = transition.composeTransition(logged, (after) =>
    replaceWaiting(after, listServices(evacuated), event),
  );
  return transition.composeTransition(replaced, (after) =>
    takeBackUpstreams(after, takenBack, event),
  );
};

/** Handlers of the operator's evacuations of zones. */
export const HANDLERS = { zonesEvacuated: handleZonesEvacuated } as const;

import * as dispatch from '../dispatch.js';
import type * as events from '../events.js';
import * as fleet from '../fleet.js';
import type * as routerState from '../routerState.js';
import * as step from '../step.js';
import * as upstreamState from '../upstreamState.js';
import * as prefixMemory from './prefixMemory.js';
import * as routeView from './routeView.js';

const handleRoutesAdopted = (
  current: routerState.RouterState,
  event: events.EventOf<'routesAdopted'>,
): step.Step => {
  if (event.table.version <= (current.relay.view?.version ?? -1)) {
    return step.makeStep(current);
  }
  const view = routeView.makeRouteView(event.table);
  const next = fleet.withCandidates({ ...current, relay: { ...current.relay, view } });
  return step.makeStep(next, {
    type: 'log',
    message: 'routes adopted',
    fields: { version: view.version, routes: event.table.routes.length },
  });
};

const handleSettingsChanged = (
  current: routerState.RouterState,
  event: events.EventOf<'relaySettingsChanged'>,
): step.Step =>
  step.makeStep({ ...current, relay: { ...current.relay, settings: event.settings } });

const handleHostChanged = (
  current: routerState.RouterState,
  event: events.EventOf<'hostChanged'>,
): step.Step => {
  const { host } = event;
  const known = current.upstreams.get(host.id);
  const isSame = known !== undefined && known.host.bornAtMs === host.bornAtMs;
  const next = isSame ? { ...known, host } : upstreamState.makeUpstream(host);
  const kept = { ...next, inFlight: known?.inFlight ?? 0 };
  const parts = isSame
    ? current.relay.parts
    : prefixMemory.forgetUpstream(current.relay.parts, host.id);
  const merged = fleet.withCandidates({
    ...current,
    relay: { ...current.relay, parts },
    upstreams: current.upstreams.set(host.id, kept),
  });
  const listed = step.makeStep(merged, {
    type: 'log',
    message: 'upstream listed',
    fields: { upstream: host.id, service: host.service, state: host.state, version: host.version },
  });
  return step.chainStep(listed, (after) => dispatch.drainService(after, host.service, event));
};

const handleHostRemoved = (
  current: routerState.RouterState,
  event: events.EventOf<'hostRemoved'>,
): step.Step => {
  const known = current.upstreams.get(event.hostId);
  if (known === undefined) {
    return step.makeStep(current);
  }
  const upstreams =
    known.inFlight > 0
      ? current.upstreams.set(event.hostId, {
          ...known,
          host: { ...known.host, state: 'leaving' },
        })
      : current.upstreams.remove(event.hostId);
  return step.makeStep(fleet.withCandidates({ ...current, upstreams }), {
    type: 'log',
    message: 'upstream removed',
    fields: { upstream: event.hostId, service: known.host.service },
  });
};

/** Handlers of tables of routes and of changes of single hosts. */
export const HANDLERS = {
  routesAdopted: handleRoutesAdopted,
  relaySettingsChanged: handleSettingsChanged,
  hostChanged: handleHostChanged,
  hostRemoved: handleHostRemoved,
} as const;

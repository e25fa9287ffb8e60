import type * as routerState from '../routerState.js';
import type * as upstreamState from '../upstreamState.js';

/** Returns whether an upstream is in a zone that is evacuated. */
const isInEvacuatedZone = (
  current: Pick<routerState.RouterState, 'evacuatedZones'>,
  { host }: Pick<upstreamState.UpstreamState, 'host'>,
): boolean => current.evacuatedZones.has(host.zone);

/** Returns whether an upstream may receive requests: it is live, and its zone is not evacuated. */
export const mayReceive = (
  current: Pick<routerState.RouterState, 'evacuatedZones'>,
  upstream: Pick<upstreamState.UpstreamState, 'host'>,
): boolean => upstream.host.state === 'live' && !isInEvacuatedZone(current, upstream);

/** Returns whether an upstream is listed and in an evacuated zone, so that no connection is opened to it. */
export const isEvacuated = (
  current: Pick<routerState.RouterState, 'evacuatedZones' | 'upstreams'>,
  upstreamId: string,
): boolean => {
  const upstream = current.upstreams.get(upstreamId);
  return upstream !== undefined && isInEvacuatedZone(current, upstream);
};

/** Lists the upstreams of evacuated zones. */
export const listEvacuated = (
  current: Pick<routerState.RouterState, 'evacuatedZones' | 'upstreams'>,
): readonly upstreamState.UpstreamState[] =>
  current.evacuatedZones.isEmpty()
    ? []
    : current.upstreams
        .valueSeq()
        .filter((upstream) => isInEvacuatedZone(current, upstream))
        .toArray();

/** Returns whether a service has live upstreams, all of which are in evacuated zones. */
export const isServiceEvacuated = (
  current: Pick<routerState.RouterState, 'evacuatedZones' | 'upstreams'>,
  service: string,
): boolean => {
  if (current.evacuatedZones.isEmpty()) {
    return false;
  }
  const live = current.upstreams
    .valueSeq()
    .filter(({ host }) => host.service === service && host.state === 'live');
  return !live.isEmpty() && live.every((upstream) => isInEvacuatedZone(current, upstream));
};

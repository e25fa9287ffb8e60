import * as shared from '@jayrock/shared';
import type * as effects from '../effects.js';
import type * as requestState from '../requestState.js';
import type * as routerState from '../routerState.js';
import type * as upstreamState from '../upstreamState.js';
import * as canaryState from './canaryState.js';
import * as prefixCache from './prefixCache.js';
import type * as routedState from './routedState.js';

/** Returns the key whose hash selects the version during a roll-out: session, shared prompt part or request id. */
export const getSessionKey = (
  request: requestState.RequestState,
  routed: routedState.RoutedState,
): string => routed.call.session ?? prefixCache.getSharedPartId(routed.call) ?? request.id;

/** Returns whether the service's canary, if any, allows a request to run on an upstream's version. */
export const isVersionAllowed = (
  canary: canaryState.Canary | undefined,
  version: string | undefined,
  request: requestState.RequestState,
  routed: routedState.RoutedState,
  nowMs: number,
): boolean => {
  if (canary === undefined) {
    return true;
  }
  if (version !== undefined && canary.withdrawn.includes(version)) {
    return false;
  }
  const isNew = version === canary.order.to;
  // A resumed stream stays on the version that began it as long as both versions are in use.
  if (routed.version !== null && canary.stage === 'running' && !canary.isBad) {
    return isNew === (routed.version === canary.order.to);
  }
  const share = canaryState.getTrafficShare(canary, nowMs, routed.call.session !== null);
  const hash = shared.hash.hashToFraction(
    `${canary.order.service}|${getSessionKey(request, routed)}`,
  );
  return isNew ? hash < share : hash >= share;
};

/** Makes the log line of a request in a session that runs on the version of a running roll-out; none for others. */
export const logSessionVersion = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  upstream: upstreamState.UpstreamState,
  nowMs: number,
): readonly effects.EffectOf<'log'>[] => {
  const session = request.routed?.call.session ?? null;
  const canary = current.routed.canaries.get(upstream.host.service);
  if (
    session === null ||
    canary?.stage !== 'running' ||
    canary.order.to !== upstream.host.version
  ) {
    return [];
  }
  return [
    {
      type: 'log',
      message: 'session runs on the new version',
      fields: {
        session,
        version: canary.order.to,
        upstream: upstream.host.id,
        elapsedMs: Math.round(nowMs - canary.startedAtMs),
        share: canaryState.getTrafficShare(canary, nowMs, true),
        isBad: canary.isBad,
      },
    },
  ];
};

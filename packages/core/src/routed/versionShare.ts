import * as shared from '@jayrock/shared';
import type * as effects from '../effects.js';
import type * as requestState from '../requestState.js';
import type * as routerState from '../routerState.js';
import type * as upstreamState from '../upstreamState.js';
import * as canaryShare from './canaryShare.js';
import * as canaryState from './canaryState.js';
import * as prefixCache from './prefixCache.js';
import type * as routedState from './routedState.js';
import * as versionRoles from './versionRoles.js';

/** Returns the key whose hash selects the version during a roll-out: session, shared prompt part or request id. */
export const getSessionKey = (
  request: requestState.RequestState,
  routed: routedState.RoutedState,
): string => routed.call.session ?? prefixCache.getSharedPartId(routed.call) ?? request.id;

/** Returns whether a service has an upstream of a version, or one of those in use without a bound if it is null. */
export type UpstreamFinder = (version: string | null) => boolean;

/** Returns whether a hash is among those of a canary's version; a rising share reaches those before its own last. */
const isWithinShare = ({ offset }: canaryState.Canary, hash: number, share: number): boolean => {
  const position = hash - (offset % 1);
  return (position < 0 ? position + 1 : position) < share;
};

/** Chooses the version whose order bounds a request; null for those in use without a bound. */
const chooseOwner = (
  canary: canaryState.Canary,
  hash: number,
  isSession: boolean,
  nowMs: number,
  hasUpstream: UpstreamFinder,
): string | null => {
  const isWithin = (item: canaryState.Canary): boolean =>
    isWithinShare(item, hash, canaryShare.getTrafficShare(item, nowMs, isSession));
  const ordered = versionRoles.getOwner(canary, canary.order.to);
  if (isWithin(canary)) {
    return ordered;
  }
  const earlier = canary.superseded.find(
    (item) => !item.isBad && isWithin(item) && hasUpstream(item.order.to),
  );
  // If the operator has gone back to the version that served, no other one serves without a bound.
  const hasServing = canary.superseded.length === 0 || hasUpstream(null);
  return earlier?.order.to ?? (hasServing ? null : ordered);
};

/** Returns whether the service's canary, if any, allows a request to run on an upstream's version. */
export const isVersionAllowed = (
  canary: canaryState.Canary | undefined,
  version: string | undefined,
  request: requestState.RequestState,
  routed: routedState.RoutedState,
  nowMs: number,
  hasUpstream: UpstreamFinder,
): boolean => {
  if (canary === undefined) {
    return true;
  }
  if (versionRoles.getRole(canary, version) === 'withdrawn') {
    return false;
  }
  if (canary.stage === 'completed') {
    return version === canary.order.to;
  }
  const owner = versionRoles.getOwner(canary, version);
  // A resumed stream stays on the version that began it as long as that is in use.
  if (routed.version !== null && versionRoles.isInUse(canary, routed.version)) {
    return owner === versionRoles.getOwner(canary, routed.version);
  }
  const hash = shared.hash.hashToFraction(
    `${canary.order.service}|${getSessionKey(request, routed)}`,
  );
  const isSession = routed.call.session !== null;
  return owner === chooseOwner(canary, hash, isSession, nowMs, hasUpstream);
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
        share: canaryShare.getTrafficShare(canary, nowMs, true),
        isBad: canary.isBad,
      },
    },
  ];
};

import * as evacuatedZones from './evacuations/evacuatedZones.js';
import type * as events from './events.js';
import type * as policy from './policy.js';
import * as routerState from './routerState.js';
import * as average from './average.js';
import * as transition from './transition.js';
import * as upstreamState from './upstreamState.js';

/** Relative time to first token above which an upstream counts as a straggler. */
const EJECT_SLOWNESS = 4;
/** Relative time between tokens above which an upstream counts as a straggler. */
const EJECT_INTER_TOKEN_RATIO = 3;
/** Relative time between tokens below which an ejected upstream returns. */
const RETURN_INTER_TOKEN_RATIO = 1.5;
/** Number of first tokens required before the slowness is evaluated. */
const MIN_SAMPLES = 5;
/** Number of overdue attempts that eject an upstream without waiting for their first tokens. */
const EJECT_OVERDUE = 3;
/** Number of consecutive failures that eject an upstream. */
const EJECT_FAILURES = 3;
/** Maximum share of a service's upstreams that may be ejected for being slow. */
const MAX_SLOW_SHARE = 0.2;
/** Maximum share of a service's upstreams that may be ejected for failing. */
const MAX_FAILING_SHARE = 0.7;
/** Duration of an upstream's first ejection, doubled for each further one, in milliseconds. */
const BASE_EJECTION_MS = 1_000;
/** Maximum duration of an ejection, in milliseconds. */
const MAX_EJECTION_MS = 10_000;
/** Relative time to first token up to which an upstream on probation returns. */
const RETURN_SLOWNESS = 2;

type EjectionHandler = (
  current: routerState.RouterState,
  upstream: upstreamState.UpstreamState,
  nowMs: number,
) => routerState.RouterState;

const isFailing = (upstream: upstreamState.UpstreamState): boolean =>
  upstream.consecutiveFailures >= EJECT_FAILURES;

const isSlow = (upstream: upstreamState.UpstreamState, nowMs: number): boolean =>
  (upstreamState.getFreshInterTokenRatio(upstream, nowMs) ?? 0) > EJECT_INTER_TOKEN_RATIO ||
  upstream.overdue >= EJECT_OVERDUE ||
  (upstream.slowness.count >= MIN_SAMPLES && upstream.slowness.value > EJECT_SLOWNESS);

/**
 * Returns whether one more upstream of a service may be ejected: up to the given share, and at least
 * one of three or more. Slow upstreams still serve requests, so fewer of them may be ejected than of
 * failing ones.
 */
const canEjectOneMore = (
  current: routerState.RouterState,
  service: string,
  maxShare: number,
): boolean => {
  const peers = current.upstreams
    .valueSeq()
    .filter((peer) => peer.host.service === service && evacuatedZones.mayReceive(current, peer))
    .toArray();
  const ejected = peers.filter((peer) => peer.health !== 'ok').length;
  return ejected + 1 <= Math.max(Number(peers.length > 2), Math.floor(peers.length * maxShare));
};

const shouldEject = (
  current: routerState.RouterState,
  upstream: upstreamState.UpstreamState,
  nowMs: number,
): boolean => {
  const { service } = upstream.host;
  if (upstream.health === 'ejected') {
    return false;
  }
  // An upstream on probation already counts towards the maximum share.
  if (upstream.health === 'probation') {
    return upstream.consecutiveFailures > 0;
  }
  return (
    (isFailing(upstream) && canEjectOneMore(current, service, MAX_FAILING_SHARE)) ||
    (isSlow(upstream, nowMs) && canEjectOneMore(current, service, MAX_SLOW_SHARE))
  );
};

const eject = (
  current: routerState.RouterState,
  upstream: upstreamState.UpstreamState,
  nowMs: number,
): routerState.RouterState => {
  const delayMs = Math.min(MAX_EJECTION_MS, BASE_EJECTION_MS * 2 ** upstream.ejectionCount);
  return {
    ...current,
    upstreams: current.upstreams.set(upstream.host.id, {
      ...upstream,
      health: 'ejected',
      ejectionEndsAtMs: nowMs + delayMs,
      ejectionCount: upstream.ejectionCount + 1,
    }),
  };
};

const EJECTION_HANDLERS: Readonly<Record<policy.Policy['ejection'], EjectionHandler>> = {
  relative: (current, upstream, nowMs) =>
    shouldEject(current, upstream, nowMs) ? eject(current, upstream, nowMs) : current,
  off: (current) => current,
};

/** Ejects an upstream if it is failing or a straggler, and the maximum share allows it. */
export const evaluateUpstream = (
  current: routerState.RouterState,
  id: string,
  nowMs: number,
): routerState.RouterState => {
  const upstream = current.upstreams.get(id);
  return upstream === undefined
    ? current
    : EJECTION_HANDLERS[current.policy.ejection](current, upstream, nowMs);
};

/** Ends an upstream's probation after a first token in usual time; ejects it again after a slow one. */
export const evaluateProbation = (
  current: routerState.RouterState,
  id: string,
  slowness: number,
  nowMs: number,
): routerState.RouterState => {
  const upstream = current.upstreams.get(id);
  if (upstream === undefined || upstream.health !== 'probation') {
    return current;
  }
  if (slowness > RETURN_SLOWNESS) {
    return eject(current, upstream, nowMs);
  }
  const next: upstreamState.UpstreamState = { ...upstream, health: 'ok', ejectionCount: 0 };
  return { ...current, upstreams: current.upstreams.set(id, next) };
};

/** Resets the statistics that led to an ejection. */
const resetOutlierStats = (
  upstream: upstreamState.UpstreamState,
  health: upstreamState.UpstreamHealth,
): upstreamState.UpstreamState => ({
  ...upstream,
  health,
  slowness: average.EMPTY_AVERAGE,
  consecutiveFailures: 0,
});

const releaseEjected = (
  upstream: upstreamState.UpstreamState,
  nowMs: number,
): upstreamState.UpstreamState => {
  if (upstream.health !== 'ejected') {
    return upstream;
  }
  const ratio = upstreamState.getFreshInterTokenRatio(upstream, nowMs);
  // Answers still in flight on an ejected upstream show its recovery without risking a new request.
  if (ratio !== null && upstream.overdue === 0) {
    return ratio < RETURN_INTER_TOKEN_RATIO ? resetOutlierStats(upstream, 'ok') : upstream;
  }
  return nowMs >= upstream.ejectionEndsAtMs ? resetOutlierStats(upstream, 'probation') : upstream;
};

/** Ends the ejection of recovered upstreams, and puts those whose ejection has expired on probation. */
export const tickHealth = (
  current: routerState.RouterState,
  nowMs: number,
): routerState.RouterState =>
  current.upstreams.reduce((state, upstream, id) => {
    const released = releaseEjected(upstream, nowMs);
    return released === upstream
      ? state
      : { ...state, upstreams: state.upstreams.set(id, released) };
  }, current);

const handleInterTokenRatioReported = (
  current: routerState.RouterState,
  event: events.EventOf<'interTokenRatioReported'>,
): transition.Transition => {
  const { upstreamId, interTokenRatio, nowMs } = event;
  const updated = routerState.updateUpstream(current, upstreamId, (upstream) => ({
    ...upstream,
    interTokenRatio,
    interTokenRatioAtMs: nowMs,
  }));
  return transition.makeTransition(evaluateUpstream(updated, upstreamId, nowMs));
};

/** Handlers of measurements of the upstreams' health. */
export const HANDLERS = { interTokenRatioReported: handleInterTokenRatioReported } as const;

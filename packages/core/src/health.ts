import type * as events from './events.js';
import type * as policy from './policy.js';
import * as routerState from './routerState.js';
import * as average from './average.js';
import * as transition from './transition.js';
import * as upstreamState from './upstreamState.js';

/** Slowness from which an upstream counts as a straggler. */
const EJECT_SLOWNESS = 4;
/** Relative time between tokens from which an upstream counts as a straggler. */
const EJECT_PACE = 3;
/** Relative time between tokens below which an ejected upstream is taken back. */
const RETURN_PACE = 1.5;
/** First tokens needed before slowness is believed. */
const MIN_SAMPLES = 5;
/** Overdue attempts that eject an upstream without waiting for their first tokens. */
const EJECT_OVERDUE = 3;
/** Failures in a row that eject an upstream. */
const EJECT_FAILURES = 3;
/** Largest share of a service's upstreams that may be ejected for being slow. */
const MAX_SLOW_SHARE = 0.2;
/** Largest share of a service's upstreams that may be ejected for failing. */
const MAX_FAILING_SHARE = 0.7;
/** First time an upstream stays ejected, in milliseconds. */
const BASE_EJECTION_MS = 1_000;
/** Longest time an upstream stays ejected, in milliseconds. */
const MAX_EJECTION_MS = 10_000;
/** Slowness below which an upstream on probation is taken back. */
const RETURN_SLOWNESS = 2;

type EjectionHandler = (
  current: routerState.RouterState,
  upstream: upstreamState.UpstreamState,
  nowMs: number,
) => routerState.RouterState;

const isFailing = (upstream: upstreamState.UpstreamState): boolean =>
  upstream.consecutiveFailures >= EJECT_FAILURES;

const isSlow = (upstream: upstreamState.UpstreamState, nowMs: number): boolean =>
  (upstreamState.getFreshInterTokenRatio(upstream, nowMs) ?? 0) > EJECT_PACE ||
  upstream.overdue >= EJECT_OVERDUE ||
  (upstream.slowness.count >= MIN_SAMPLES && upstream.slowness.value > EJECT_SLOWNESS);

/** A slow upstream still serves something, so fewer of those may be left out than of failing ones. */
const hasEjectionRoom = (
  current: routerState.RouterState,
  service: string,
  maxShare: number,
): boolean => {
  const peers = current.upstreams
    .valueSeq()
    .filter((one) => one.host.service === service && one.host.state === 'live')
    .toArray();
  const ejected = peers.filter((one) => one.health !== 'ok').length;
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
  // An upstream on probation holds its place among the ejected ones already.
  if (upstream.health === 'probation') {
    return upstream.consecutiveFailures > 0;
  }
  return (
    (isFailing(upstream) && hasEjectionRoom(current, service, MAX_FAILING_SHARE)) ||
    (isSlow(upstream, nowMs) && hasEjectionRoom(current, service, MAX_SLOW_SHARE))
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

/** Ejects an upstream if it has become a straggler and the cap allows it. */
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

/** Takes an upstream on probation back after a first token in usual time, or ejects it again. */
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

/** Forgets the signs that led to an ejection. */
const clearSigns = (
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
  const pace = upstreamState.getFreshInterTokenRatio(upstream, nowMs);
  // Answers still running on an ejected upstream show its recovery without risking a new one.
  if (pace !== null && upstream.overdue === 0) {
    return pace < RETURN_PACE ? clearSigns(upstream, 'ok') : upstream;
  }
  return nowMs >= upstream.ejectionEndsAtMs ? clearSigns(upstream, 'probation') : upstream;
};

/** Puts upstreams whose ejection has ended on probation. */
export const tickHealth = (
  current: routerState.RouterState,
  nowMs: number,
): routerState.RouterState => ({
  ...current,
  upstreams: current.upstreams.map((upstream) => releaseEjected(upstream, nowMs)),
});

const handleInterTokenRatioReported = (
  current: routerState.RouterState,
  event: events.EventOf<'interTokenRatioReported'>,
): transition.Transition => {
  const { upstreamId, interTokenRatio: slowness, nowMs } = event;
  const noted = routerState.updateUpstream(current, upstreamId, (known) => ({
    ...known,
    interTokenRatio: slowness,
    interTokenRatioAtMs: nowMs,
  }));
  return transition.makeTransition(evaluateUpstream(noted, upstreamId, nowMs));
};

/** Handlers of what a router sees of its upstreams' health. */
export const HANDLERS = { interTokenRatioReported: handleInterTokenRatioReported } as const;

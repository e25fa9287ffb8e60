import type * as shared from '@jayrock/shared';
import * as dispatch from '../dispatch.js';
import type * as events from '../events.js';
import * as routerState from '../routerState.js';
import * as transition from '../transition.js';
import type * as upstreamState from '../upstreamState.js';
import * as coldTime from './coldTime.js';
import * as rateLimit from './rateLimit.js';
import * as rateLimitNews from './rateLimitNews.js';

/** How long a service's upstreams are cold, and how many requests a second one takes meanwhile. */
interface ColdRule {
  readonly startMs: number;
  readonly requestsPerSecond: number;
}

/** Time for which an upstream has to be silent before it counts as down, in milliseconds: a cut shows at others by then. */
const SILENCE_MS = 600;
/** Part of a cold start by which what the peers know may fall short before they are told again. */
const TELL_SHARE = 0.5;
/** Time by which a peer's news has to exceed what is known, in milliseconds: messages take a part of it. */
const NEWS_STEP_MS = 300;

/** Returns how a service's upstreams are cold, or null if the table of routes names no rate for that. */
const getRule = (current: routerState.RouterState, service: string): ColdRule | null => {
  const { coldStartMs = 0, coldPerSecond = 0 } =
    current.routed.routeIndex?.services.get(service) ?? {};
  return coldStartMs > 0 && coldPerSecond > 0
    ? { startMs: coldStartMs, requestsPerSecond: coldPerSecond }
    : null;
};

const updateSigns = (
  current: routerState.RouterState,
  upstreamId: string,
  change: Partial<coldTime.ColdSigns>,
): routerState.RouterState =>
  routerState.updateUpstream(current, upstreamId, (upstream) => ({
    ...upstream,
    coldSigns: { ...upstream.coldSigns, ...change },
  }));

/** Ends the cold time of an upstream, and starts the requests that wait for it. */
const endCold = (
  current: routerState.RouterState,
  upstreamId: string,
  stamp: events.Stamp,
): transition.Transition => {
  const upstream = current.upstreams.get(upstreamId);
  if (upstream === undefined || upstream.rateLimit.cold === null) {
    return transition.makeTransition(current);
  }
  const warm = routerState.updateUpstream(current, upstreamId, (latest) => ({
    ...latest,
    rateLimit: rateLimit.withCold(latest.rateLimit, null),
  }));
  const logged = transition.makeTransition(warm, {
    type: 'log',
    message: 'upstream warm',
    fields: { upstream: upstreamId, service: upstream.host.service },
  });
  return transition.composeTransition(logged, (next) =>
    dispatch.drainUpstream(next, upstreamId, stamp),
  );
};

/** Sets until when an upstream is cold, at most for a whole start from now on; does nothing for a service without a rate. */
const setCold = (
  current: routerState.RouterState,
  upstreamId: string,
  cold: { readonly leftMs: number; readonly sign: coldTime.ColdSign; readonly seenAtMs: number },
  stamp: events.Stamp,
): transition.Transition => {
  const upstream = current.upstreams.get(upstreamId);
  const rule = upstream === undefined ? null : getRule(current, upstream.host.service);
  if (upstream === undefined || rule === null) {
    return transition.makeTransition(current);
  }
  const leftMs = Math.min(cold.leftMs, rule.startMs);
  if (!(leftMs > 0)) {
    return endCold(current, upstreamId, stamp);
  }
  const next = routerState.updateUpstream(current, upstreamId, (latest) => ({
    ...latest,
    rateLimit: rateLimit.withCold(latest.rateLimit, {
      requestsPerSecond: rule.requestsPerSecond,
      untilMs: stamp.nowMs + leftMs,
      seenAtMs: cold.seenAtMs,
      sign: cold.sign,
    }),
  }));
  return upstream.rateLimit.cold === null
    ? transition.makeTransition(next, {
        type: 'log',
        message: 'upstream cold',
        fields: {
          upstream: upstreamId,
          service: upstream.host.service,
          sign: cold.sign,
          leftMs: Math.round(leftMs),
          requestsPerSecond: rule.requestsPerSecond,
        },
      })
    : transition.makeTransition(next);
};

/** Reports to the peers an upstream's cold time if what they know falls short by much. */
const reportCold = (
  current: routerState.RouterState,
  upstreamId: string,
  nowMs: number,
): transition.Transition => {
  const upstream = current.upstreams.get(upstreamId);
  const untilMs = upstream?.rateLimit.cold?.untilMs ?? -Infinity;
  const rule = getRule(current, upstream?.host.service ?? '');
  if (
    upstream === undefined ||
    rule === null ||
    untilMs - upstream.coldSigns.toldUntilMs <= rule.startMs * TELL_SHARE
  ) {
    return transition.makeTransition(current);
  }
  return transition.makeTransition(updateSigns(current, upstreamId, { toldUntilMs: untilMs }), {
    type: 'broadcastRateLimitNews',
    news: rateLimitNews.makeUpstreamNews(current, upstreamId, nowMs),
  });
};

/** Marks an upstream as cold for a whole start, and tells the peers, which may not have noticed. */
const markDown = (
  current: routerState.RouterState,
  upstreamId: string,
  sign: coldTime.ColdSign,
  stamp: events.Stamp,
): transition.Transition =>
  transition.composeTransition(
    setCold(current, upstreamId, { leftMs: Infinity, sign, seenAtMs: stamp.nowMs }, stamp),
    (next) => reportCold(next, upstreamId, stamp.nowMs),
  );

/** Marks an upstream as cold that is new, or whose process is; its entry may say for how long. */
export const markStarted = (
  current: routerState.RouterState,
  { id, coldLeftMs }: shared.hosts.Host,
  stamp: events.Stamp,
): transition.Transition => {
  const reported =
    coldLeftMs === undefined ? current : updateSigns(current, id, { reportedAtMs: stamp.nowMs });
  const cold = {
    leftMs: coldLeftMs ?? Infinity,
    sign: 'started',
    seenAtMs: stamp.nowMs,
  } as const;
  return setCold(reported, id, cold, stamp);
};

/** Applies what an upstream's entry or answer says of its cold time; 0 ends it. */
export const recordReport = (
  current: routerState.RouterState,
  upstreamId: string,
  leftMs: number,
  stamp: events.Stamp,
): transition.Transition => {
  const upstream = current.upstreams.get(upstreamId);
  if (upstream === undefined || getRule(current, upstream.host.service) === null) {
    return transition.makeTransition(current);
  }
  return setCold(
    updateSigns(current, upstreamId, { reportedAtMs: stamp.nowMs }),
    upstreamId,
    { leftMs, sign: 'reported', seenAtMs: stamp.nowMs },
    stamp,
  );
};

/** Applies what an answer says of its upstream's cold time; the peers do not hear answers of this router. */
export const recordAnswer = (
  current: routerState.RouterState,
  upstreamId: string,
  leftMs: number,
  stamp: events.Stamp,
): transition.Transition =>
  transition.composeTransition(recordReport(current, upstreamId, leftMs, stamp), (next) =>
    reportCold(next, upstreamId, stamp.nowMs),
  );

/** Marks an upstream whose process has crashed: it is cold once it is back. */
export const recordCrash = (
  current: routerState.RouterState,
  upstreamId: string,
  stamp: events.Stamp,
): transition.Transition => markDown(current, upstreamId, 'crashed', stamp);

/**
 * Returns whether an outage is the upstream's own. One that is only silent to this router may be a cut of its links: it
 * counts once it has lasted, and while no more than half of the service's upstreams are unreachable.
 */
const isOwnOutage = (
  current: routerState.RouterState,
  { host, coldSigns: { outage } }: upstreamState.UpstreamState,
  nowMs: number,
): boolean => {
  if (outage === null || host.state !== 'live') {
    return false;
  }
  if (outage.isRefused) {
    return true;
  }
  const candidates = routerState.listCandidates(current, host.service);
  const unreachable = candidates.filter(({ coldSigns }) => coldSigns.outage !== null).length;
  return (
    nowMs - outage.sinceMs >= SILENCE_MS &&
    (candidates.length === 1 || unreachable * 2 <= candidates.length)
  );
};

const markOutage = (
  current: routerState.RouterState,
  upstreamId: string,
  stamp: events.Stamp,
): transition.Transition => {
  const upstream = current.upstreams.get(upstreamId);
  return upstream !== undefined && isOwnOutage(current, upstream, stamp.nowMs)
    ? markDown(current, upstreamId, 'unreachable', stamp)
    : transition.makeTransition(current);
};

/** Records that an upstream accepts no connection from this router, or does again: it is cold for a whole start then. */
export const recordReachability = (
  current: routerState.RouterState,
  { upstreamId, isReachable, isRefused = false }: events.EventOf<'reachabilityObserved'>,
  stamp: events.Stamp,
): transition.Transition => {
  if (isReachable) {
    return transition.composeTransition(markOutage(current, upstreamId, stamp), (next) =>
      transition.makeTransition(updateSigns(next, upstreamId, { outage: null })),
    );
  }
  const outage = { sinceMs: stamp.nowMs, isRefused };
  return markOutage(updateSigns(current, upstreamId, { outage }), upstreamId, stamp);
};

/** Marks all upstreams of a zone as just started, when its evacuation is taken back. */
export const markZoneStarted = (
  current: routerState.RouterState,
  zone: string,
  stamp: events.Stamp,
): transition.Transition =>
  current.upstreams
    .valueSeq()
    .filter(({ host }) => host.zone === zone && getRule(current, host.service) !== null)
    .reduce((result, { host }) => {
      const cold = { leftMs: Infinity, sign: 'evacuated', seenAtMs: stamp.nowMs } as const;
      return transition.composeTransition(result, (next) => setCold(next, host.id, cold, stamp));
    }, transition.makeTransition(current));

/** Marks the upstreams of services for which the former table named no rate by what their entries say. */
export const adoptRules = (
  current: routerState.RouterState,
  former: routerState.RouterState,
  stamp: events.Stamp,
): transition.Transition =>
  current.upstreams
    .valueSeq()
    .filter(
      ({ host }) =>
        getRule(current, host.service) !== null && getRule(former, host.service) === null,
    )
    .reduce(
      (result, { host }) =>
        transition.composeTransition(result, (next) => markStarted(next, host, stamp)),
      transition.makeTransition(current),
    );

/** Returns whether an upstream was unreachable or cold at this router's last look. */
const isWatched = ({ rateLimit: limit, coldSigns }: upstreamState.UpstreamState): boolean =>
  limit.cold !== null || coldSigns.outage !== null;

const tickUpstream = (
  current: routerState.RouterState,
  upstream: upstreamState.UpstreamState,
  stamp: events.Stamp,
): transition.Transition => {
  const { id, service } = upstream.host;
  const rule = getRule(current, service);
  const untilMs = rule === null ? -Infinity : (upstream.rateLimit.cold?.untilMs ?? Infinity);
  return untilMs <= stamp.nowMs ? endCold(current, id, stamp) : markOutage(current, id, stamp);
};

/** Ends cold times that are over, and goes on with those of upstreams that are still down. */
export const tickCold = (
  current: routerState.RouterState,
  stamp: events.Stamp,
): transition.Transition =>
  current.upstreams
    .valueSeq()
    .filter(isWatched)
    .reduce(
      (result, upstream) =>
        transition.composeTransition(result, (next) => tickUpstream(next, upstream, stamp)),
      transition.makeTransition(current),
    );

/** Applies what a peer knows, unless the upstream itself has said something since; odd figures are ignored. */
export const applyNews = (
  current: routerState.RouterState,
  upstreamId: string,
  { leftMs, ageMs }: coldTime.ColdNews,
  stamp: events.Stamp,
): transition.Transition => {
  const upstream = current.upstreams.get(upstreamId);
  const rule = upstream === undefined ? null : getRule(current, upstream.host.service);
  if (
    upstream === undefined ||
    rule === null ||
    !Number.isFinite(leftMs) ||
    !Number.isFinite(ageMs)
  ) {
    return transition.makeTransition(current);
  }
  const untilMs = stamp.nowMs + Math.min(leftMs, rule.startMs);
  const told = updateSigns(current, upstreamId, {
    toldUntilMs: Math.max(upstream.coldSigns.toldUntilMs, untilMs),
  });
  const knownUntilMs = upstream.rateLimit.cold?.untilMs ?? stamp.nowMs;
  const seenAtMs = stamp.nowMs - Math.max(0, ageMs);
  return untilMs - knownUntilMs > NEWS_STEP_MS && seenAtMs > upstream.coldSigns.reportedAtMs
    ? setCold(told, upstreamId, { leftMs, sign: 'peer', seenAtMs }, stamp)
    : transition.makeTransition(told);
};

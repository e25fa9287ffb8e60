import * as shared from '@jayrock/shared';
import type * as requestState from '../requestState.js';
import type * as routerState from '../routerState.js';
import * as upstreamState from '../upstreamState.js';
import * as longPrompts from './longPrompts.js';
import * as prefixCache from './prefixCache.js';
import * as routedContext from './routedContext.js';
import * as routedState from './routedState.js';
import * as canaryState from './canaryState.js';

/** What a routed request needs of an upstream. */
export interface RoutedQuery {
  readonly request: requestState.RequestState;
  readonly routed: routedState.RoutedState;
  /** Upstreams that must not be chosen. */
  readonly excluded: readonly string[];
  readonly nowMs: number;
  readonly random: number;
}

/** Prompt tokens that weigh as much as one full upstream. */
const TOKENS_PER_LOAD = 16_000;
/** Score of crossing between zones, in units of a full upstream. */
const ZONE_PENALTY = 0.15;
/** Score of reading a thousand shared tokens again, in units of a full upstream. */
const PREFIX_MISS_PENALTY = 0.02;
/** Score of a stream that is expected to take all the time it has. */
const DURATION_PENALTY = 1;
/** Time between events assumed before any stream was seen, in milliseconds. */
const DEFAULT_EVENT_MS = 20;
/** Shared tokens from which all routers prefer one upstream for a subject. */
const MIN_AFFINITY_TOKENS = 1_000;
/** Requests that an upstream without batches may hold beyond its slots. */
const QUEUE_ALLOWANCE = 2;
/** Score of a long prompt where short ones go and the other way round, in units of a full upstream. */
const PROMPT_LENGTH_PENALTY = 0.2;
/** Spread that keeps routers with the same view from choosing alike. */
const JITTER = 0.05;
/** Bounds of a learned slowness, so that one sample cannot decide. */
const MIN_SLOWNESS = 0.3;
const MAX_SLOWNESS = 8;

/** A query with what is the same for all upstreams. */
interface ScoredQuery extends RoutedQuery {
  /** Time a stream of the wanted model takes on an upstream of usual pace, in milliseconds. */
  readonly streamMs: number;
  /** True if reading the prompt holds up what runs beside it. */
  readonly hasLongPrompt: boolean;
  /** Upstreams that take long prompts first. */
  readonly longPromptHosts: ReadonlySet<string>;
  /** Prompt tokens that other requests may share. */
  readonly sharedTokens: number;
  /** Upstream that all routers prefer for the subject, or null. */
  readonly affinityUpstream: string | null;
}

/** Estimates how long the events of an answer take on an upstream of usual pace. */
export const estimateStreamMs = (
  current: routerState.RouterState,
  service: string,
  model: string | null,
  call: routedState.RoutedCall,
): number => {
  const perEvent = current.routed.routeIndex?.services.get(service)?.engine?.tokensPerEvent;
  if (perEvent === undefined || call.tokensIn === 0) {
    return 0;
  }
  const eventMs = routedContext.getTypicalMs(current.routed, 'eventTimes', service, model);
  return (routedState.estimateTokensOut(call) / perEvent) * (eventMs ?? DEFAULT_EVENT_MS);
};

const isEngine = (current: routerState.RouterState, service: string): boolean =>
  (current.routed.routeIndex?.services.get(service)?.engine ?? null) !== null;

/** Names what keeps its version through a roll-out: the session, or else the request. */
export const getSessionKey = (
  request: requestState.RequestState,
  relay: routedState.RoutedState,
): string => relay.call.session ?? prefixCache.getSharedPartId(relay.call) ?? request.id;

/** Tells whether a roll-out lets a request run on an upstream's version. */
export const isVersionAllowed = (
  trial: canaryState.Canary | undefined,
  version: string | undefined,
  request: requestState.RequestState,
  relay: routedState.RoutedState,
  nowMs: number,
): boolean => {
  if (trial === undefined) {
    return true;
  }
  const isNew = version === trial.order.to;
  // The rest of a stream stays with the version that began it while both are in use.
  if (relay.version !== null && trial.stage === 'running' && !trial.isBad) {
    return isNew === (relay.version === trial.order.to);
  }
  const share = canaryState.getTrafficShare(trial, nowMs);
  const hash = shared.hash.hashToFraction(
    `${trial.order.service}|${getSessionKey(request, relay)}`,
  );
  return isNew ? hash < share : hash >= share;
};

const hasCapacity = (
  current: routerState.RouterState,
  upstream: upstreamState.UpstreamState,
  query: RoutedQuery,
): boolean => {
  const { request, routed: relay, nowMs } = query;
  const trial = current.routed.canaries.get(upstream.host.service);
  const slots = upstream.host.slots ?? upstream.slots;
  const room = isEngine(current, upstream.host.service) ? 0 : QUEUE_ALLOWANCE;
  return (
    upstream.host.state === 'live' &&
    !query.excluded.includes(upstream.host.id) &&
    isVersionAllowed(trial, upstream.host.version, request, relay, nowMs) &&
    (upstream.inFlight === 0 || upstreamState.estimateLoad(upstream, nowMs) + 1 <= slots + room)
  );
};

const HEALTH_LIMITS: Readonly<Record<upstreamState.UpstreamHealth, number>> = {
  ok: Infinity,
  ejected: 0,
  probation: 1,
};

const isHealthy = (upstream: upstreamState.UpstreamState): boolean =>
  upstream.isReachable && upstream.inFlight < HEALTH_LIMITS[upstream.health];

/** Tells whether an upstream may take a routed request now. */
export const canAccept = (
  current: routerState.RouterState,
  upstream: upstreamState.UpstreamState,
  query: RoutedQuery,
): boolean => isHealthy(upstream) && hasCapacity(current, upstream, query);

/** Time for which a machine's reported slowness holds, in milliseconds. */
const SLOWNESS_FRESH_MS = 800;

const getSlowness = (upstream: upstreamState.UpstreamState, nowMs: number): number => {
  const learned = upstream.slowness.count === 0 ? 1 : upstream.slowness.value;
  const isFresh = nowMs - upstream.reportedAtMs < SLOWNESS_FRESH_MS;
  const told = isFresh ? Math.sqrt(upstream.machineSlowness) : 1;
  return Math.min(MAX_SLOWNESS, Math.max(MIN_SLOWNESS, learned * told));
};

/** Finds the upstream that all routers prefer for a subject, if it has one. */
const findAffinityUpstream = (
  upstreams: readonly upstreamState.UpstreamState[],
  call: routedState.RoutedCall,
  sharedTokens: number,
): string | null => {
  const subject = prefixCache.getSharedPartId(call);
  if (subject === null || sharedTokens < MIN_AFFINITY_TOKENS) {
    return null;
  }
  const ids = upstreams.map((one) => one.host.id);
  return shared.rendezvous.pickRendezvous(subject, ids, 1)[0] ?? null;
};

const computeScore = (
  current: routerState.RouterState,
  upstream: upstreamState.UpstreamState,
  query: ScoredQuery,
): number => {
  const { routed: relay, nowMs, sharedTokens } = query;
  const slots = Math.max(1, upstream.host.slots ?? upstream.slots);
  const load = (upstreamState.estimateLoad(upstream, nowMs) + 1) / slots;
  const missing = prefixCache.estimateUncachedTokens(
    current.routed.cachedParts,
    upstream.host.id,
    relay.model,
    relay.call,
    nowMs,
  );
  // The home upstream has read the subject for other routers.
  const unread =
    upstream.host.id === query.affinityUpstream
      ? Math.min(missing, relay.call.tokensIn - sharedTokens)
      : missing;
  const reading = (upstream.prefillTokens + unread) / TOKENS_PER_LOAD;
  const reread =
    (Math.max(0, unread - (relay.call.tokensIn - sharedTokens)) / 1_000) * PREFIX_MISS_PENALTY;
  const zone = upstream.host.zone === current.self.zone ? 0 : ZONE_PENALTY;
  const spread = shared.hash.hashToFraction(`${query.random}|${upstream.host.id}`) * JITTER;
  const pace = upstream.eventSlowness.count === 0 ? 1 : upstream.eventSlowness.value;
  const leftMs = Math.max(1, query.request.deadlineAtMs - nowMs);
  const duration = (query.streamMs * pace * DURATION_PENALTY) / leftMs;
  const length =
    query.longPromptHosts.has(upstream.host.id) === query.hasLongPrompt ? 0 : PROMPT_LENGTH_PENALTY;
  return (
    (load + reading) * getSlowness(upstream, nowMs) + duration + reread + zone + length + spread
  );
};

const pickBest = (
  current: routerState.RouterState,
  pool: readonly upstreamState.UpstreamState[],
  query: ScoredQuery,
): string | null => {
  let best: { readonly id: string; readonly score: number } | null = null;
  for (const upstream of pool) {
    const score = computeScore(current, upstream, query);
    if (best === null || score < best.score) {
      best = { id: upstream.host.id, score };
    }
  }
  return best?.id ?? null;
};

/** Lists the live upstreams of a service. */
export const listUpstreams = (
  current: routerState.RouterState,
  service: string,
): readonly upstreamState.UpstreamState[] => {
  const found = current.candidates.get(service);
  return found === undefined
    ? []
    : [...found.local, ...found.remote]
        .map((id) => current.upstreams.get(id))
        .filter((one) => one !== undefined);
};

/** Picks an upstream for a routed request; ejected ones only when no other is left. */
export const pickUpstream = (
  current: routerState.RouterState,
  query: RoutedQuery,
): string | null => {
  const upstreams = listUpstreams(current, query.request.service);
  const usable = upstreams.filter((one) => hasCapacity(current, one, query));
  const healthy = usable.filter(isHealthy);
  const isLastResort =
    healthy.length === 0 && upstreams.every((one) => one.health !== 'ok' || !one.isReachable);
  const { service } = query.request;
  const { model, call } = query.routed;
  const unitMs = routedContext.getTypicalMs(current.routed, 'headTimes', service, model);
  const sharedTokens = prefixCache.countSharedTokens(call);
  const scored: ScoredQuery = {
    ...query,
    streamMs: estimateStreamMs(current, service, model, call),
    hasLongPrompt: longPrompts.isLongPrompt(call.tokensIn, unitMs),
    longPromptHosts: current.candidates.get(service)?.longHosts ?? longPrompts.NO_LONG_PROMPT_HOSTS,
    sharedTokens,
    affinityUpstream: findAffinityUpstream(upstreams, call, sharedTokens),
  };
  return pickBest(current, isLastResort ? usable : healthy, scored);
};

import * as shared from '@jayrock/shared';
import * as boundedAffinity from '../balancing/boundedAffinity.js';
import * as expectedTime from '../balancing/expectedTime.js';
import * as evacuatedZones from '../evacuations/evacuatedZones.js';
import type * as requestState from '../requestState.js';
import * as brittleUpstreams from '../notices/brittleUpstreams.js';
import * as upstreamRest from '../notices/upstreamRest.js';
import * as answerTime from '../admission/answerTime.js';
import * as reserve from '../admission/reserve.js';
import * as rateLimit from '../rateLimits/rateLimit.js';
import * as routerState from '../routerState.js';
import * as upstreamState from '../upstreamState.js';
import * as longPrompts from './longPrompts.js';
import * as prefixCache from './prefixCache.js';
import * as routedContext from './routedContext.js';
import * as routedState from './routedState.js';
import * as versionRoles from './versionRoles.js';
import * as versionShare from './versionShare.js';

/** Query for an upstream of a routed request. */
export interface RoutedQuery {
  readonly request: requestState.RequestState;
  readonly routed: routedState.RoutedState;
  /** Ids of the upstreams that must not be picked. */
  readonly excluded: readonly string[];
  /** True to pick as if no upstream named a limit. */
  readonly ignoresRateLimits: boolean;
  readonly nowMs: number;
  /** Uniform in [0, 1). */
  readonly random: number;
}

/** Prompt tokens that add as much to the score as one full upstream. */
const TOKENS_PER_LOAD = 16_000;
/** Penalty of an upstream in another zone, in units of a full upstream. */
const ZONE_PENALTY = 0.15;
/** Penalty per thousand shared tokens that are not in the prefix cache, in units of a full upstream. */
const PREFIX_MISS_PENALTY = 0.02;
/** Penalty of a stream whose expected duration equals its remaining time, in units of a full upstream. */
const DURATION_PENALTY = 1;
/** Shared tokens from which all routers prefer the same upstream for a prompt prefix. */
const MIN_AFFINITY_TOKENS = 1_000;
/** Requests that an upstream without batching may queue beyond its slots. */
const QUEUE_ALLOWANCE = 2;
/** Penalty of a long prompt on an upstream for short ones, or the reverse, in units of a full upstream. */
const PROMPT_LENGTH_PENALTY = 0.2;
/**
 * Penalty of an upstream to which this router has to open a connection, in units of a full upstream: about that of one more
 * request there.
 */
const CONNECT_PENALTY = 0.03;
/** Time for which the connection of the last answer is kept for sure, in milliseconds. */
const KEPT_MS = 2_000;
/** Range of a score's random part; without it, routers with equal information would all pick the same upstream. */
const JITTER = 0.05;
/** Bounds of an upstream's slowness, so that a single sample cannot dominate the score. */
const MIN_SLOWNESS = 0.3;
const MAX_SLOWNESS = 8;

/** Query with the derived values that are the same for all upstreams. */
interface ScoredQuery extends RoutedQuery {
  /** Duration of a stream of the requested model on an upstream of typical speed, in milliseconds. */
  readonly streamMs: number;
  /** True if the prefill of the prompt delays other requests on the upstream. */
  readonly hasLongPrompt: boolean;
  /** Ids of the upstreams that are preferred for long prompts. */
  readonly longPromptHosts: ReadonlySet<string>;
  /** Prompt tokens that other requests may share. */
  readonly sharedTokens: number;
  /** Id of the upstream that all routers prefer for the prompt's prefix, or null. */
  readonly affinityUpstream: string | null;
  /** What is known of the work of a plain service; null for engines. */
  readonly plainWork: expectedTime.PlainWork | null;
}

const isEngine = (current: routerState.RouterState, service: string): boolean =>
  (current.routed.routeIndex?.services.get(service)?.engine ?? null) !== null;

/** Returns whether a request may run on a version of its service. */
type VersionFilter = (version: string | undefined) => boolean;

/** Makes the filter of a query, which decides once for each version; without a roll-out all versions are allowed. */
const makeVersionFilter = (
  current: routerState.RouterState,
  { request, routed, nowMs }: RoutedQuery,
): VersionFilter => {
  const canary = current.routed.canaries.get(request.service);
  if (canary === undefined) {
    return () => true;
  }
  const hasUpstream: versionShare.UpstreamFinder = (version) =>
    routerState
      .listCandidates(current, request.service)
      .some(({ host }) =>
        version === null
          ? versionRoles.getRole(canary, host.version) === 'serving'
          : host.version === version,
      );
  const decided = new Map<string | undefined, boolean>();
  return (version) => {
    const isAllowed =
      decided.get(version) ??
      versionShare.isVersionAllowed(canary, version, request, routed, nowMs, hasUpstream);
    decided.set(version, isAllowed);
    return isAllowed;
  };
};

/** Returns what is known of the work of a service that gives its answers as a whole; null for engines. */
const findPlainWork = (
  current: routerState.RouterState,
  { request, routed, nowMs }: RoutedQuery,
): expectedTime.PlainWork | null =>
  isEngine(current, request.service)
    ? null
    : {
        workMs: routedContext.getTypicalMs(
          current.routed,
          'headTimes',
          request.service,
          routed.model,
        ),
        nowMs,
      };

const estimateLoad = (
  upstream: upstreamState.UpstreamState,
  plainWork: expectedTime.PlainWork | null,
  nowMs: number,
): number =>
  plainWork === null
    ? upstreamState.estimateLoad(upstream, nowMs)
    : expectedTime.estimatePlainLoad(upstream, plainWork);

/**
 * Returns whether an upstream may receive requests, is not excluded, of an allowed version, within its rate limit and has a free slot. An upstream on which
 * this router runs nothing always counts as having one.
 */
const hasCapacity = (
  current: routerState.RouterState,
  upstream: upstreamState.UpstreamState,
  query: RoutedQuery,
  isVersionAllowed: VersionFilter,
  mayTakeSlot: reserve.SlotFilter,
  plainWork: expectedTime.PlainWork | null,
): boolean => {
  const { nowMs } = query;
  const slots = upstream.host.slots ?? upstream.slots;
  const mayQueue = upstream.maxTurnAways === null && plainWork !== null;
  const queueSlots = mayQueue ? QUEUE_ALLOWANCE : 0;
  return (
    evacuatedZones.mayReceive(current, upstream) &&
    upstreamRest.mayReceive(upstream.rest, upstream.inFlight, nowMs) &&
    !query.excluded.includes(upstream.host.id) &&
    isVersionAllowed(upstream.host.version) &&
    (query.ignoresRateLimits || rateLimit.hasPermit(upstream.rateLimit, nowMs)) &&
    (mayQueue || mayTakeSlot(upstream)) &&
    upstream.inFlight < brittleUpstreams.getMaxInFlight(current, upstream) &&
    (upstream.inFlight === 0 || estimateLoad(upstream, plainWork, nowMs) + 1 <= slots + queueSlots)
  );
};

/** Largest number of this router's attempts on an upstream, by health, exclusive. */
const HEALTH_LIMITS: Readonly<Record<upstreamState.UpstreamHealth, number>> = {
  ok: Infinity,
  ejected: 0,
  probation: 1,
};

const isHealthy = (upstream: upstreamState.UpstreamState): boolean =>
  upstream.isReachable && upstream.inFlight < HEALTH_LIMITS[upstream.health];

/** Returns whether an upstream is healthy and has capacity for a routed request. */
export const canAccept = (
  current: routerState.RouterState,
  upstream: upstreamState.UpstreamState,
  query: RoutedQuery,
): boolean =>
  isHealthy(upstream) &&
  hasCapacity(
    current,
    upstream,
    query,
    makeVersionFilter(current, query),
    reserve.makeSlotFilter(current, query.request, query.nowMs),
    findPlainWork(current, query),
  );

/** Age below which the slowness that a machine reports is used, in milliseconds. */
const SLOWNESS_FRESH_MS = 800;

/** Returns the learned slowness of an upstream, scaled by its machine's recent report; 1 is typical. */
const getSlowness = (upstream: upstreamState.UpstreamState, nowMs: number): number => {
  const learned = upstream.slowness.count === 0 ? 1 : upstream.slowness.value;
  const isFresh = nowMs - upstream.reportedAtMs < SLOWNESS_FRESH_MS;
  const reported = isFresh ? Math.sqrt(upstream.machineSlowness) : 1;
  return Math.min(MAX_SLOWNESS, Math.max(MIN_SLOWNESS, learned * reported));
};

/**
 * Finds the upstream that all routers prefer for the prompt's prefix among those that can take the request, or null if the
 * prefix is short or all of them are crowded.
 */
const findAffinityUpstream = (
  upstreams: readonly upstreamState.UpstreamState[],
  call: routedState.RoutedCall,
  sharedTokens: number,
  nowMs: number,
): string | null => {
  const sharedPartId = prefixCache.getSharedPartId(call);
  if (sharedPartId === null || sharedTokens < MIN_AFFINITY_TOKENS) {
    return null;
  }
  const unlimited = upstreams.filter((upstream) => !rateLimit.isLimited(upstream.rateLimit));
  const hosts = (unlimited.length > 0 ? unlimited : upstreams).map((upstream) => ({
    id: upstream.host.id,
    load: upstreamState.estimateLoad(upstream, nowMs),
    slots: upstream.host.slots ?? upstream.slots,
  }));
  return boundedAffinity.pickHost(sharedPartId, hosts);
};

/** Returns whether this router has an open connection to an upstream on which nothing runs. */
const hasIdleConnection = (upstream: upstreamState.UpstreamState, nowMs: number): boolean =>
  upstream.inFlight === 0 && nowMs - upstream.idleSinceMs < KEPT_MS;

/** Returns whether this router holds a permit of an upstream, which expires unless the next request takes it. */
const hasOwnPermit = (upstream: upstreamState.UpstreamState, query: ScoredQuery): boolean =>
  rateLimit.isLimited(upstream.rateLimit) && !query.ignoresRateLimits;

/** Draws the random part of an upstream's cost, in [0, 1). */
const drawTie = (upstream: upstreamState.UpstreamState, query: ScoredQuery): number =>
  hasOwnPermit(upstream, query)
    ? 0
    : shared.hash.hashToFraction(`${query.random}|${upstream.host.id}`);

/** Computes the cost of placing a request on an upstream of an engine's service, in units of a full upstream. */
const computeEngineScore = (
  current: routerState.RouterState,
  upstream: upstreamState.UpstreamState,
  query: ScoredQuery,
): number => {
  const { routed, nowMs, sharedTokens } = query;
  const slots = Math.max(1, upstream.host.slots ?? upstream.slots);
  const load = (upstreamState.estimateLoad(upstream, nowMs) + 1) / slots;
  const uncachedTokens = prefixCache.estimateUncachedTokens(
    current.routed.cachedParts,
    upstream.host.id,
    routed.model,
    routed.call,
    nowMs,
  );
  // The affinity upstream has the shared prefix in its cache from requests of other routers.
  const prefillTokens =
    upstream.host.id === query.affinityUpstream
      ? Math.min(uncachedTokens, routed.call.tokensIn - sharedTokens)
      : uncachedTokens;
  const prefillLoad = (upstream.prefillTokens + prefillTokens) / TOKENS_PER_LOAD;
  const prefixMissPenalty =
    (Math.max(0, prefillTokens - (routed.call.tokensIn - sharedTokens)) / 1_000) *
    PREFIX_MISS_PENALTY;
  const zonePenalty = upstream.host.zone === current.self.zone ? 0 : ZONE_PENALTY;
  const connectPenalty =
    hasIdleConnection(upstream, nowMs) || hasOwnPermit(upstream, query) ? 0 : CONNECT_PENALTY;
  const jitter = drawTie(upstream, query) * JITTER;
  const eventSlowness = upstream.eventSlowness.count === 0 ? 1 : upstream.eventSlowness.value;
  const remainingMs = Math.max(1, query.request.deadlineAtMs - nowMs);
  const durationPenalty = (query.streamMs * eventSlowness * DURATION_PENALTY) / remainingMs;
  const lengthPenalty =
    query.longPromptHosts.has(upstream.host.id) === query.hasLongPrompt ? 0 : PROMPT_LENGTH_PENALTY;
  return (
    (load + prefillLoad) * getSlowness(upstream, nowMs) +
    durationPenalty +
    prefixMissPenalty +
    zonePenalty +
    connectPenalty +
    lengthPenalty +
    jitter
  );
};

/** Computes the cost of placing a request on an upstream; lower is better, and only upstreams of one service compare. */
const computeScore = (
  current: routerState.RouterState,
  upstream: upstreamState.UpstreamState,
  query: ScoredQuery,
): number =>
  query.plainWork === null
    ? computeEngineScore(current, upstream, query)
    : expectedTime.estimateTimeMs(
        {
          upstream,
          slots: Math.max(1, upstream.host.slots ?? upstream.slots),
          slowness: getSlowness(upstream, query.nowMs),
          isOtherZone: upstream.host.zone !== current.self.zone,
          random: drawTie(upstream, query),
        },
        query.plainWork,
      );

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

/** Returns whether an upstream is worth waiting for: it is reachable, not ejected, and can answer this request. */
const isUsable = (
  upstream: upstreamState.UpstreamState,
  { excessiveUpstreams }: routedState.RoutedState,
): boolean =>
  upstream.health === 'ok' &&
  upstream.isReachable &&
  !excessiveUpstreams.includes(upstream.host.id);

/**
 * Picks the upstream with the lowest score for a routed request, or null if none has capacity. Ejected and
 * unreachable upstreams are picked only if no usable one exists.
 */
export const pickUpstream = (
  current: routerState.RouterState,
  query: RoutedQuery,
): string | null => {
  const upstreams = routerState.listCandidates(current, query.request.service);
  const isVersionAllowed = makeVersionFilter(current, query);
  const mayTakeSlot = reserve.makeSlotFilter(current, query.request, query.nowMs);
  const plainWork = findPlainWork(current, query);
  const withCapacity = upstreams.filter((upstream) =>
    hasCapacity(current, upstream, query, isVersionAllowed, mayTakeSlot, plainWork),
  );
  const healthy = withCapacity.filter(isHealthy);
  const isLastResort =
    healthy.length === 0 && !upstreams.some((upstream) => isUsable(upstream, query.routed));
  const { service } = query.request;
  const { model, call } = query.routed;
  const unitMs = routedContext.getTypicalMs(current.routed, 'headTimes', service, model);
  const sharedTokens = prefixCache.countSharedTokens(call);
  const scored: ScoredQuery = {
    ...query,
    streamMs: answerTime.estimateStreamMs(current, service, model, call),
    hasLongPrompt: longPrompts.isLongPrompt(call.tokensIn, unitMs),
    longPromptHosts:
      current.candidates.get(service)?.longPromptHosts ?? longPrompts.NO_LONG_PROMPT_HOSTS,
    sharedTokens,
    affinityUpstream: findAffinityUpstream(healthy, call, sharedTokens, query.nowMs),
    plainWork,
  };
  return pickBest(current, isLastResort ? withCapacity : healthy, scored);
};

import * as shared from '@jayrock/shared';
import * as budget from './budget.js';
import * as evacuatedZones from './evacuations/evacuatedZones.js';
import type * as events from './events.js';
import type * as serviceState from './serviceState.js';
import type * as policy from './policy.js';
import * as random from './random.js';
import * as upstreamRest from './notices/upstreamRest.js';
import * as rateLimit from './rateLimits/rateLimit.js';
import * as routedPlacement from './routed/routedPlacement.js';
import type * as requestState from './requestState.js';
import type * as routerState from './routerState.js';
import * as upstreamState from './upstreamState.js';
import type * as versionId from './versionId.js';

/** Share of an upstream's concurrency limit that long requests may occupy; the rest stays free for short ones. */
const LONG_SHARE = 0.7;
/** Upstreams scanned in sequence when neither of the two random choices accepts. */
const MAX_SCAN = 16;
/** Maximum score of the upstream with a cached prefix, as a multiple of the best random choice's. */
const AFFINITY_LOAD_RATIO = 1.3;
/** Score allowed on top of that multiple, so that idle upstreams keep prefix affinity. */
const AFFINITY_LOAD_SLACK = 0.25;
/** Shortest prompt for which prefix affinity applies, in tokens; shorter ones gain too little. */
const MIN_AFFINITY_TOKENS = 64;

/** Input of a placement: the version to run, the request's traits and the upstreams to avoid. */
export interface PlacementQuery {
  readonly versionId: versionId.VersionId;
  readonly shape: requestState.RequestShape;
  readonly isLong: boolean;
  readonly isSuspect: boolean;
  /** True for a retry, which must fit the upstream's retry budget. */
  readonly isRetry: boolean;
  /** Ids of upstreams that must not be chosen. */
  readonly excluded: readonly string[];
  /** True to pick as if no upstream named a limit. */
  readonly ignoresRateLimits: boolean;
  /** The request if it is a routed one, else null. */
  readonly routedRequest: requestState.RequestState | null;
  readonly nowMs: number;
  readonly random: number;
}

/** Makes the query for an upstream of a request. */
export const makeQuery = (
  request: requestState.RequestState,
  excluded: readonly string[],
  stamp: events.Stamp,
  ignoresRateLimits = false,
): PlacementQuery => ({
  versionId: request.versionId,
  shape: request.shape,
  isLong: request.isLong,
  isSuspect: request.isSuspect,
  isRetry: request.retryCount > 0,
  excluded,
  ignoresRateLimits,
  routedRequest: request.routed === null ? null : request,
  nowMs: stamp.nowMs,
  random: stamp.random,
});

type PlacementHandler = (
  current: routerState.RouterState,
  query: PlacementQuery,
  service: serviceState.ServiceState,
) => string | null;

/**
 * Returns whether the concurrency limit allows one more attempt. An upstream without attempts of
 * this router always accepts one, so that the load of other routers cannot starve its requests.
 */
const hasFreeSlot = (upstream: upstreamState.UpstreamState, query: PlacementQuery): boolean =>
  upstream.inFlight === 0 ||
  upstreamState.estimateLoad(upstream, query.nowMs) + 1 <= upstream.limit;

/** Returns whether the part of the limit for long requests has room; short requests always fit. */
const hasLongRoom = (upstream: upstreamState.UpstreamState, query: PlacementQuery): boolean =>
  !query.isLong || upstream.longInFlight < Math.max(1, Math.floor(upstream.limit * LONG_SHARE));

/** Maximum number of attempts in flight, by health of the upstream. */
const HEALTH_LIMITS: Readonly<Record<upstreamState.UpstreamHealth, number>> = {
  ok: Infinity,
  ejected: 0,
  probation: 1,
};

const canTakeCall = (
  current: routerState.RouterState,
  upstream: upstreamState.UpstreamState,
  query: PlacementQuery,
): boolean =>
  evacuatedZones.mayReceive(current, upstream) &&
  upstreamRest.mayReceive(upstream.rest, upstream.inFlight, query.nowMs) &&
  !query.excluded.includes(upstream.host.id) &&
  (query.ignoresRateLimits || rateLimit.hasPermit(upstream.rateLimit, query.nowMs)) &&
  upstream.inFlight < HEALTH_LIMITS[upstream.health] &&
  (!query.isSuspect || upstream.suspectInFlight === 0) &&
  (!query.isRetry ||
    current.policy.retries === 'unlimited' ||
    budget.hasBudget(upstream.retryBudget)) &&
  (current.policy.queue === 'firstCome' || hasLongRoom(upstream, query)) &&
  hasFreeSlot(upstream, query);

const makeRoutedQuery = (query: PlacementQuery): routedPlacement.RoutedQuery | null => {
  const routed = query.routedRequest?.routed ?? null;
  return query.routedRequest === null || routed === null
    ? null
    : { ...query, request: query.routedRequest, routed };
};

/** Returns whether an upstream can accept a request now. */
export const canAccept = (
  current: routerState.RouterState,
  upstream: upstreamState.UpstreamState,
  query: PlacementQuery,
): boolean => {
  const routedQuery = makeRoutedQuery(query);
  return routedQuery === null
    ? canTakeCall(current, upstream, query)
    : routedPlacement.canAccept(current, upstream, routedQuery);
};

const findAccepting = (
  current: routerState.RouterState,
  id: string | undefined,
  query: PlacementQuery,
): upstreamState.UpstreamState | null => {
  const upstream = id === undefined ? undefined : current.upstreams.get(id);
  return upstream !== undefined && canAccept(current, upstream, query) ? upstream : null;
};

const pickBetter = (
  a: upstreamState.UpstreamState | null,
  b: upstreamState.UpstreamState | null,
  nowMs: number,
): upstreamState.UpstreamState | null => {
  if (a === null || b === null) {
    return a ?? b;
  }
  return upstreamState.estimateScore(a, nowMs) <= upstreamState.estimateScore(b, nowMs) ? a : b;
};

/** Power of two choices: picks the better of two random upstreams that can accept. */
const pickOfTwo = (
  current: routerState.RouterState,
  pool: readonly string[],
  query: PlacementQuery,
): upstreamState.UpstreamState | null => {
  const first = random.pickIndex(random.deriveFraction(query.random, 1), pool.length);
  const offset = random.pickIndex(random.deriveFraction(query.random, 2), pool.length - 1);
  const second = pool.length < 2 ? first : (first + 1 + offset) % pool.length;
  return pickBetter(
    findAccepting(current, pool[first], query),
    findAccepting(current, pool[second], query),
    query.nowMs,
  );
};

const scanPool = (
  current: routerState.RouterState,
  pool: readonly string[],
  query: PlacementQuery,
): upstreamState.UpstreamState | null => {
  const start = random.pickIndex(random.deriveFraction(query.random, 3), pool.length);
  const count = Math.min(MAX_SCAN, pool.length);
  for (let index = 0; index < count; index += 1) {
    const upstream = findAccepting(current, pool[(start + index) % pool.length], query);
    if (upstream !== null) {
      return upstream;
    }
  }
  return null;
};

/**
 * Prefers the upstream that may have the prompt's prefix cached, unless its score is much worse than
 * that of the best random choice.
 */
const pickWithAffinity = (
  current: routerState.RouterState,
  pool: readonly string[],
  query: PlacementQuery,
  best: upstreamState.UpstreamState,
): upstreamState.UpstreamState => {
  if (query.shape.kind !== 'chat' || query.shape.tokensIn < MIN_AFFINITY_TOKENS) {
    return best;
  }
  const preferred = findAccepting(current, pool[query.shape.prefix % pool.length], query);
  if (preferred === null) {
    return best;
  }
  const maxScore =
    upstreamState.estimateScore(best, query.nowMs) * AFFINITY_LOAD_RATIO + AFFINITY_LOAD_SLACK;
  return upstreamState.estimateScore(preferred, query.nowMs) <= maxScore ? preferred : best;
};

const pickFromPool = (
  current: routerState.RouterState,
  pool: readonly string[],
  query: PlacementQuery,
): string | null => {
  if (pool.length === 0) {
    return null;
  }
  const best = pickOfTwo(current, pool, query) ?? scanPool(current, pool, query);
  return best === null ? null : pickWithAffinity(current, pool, query, best).host.id;
};

const EMPTY_CANDIDATES: routerState.Candidates = {
  local: [],
  remote: [],
  longPromptHosts: new Set(),
};

const getCandidates = (
  current: routerState.RouterState,
  query: PlacementQuery,
): routerState.Candidates => current.candidates.get(query.versionId) ?? EMPTY_CANDIDATES;

/** Picks an upstream in this router's zone, or in another zone if none accepts. */
const pickBalanced: PlacementHandler = (current, query) => {
  const candidates = getCandidates(current, query);
  return (
    pickFromPool(current, candidates.local, query) ??
    pickFromPool(current, candidates.remote, query)
  );
};

const pickRoundRobin: PlacementHandler = (current, query, service) => {
  const candidates = getCandidates(current, query);
  const pool = [...candidates.local, ...candidates.remote].filter((id) => {
    const upstream = current.upstreams.get(id);
    return (
      !query.excluded.includes(id) &&
      upstream !== undefined &&
      evacuatedZones.mayReceive(current, upstream) &&
      upstreamRest.mayReceive(upstream.rest, upstream.inFlight, query.nowMs) &&
      (query.ignoresRateLimits || rateLimit.hasPermit(upstream.rateLimit, query.nowMs))
    );
  });
  return pool[service.roundRobin % Math.max(1, pool.length)] ?? null;
};

const PLACEMENT_HANDLERS: Readonly<Record<policy.Policy['upstream'], PlacementHandler>> = {
  balanced: pickBalanced,
  roundRobin: pickRoundRobin,
};

/**
 * Picks an upstream for a suspect. The search starts at a position derived from the fingerprint, so
 * that two suspects rarely share an upstream.
 */
const pickForSuspect: PlacementHandler = (current, query) => {
  const candidates = getCandidates(current, query);
  const pool = [...candidates.local, ...candidates.remote].toSorted();
  const start = shared.hash.hashText(query.shape.fingerprint) % Math.max(1, pool.length);
  const ordered = [...pool.slice(start), ...pool.slice(0, start)];
  return ordered.find((id) => findAccepting(current, id, query) !== null) ?? null;
};

/** Picks an upstream for a request and returns its id, or null if none can accept it now. */
export const pickUpstream = (
  current: routerState.RouterState,
  query: PlacementQuery,
  service: serviceState.ServiceState,
): string | null => {
  const routedQuery = makeRoutedQuery(query);
  if (routedQuery !== null) {
    return routedPlacement.pickUpstream(current, routedQuery);
  }
  return query.isSuspect
    ? pickForSuspect(current, query, service)
    : PLACEMENT_HANDLERS[current.policy.upstream](current, query, service);
};

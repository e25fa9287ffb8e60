import * as shared from '@jayrock/shared';
import * as budget from './budget.js';
import type * as serviceState from './serviceState.js';
import type * as policy from './policy.js';
import * as random from './random.js';
import * as routedPlacement from './routed/routedPlacement.js';
import type * as requestState from './requestState.js';
import type * as routerState from './routerState.js';
import * as upstreamState from './upstreamState.js';
import type * as versionId from './versionId.js';

/** Share of an upstream's limit that long work may hold. */
const LONG_SHARE = 0.7;
/** Further upstreams looked at when neither of two random ones accepts. */
const MAX_SCAN = 16;
/** How much more loaded than the best random choice the one with a cached prefix may be. */
const AFFINITY_LOAD_RATIO = 1.3;
/** Load allowed on top of the ratio, so that idle upstreams keep affinity. */
const AFFINITY_LOAD_SLACK = 0.25;
/** Prompt length from which a cached prefix is worth having, in tokens. */
const MIN_AFFINITY_TOKENS = 64;

/** What an upstream is wanted for. */
export interface PlacementQuery {
  readonly versionId: versionId.VersionId;
  readonly shape: requestState.RequestShape;
  readonly isLong: boolean;
  readonly isSuspect: boolean;
  /** True for a retry, which must fit the upstream's retry budget. */
  readonly isRetry: boolean;
  /** Upstreams that must not be chosen. */
  readonly excluded: readonly string[];
  /** The request, if it is a routed one. */
  readonly routedRequest: requestState.RequestState | null;
  readonly nowMs: number;
  readonly random: number;
}

type PlacementHandler = (
  current: routerState.RouterState,
  query: PlacementQuery,
  lane: serviceState.ServiceState,
) => string | null;

/** An upstream without own work always accepts, so that foreign load cannot starve a router. */
const hasFreeSlot = (upstream: upstreamState.UpstreamState, query: PlacementQuery): boolean =>
  upstream.inFlight === 0 ||
  upstreamState.estimateLoad(upstream, query.nowMs) + 1 <= upstream.limit;

/** Some concurrency is kept from long work, so that short work finds a slot. */
const hasLongRoom = (upstream: upstreamState.UpstreamState, query: PlacementQuery): boolean =>
  !query.isLong || upstream.longInFlight < Math.max(1, Math.floor(upstream.limit * LONG_SHARE));

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
  upstream.host.state === 'live' &&
  !query.excluded.includes(upstream.host.id) &&
  upstream.inFlight < HEALTH_LIMITS[upstream.health] &&
  (!query.isSuspect || upstream.suspectInFlight === 0) &&
  (!query.isRetry ||
    current.policy.retries === 'unlimited' ||
    budget.hasBudget(upstream.retryBudget)) &&
  (current.policy.queue === 'firstCome' || hasLongRoom(upstream, query)) &&
  hasFreeSlot(upstream, query);

const makeRoutedQuery = (query: PlacementQuery): routedPlacement.RoutedQuery | null => {
  const relay = query.routedRequest?.routed ?? null;
  return query.routedRequest === null || relay === null
    ? null
    : { ...query, request: query.routedRequest, routed: relay };
};

/** Tells whether an upstream may take a request now. */
export const canAccept = (
  current: routerState.RouterState,
  upstream: upstreamState.UpstreamState,
  query: PlacementQuery,
): boolean => {
  const routed = makeRoutedQuery(query);
  return routed === null
    ? canTakeCall(current, upstream, query)
    : routedPlacement.canAccept(current, upstream, routed);
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
    const found = findAccepting(current, pool[(start + index) % pool.length], query);
    if (found !== null) {
      return found;
    }
  }
  return null;
};

const pickWithAffinity = (
  current: routerState.RouterState,
  pool: readonly string[],
  query: PlacementQuery,
  best: upstreamState.UpstreamState,
): upstreamState.UpstreamState => {
  if (query.shape.kind !== 'chat' || query.shape.tokensIn < MIN_AFFINITY_TOKENS) {
    return best;
  }
  const affine = findAccepting(current, pool[query.shape.prefix % pool.length], query);
  if (affine === null) {
    return best;
  }
  const bound =
    upstreamState.estimateScore(best, query.nowMs) * AFFINITY_LOAD_RATIO + AFFINITY_LOAD_SLACK;
  return upstreamState.estimateScore(affine, query.nowMs) <= bound ? affine : best;
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

const EMPTY_CANDIDATES: routerState.Candidates = { local: [], remote: [], longHosts: new Set() };

const getCandidates = (
  current: routerState.RouterState,
  query: PlacementQuery,
): routerState.Candidates => current.candidates.get(query.versionId) ?? EMPTY_CANDIDATES;

const pickBalanced: PlacementHandler = (current, query) => {
  const found = getCandidates(current, query);
  return pickFromPool(current, found.local, query) ?? pickFromPool(current, found.remote, query);
};

const pickRoundRobin: PlacementHandler = (current, query, lane) => {
  const candidates = getCandidates(current, query);
  const pool = [...candidates.local, ...candidates.remote].filter(
    (id) => !query.excluded.includes(id) && current.upstreams.get(id)?.host.state === 'live',
  );
  return pool[lane.roundRobin % Math.max(1, pool.length)] ?? null;
};

const PLACEMENT_HANDLERS: Readonly<Record<policy.Policy['upstream'], PlacementHandler>> = {
  balanced: pickBalanced,
  roundRobin: pickRoundRobin,
};

/** A suspect's fingerprint picks its upstream, so that two suspects seldom share one. */
const pickForSuspect: PlacementHandler = (current, query) => {
  const found = getCandidates(current, query);
  const pool = [...found.local, ...found.remote].toSorted();
  const start = shared.hash.hashText(query.shape.fingerprint) % Math.max(1, pool.length);
  const ordered = [...pool.slice(start), ...pool.slice(0, start)];
  return ordered.find((id) => findAccepting(current, id, query) !== null) ?? null;
};

/** Picks an upstream for a request, or null when none can take it now. */
export const pickUpstream = (
  current: routerState.RouterState,
  query: PlacementQuery,
  lane: serviceState.ServiceState,
): string | null => {
  const routed = makeRoutedQuery(query);
  if (routed !== null) {
    return routedPlacement.pickUpstream(current, routed);
  }
  return query.isSuspect
    ? pickForSuspect(current, query, lane)
    : PLACEMENT_HANDLERS[current.policy.upstream](current, query, lane);
};

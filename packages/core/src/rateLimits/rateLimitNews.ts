import * as routerState from '../routerState.js';
import * as coldTime from './coldTime.js';
import * as rateLimit from './rateLimit.js';

/** What a router tells its peers about the limit of an upstream; times are ages, since clocks differ. */
export interface RateLimitNews {
  readonly upstreamId: string;
  /** Start time of the upstream's process, in Unix milliseconds, or null if it is not known. */
  readonly bornAtMs: number | null;
  /** Requests per second, or null for a limit that has ended. */
  readonly requestsPerSecond: number | null;
  /** Time since the latest answer that was taken into account, in milliseconds. */
  readonly ageMs: number;
  /** Time since the first answer that named the limit, in milliseconds. */
  readonly sinceAgeMs: number;
  /** Cold time of the upstream; routers of older versions neither send nor read it. */
  readonly cold?: coldTime.ColdNews;
}

/** Time for which the end of a limit is repeated, in milliseconds. */
const ENDED_TTL_MS = 30_000;

/** Age of the latest answer of an upstream that has not answered yet, in milliseconds: it changes nothing at a peer. */
const NEVER_MS = 1e12;

/** Makes the news of one upstream, or none if it has not answered yet and is not cold. */
export const makeUpstreamNews = (
  current: routerState.RouterState,
  upstreamId: string,
  nowMs: number,
): readonly RateLimitNews[] => {
  const upstream = current.upstreams.get(upstreamId);
  const limit = upstream?.rateLimit;
  if (limit === undefined || (!Number.isFinite(limit.observedAtMs) && limit.cold === null)) {
    return [];
  }
  const ageMs = Math.min(NEVER_MS, Math.max(0, nowMs - limit.observedAtMs));
  return [
    {
      upstreamId,
      bornAtMs: upstream?.host.bornAtMs ?? null,
      requestsPerSecond: limit.requestsPerSecond,
      ageMs,
      sinceAgeMs: rateLimit.isNamed(limit) ? Math.max(0, nowMs - limit.sinceMs) : ageMs,
      ...(limit.cold === null ? {} : { cold: coldTime.makeColdNews(limit.cold, nowMs) }),
    },
  ];
};

/** Returns whether this router knows itself that an upstream is cold; what peers told is not passed on, since its age grows on the way. */
const hasOwnSign = (limit: rateLimit.RateLimit): boolean =>
  limit.cold !== null && limit.cold.sign !== 'peer';

/** Makes the news that repeat the limits in force and those that have ended recently. */
export const makeNews = (
  current: routerState.RouterState,
  nowMs: number,
): readonly RateLimitNews[] =>
  current.upstreams
    .valueSeq()
    .filter(
      ({ rateLimit: limit }) =>
        rateLimit.isNamed(limit) ||
        hasOwnSign(limit) ||
        (limit.endedAtMs !== null && nowMs - limit.endedAtMs < ENDED_TTL_MS),
    )
    .toArray()
    .flatMap(({ host }) => makeUpstreamNews(current, host.id, nowMs));

/** Applies the news of a peer to an upstream, if they are about the same process. */
export const applyNews = (
  current: routerState.RouterState,
  news: RateLimitNews,
  nowMs: number,
): routerState.RouterState =>
  routerState.updateUpstream(current, news.upstreamId, (upstream) =>
    (upstream.host.bornAtMs ?? null) === news.bornAtMs
      ? {
          ...upstream,
          rateLimit: rateLimit.updateRateLimit(
            upstream.rateLimit,
            news.requestsPerSecond,
            nowMs - news.ageMs,
            nowMs - news.sinceAgeMs,
          ),
        }
      : upstream,
  );

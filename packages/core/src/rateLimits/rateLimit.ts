import * as coldTime from './coldTime.js';
import type * as permitQueue from './permitQueue.js';

/** Limit of an upstream, as this router knows it: the lesser of what its answers name and of what it stands while it is cold. */
export interface RateLimit {
  /** Requests per second that the upstream takes from all routers together, or null while it names no limit. */
  readonly requestsPerSecond: number | null;
  /** Cold time of the upstream, or null while it is warm or its service has no rate for that. */
  readonly cold: coldTime.ColdTime | null;
  /** Time of the latest answer that was taken into account, in milliseconds. */
  readonly observedAtMs: number;
  /** Time since which the upstream has named a limit in all its answers, in milliseconds. */
  readonly sinceMs: number;
  /** Times at which this router's unused permits expire, in milliseconds; each allows one send. */
  readonly permits: readonly number[];
  /** Time at which the latest limit ended, in milliseconds, or null if there was none. */
  readonly endedAtMs: number | null;
  /** Requests that went to another upstream for lack of a permit since this router last requested some. */
  readonly missedCount: number;
  /** Time of the request for permits that is not granted yet, in milliseconds. */
  readonly requestedAtMs: number;
  /** Number of permits in that request. */
  readonly requestedCount: number;
  /** Permits that other routers waited for when the allocator last answered this router. */
  readonly backlog: number;
  /** Time of that answer, in milliseconds. */
  readonly backlogAtMs: number;
  /** Permits that this router hands out, or null while another one is the upstream's allocator. */
  readonly queue: permitQueue.PermitQueue | null;
}

/** State of an upstream that has not answered yet. */
export const NO_LIMIT: RateLimit = {
  requestsPerSecond: null,
  cold: null,
  observedAtMs: -Infinity,
  sinceMs: -Infinity,
  endedAtMs: null,
  permits: [],
  missedCount: 0,
  requestedAtMs: -Infinity,
  requestedCount: 0,
  backlog: 0,
  backlogAtMs: -Infinity,
  queue: null,
};

/** Time for which a permit of a warm upstream is valid, in milliseconds. */
const PERMIT_TTL_MS = 1_000;
/** Time after which a request for permits counts as lost, in milliseconds. */
const REQUEST_TIMEOUT_MS = 1_000;
/** Time for which the backlog that an allocator told is used, in milliseconds. */
const BACKLOG_TTL_MS = 2_000;
/** Largest number of permits in one request. */
const MAX_REQUESTED = 64;
/** Lowest rate at which requests are sent: an upstream has to answer to show that its limit has ended. */
const MIN_REQUESTS_PER_SECOND = 0.1;

/** Returns whether an upstream names a limit in its answers. */
export const isNamed = (limit: RateLimit): boolean => limit.requestsPerSecond !== null;

/** Returns whether an upstream has a limit: it names one, or it is cold. */
export const isLimited = (limit: RateLimit): boolean => isNamed(limit) || limit.cold !== null;

/** Returns the rate at which requests may be sent to a limited upstream, per millisecond. */
export const getRatePerMs = (limit: RateLimit): number =>
  Math.max(
    MIN_REQUESTS_PER_SECOND,
    Math.min(limit.requestsPerSecond ?? Infinity, limit.cold?.requestsPerSecond ?? Infinity),
  ) / 1_000;

/** Returns for how long a permit is valid from its grant on, in milliseconds. */
const getPermitMs = (limit: RateLimit): number =>
  limit.cold === null ? PERMIT_TTL_MS : coldTime.computePermitMs(getRatePerMs(limit));

/**
 * Applies what an answer names, unless a later answer is known. `sinceMs` is the time of the first answer of any
 * router that named a limit, if that was not this router's.
 */
export const updateRateLimit = (
  limit: RateLimit,
  requestsPerSecond: number | null,
  observedAtMs: number,
  sinceMs = observedAtMs,
): RateLimit => {
  if (observedAtMs < limit.observedAtMs) {
    return limit;
  }
  if (requestsPerSecond === null) {
    return {
      ...(limit.cold === null ? NO_LIMIT : { ...limit, requestsPerSecond: null }),
      observedAtMs,
      endedAtMs: isNamed(limit) ? observedAtMs : limit.endedAtMs,
    };
  }
  return {
    ...limit,
    requestsPerSecond,
    observedAtMs,
    sinceMs: isNamed(limit) ? Math.min(limit.sinceMs, sinceMs) : sinceMs,
  };
};

/**
 * Sets the cold time of an upstream, or ends it with null. Permits of before are not valid in it: they were granted at
 * another rate.
 */
export const withCold = (limit: RateLimit, cold: coldTime.ColdTime | null): RateLimit => {
  if (cold === null && !isNamed(limit)) {
    const { observedAtMs, endedAtMs } = limit;
    return { ...NO_LIMIT, observedAtMs, endedAtMs };
  }
  return cold !== null && limit.cold === null
    ? { ...limit, cold, permits: [], requestedAtMs: -Infinity }
    : { ...limit, cold };
};

/** Returns whether a request may be sent: the upstream has no limit, or a permit is left. */
export const hasPermit = (limit: RateLimit, nowMs: number): boolean =>
  !isLimited(limit) || limit.permits.some((expiresAtMs) => expiresAtMs > nowMs);

/** Takes the permit that expires first; returns its expiry, or null if there is none. */
export const takePermit = (
  limit: RateLimit,
  nowMs: number,
): { readonly limit: RateLimit; readonly permitEndsAtMs: number | null } => {
  const [first, ...rest] = limit.permits.filter((expiresAtMs) => expiresAtMs > nowMs);
  return first === undefined
    ? { limit, permitEndsAtMs: null }
    : { limit: { ...limit, permits: rest }, permitEndsAtMs: first };
};

/**
 * Adds granted permits. An answer without any only tells the backlog; the request for permits stays open. Those of a cold
 * upstream count from `grantedAtMs`, so that a grant that lay unread while this router stood still is not spent late.
 */
export const addPermits = (
  limit: RateLimit,
  count: number,
  backlog: number,
  nowMs: number,
  grantedAtMs = nowMs,
): RateLimit => {
  const fromMs = limit.cold === null ? nowMs : Math.min(nowMs, grantedAtMs);
  const told = { ...limit, backlog, backlogAtMs: nowMs };
  return !isLimited(limit) || count === 0
    ? told
    : {
        ...told,
        permits: [
          ...limit.permits.filter((expiresAtMs) => expiresAtMs > nowMs),
          ...Array.from({ length: count }, () => fromMs + getPermitMs(limit)),
        ],
        requestedAtMs: -Infinity,
      };
};

/** Returns whether permits may be requested: none is being waited for, or twice as many are needed by now. */
export const mayRequest = (limit: RateLimit, queuedCount: number, nowMs: number): boolean =>
  isLimited(limit) &&
  (nowMs - limit.requestedAtMs >= REQUEST_TIMEOUT_MS || queuedCount >= 2 * limit.requestedCount);

/** Records a request for permits, and returns it with the number that it asks for. */
export const recordRequest = (limit: RateLimit, queuedCount: number, nowMs: number): RateLimit => ({
  ...limit,
  missedCount: 0,
  requestedAtMs: nowMs,
  requestedCount: Math.min(MAX_REQUESTED, Math.max(1, queuedCount + limit.missedCount)),
});

/** Returns the permits that other routers wait for, or 0 if that is not known any more. */
export const getBacklog = (limit: RateLimit, nowMs: number): number =>
  nowMs - limit.backlogAtMs < BACKLOG_TTL_MS ? limit.backlog : 0;

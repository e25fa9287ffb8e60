/** Limit that an upstream names in its answers, as this router knows it. */
export interface RateLimit {
  /** Requests per second that the upstream takes from all routers together, or null while it names no limit. */
  readonly requestsPerSecond: number | null;
  /** Time of the latest answer that was taken into account, in milliseconds. */
  readonly observedAtMs: number;
}

/** State of an upstream that has not answered yet. */
export const NO_LIMIT: RateLimit = { requestsPerSecond: null, observedAtMs: -Infinity };

/** Returns whether an upstream names a limit. */
export const isLimited = (limit: RateLimit): boolean => limit.requestsPerSecond !== null;

/** Applies what an answer names, unless a later answer is known. */
export const updateRateLimit = (
  limit: RateLimit,
  requestsPerSecond: number | null,
  observedAtMs: number,
): RateLimit =>
  observedAtMs < limit.observedAtMs ? limit : { ...limit, requestsPerSecond, observedAtMs };

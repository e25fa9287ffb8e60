/** Pause for which an upstream asked this router, and the careful return after it. */
export interface UpstreamRest {
  /** Time until which the upstream gets nothing from this router, in milliseconds. */
  readonly untilMs: number;
  /** True until the upstream has answered after its pause; it gets one request at a time meanwhile. */
  readonly isReturning: boolean;
}

/** State of an upstream that has asked for no pause. */
export const NO_REST: UpstreamRest = { untilMs: -Infinity, isReturning: false };

/**
 * Largest part of a pause, and largest time in milliseconds, by which a router extends it at random, so that routers
 * that were told the same do not return together.
 */
const RETURN_SPREAD = 0.2;
const MAX_RETURN_SPREAD_MS = 500;

/** Starts or extends a pause; `fraction` is uniform in [0, 1). */
export const startRest = (
  rest: UpstreamRest,
  restMs: number,
  fraction: number,
  nowMs: number,
): UpstreamRest => {
  const spreadMs = Math.min(MAX_RETURN_SPREAD_MS, restMs * RETURN_SPREAD) * fraction;
  return { untilMs: Math.max(rest.untilMs, nowMs + restMs + spreadMs), isReturning: true };
};

/** Records an answer that asks for no pause; it ends the careful return, but no pause. */
export const recordAnswer = (rest: UpstreamRest, nowMs: number): UpstreamRest =>
  rest.isReturning && nowMs >= rest.untilMs ? NO_REST : rest;

/** Returns whether an upstream wants nothing from this router now. */
export const isResting = (rest: UpstreamRest, nowMs: number): boolean => nowMs < rest.untilMs;

/** Returns whether an upstream with this number of attempts in flight may get one more. */
export const mayReceive = (rest: UpstreamRest, inFlight: number, nowMs: number): boolean =>
  !isResting(rest, nowMs) && (!rest.isReturning || inFlight === 0);

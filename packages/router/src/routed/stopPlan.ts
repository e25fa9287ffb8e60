/** Time after the stop signal in which requests are started, in milliseconds: two failed readiness checks. */
const START_MS = 2_500;
/** Time after the stop signal after which the listener is closed, in milliseconds. */
const BALANCER_REMOVAL_MS = 3_000;
/** Shares of the grace period that these times may take; the rest is for answers. */
const MAX_START_SHARE = 0.625;
const MAX_REMOVAL_SHARE = 0.75;
/** Share of the grace period after which all requests in flight are refused. */
const ANSWER_SHARE = 0.95;
/** Share of the grace period by which this is set ahead at most where turns of the event loop are long. */
const MAX_LEAD_SHARE = 0.12;
/** Share of the grace period after which answers that are not yet written are cut off. */
const WRITE_SHARE = 0.975;

/** Times of a planned stop, in milliseconds since the stop signal. */
export interface StopPlan {
  /** Time until which requests are started. */
  readonly startMs: number;
  /** Time at which the listener is closed, since the load balancer has removed the router. */
  readonly removalMs: number;
  /** Time at which all requests in flight are refused. */
  readonly answerMs: number;
  /** Time by which this is set ahead at most. */
  readonly maxLeadMs: number;
  /** Time at which answers that are not yet written are cut off. */
  readonly writeMs: number;
}

/** Divides a grace period, in milliseconds. */
export const makeStopPlan = (graceMs: number): StopPlan => ({
  startMs: Math.min(START_MS, graceMs * MAX_START_SHARE),
  removalMs: Math.min(BALANCER_REMOVAL_MS, graceMs * MAX_REMOVAL_SHARE),
  answerMs: graceMs * ANSWER_SHARE,
  maxLeadMs: graceMs * MAX_LEAD_SHARE,
  writeMs: graceMs * WRITE_SHARE,
});

/** Returns whether a grace period ends before the load balancer has surely removed the router. */
export const isTooShort = (graceMs: number): boolean =>
  graceMs * MAX_REMOVAL_SHARE < BALANCER_REMOVAL_MS;

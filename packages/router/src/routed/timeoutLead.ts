/** Largest lead, as a share of the time-out. */
const MAX_LEAD_SHARE = 0.1;
/** Largest lead, in milliseconds. */
const MAX_LEAD_MS = 250;
/** Turns of the event loop between the moment at which a time-out is due and its effect: its own, and one that polls. */
const TURNS = 2;

/** Computes by how much an end is set ahead where turns of the event loop last `turnMs`, in milliseconds. */
export const computeLeadMs = (turnMs: number, maxLeadMs: number): number =>
  Math.min(TURNS * turnMs, maxLeadMs);

/**
 * Computes by how much a time-out is set ahead of `delayMs` where turns of the event loop last `turnMs`, in milliseconds,
 * so that a caller whose request has no answer yet is told by the time-out although the loop is late.
 */
export const computeTimeoutLeadMs = (delayMs: number, turnMs: number): number =>
  computeLeadMs(turnMs, Math.min(MAX_LEAD_SHARE * delayMs, MAX_LEAD_MS));

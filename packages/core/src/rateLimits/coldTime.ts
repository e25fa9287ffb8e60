/** Why a router takes an upstream for cold. */
export type ColdSign =
  /** It is new, or its process is. */
  | 'started'
  /** Its entry or an answer said so. */
  | 'reported'
  /** It refused connections, or went silent while others did not. */
  | 'unreachable'
  | 'crashed'
  /** The evacuation of its zone was taken back. */
  | 'evacuated'
  | 'peer';

/** Cold time of an upstream, by the router's clock. */
export interface ColdTime {
  /** Requests per second that the upstream stands from all routers together. */
  readonly requestsPerSecond: number;
  /** Time until which it is cold, in milliseconds. */
  readonly untilMs: number;
  /** Time of the latest sign, in milliseconds. */
  readonly seenAtMs: number;
  readonly sign: ColdSign;
}

/** What a router tells another of an upstream's cold time; both are durations, since clocks differ. */
export interface ColdNews {
  /** Time for which it is still cold, in milliseconds. */
  readonly leftMs: number;
  /** Time since the latest sign, in milliseconds. */
  readonly ageMs: number;
}

/** Makes the news of a cold time. */
export const makeColdNews = ({ untilMs, seenAtMs }: ColdTime, nowMs: number): ColdNews => ({
  leftMs: Math.max(0, untilMs - nowMs),
  ageMs: Math.max(0, nowMs - seenAtMs),
});

/** Time since which an upstream accepts no connection from this router. */
export interface Outage {
  readonly sinceMs: number;
  /** True if it refused one: its process has ended. Silence may also be a cut of this router's links. */
  readonly isRefused: boolean;
}

/** What a router remembers of the signs of an upstream's cold time. */
export interface ColdSigns {
  /** Time at which the upstream itself last said for how long it is cold, in milliseconds. */
  readonly reportedAtMs: number;
  /** Time until which the peers take it for cold, as far as this router knows, in milliseconds. */
  readonly toldUntilMs: number;
  readonly outage: Outage | null;
}

/** State of an upstream of which no sign is known. */
export const NO_SIGNS: ColdSigns = {
  reportedAtMs: -Infinity,
  toldUntilMs: -Infinity,
  outage: null,
};

/**
 * Validity of a permit of a cold upstream, in milliseconds, and the further time in which the upstream takes that many
 * requests at its rate. The largest number of sends in a second at rate r is then 1.4 r + 3: what accrued before (0.2 r
 * and one), r, and the grants of the validity before (0.2 r and two).
 */
const PERMIT_MS = 200;
const PERMIT_REQUESTS = 2;
/** Longest validity, in milliseconds. */
const MAX_PERMIT_MS = 1_000;

/** Returns for how long a permit of a cold upstream is valid from its grant on, in milliseconds. */
export const computePermitMs = (ratePerMs: number): number =>
  Math.min(MAX_PERMIT_MS, PERMIT_MS + PERMIT_REQUESTS / ratePerMs);

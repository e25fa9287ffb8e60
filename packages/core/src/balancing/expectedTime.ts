import type * as upstreamState from '../upstreamState.js';

/** Round trip between two zones of a region, in milliseconds, assumed since no answer shows it apart from its work. */
const WAY_MS = 10;
/** Time of work that is assumed before the first answer of a service, in milliseconds. */
const DEFAULT_WORK_MS = 50;
/** Times of work after which what an upstream reported has been replaced by other work. */
const TURNOVER_WORKS = 10;
/** Range of the random part of the time of two equal upstreams, as a share of the way between zones. */
const TIE_SHARE = 0.4;
/** Slope of the logistic function that is closest to the normal distribution. */
const LOGISTIC_SLOPE = 1.702;

/** What is known of the work of a service that gives its answers as a whole. */
export interface PlainWork {
  /** Typical time from a send to the answer, in milliseconds, or null before the first one. */
  readonly workMs: number | null;
  readonly nowMs: number;
}

const getWorkMs = ({ workMs }: PlainWork): number => workMs ?? DEFAULT_WORK_MS;

/**
 * Estimates the requests at an upstream of a plain service. What it reported of other routers' work fades within a few
 * times of work, not to none, but to what its reports usually show.
 */
export const estimatePlainLoad = (
  upstream: upstreamState.UpstreamState,
  work: PlainWork,
): number => {
  const ageMs = Math.max(0, work.nowMs - upstream.reportedAtMs);
  const freshness = Math.exp(-ageMs / (TURNOVER_WORKS * getWorkMs(work)));
  const usual = upstream.usualLoad.value;
  return upstream.inFlight + usual + (upstream.externalLoad - usual) * freshness;
};

/**
 * Estimates the wait of a new request for a slot, in times of work. The requests that it meets are spread around their
 * estimated number as arrivals of many callers are, so that the wait grows before the slots are full.
 */
export const estimateWaitWorks = (load: number, slots: number): number => {
  const spread = Math.sqrt(Math.max(1, load));
  const excess = (load - slots + 1) / spread;
  return (
    (spread * Math.log1p(Math.exp(LOGISTIC_SLOPE * excess))) / LOGISTIC_SLOPE / Math.max(1, slots)
  );
};

/** An upstream as seen from a router. */
export interface PlainChoice {
  readonly upstream: upstreamState.UpstreamState;
  readonly slots: number;
  /** Duration of work there relative to the typical one. */
  readonly slowness: number;
  readonly isOtherZone: boolean;
  /** Uniform in [0, 1), and its own for each router, request and upstream. */
  readonly random: number;
}

/**
 * Estimates the time to the answer of an upstream of a plain service, with the way there, in milliseconds. A request leaves
 * its zone when it is answered sooner elsewhere by more than the way takes. Routers that know the same see waits of 0.5 to
 * 1.5 times the estimate, so that the more of them leave the longer the wait is, and not all to the same upstream.
 */
export const estimateTimeMs = (choice: PlainChoice, work: PlainWork): number => {
  const load = estimatePlainLoad(choice.upstream, work);
  const waitWorks = estimateWaitWorks(load, choice.slots) * (0.5 + choice.random);
  const wayMs = choice.isOtherZone ? WAY_MS : 0;
  return (
    getWorkMs(work) * choice.slowness * (1 + waitWorks) + wayMs + choice.random * TIE_SHARE * WAY_MS
  );
};

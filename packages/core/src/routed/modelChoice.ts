import * as routedState from './routedState.js';
import * as routeIndex from './routeIndex.js';

/**
 * Worth of a thousand read and of a thousand generated tokens of a good answer, in the unit of the
 * models' prices. Two figures give the worths that the users state for all their kinds of request.
 */
const VALUE_PER_THOUSAND_INPUT = 0.142;
const VALUE_PER_THOUSAND_OUTPUT = 6.84;
/** Read tokens cost this share of generated ones. */
const INPUT_PRICE_SHARE = 0.25;
/** Share of its worth that a poor answer still has. */
const POOR_ANSWER_VALUE_SHARE = 0.05;
/** Confidence at which an answer is as likely good as poor. */
const EVEN_CONFIDENCE = 50;
/** Change of confidence that moves the odds of a good answer by a factor of e. */
const CONFIDENCE_SCALE = 5.5;
/** Share of the target latency that requests wait in a pool with room. */
const IDLE_SATURATION = 0.2;
/** Chance of a poor answer accepted on top, for each further target latency of waiting. */
const SATURATION_TOLERANCE = 2;
/** Largest chance of a poor answer accepted because of crowding. */
const MAX_TOLERANCE = 0.85;
/** Part of the time left that an answer's expected duration may take. */
const MAX_DURATION_SHARE = 0.8;

/** Estimates the chance that an answer is poor from the model's opinion of it. */
export const estimatePoorProbability = (confidence: number): number =>
  1 / (1 + Math.exp((confidence - EVEN_CONFIDENCE) / CONFIDENCE_SCALE));

/** Estimates what an answer is worth when it is good. */
export const estimateValue = (call: routedState.RoutedCall): number =>
  (call.tokensIn * VALUE_PER_THOUSAND_INPUT +
    routedState.estimateTokensOut(call) * VALUE_PER_THOUSAND_OUTPUT) /
  1_000;

/** Estimates the price of an answer of a model. */
export const estimatePrice = (
  view: routeIndex.RouteIndex,
  service: string,
  model: string,
  call: routedState.RoutedCall,
): number =>
  (routeIndex.getModelPrice(view, service, model) *
    (call.tokensIn * INPUT_PRICE_SHARE + routedState.estimateTokensOut(call))) /
  1_000;

/** Picks the model to try first: the smallest, or the largest for the rest of a begun stream. */
export const pickFirstModel = (
  sizes: readonly string[],
  call: routedState.RoutedCall,
): string | null => {
  if (call.model !== '*' || sizes.length === 0) {
    return call.model;
  }
  return (call.lastEventId === null ? sizes[0] : sizes.at(-1)) ?? null;
};

/** What the choice of a better model depends on beside the answer. */
export interface PoolState {
  /** Share of their target latency that requests wait for the head. */
  readonly saturation: number;
  /** Time that an answer of the largest model is expected to take, in milliseconds. */
  readonly largestModelMs: number;
  /** Time left for the answer, in milliseconds. */
  readonly remainingMs: number;
}

/**
 * Picks the model that should replace an answer, or null when the answer is kept. A crowded pool
 * keeps more doubtful answers, since each larger one delays all others.
 */
export const pickBetterModel = (
  view: routeIndex.RouteIndex,
  service: string,
  relay: routedState.RoutedState,
  confidence: number | null,
  pool: PoolState,
): string | null => {
  const largest = relay.route.sizes.at(-1);
  if (
    confidence === null ||
    relay.call.model !== '*' ||
    largest === undefined ||
    largest === relay.model ||
    pool.largestModelMs > pool.remainingMs * MAX_DURATION_SHARE
  ) {
    return null;
  }
  const value = estimateValue(relay.call) * (1 - POOR_ANSWER_VALUE_SHARE);
  const tolerance = Math.min(
    MAX_TOLERANCE,
    Math.max(0, pool.saturation - IDLE_SATURATION) * SATURATION_TOLERANCE,
  );
  const wanted = estimatePrice(view, service, largest, relay.call) / value + tolerance;
  return estimatePoorProbability(confidence) > wanted ? largest : null;
};

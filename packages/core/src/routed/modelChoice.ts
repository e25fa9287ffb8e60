import * as routedState from './routedState.js';
import * as routeIndex from './routeIndex.js';

/**
 * Value of a good answer per thousand input tokens and per thousand output tokens, in the unit of the models'
 * prices. These two figures reproduce the values that the users state for all their kinds of request.
 */
const VALUE_PER_THOUSAND_INPUT = 0.142;
const VALUE_PER_THOUSAND_OUTPUT = 6.84;
/** Price of an input token relative to an output token. */
const INPUT_PRICE_SHARE = 0.25;
/** Value of a poor answer, as a share of a good one's. */
const POOR_ANSWER_VALUE_SHARE = 0.05;
/** Confidence at which a good and a poor answer are equally likely. */
const EVEN_CONFIDENCE = 50;
/** Change of confidence that changes the odds of a good answer by a factor of e. */
const CONFIDENCE_SCALE = 5.5;
/** Saturation up to which a pool counts as having free capacity. */
const IDLE_SATURATION = 0.2;
/** Additional probability of a poor answer that is accepted per unit of saturation above the idle level. */
const SATURATION_TOLERANCE = 2;
/** Largest probability of a poor answer that is accepted because of saturation. */
const MAX_TOLERANCE = 0.85;
/** Share of the remaining time that the expected duration of an answer may take. */
const MAX_DURATION_SHARE = 0.8;

/** Estimates the probability, from 0 to 1, that an answer with this confidence (0 to 100) is poor. */
export const estimatePoorProbability = (confidence: number): number =>
  1 / (1 + Math.exp((confidence - EVEN_CONFIDENCE) / CONFIDENCE_SCALE));

/** Estimates the value of a good answer, in the unit of the models' prices. */
export const estimateValue = (call: routedState.RoutedCall): number =>
  (call.tokensIn * VALUE_PER_THOUSAND_INPUT +
    routedState.estimateTokensOut(call) * VALUE_PER_THOUSAND_OUTPUT) /
  1_000;

/** Estimates the price of a model's answer, in the unit of the models' prices. */
export const estimatePrice = (
  index: routeIndex.RouteIndex,
  service: string,
  model: string,
  call: routedState.RoutedCall,
): number =>
  (routeIndex.getModelPrice(index, service, model) *
    (call.tokensIn * INPUT_PRICE_SHARE + routedState.estimateTokensOut(call))) /
  1_000;

/** Picks the model of the first attempt: the smallest size, or the largest when a stream is resumed. */
export const pickFirstModel = (
  sizes: readonly string[],
  call: routedState.RoutedCall,
): string | null => {
  if (call.model !== '*' || sizes.length === 0) {
    return call.model;
  }
  return (call.lastEventId === null ? sizes[0] : sizes.at(-1)) ?? null;
};

/** State of a service's pool that the choice of a better model depends on. */
export interface PoolState {
  /** Average time to the head of an answer, relative to the target latency. */
  readonly saturation: number;
  /** Expected duration of an answer of the largest model, in milliseconds. */
  readonly largestModelMs: number;
  /** Time until the request's deadline, in milliseconds. */
  readonly remainingMs: number;
}

/**
 * Picks the model whose answer should replace the current one, or null to keep the current answer. A saturated
 * pool keeps more doubtful answers, since each run of a larger model delays all other requests.
 */
export const pickBetterModel = (
  index: routeIndex.RouteIndex,
  service: string,
  routed: routedState.RoutedState,
  confidence: number | null,
  pool: PoolState,
): string | null => {
  const largest = routed.route.sizes.at(-1);
  if (
    confidence === null ||
    routed.call.model !== '*' ||
    largest === undefined ||
    largest === routed.model ||
    pool.largestModelMs > pool.remainingMs * MAX_DURATION_SHARE
  ) {
    return null;
  }
  const value = estimateValue(routed.call) * (1 - POOR_ANSWER_VALUE_SHARE);
  const tolerance = Math.min(
    MAX_TOLERANCE,
    Math.max(0, pool.saturation - IDLE_SATURATION) * SATURATION_TOLERANCE,
  );
  const threshold = estimatePrice(index, service, largest, routed.call) / value + tolerance;
  return estimatePoorProbability(confidence) > threshold ? largest : null;
};

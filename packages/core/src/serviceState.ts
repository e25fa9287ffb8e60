import * as average from './average.js';
import * as budget from './budget.js';
import * as fairQueue from './fairQueue.js';
import * as quantile from './quantile.js';

/** Queues and learned timings of one service. */
export interface ServiceState {
  readonly queue: fairQueue.FairQueue;
  /** Attempts of this router under way in the service. */
  readonly running: number;
  /** Cost units finished a second while work was waiting. */
  readonly throughput: average.Average;
  /** Cost finished since `measuredAtMs`. */
  readonly finishedCost: number;
  readonly measuredAtMs: number;
  /** Typical time to first token, in milliseconds. */
  readonly medianFirstTokenMs: quantile.QuantileEstimate;
  /** Time to first token after which a hedge is worth its cost, in milliseconds. */
  readonly hedgeFirstTokenMs: quantile.QuantileEstimate;
  /** Time an answer takes for each unit of cost, in milliseconds. */
  readonly msPerCost: average.Average;
  readonly hedgeBudget: budget.Budget;
  /** Position of the next round-robin choice. */
  readonly roundRobin: number;
}

/** Quantile of first-token times at which a hedge starts. */
const HEDGE_QUANTILE = 0.95;
/** Hedges allowed for each normal attempt. */
export const HEDGE_RULE: budget.BudgetRule = { share: 0.03, capacity: 3 };
/** Time a unit of cost takes before any was measured, in milliseconds. */
const DEFAULT_MS_PER_COST = 20;
/** Span over which throughput is measured, in milliseconds. */
const THROUGHPUT_SPAN_MS = 1_000;
const THROUGHPUT_WEIGHT = 0.3;
const MS_PER_COST_WEIGHT = 0.05;

/** Makes the lane of a service without traffic. */
export const makeServiceState = (nowMs: number): ServiceState => ({
  queue: fairQueue.EMPTY_QUEUE,
  running: 0,
  throughput: average.EMPTY_AVERAGE,
  finishedCost: 0,
  measuredAtMs: nowMs,
  medianFirstTokenMs: quantile.makeQuantile(0.5),
  hedgeFirstTokenMs: quantile.makeQuantile(HEDGE_QUANTILE),
  msPerCost: average.EMPTY_AVERAGE,
  hedgeBudget: budget.makeBudget(HEDGE_RULE),
  roundRobin: 0,
});

/** Returns the time a unit of cost takes, in milliseconds. */
export const getMsPerCost = (lane: ServiceState): number =>
  lane.msPerCost.count === 0 ? DEFAULT_MS_PER_COST : lane.msPerCost.value;

/** Records a first token in the lane's quantiles. */
export const recordFirstToken = (lane: ServiceState, elapsedMs: number): ServiceState => ({
  ...lane,
  medianFirstTokenMs: quantile.addSample(lane.medianFirstTokenMs, elapsedMs),
  hedgeFirstTokenMs: quantile.addSample(lane.hedgeFirstTokenMs, elapsedMs),
});

/** Records a finished attempt; throughput counts only spans in which work was waiting. */
export const recordFinished = (
  lane: ServiceState,
  cost: number,
  elapsedMs: number,
  nowMs: number,
): ServiceState => {
  const msPerCost = average.updateAverage(
    lane.msPerCost,
    elapsedMs / Math.max(1, cost),
    MS_PER_COST_WEIGHT,
  );
  const finishedCost = lane.finishedCost + cost;
  const spanMs = nowMs - lane.measuredAtMs;
  if (spanMs < THROUGHPUT_SPAN_MS) {
    return { ...lane, msPerCost, finishedCost };
  }
  const rate = (finishedCost * 1_000) / spanMs;
  const isMeasurable = lane.queue.size > 0 && spanMs < THROUGHPUT_SPAN_MS * 3;
  return {
    ...lane,
    msPerCost,
    finishedCost: 0,
    measuredAtMs: nowMs,
    throughput: isMeasurable
      ? average.updateAverage(lane.throughput, rate, THROUGHPUT_WEIGHT)
      : lane.throughput,
  };
};

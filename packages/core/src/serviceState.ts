import * as average from './average.js';
import * as budget from './budget.js';
import * as waitQueue from './admission/waitQueue.js';
import * as quantile from './quantile.js';

/** Queues and timing statistics of one service. */
export interface ServiceState {
  readonly queue: waitQueue.WaitQueue;
  /** Attempts of this router in flight in the service. */
  readonly attemptsInFlight: number;
  /** Cost units finished per second while requests were waiting. */
  readonly throughput: average.Average;
  /** Cost units finished since `measuredAtMs`. */
  readonly finishedCost: number;
  readonly measuredAtMs: number;
  /** Typical time to first token, in milliseconds. */
  readonly medianFirstTokenMs: quantile.QuantileEstimate;
  /** Time to first token after which a request is hedged, in milliseconds. */
  readonly hedgeFirstTokenMs: quantile.QuantileEstimate;
  /** Duration of an answer per cost unit, in milliseconds. */
  readonly msPerCost: average.Average;
  /** Time for which an attempt takes a slot, in milliseconds. */
  readonly holdMs: average.Average;
  readonly hedgeBudget: budget.Budget;
  /** Position of the next round-robin choice. */
  readonly roundRobin: number;
  /** Recent log lines about requests for which there was no room. */
  readonly roomLines: RoomLines;
}

/** Log lines written since a time in milliseconds, and those left out. */
export interface RoomLines {
  readonly sinceMs: number;
  readonly count: number;
  readonly leftOut: number;
}

/** Quantile of the time to first token at which a request is hedged. */
const HEDGE_QUANTILE = 0.95;
/** Budget of hedges, as a share of regular attempts. */
export const HEDGE_RULE: budget.BudgetRule = { share: 0.03, capacity: 3 };
/** Duration per cost unit assumed before the first sample, in milliseconds. */
const DEFAULT_MS_PER_COST = 20;
/** Minimum span of one throughput sample, in milliseconds. */
const THROUGHPUT_SPAN_MS = 1_000;
/** Weight of one sample in the throughput's moving average. */
const THROUGHPUT_WEIGHT = 0.3;
/** Weight of one sample in the moving average of the duration per cost unit. */
const MS_PER_COST_WEIGHT = 0.05;
/** Weight of one sample in the moving average of the time for which an attempt takes a slot. */
const HOLD_WEIGHT = 0.05;

/** Makes the state of a service without traffic. */
export const makeServiceState = (nowMs: number): ServiceState => ({
  queue: waitQueue.EMPTY_QUEUE,
  attemptsInFlight: 0,
  throughput: average.EMPTY_AVERAGE,
  finishedCost: 0,
  measuredAtMs: nowMs,
  medianFirstTokenMs: quantile.makeQuantile(0.5),
  hedgeFirstTokenMs: quantile.makeQuantile(HEDGE_QUANTILE),
  msPerCost: average.EMPTY_AVERAGE,
  holdMs: average.EMPTY_AVERAGE,
  hedgeBudget: budget.makeBudget(HEDGE_RULE),
  roundRobin: 0,
  roomLines: { sinceMs: nowMs, count: 0, leftOut: 0 },
});

/** Returns the expected duration per cost unit, in milliseconds. */
export const getMsPerCost = (service: ServiceState): number =>
  service.msPerCost.count === 0 ? DEFAULT_MS_PER_COST : service.msPerCost.value;

/** Adds a time to first token to the service's quantiles. */
export const recordFirstToken = (service: ServiceState, elapsedMs: number): ServiceState => ({
  ...service,
  medianFirstTokenMs: quantile.addSample(service.medianFirstTokenMs, elapsedMs),
  hedgeFirstTokenMs: quantile.addSample(service.hedgeFirstTokenMs, elapsedMs),
});

/** Records a finished attempt; throughput is sampled only while requests are waiting. */
export const recordFinished = (
  service: ServiceState,
  cost: number,
  elapsedMs: number,
  nowMs: number,
): ServiceState => {
  const msPerCost = average.updateAverage(
    service.msPerCost,
    elapsedMs / Math.max(1, cost),
    MS_PER_COST_WEIGHT,
  );
  const holdMs = average.updateAverage(service.holdMs, elapsedMs, HOLD_WEIGHT);
  const finishedCost = service.finishedCost + cost;
  const spanMs = nowMs - service.measuredAtMs;
  if (spanMs < THROUGHPUT_SPAN_MS) {
    return { ...service, msPerCost, holdMs, finishedCost };
  }
  const rate = (finishedCost * 1_000) / spanMs;
  const isMeasurable = service.queue.size > 0 && spanMs < THROUGHPUT_SPAN_MS * 3;
  return {
    ...service,
    msPerCost,
    holdMs,
    finishedCost: 0,
    measuredAtMs: nowMs,
    throughput: isMeasurable
      ? average.updateAverage(service.throughput, rate, THROUGHPUT_WEIGHT)
      : service.throughput,
  };
};

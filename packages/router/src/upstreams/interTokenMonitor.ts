import type * as runtime from '../runtime.js';

/** Time between two looks, in milliseconds. */
const SPAN_MS = 200;
/** Answers that must be under way on an upstream for its pace to mean something. */
const MIN_ACTIVE = 2;
/** Weight of one span in an upstream's usual rate. */
const USUAL_WEIGHT = 0.02;
/** Spans after which the usual rate is believed. */
const MIN_SPANS = 10;
/** Largest slowness told, when no token came at all. */
const MAX_SLOWNESS = 20;

interface Counter {
  active: number;
  /** Answers that were under way during the whole span. */
  steady: number;
  tokens: number;
  /** Usual tokens of one answer in a span. */
  usual: number;
  spans: number;
}

/** Watches how fast upstreams' running answers go on, and tells the reducer. */
export interface InterTokenMonitor {
  readonly recordStart: (upstreamId: string) => void;
  readonly recordTokens: (upstreamId: string, count: number) => void;
  readonly recordEnd: (upstreamId: string) => void;
  readonly stop: () => void;
}

const makeCounter = (): Counter => ({ active: 0, steady: 0, tokens: 0, usual: 0, spans: 0 });

const computeSlowness = (counter: Counter): number => {
  const rate = counter.tokens / counter.steady;
  return rate <= 0 ? MAX_SLOWNESS : Math.min(MAX_SLOWNESS, counter.usual / rate);
};

const learnUsual = (counter: Counter): void => {
  const rate = counter.tokens / counter.steady;
  const weight = Math.max(USUAL_WEIGHT, 1 / (counter.spans + 1));
  Object.assign(counter, {
    usual: counter.usual + (rate - counter.usual) * weight,
    spans: counter.spans + 1,
  });
};

/** Starts the monitor of one router. */
export const startInterTokenMonitor = (node: runtime.Runtime): InterTokenMonitor => {
  const counters = new Map<string, Counter>();
  const getCounter = (upstreamId: string): Counter => {
    const known = counters.get(upstreamId) ?? makeCounter();
    counters.set(upstreamId, known);
    return known;
  };
  const closeSpan = (counter: Counter, upstreamId: string): void => {
    if (counter.steady >= MIN_ACTIVE) {
      if (counter.spans >= MIN_SPANS) {
        node.dispatch({
          type: 'interTokenRatioReported',
          upstreamId,
          interTokenRatio: computeSlowness(counter),
        });
      }
      learnUsual(counter);
    }
    Object.assign(counter, { tokens: 0, steady: counter.active });
  };
  const timer = setInterval(() => counters.forEach(closeSpan), SPAN_MS);
  return {
    recordStart: (upstreamId) => {
      getCounter(upstreamId).active += 1;
    },
    recordTokens: (upstreamId, count) => {
      getCounter(upstreamId).tokens += count;
    },
    recordEnd: (upstreamId) => {
      const counter = getCounter(upstreamId);
      counter.active -= 1;
      counter.steady = Math.min(counter.steady, counter.active);
    },
    stop: () => clearInterval(timer),
  };
};

import type * as routerRuntime from '../routerRuntime.js';

/** Length of one measurement window, in milliseconds. */
const WINDOW_MS = 200;
/** Answers that must be in progress for a whole window before its token rate is meaningful. */
const MIN_ANSWERS = 2;
/** Weight of one window in the exponentially weighted average of an upstream's token rate. */
const BASELINE_WEIGHT = 0.02;
/** Windows that the average must cover before ratios are reported. */
const MIN_WINDOWS = 10;
/** Upper bound of a reported ratio; also reported if no token arrived in a window. */
const MAX_RATIO = 20;

interface Counter {
  /** Answers in progress now. */
  active: number;
  /** Answers that were in progress during the whole window. */
  activeThroughout: number;
  /** Tokens received in the current window. */
  tokens: number;
  /** Average number of tokens of one answer in a window. */
  baseline: number;
  /** Windows that the average covers. */
  windows: number;
}

/** Measures the time between tokens of each upstream relative to its average and dispatches the ratio. */
export interface InterTokenMonitor {
  /** Records that an answer has begun. */
  readonly recordStart: (upstreamId: string) => void;
  /** Records tokens received. */
  readonly recordTokens: (upstreamId: string, count: number) => void;
  /** Records that an answer has ended. */
  readonly recordEnd: (upstreamId: string) => void;
  readonly stop: () => void;
}

const makeCounter = (): Counter => ({
  active: 0,
  activeThroughout: 0,
  tokens: 0,
  baseline: 0,
  windows: 0,
});

const computeInterTokenRatio = (counter: Counter): number => {
  const rate = counter.tokens / counter.activeThroughout;
  return rate <= 0 ? MAX_RATIO : Math.min(MAX_RATIO, counter.baseline / rate);
};

const updateBaseline = (counter: Counter): void => {
  const rate = counter.tokens / counter.activeThroughout;
  const weight = Math.max(BASELINE_WEIGHT, 1 / (counter.windows + 1));
  Object.assign(counter, {
    baseline: counter.baseline + (rate - counter.baseline) * weight,
    windows: counter.windows + 1,
  });
};

/** Starts the monitor of one router. */
export const startInterTokenMonitor = (runtime: routerRuntime.Runtime): InterTokenMonitor => {
  const counters = new Map<string, Counter>();
  const getCounter = (upstreamId: string): Counter => {
    const counter = counters.get(upstreamId) ?? makeCounter();
    counters.set(upstreamId, counter);
    return counter;
  };
  const closeWindow = (counter: Counter, upstreamId: string): void => {
    if (counter.activeThroughout >= MIN_ANSWERS) {
      if (counter.windows >= MIN_WINDOWS) {
        runtime.dispatch({
          type: 'interTokenRatioReported',
          upstreamId,
          interTokenRatio: computeInterTokenRatio(counter),
        });
      }
      updateBaseline(counter);
    }
    Object.assign(counter, { tokens: 0, activeThroughout: counter.active });
  };
  const timer = setInterval(() => counters.forEach(closeWindow), WINDOW_MS);
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
      counter.activeThroughout = Math.min(counter.activeThroughout, counter.active);
    },
    stop: () => clearInterval(timer),
  };
};

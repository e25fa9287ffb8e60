import type * as shared from '@jayrock/shared';
import type * as virtualClock from './virtualClock.js';

/** An interval in which an engine takes `factor` times as long for its work. */
export interface SlowInterval {
  readonly fromMs: number;
  readonly toMs: number;
  readonly factor: number;
}

/** Capacity and speed of a fake engine. */
export interface FakeEngineOptions {
  readonly id: string;
  readonly slots: number;
  readonly msPerToken: number;
  /** Prefill time of a prompt token, in milliseconds. */
  readonly msPerPromptToken: number;
  /** Number of prompt prefixes that the prefix cache holds. */
  readonly prefixCacheSize: number;
  readonly slowIntervals: readonly SlowInterval[];
}

/** A request on a fake engine; its callbacks are not called after it is cancelled. */
export interface EngineJob {
  readonly key: string;
  readonly tokensIn: number;
  readonly tokensOut: number;
  readonly prefix: number;
  readonly priority: number;
  readonly onFirstToken: () => void;
  readonly onEnd: () => void;
}

/** A fake engine with batch slots, prefill and decode times and a prefix cache. */
export interface FakeEngine {
  readonly options: FakeEngineOptions;
  readonly submit: (job: EngineJob) => void;
  readonly cancel: (key: string) => void;
  readonly describeLoad: (loaded: readonly string[]) => shared.hosts.LoadReport;
  /**
   * Time between tokens over the last `RATIO_WINDOW_MS` relative to the usual one; null if no
   * answer was being decoded throughout that window.
   */
  readonly getInterTokenRatio: () => number | null;
  /** Tokens generated and read, also for cancelled work. */
  readonly getWorkUnits: () => number;
}

/** Share of the prefill time that remains when the prefix of the prompt is in the cache. */
const CACHE_HIT_SHARE = 0.2;
/** Number of prompt tokens that count as much work as one generated token. */
const PROMPT_TOKENS_PER_WORK_UNIT = 20;

/** Computes when work ends that takes `workMs` at full speed and overlaps some slow intervals. */
export const computeEndMs = (
  startMs: number,
  workMs: number,
  intervals: readonly SlowInterval[],
): number => {
  const interval = intervals.find((item) => item.toMs > startMs && item.fromMs < startMs + workMs);
  if (interval === undefined) {
    return startMs + workMs;
  }
  const fullSpeedMs = Math.max(0, interval.fromMs - startMs);
  const remainingMs = workMs - fullSpeedMs;
  const slowFromMs = startMs + fullSpeedMs;
  const doneInIntervalMs = (interval.toMs - slowFromMs) / interval.factor;
  return doneInIntervalMs >= remainingMs
    ? slowFromMs + remainingMs * interval.factor
    : computeEndMs(
        interval.toMs,
        remainingMs - doneInIntervalMs,
        intervals.filter((item) => item !== interval),
      );
};

/** Window over which the inter-token ratio is averaged, in milliseconds. */
export const RATIO_WINDOW_MS = 200;

/** Computes the mean inter-token ratio over the last window. */
const computeInterTokenRatio = (nowMs: number, intervals: readonly SlowInterval[]): number => {
  const fromMs = nowMs - RATIO_WINDOW_MS;
  const doneMs = intervals.reduce((sum, interval) => {
    const slowMs = Math.max(0, Math.min(interval.toMs, nowMs) - Math.max(interval.fromMs, fromMs));
    return sum - slowMs * (1 - 1 / interval.factor);
  }, RATIO_WINDOW_MS);
  return RATIO_WINDOW_MS / doneMs;
};

/** Makes a fake engine that runs on a virtual clock. */
export const makeFakeEngine = (
  clock: virtualClock.VirtualClock,
  options: FakeEngineOptions,
): FakeEngine => {
  const running = new Map<string, EngineJob>();
  const decodeStartsMs = new Map<string, number>();
  let waiting: EngineJob[] = [];
  let cachedPrefixes: number[] = [];
  let workUnits = 0;

  const readPrompt = (job: EngineJob): number => {
    const isHit = cachedPrefixes.includes(job.prefix);
    cachedPrefixes = [
      job.prefix,
      ...cachedPrefixes.filter((prefix) => prefix !== job.prefix),
    ].slice(0, options.prefixCacheSize);
    return job.tokensIn * options.msPerPromptToken * (isHit ? CACHE_HIT_SHARE : 1);
  };
  const start = (job: EngineJob, onSlotFreed: () => void): void => {
    running.set(job.key, job);
    const nowMs = clock.getNowMs();
    const firstMs = computeEndMs(
      nowMs,
      readPrompt(job) + options.msPerToken,
      options.slowIntervals,
    );
    const endMs = computeEndMs(
      firstMs,
      (job.tokensOut - 1) * options.msPerToken,
      options.slowIntervals,
    );
    clock.schedule(firstMs - nowMs, () => {
      if (running.get(job.key) === job) {
        workUnits += job.tokensIn / PROMPT_TOKENS_PER_WORK_UNIT;
        decodeStartsMs.set(job.key, clock.getNowMs());
        job.onFirstToken();
      }
    });
    clock.schedule(endMs - nowMs, () => {
      if (running.get(job.key) === job) {
        running.delete(job.key);
        decodeStartsMs.delete(job.key);
        workUnits += job.tokensOut;
        onSlotFreed();
        job.onEnd();
      }
    });
  };
  const startWaiting = (): void => {
    while (running.size < options.slots && waiting.length > 0) {
      const highestPriority = Math.min(...waiting.map((job) => job.priority));
      const next = waiting.find((job) => job.priority === highestPriority);
      waiting = waiting.filter((job) => job !== next);
      if (next !== undefined) {
        start(next, startWaiting);
      }
    }
  };
  return {
    options,
    submit: (job) => {
      waiting.push(job);
      startWaiting();
    },
    cancel: (key) => {
      running.delete(key);
      decodeStartsMs.delete(key);
      waiting = waiting.filter((job) => job.key !== key);
      startWaiting();
    },
    describeLoad: (loaded) => ({
      running: running.size,
      waiting: waiting.length,
      slots: options.slots,
      loaded,
    }),
    getInterTokenRatio: () => {
      const nowMs = clock.getNowMs();
      const isActive = Array.from(decodeStartsMs.values()).some(
        (sinceMs) => nowMs - sinceMs >= RATIO_WINDOW_MS,
      );
      return isActive ? computeInterTokenRatio(nowMs, options.slowIntervals) : null;
    },
    getWorkUnits: () => workUnits,
  };
};

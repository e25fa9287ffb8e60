import type * as shared from '@jayrock/shared';
import type * as virtualClock from './virtualClock.js';

/** A time in which an engine works at a fraction of its speed. */
export interface SlowInterval {
  readonly fromMs: number;
  readonly toMs: number;
  readonly factor: number;
}

/** What a fake engine is like. */
export interface FakeEngineOptions {
  readonly id: string;
  readonly slots: number;
  readonly msPerToken: number;
  /** Time to read one prompt token, in milliseconds. */
  readonly msPerPromptToken: number;
  /** Prompt prefixes kept in memory. */
  readonly prefixCacheSize: number;
  readonly slowIntervals: readonly SlowInterval[];
}

/** One request on a fake engine. */
export interface EngineJob {
  readonly key: string;
  readonly tokensIn: number;
  readonly tokensOut: number;
  readonly prefix: number;
  readonly priority: number;
  readonly onFirstToken: () => void;
  readonly onEnd: () => void;
}

/** A fake engine with batch slots, prefill and decode times and a prefix memory. */
export interface FakeEngine {
  readonly options: FakeEngineOptions;
  readonly submit: (job: EngineJob) => void;
  readonly cancel: (key: string) => void;
  readonly describeLoad: (loaded: readonly string[]) => shared.hosts.LoadReport;
  /** Time between tokens relative to the usual one, or null when no answer is under way. */
  readonly getInterTokenRatio: () => number | null;
  /** Tokens generated and read, also for cancelled work. */
  readonly getWorkUnits: () => number;
}

/** Share of a prompt that is read again when its prefix is in memory. */
const CACHE_HIT_SHARE = 0.2;
const PROMPT_TOKENS_PER_WORK_UNIT = 20;

/** Finds when an amount of work ends that starts at a time and is slowed in some spans. */
export const computeEndMs = (
  startMs: number,
  workMs: number,
  spans: readonly SlowInterval[],
): number => {
  const span = spans.find((one) => one.toMs > startMs && one.fromMs < startMs + workMs);
  if (span === undefined) {
    return startMs + workMs;
  }
  const before = Math.max(0, span.fromMs - startMs);
  const left = workMs - before;
  const slowFromMs = startMs + before;
  const doneInSpan = (span.toMs - slowFromMs) / span.factor;
  return doneInSpan >= left
    ? slowFromMs + left * span.factor
    : computeEndMs(
        span.toMs,
        left - doneInSpan,
        spans.filter((one) => one !== span),
      );
};

/** Span over which a pace is seen, in milliseconds. */
export const RATIO_WINDOW_MS = 200;

/** Mean slowness over the last span. */
const computeInterTokenRatio = (nowMs: number, spans: readonly SlowInterval[]): number => {
  const fromMs = nowMs - RATIO_WINDOW_MS;
  const done = spans.reduce((sum, span) => {
    const slowMs = Math.max(0, Math.min(span.toMs, nowMs) - Math.max(span.fromMs, fromMs));
    return sum - slowMs * (1 - 1 / span.factor);
  }, RATIO_WINDOW_MS);
  return RATIO_WINDOW_MS / done;
};

/** Makes a fake engine on a timeline. */
export const makeFakeEngine = (
  clock: virtualClock.VirtualClock,
  options: FakeEngineOptions,
): FakeEngine => {
  const running = new Map<string, EngineJob>();
  const decodeStartsMs = new Map<string, number>();
  let waiting: EngineJob[] = [];
  let prefixes: number[] = [];
  let workUnits = 0;

  const readPrompt = (job: EngineJob): number => {
    const isHit = prefixes.includes(job.prefix);
    prefixes = [job.prefix, ...prefixes.filter((one) => one !== job.prefix)].slice(
      0,
      options.prefixCacheSize,
    );
    return job.tokensIn * options.msPerPromptToken * (isHit ? CACHE_HIT_SHARE : 1);
  };
  const start = (job: EngineJob, onFreed: () => void): void => {
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
        onFreed();
        job.onEnd();
      }
    });
  };
  const startWaiting = (): void => {
    while (running.size < options.slots && waiting.length > 0) {
      const best = Math.min(...waiting.map((job) => job.priority));
      const next = waiting.find((job) => job.priority === best);
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

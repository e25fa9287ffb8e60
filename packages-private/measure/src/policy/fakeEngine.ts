import type * as shared from '@jayrock/shared';
import type * as timeline from './timeline.js';

/** A time in which an engine works at a fraction of its speed. */
export interface SlowSpan {
  readonly fromMs: number;
  readonly toMs: number;
  readonly factor: number;
}

/** What a fake engine is like. */
export interface EngineModel {
  readonly id: string;
  readonly slots: number;
  readonly msPerToken: number;
  /** Time to read one prompt token, in milliseconds. */
  readonly msPerPromptToken: number;
  /** Prompt prefixes kept in memory. */
  readonly prefixMemory: number;
  readonly slowSpans: readonly SlowSpan[];
}

/** One request on a fake engine. */
export interface Job {
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
  readonly model: EngineModel;
  readonly submit: (job: Job) => void;
  readonly cancel: (key: string) => void;
  readonly describeLoad: (loaded: readonly string[]) => shared.hosts.LoadReport;
  /** Time between tokens relative to the usual one, or null when no answer is under way. */
  readonly findPace: () => number | null;
  /** Tokens generated and read, also for cancelled work. */
  readonly getWork: () => number;
}

/** Share of a prompt that is read again when its prefix is in memory. */
const HIT_SHARE = 0.2;
const PROMPT_TOKENS_PER_UNIT = 20;

/** Finds when an amount of work ends that starts at a time and is slowed in some spans. */
export const findEndMs = (startMs: number, workMs: number, spans: readonly SlowSpan[]): number => {
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
    : findEndMs(
        span.toMs,
        left - doneInSpan,
        spans.filter((one) => one !== span),
      );
};

/** Span over which a pace is seen, in milliseconds. */
export const PACE_SPAN_MS = 200;

/** Mean slowness over the last span. */
const findSlowness = (nowMs: number, spans: readonly SlowSpan[]): number => {
  const fromMs = nowMs - PACE_SPAN_MS;
  const done = spans.reduce((sum, span) => {
    const slowMs = Math.max(0, Math.min(span.toMs, nowMs) - Math.max(span.fromMs, fromMs));
    return sum - slowMs * (1 - 1 / span.factor);
  }, PACE_SPAN_MS);
  return PACE_SPAN_MS / done;
};

/** Makes a fake engine on a timeline. */
export const makeEngine = (clock: timeline.Timeline, model: EngineModel): FakeEngine => {
  const running = new Map<string, Job>();
  const decodingSince = new Map<string, number>();
  let waiting: Job[] = [];
  let prefixes: number[] = [];
  let work = 0;

  const readPrompt = (job: Job): number => {
    const isHit = prefixes.includes(job.prefix);
    prefixes = [job.prefix, ...prefixes.filter((one) => one !== job.prefix)].slice(
      0,
      model.prefixMemory,
    );
    return job.tokensIn * model.msPerPromptToken * (isHit ? HIT_SHARE : 1);
  };
  const start = (job: Job, onFreed: () => void): void => {
    running.set(job.key, job);
    const nowMs = clock.getNowMs();
    const firstMs = findEndMs(nowMs, readPrompt(job) + model.msPerToken, model.slowSpans);
    const endMs = findEndMs(firstMs, (job.tokensOut - 1) * model.msPerToken, model.slowSpans);
    clock.schedule(firstMs - nowMs, () => {
      if (running.get(job.key) === job) {
        work += job.tokensIn / PROMPT_TOKENS_PER_UNIT;
        decodingSince.set(job.key, clock.getNowMs());
        job.onFirstToken();
      }
    });
    clock.schedule(endMs - nowMs, () => {
      if (running.get(job.key) === job) {
        running.delete(job.key);
        decodingSince.delete(job.key);
        work += job.tokensOut;
        onFreed();
        job.onEnd();
      }
    });
  };
  const startWaiting = (): void => {
    while (running.size < model.slots && waiting.length > 0) {
      const best = Math.min(...waiting.map((job) => job.priority));
      const next = waiting.find((job) => job.priority === best);
      waiting = waiting.filter((job) => job !== next);
      if (next !== undefined) {
        start(next, startWaiting);
      }
    }
  };
  return {
    model,
    submit: (job) => {
      waiting.push(job);
      startWaiting();
    },
    cancel: (key) => {
      running.delete(key);
      decodingSince.delete(key);
      waiting = waiting.filter((job) => job.key !== key);
      startWaiting();
    },
    describeLoad: (loaded) => ({
      running: running.size,
      waiting: waiting.length,
      slots: model.slots,
      loaded,
    }),
    findPace: () => {
      const nowMs = clock.getNowMs();
      const isActive = Array.from(decodingSince.values()).some(
        (sinceMs) => nowMs - sinceMs >= PACE_SPAN_MS,
      );
      return isActive ? findSlowness(nowMs, model.slowSpans) : null;
    },
    getWork: () => work,
  };
};

import TinyQueue from 'tinyqueue';

interface Planned {
  readonly atMs: number;
  readonly order: number;
  readonly run: () => void;
}

const comparePlanned = (a: Planned, b: Planned): number => a.atMs - b.atMs || a.order - b.order;

/** Virtual time: actions run in order of their time, and at the same time in order of planning. */
export interface Timeline {
  readonly getNowMs: () => number;
  readonly schedule: (delayMs: number, run: () => void) => void;
  /** Runs all actions up to a time. */
  readonly runUntil: (untilMs: number) => void;
}

/** Makes a timeline at time zero. */
export const makeTimeline = (): Timeline => {
  const queue = new TinyQueue<Planned>([], comparePlanned);
  let nowMs = 0;
  let order = 0;
  return {
    getNowMs: () => nowMs,
    schedule: (delayMs, run) => {
      order += 1;
      queue.push({ atMs: nowMs + Math.max(0, delayMs), order, run });
    },
    runUntil: (untilMs) => {
      for (
        let next = queue.peek();
        next !== undefined && next.atMs <= untilMs;
        next = queue.peek()
      ) {
        queue.pop();
        nowMs = next.atMs;
        next.run();
      }
      nowMs = untilMs;
    },
  };
};

import TinyQueue from 'tinyqueue';

interface ScheduledAction {
  readonly atMs: number;
  readonly sequence: number;
  readonly run: () => void;
}

const compareActions = (a: ScheduledAction, b: ScheduledAction): number =>
  a.atMs - b.atMs || a.sequence - b.sequence;

/**
 * Virtual time in milliseconds: scheduled actions run in order of their time, and those of the same
 * time in the order in which they were scheduled.
 */
export interface VirtualClock {
  readonly getNowMs: () => number;
  readonly schedule: (delayMs: number, run: () => void) => void;
  /** Runs all actions up to a time and sets the clock to it. */
  readonly runUntil: (untilMs: number) => void;
}

/** Makes a virtual clock at time zero. */
export const makeVirtualClock = (): VirtualClock => {
  const queue = new TinyQueue<ScheduledAction>([], compareActions);
  let nowMs = 0;
  let sequence = 0;
  return {
    getNowMs: () => nowMs,
    schedule: (delayMs, run) => {
      sequence += 1;
      queue.push({ atMs: nowMs + Math.max(0, delayMs), sequence, run });
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

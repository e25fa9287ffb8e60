import * as hdr from 'hdr-histogram-js';

/** Measures the turns of the event loop. */
export interface LoopMonitor {
  /** Working time of the longest turn since the last call, in milliseconds; idle time does not count. */
  readonly takeMaxTurnMs: () => number;
  /** Working time of a turn at a percentile, in milliseconds. */
  readonly getTurnMs: (percentile: number) => number;
  /** Working time of the longest turn of the last one to two seconds, in milliseconds. */
  readonly getRecentTurnMs: () => number;
  /** Number of the current turn. */
  readonly getTurn: () => number;
  /** Longest time for which input that is read now can have waited unread, in milliseconds. */
  readonly getInputAgeMs: () => number;
  /** Returns whether this turn's poll found nothing at first and waited, so that no earlier input is left. */
  readonly hasWaited: () => boolean;
  readonly stop: () => void;
}

/** Turn of the event loop, in milliseconds, from which it is reported. */
const LONG_TURN_MS = 250;
/** Time over which the longest turn counts as recent, in milliseconds. */
const RECENT_MS = 1_000;
/** Largest turn that the histogram distinguishes, in milliseconds; longer ones are clamped. */
const MAX_TURN_MS = 60_000;

/**
 * Starts to measure the time between the ends of two polls for I/O, less the time for which the loop was idle.
 * An immediate without a reference runs once a turn and does not keep the loop from waiting.
 */
export const startLoopMonitor = (handleLongTurn: (turnMs: number) => void): LoopMonitor => {
  const turns = hdr.build({
    highestTrackableValue: MAX_TURN_MS,
    numberOfSignificantValueDigits: 2,
  });
  let endedAtMs = performance.now();
  let { idle: idleMs } = performance.eventLoopUtilization();
  let maxTurnMs = 0;
  let lastTurnMs = 0;
  let recentMs = 0;
  let earlierMs = 0;
  let recentSinceMs = endedAtMs;
  let turn = 0;
  let immediate: NodeJS.Immediate;
  const getWaitedMs = (): number => performance.eventLoopUtilization().idle - idleMs;
  const recordTurn = (): void => {
    const nowMs = performance.now();
    const { idle } = performance.eventLoopUtilization();
    const turnMs = Math.max(0, nowMs - endedAtMs - (idle - idleMs));
    lastTurnMs = turnMs;
    turn += 1;
    endedAtMs = nowMs;
    idleMs = idle;
    maxTurnMs = Math.max(maxTurnMs, turnMs);
    if (nowMs - recentSinceMs >= RECENT_MS) {
      earlierMs = recentMs;
      recentMs = 0;
      recentSinceMs = nowMs;
    }
    recentMs = Math.max(recentMs, turnMs);
    turns.recordValue(Math.min(MAX_TURN_MS, Math.round(turnMs)));
    if (turnMs >= LONG_TURN_MS) {
      handleLongTurn(turnMs);
    }
    immediate = setImmediate(recordTurn).unref();
  };
  immediate = setImmediate(recordTurn).unref();
  return {
    takeMaxTurnMs: () => {
      const taken = maxTurnMs;
      maxTurnMs = 0;
      return taken;
    },
    getTurnMs: (percentile) => turns.getValueAtPercentile(percentile),
    getRecentTurnMs: () => Math.max(recentMs, earlierMs),
    getTurn: () => turn,
    getInputAgeMs: () => {
      const waitedMs = getWaitedMs();
      const workedMs = performance.now() - endedAtMs - waitedMs;
      // Input that a poll did not wait for can have arrived from the start of the poll before.
      return Math.max(0, waitedMs > 0 ? workedMs : workedMs + lastTurnMs);
    },
    hasWaited: () => getWaitedMs() > 0,
    stop: () => clearImmediate(immediate),
  };
};

import * as hdr from 'hdr-histogram-js';

/** Measures the turns of the event loop. */
export interface LoopMonitor {
  /** Working time of the longest turn since the last call, in milliseconds; idle time does not count. */
  readonly takeMaxTurnMs: () => number;
  /** Working time of a turn at a percentile, in milliseconds. */
  readonly getTurnMs: (percentile: number) => number;
  readonly stop: () => void;
}

/** Turn of the event loop, in milliseconds, from which it is reported. */
const LONG_TURN_MS = 250;
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
  let immediate: NodeJS.Immediate;
  const recordTurn = (): void => {
    const nowMs = performance.now();
    const { idle } = performance.eventLoopUtilization();
    const turnMs = Math.max(0, nowMs - endedAtMs - (idle - idleMs));
    endedAtMs = nowMs;
    idleMs = idle;
    maxTurnMs = Math.max(maxTurnMs, turnMs);
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
    stop: () => clearImmediate(immediate),
  };
};

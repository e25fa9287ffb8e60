/** Tells how long ago something was confirmed, also across a suspension of the machine. */
export interface FreshnessClock {
  /** Reads both clocks; to be called before the question whose answer confirms. */
  readonly takeReading: () => ClockReading;
  /** Records that what is known was the newest at a moment, or a time after it. */
  readonly confirm: (reading: ClockReading, laterMs?: number) => void;
  /** Age of the last confirmation, in milliseconds; infinite before the first. */
  readonly getAgeMs: () => number;
}

/** One moment on the steady clock and on the time of day, in milliseconds. */
export interface ClockReading {
  readonly monotonicMs: number;
  readonly wallMs: number;
}

/** Difference between the clocks from which the machine may have been suspended, in milliseconds. */
const SUSPICIOUS_GAP_MS = 500;

const readClocks = (): ClockReading => ({ monotonicMs: performance.now(), wallMs: Date.now() });

/**
 * Makes a clock for what is confirmed from time to time. The steady clock stands still while the
 * machine is suspended and the time of day does not, so the greater age counts when they disagree;
 * Node.js offers no clock that counts suspension and cannot be set.
 */
export const makeFreshnessClock = (read: () => ClockReading = readClocks): FreshnessClock => {
  let last: ClockReading | null = null;
  return {
    takeReading: read,
    confirm: (reading, laterMs = 0) => {
      const passedMs = Math.min(laterMs, read().monotonicMs - reading.monotonicMs);
      const moment = {
        monotonicMs: reading.monotonicMs + passedMs,
        wallMs: reading.wallMs + passedMs,
      };
      if (last === null || moment.monotonicMs > last.monotonicMs) {
        last = moment;
      }
    },
    getAgeMs: () => {
      if (last === null) {
        return Infinity;
      }
      const now = read();
      const monotonicMs = now.monotonicMs - last.monotonicMs;
      const wallMs = now.wallMs - last.wallMs;
      return wallMs > monotonicMs + SUSPICIOUS_GAP_MS ? wallMs : monotonicMs;
    },
  };
};

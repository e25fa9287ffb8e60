/** Measures the time since data was last confirmed, including time for which the machine was suspended. */
export interface FreshnessClock {
  /** Reads both clocks; call it before sending the request whose answer confirms the data. */
  readonly takeReading: () => ClockReading;
  /** Records that the data was current at a reading, or `laterMs` milliseconds after it but not later than now. */
  readonly confirm: (reading: ClockReading, laterMs?: number) => void;
  /** Forgets all confirmations, as they say nothing of what is known from now on. */
  readonly reset: () => void;
  /** Time since the last confirmation, in milliseconds; Infinity before the first. */
  readonly getAgeMs: () => number;
}

/** One moment on the monotonic clock and on the wall clock, in milliseconds. */
export interface ClockReading {
  readonly monotonicMs: number;
  readonly wallMs: number;
}

/** Difference between the clocks, in milliseconds, above which the machine may have been suspended. */
const SUSPENSION_GAP_MS = 500;

const readClocks = (): ClockReading => ({ monotonicMs: performance.now(), wallMs: Date.now() });

/**
 * Creates a freshness clock. The monotonic clock stops while the machine is suspended and the wall clock does not,
 * so the greater age counts when they disagree; Node.js has no clock that counts suspension and cannot be set.
 */
export const makeFreshnessClock = (read: () => ClockReading = readClocks): FreshnessClock => {
  let last: ClockReading | null = null;
  return {
    takeReading: read,
    confirm: (reading, laterMs = 0) => {
      const offsetMs = Math.min(laterMs, read().monotonicMs - reading.monotonicMs);
      const moment = {
        monotonicMs: reading.monotonicMs + offsetMs,
        wallMs: reading.wallMs + offsetMs,
      };
      if (last === null || moment.monotonicMs > last.monotonicMs) {
        last = moment;
      }
    },
    reset: () => {
      last = null;
    },
    getAgeMs: () => {
      if (last === null) {
        return Infinity;
      }
      const now = read();
      const monotonicMs = now.monotonicMs - last.monotonicMs;
      const wallMs = now.wallMs - last.wallMs;
      return wallMs > monotonicMs + SUSPENSION_GAP_MS ? wallMs : monotonicMs;
    },
  };
};

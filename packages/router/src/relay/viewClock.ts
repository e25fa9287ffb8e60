/** Tells how long ago something was confirmed, also across a suspension of the machine. */
export interface ViewClock {
  /** Reads both clocks; to be called before the question whose answer confirms. */
  readonly take: () => ClockReading;
  /** Records that what is known was the newest at a moment, or a time after it. */
  readonly confirm: (reading: ClockReading, laterMs?: number) => void;
  /** Age of the last confirmation, in milliseconds; infinite before the first. */
  readonly getAgeMs: () => number;
}

/** One moment on the steady clock and on the time of day, in milliseconds. */
export interface ClockReading {
  readonly steadyMs: number;
  readonly wallMs: number;
}

/** Difference between the clocks from which the machine may have been suspended, in milliseconds. */
const SUSPICIOUS_GAP_MS = 500;

const readClocks = (): ClockReading => ({ steadyMs: performance.now(), wallMs: Date.now() });

/**
 * Makes a clock for what is confirmed from time to time. The steady clock stands still while the
 * machine is suspended and the time of day does not, so the greater age counts when they disagree;
 * Node.js offers no clock that counts suspension and cannot be set.
 */
export const makeViewClock = (read: () => ClockReading = readClocks): ViewClock => {
  let last: ClockReading | null = null;
  return {
    take: read,
    confirm: (reading, laterMs = 0) => {
      const passedMs = Math.min(laterMs, read().steadyMs - reading.steadyMs);
      const moment = {
        steadyMs: reading.steadyMs + passedMs,
        wallMs: reading.wallMs + passedMs,
      };
      if (last === null || moment.steadyMs > last.steadyMs) {
        last = moment;
      }
    },
    getAgeMs: () => {
      if (last === null) {
        return Infinity;
      }
      const now = read();
      const steadyMs = now.steadyMs - last.steadyMs;
      const wallMs = now.wallMs - last.wallMs;
      return wallMs > steadyMs + SUSPICIOUS_GAP_MS ? wallMs : steadyMs;
    },
  };
};

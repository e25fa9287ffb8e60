import * as os from 'node:os';

/** Tells how long ago something was confirmed, also across a suspension of the machine. */
export interface ViewClock {
  /** Reads both clocks; to be called before the question whose answer confirms. */
  readonly take: () => ClockReading;
  /** Records that what was read at a moment was the newest then. */
  readonly confirm: (reading: ClockReading) => void;
  /** Age of the last confirmation, in milliseconds; infinite before the first. */
  readonly getAgeMs: () => number;
}

/** One moment on the steady clock and on the one that counts suspension, in milliseconds. */
export interface ClockReading {
  readonly steadyMs: number;
  readonly bootMs: number;
}

const MS_PER_SECOND = 1_000;
/** The clock that counts suspension may be read in whole seconds. */
const BOOT_RESOLUTION_MS = 1_000;

const readClocks = (): ClockReading => ({
  steadyMs: performance.now(),
  bootMs: os.uptime() * MS_PER_SECOND,
});

/** Makes a clock for what is confirmed from time to time. */
export const makeViewClock = (read: () => ClockReading = readClocks): ViewClock => {
  let last: ClockReading | null = null;
  return {
    take: read,
    confirm: (reading) => {
      if (last === null || reading.steadyMs > last.steadyMs) {
        last = reading;
      }
    },
    getAgeMs: () => {
      if (last === null) {
        return Infinity;
      }
      const now = read();
      const steadyMs = now.steadyMs - last.steadyMs;
      const bootMs = now.bootMs - last.bootMs;
      return bootMs > steadyMs + BOOT_RESOLUTION_MS ? bootMs : steadyMs;
    },
  };
};

/** Largest pause that an upstream may ask for, in milliseconds. */
export const MAX_REST_MS = 60_000;

/** Pause that an answer asks for. */
export interface RestTime {
  /** In milliseconds, from 0 to `MAX_REST_MS`; null if the answer asks for none or its text cannot be read. */
  readonly restMs: number | null;
  /** Text that cannot be read or is out of range, for the log; else null. */
  readonly problem: string | null;
}

/** Parses the seconds, which may have a fraction, after which an upstream wants requests again. */
export const parseRestTime = (text: string | null): RestTime => {
  if (text === null) {
    return { restMs: null, problem: null };
  }
  const restMs = text.trim() === '' ? NaN : Number(text) * 1_000;
  if (!Number.isFinite(restMs) || restMs < 0) {
    return { restMs: null, problem: text };
  }
  return restMs > MAX_REST_MS ? { restMs: MAX_REST_MS, problem: text } : { restMs, problem: null };
};

import type * as pino from 'pino';

/** Why something of a caller was refused or closed to keep within the bounds of the process. */
export type CrowdReason =
  'bodyTooLarge' | 'bodyCrowded' | 'bodyLate' | 'bodyBroken' | 'sentAhead' | 'tooManyConnections';

/** Counts what was refused or closed to keep within the bounds of the process. */
export interface CrowdRecord {
  readonly record: (reason: CrowdReason) => void;
  /** Returns the counts since the start, by reason. */
  readonly getCounts: () => ReadonlyMap<CrowdReason, number>;
  readonly stop: () => void;
}

/** Interval between two log lines, in milliseconds. */
const LOG_MS = 1_000;

/** Makes a record that logs what it counts, once a second at most; `countBytes` returns what the process holds. */
export const makeCrowdRecord = (log: pino.Logger, countBytes: () => number): CrowdRecord => {
  const counts = new Map<CrowdReason, number>();
  let recent = new Map<CrowdReason, number>();
  let timer: NodeJS.Timeout | null = null;
  const write = (): void => {
    timer = null;
    log.warn({ reasons: Object.fromEntries(recent), heldBytes: countBytes() }, 'callers bounded');
    recent = new Map();
  };
  return {
    record: (reason) => {
      counts.set(reason, (counts.get(reason) ?? 0) + 1);
      recent.set(reason, (recent.get(reason) ?? 0) + 1);
      if (timer === null) {
        timer = setTimeout(write, LOG_MS);
        timer.unref();
      }
    },
    getCounts: () => counts,
    stop: () => {
      if (timer !== null) {
        clearTimeout(timer);
        write();
      }
    },
  };
};

/** One billed request. */
export interface LedgerEntry {
  readonly requestId: string;
  readonly customer: string;
  readonly plan: string;
  readonly model: string;
  readonly version: string;
  readonly upstream: string;
  readonly tokensIn: number;
  readonly tokensOut: number;
  /** Price, in millionths of the billing currency. */
  readonly costMicros: number;
  /** Time at which the answer ended, in milliseconds since the epoch. */
  readonly atMs: number;
}

/**
 * Deduplicates entries by request id, because an entry can be written more than once.
 * Keeps the entry with the earliest time per id, so the result does not depend on the read order.
 */
export const foldLedger = (entries: Iterable<LedgerEntry>): ReadonlyMap<string, LedgerEntry> => {
  const folded = new Map<string, LedgerEntry>();
  Array.from(entries).forEach((entry) => {
    const earliest = folded.get(entry.requestId);
    if (earliest === undefined || entry.atMs < earliest.atMs) {
      folded.set(entry.requestId, entry);
    }
  });
  return folded;
};

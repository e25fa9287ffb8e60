import * as shared from '@jayrock/shared';
import type * as fleets from './fleet.js';
import * as load from './load.js';

/** Outcome of the load during one fault: a row of the printed table. */
export interface FaultReport {
  readonly fault: string;
  readonly requests: number;
  readonly served: number;
  /** Requests that their caller had to resend. */
  readonly sentAgain: number;
  readonly refused: number;
  /** Acknowledged answers without an entry in the ledger. */
  readonly lost: number;
  /** Non-idempotent calls that ran more than once. */
  readonly duplicated: number;
  /** Requests with entries that differ in model or cost, so that folding could bill the wrong one. */
  readonly doubleBilled: number;
  /** Refusals with "not run" of requests that did start. */
  readonly falseNotRun: number;
  /** Complete answers that differ from the one expected for the request. */
  readonly wrongAnswers: number;
  /** Longest time in which no request without a claim was served, in milliseconds. */
  readonly longestGapMs: number;
  readonly refusalCodes: Readonly<Record<string, number>>;
}

/** Reads all entries of the ledger, duplicates included. */
export const readEntries = (fleet: fleets.Fleet): readonly shared.ledgerEntry.LedgerEntry[] =>
  fleet.store.table
    .list('ledger/')
    .flatMap((row) => JSON.parse(row.value) as shared.ledgerEntry.LedgerEntry[]);

/** Computes the longest gap in service; a gap after the last send is no outage and does not count. */
const computeLongestGap = (results: readonly load.TrackedRequest[]): number => {
  const lastSentMs = Math.max(...results.map((tracked) => tracked.startedAtMs));
  const times = results
    .filter((tracked) => tracked.finalResult.isWhole && tracked.kind !== 'issue')
    .map((tracked) => Math.min(tracked.endedAtMs, lastSentMs))
    .toSorted((a, b) => a - b);
  return times.reduce(
    (longest, time, index) => Math.max(longest, time - (times[index - 1] ?? time)),
    0,
  );
};

const countCodes = (results: readonly load.TrackedRequest[]): Readonly<Record<string, number>> =>
  results
    .filter((tracked) => !tracked.finalResult.isWhole)
    .reduce<Readonly<Record<string, number>>>((counts, tracked) => {
      const code = `${tracked.kind}:${tracked.finalResult.code ?? tracked.finalResult.status}`;
      return { ...counts, [code]: (counts[code] ?? 0) + 1 };
    }, {});

const countConflictingEntries = (entries: readonly shared.ledgerEntry.LedgerEntry[]): number => {
  const costs = new Map<string, Set<string>>();
  entries.forEach((entry) => {
    const known = costs.get(entry.requestId) ?? new Set<string>();
    known.add(`${entry.model}|${entry.costMicros}`);
    costs.set(entry.requestId, known);
  });
  return Array.from(costs.values()).filter((known) => known.size > 1).length;
};

/** Compares what callers received with the runs on upstreams and the entries of the ledger. */
export const evaluateRun = (
  fault: string,
  fleet: fleets.Fleet,
  results: readonly load.TrackedRequest[],
): FaultReport => {
  const entries = readEntries(fleet);
  const folded = shared.ledgerEntry.foldLedger(entries);
  const served = results.filter((tracked) => tracked.finalResult.isWhole);
  const ids = new Set(results.map((tracked) => tracked.requestId));
  return {
    fault,
    requests: results.length,
    served: served.length,
    sentAgain: results.filter((tracked) => tracked.tries > 1).length,
    refused: results.length - served.length,
    lost: served.filter((tracked) => !folded.has(tracked.requestId)).length,
    duplicated: results.filter(
      (tracked) => tracked.kind === 'issue' && (fleet.runCounts.get(tracked.requestId) ?? 0) > 1,
    ).length,
    doubleBilled: countConflictingEntries(entries.filter((entry) => ids.has(entry.requestId))),
    falseNotRun: results.reduce((sum, tracked) => sum + tracked.falseNotRun, 0),
    wrongAnswers: served.filter((tracked) => !load.hasExpectedAnswer(tracked)).length,
    longestGapMs: computeLongestGap(results),
    refusalCodes: countCodes(results),
  };
};

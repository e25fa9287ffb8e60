import * as immutable from 'immutable';
import * as canaryEvidence from './canaryEvidence.js';

/** Order of an operator to move a service's traffic to a version. */
export interface RolloutOrder {
  readonly service: string;
  readonly to: string;
  /** Time within which the roll-out should complete, in milliseconds. */
  readonly periodMs: number;
  /** Revision of the order in the store; distinguishes two orders for the same version. */
  readonly revision: number;
}

/** Stage of a roll-out; `completed` and `rolledBack` are final. */
export type CanaryStage = 'running' | 'completed' | 'rolledBack';

/** Canary roll-out of a version, with the evidence that this router has. */
export interface Canary {
  readonly order: RolloutOrder;
  readonly stage: CanaryStage;
  /** Largest share of the period's requests that a bad version may receive, from 0 to 1. */
  readonly exposureShare: number;
  /** Time at which any router first saw the order, on this router's clock, in milliseconds. */
  readonly startedAtMs: number;
  /** True once this router or a peer has found the version bad. */
  readonly isBad: boolean;
  /** Evidence by source, epoch, kind and version. */
  readonly rows: immutable.Map<string, SourcedRow>;
  /** Requests in flight on the previous versions, by source, with the time of the report. */
  readonly previousInFlight: immutable.Map<string, InFlightReport>;
  /** Time at which the outcome was last sent to the store, in milliseconds. */
  readonly outcomeProposedAtMs: number;
}

/** An evidence row with the router or zone that counted it. */
export interface SourcedRow {
  readonly source: string;
  readonly row: canaryEvidence.EvidenceRow;
}

/** Report of one router to another on a canary. */
export interface CanaryReport {
  /** Id of the router that counted the rows, or `zone:` and the name of the zone whose routers did. */
  readonly source: string;
  readonly service: string;
  readonly revision: number;
  readonly isBad: boolean;
  readonly rows: readonly canaryEvidence.EvidenceRow[];
  /** Requests in flight on the versions that the roll-out replaces. */
  readonly oldRunning: number;
}

/** Number of requests in flight on the versions that a roll-out replaces, with the time of the report. */
export interface InFlightReport {
  readonly count: number;
  readonly atMs: number;
}

// The next four constants divide the exposure share over the period. A fault may show only under a load that the
// version has not yet had, so evidence cannot limit the exposure before the end; only the schedule does. The
// constants leave headroom for a load near the end that is 50 % above the average.

/** Share of the sessions on the version before the ramp, relative to the exposure share. */
const CANARY_PART = 0.35;
/** Part of the period in which the share ramps up to all sessions, relative to the exposure share. */
const RAMP_PART = 0.1;
/** Part of the period that remains when all sessions are on the version, relative to the exposure share. */
const TAIL_PART = 0.4;
/**
 * Part of the period that remains when the roll-out may complete, relative to the exposure share; by then all
 * traffic has been evidence for a while.
 */
const END_PART = 0.27;
/**
 * Remaining time at which the roll-out completes even with requests in flight on previous versions, in
 * milliseconds: the order may have been seen late, and the record must be written and the previous versions
 * stopped before the period ends.
 */
const FORCED_COMPLETION_MS = 800;
/** Age above which a report of requests in flight on the previous versions is ignored, in milliseconds. */
const IDLE_REPORT_MS = 2_500;

/** Makes the state of the canary for an order, without evidence. */
export const makeCanary = (
  order: RolloutOrder,
  stage: CanaryStage,
  startedAtMs: number,
  exposureShare: number,
): Canary => ({
  order,
  stage,
  exposureShare,
  startedAtMs,
  isBad: false,
  rows: immutable.Map(),
  previousInFlight: immutable.Map(),
  outcomeProposedAtMs: -Infinity,
});

/** Returns whether two orders ask for the same, whatever their revisions. */
export const isEqualOrder = (a: RolloutOrder, b: RolloutOrder): boolean =>
  a.service === b.service && a.to === b.to && a.periodMs === b.periodMs;

/** Computes the elapsed part of the period, from 0; above 1 after its end. */
const computeProgress = (canary: Canary, nowMs: number): number =>
  (nowMs - canary.startedAtMs) / Math.max(1, canary.order.periodMs);

/** Computes the part of the period after which all sessions are on the version. */
const computeRampEnd = (canary: Canary): number => 1 - canary.exposureShare * TAIL_PART;

/** Returns the share of the sessions that run on the version, from 0 to 1. */
export const getTrafficShare = (canary: Canary, nowMs: number): number => {
  if (canary.isBad || canary.stage === 'rolledBack') {
    return 0;
  }
  if (canary.stage === 'completed') {
    return 1;
  }
  const initialShare = canary.exposureShare * CANARY_PART;
  const remainingRamp = computeRampEnd(canary) - computeProgress(canary, nowMs);
  const rampProgress = 1 - remainingRamp / (canary.exposureShare * RAMP_PART);
  return Math.min(1, Math.max(initialShare, initialShare + (1 - initialShare) * rampProgress));
};

const makeRowKey = (source: string, row: canaryEvidence.EvidenceRow): string =>
  `${source}|${row.epoch}|${row.kind}|${row.isNew}`;

/** Records an answer to a request of this router; `elapsedMs` is null for a failure. */
export const recordAnswer = (
  canary: Canary,
  source: string,
  answer: { readonly kind: string; readonly isNew: boolean; readonly elapsedMs: number | null },
  nowMs: number,
): Canary => {
  const empty: canaryEvidence.EvidenceRow = {
    epoch: Math.max(0, Math.floor((nowMs - canary.startedAtMs) / canaryEvidence.EPOCH_MS)),
    kind: answer.kind,
    isNew: answer.isNew,
    answers: 0,
    failures: 0,
    logSum: 0,
    logSquareSum: 0,
    timed: 0,
  };
  const key = makeRowKey(source, empty);
  const row = canaryEvidence.addAnswer(canary.rows.get(key)?.row ?? empty, answer.elapsedMs);
  return { ...canary, rows: canary.rows.set(key, { source, row }) };
};

/** Merges the rows of a peer's report; a row with more answers replaces an earlier one, so merging is idempotent. */
export const mergeReport = (
  canary: Canary,
  source: string,
  rows: readonly canaryEvidence.EvidenceRow[],
  inFlightCount: number,
  nowMs: number,
): Canary => ({
  ...canary,
  rows: rows.reduce((merged, row) => {
    const key = makeRowKey(source, row);
    const existing = merged.get(key);
    return existing !== undefined && existing.row.answers >= row.answers
      ? merged
      : merged.set(key, { source, row });
  }, canary.rows),
  previousInFlight: canary.previousInFlight.set(source, { count: inFlightCount, atMs: nowMs }),
});

/** Lists a source's rows of the last epochs, which peers may not have received yet. */
export const listRecentRows = (
  canary: Canary,
  source: string,
  epochs: number,
  nowMs: number,
): readonly canaryEvidence.EvidenceRow[] => {
  const first = Math.floor((nowMs - canary.startedAtMs) / canaryEvidence.EPOCH_MS) - epochs;
  return canary.rows
    .valueSeq()
    .filter((sourced) => sourced.source === source && sourced.row.epoch >= first)
    .map((sourced) => sourced.row)
    .toArray();
};

/** Marks the version as bad if the evidence of all sources shows it; a bad version stays bad. */
export const evaluateCanary = (canary: Canary): Canary => {
  if (canary.isBad || canary.stage !== 'running') {
    return canary;
  }
  const rows = canary.rows.valueSeq().map((sourced) => sourced.row);
  return rows.some((row) => row.isNew) && canaryEvidence.isBadVersion(rows.toArray())
    ? { ...canary, isBad: true }
    : canary;
};

/** Returns whether neither this router nor any recent report has requests in flight on the previous versions. */
const isPreviousIdle = (canary: Canary, ownInFlight: number, nowMs: number): boolean =>
  ownInFlight === 0 &&
  canary.previousInFlight.every(
    (report) => report.count === 0 || nowMs - report.atMs > IDLE_REPORT_MS,
  );

/** Returns the outcome with which a running canary should end now, or null while it continues. */
export const evaluateOutcome = (
  canary: Canary,
  ownInFlight: number,
  nowMs: number,
): 'completed' | 'rolledBack' | null => {
  if (canary.stage !== 'running') {
    return null;
  }
  if (canary.isBad) {
    return 'rolledBack';
  }
  const progress = computeProgress(canary, nowMs);
  const remainingMs = (1 - progress) * canary.order.periodMs;
  const canStopPrevious =
    remainingMs <= FORCED_COMPLETION_MS || isPreviousIdle(canary, ownInFlight, nowMs);
  const isComplete = progress >= 1 - canary.exposureShare * END_PART && canStopPrevious;
  return isComplete ? 'completed' : null;
};

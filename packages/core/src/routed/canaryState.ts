import * as immutable from 'immutable';
import * as canaryEvidence from './canaryEvidence.js';

/** An operator's order to move a service's traffic to a version. */
export interface RolloutOrder {
  readonly service: string;
  readonly to: string;
  /** Time within which the roll-out should be done, in milliseconds. */
  readonly periodMs: number;
  /** Revision of the order in the store, which tells two orders for one version apart. */
  readonly revision: number;
}

/** How far a roll-out has come. */
export type CanaryStage = 'running' | 'completed' | 'rolledBack';

/** Roll-out of a version as this router sees it. */
export interface Canary {
  readonly order: RolloutOrder;
  readonly stage: CanaryStage;
  /** Share of the period's requests that a bad version may get. */
  readonly exposureShare: number;
  /** Time at which the order was first seen by any router, in this router's milliseconds. */
  readonly startedAtMs: number;
  /** True once this router or a peer has judged the version bad. */
  readonly isBad: boolean;
  /** Evidence by source, epoch, kind and version. */
  readonly rows: immutable.Map<string, SourcedRow>;
  /** Requests still running on other versions, by router, with the time it was told. */
  readonly previousInFlight: immutable.Map<string, InFlightReport>;
  /** Time at which the last decision was handed to the store, in milliseconds. */
  readonly outcomeProposedAtMs: number;
}

/** A row with the router that counted it. */
export interface SourcedRow {
  readonly source: string;
  readonly row: canaryEvidence.EvidenceRow;
}

/** What one router tells another of a version on trial. */
export interface CanaryReport {
  /** Router that counted the rows, or the zone whose routers did. */
  readonly source: string;
  readonly service: string;
  readonly revision: number;
  readonly isBad: boolean;
  readonly rows: readonly canaryEvidence.EvidenceRow[];
  readonly oldRunning: number;
}

/** Requests a router still runs on versions that a roll-out replaces. */
export interface InFlightReport {
  readonly count: number;
  readonly atMs: number;
}

/**
 * How the allowed share of a period's requests is spent. A version may be bad in a way that shows only under a
 * load it has not had yet, so no evidence bounds its share before the end: the schedule alone does. The parts
 * leave room for a load that is half as high again near the end as on average.
 */
/** Sessions on the version while it is on trial, as a part of the allowed share. */
const CANARY_PART = 0.35;
/** Part of the period in which the share grows to all sessions, as a part of the allowed share. */
const RAMP_PART = 0.1;
/** Part of the period left once all sessions are on the version, as a part of the allowed share. */
const TAIL_PART = 0.4;
/** Part of the period left once all traffic has been evidence for a while, as a part of the allowed share. */
const END_PART = 0.27;
/**
 * Time left at which it ends even if old requests still run, in milliseconds: the order may have been seen late,
 * and the record has to be written and the old versions stopped in time.
 */
const LATEST_LEFT_MS = 800;
/** Time for which old versions must have been idle before they may stop, in milliseconds. */
const IDLE_REPORT_MS = 2_500;

/** Makes the trial of an order. */
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

const computeProgress = (trial: Canary, nowMs: number): number =>
  (nowMs - trial.startedAtMs) / Math.max(1, trial.order.periodMs);

/** Part of the period at which all sessions are on the version. */
const computeRampEnd = (trial: Canary): number => 1 - trial.exposureShare * TAIL_PART;

/** Returns the share of sessions that go to the version, from 0 to 1. */
export const getTrafficShare = (trial: Canary, nowMs: number): number => {
  if (trial.isBad || trial.stage === 'rolledBack') {
    return 0;
  }
  if (trial.stage === 'completed') {
    return 1;
  }
  const trialShare = trial.exposureShare * CANARY_PART;
  const leftOfRamp = computeRampEnd(trial) - computeProgress(trial, nowMs);
  const ramped = 1 - leftOfRamp / (trial.exposureShare * RAMP_PART);
  return Math.min(1, Math.max(trialShare, trialShare + (1 - trialShare) * ramped));
};

const makeRowKey = (source: string, row: canaryEvidence.EvidenceRow): string =>
  `${source}|${row.epoch}|${row.kind}|${row.isNew}`;

/** Counts an answer of this router. */
export const recordAnswer = (
  trial: Canary,
  source: string,
  answer: { readonly kind: string; readonly isNew: boolean; readonly elapsedMs: number | null },
  nowMs: number,
): Canary => {
  const empty: canaryEvidence.EvidenceRow = {
    epoch: Math.max(0, Math.floor((nowMs - trial.startedAtMs) / canaryEvidence.EPOCH_MS)),
    kind: answer.kind,
    isNew: answer.isNew,
    answers: 0,
    failures: 0,
    logSum: 0,
    logSquareSum: 0,
    timed: 0,
  };
  const key = makeRowKey(source, empty);
  const row = canaryEvidence.addAnswer(trial.rows.get(key)?.row ?? empty, answer.elapsedMs);
  return { ...trial, rows: trial.rows.set(key, { source, row }) };
};

/** Merges what a peer has counted; a later report of a row replaces an earlier one. */
export const mergeReport = (
  trial: Canary,
  source: string,
  rows: readonly canaryEvidence.EvidenceRow[],
  oldRunning: number,
  nowMs: number,
): Canary => ({
  ...trial,
  rows: rows.reduce((known, row) => {
    const key = makeRowKey(source, row);
    const held = known.get(key);
    return held !== undefined && held.row.answers >= row.answers
      ? known
      : known.set(key, { source, row });
  }, trial.rows),
  previousInFlight: trial.previousInFlight.set(source, { count: oldRunning, atMs: nowMs }),
});

/** Lists a source's rows of the last epochs, which peers may not have yet. */
export const listRecentRows = (
  trial: Canary,
  source: string,
  epochs: number,
  nowMs: number,
): readonly canaryEvidence.EvidenceRow[] => {
  const first = Math.floor((nowMs - trial.startedAtMs) / canaryEvidence.EPOCH_MS) - epochs;
  return trial.rows
    .valueSeq()
    .filter((held) => held.source === source && held.row.epoch >= first)
    .map((held) => held.row)
    .toArray();
};

/** Judges the version by all evidence. */
export const evaluateCanary = (trial: Canary): Canary => {
  if (trial.isBad || trial.stage !== 'running') {
    return trial;
  }
  const rows = trial.rows.valueSeq().map((held) => held.row);
  return rows.some((row) => row.isNew) && canaryEvidence.isBadVersion(rows.toArray())
    ? { ...trial, isBad: true }
    : trial;
};

const isPreviousIdle = (trial: Canary, ownRunning: number, nowMs: number): boolean =>
  ownRunning === 0 &&
  trial.previousInFlight.every(
    (report) => report.count === 0 || nowMs - report.atMs > IDLE_REPORT_MS,
  );

/** Decides how a running trial should end now, or null while it goes on. */
export const evaluateOutcome = (
  trial: Canary,
  ownRunning: number,
  nowMs: number,
): 'completed' | 'rolledBack' | null => {
  if (trial.stage !== 'running') {
    return null;
  }
  if (trial.isBad) {
    return 'rolledBack';
  }
  const progress = computeProgress(trial, nowMs);
  const leftMs = (1 - progress) * trial.order.periodMs;
  const mayStopOld = leftMs <= LATEST_LEFT_MS || isPreviousIdle(trial, ownRunning, nowMs);
  const isDone = progress >= 1 - trial.exposureShare * END_PART && mayStopOld;
  return isDone ? 'completed' : null;
};

import * as immutable from 'immutable';
import * as canaryEvidence from './canaryEvidence.js';
import * as canaryShare from './canaryShare.js';

/** Order of an operator to move a service's traffic to a version. */
export interface RolloutOrder {
  readonly service: string;
  readonly to: string;
  /** Time within which the roll-out should complete, in milliseconds. */
  readonly periodMs: number;
  /**
   * Revision of the order in the store; distinguishes two orders for the same version. It may be given out again after
   * the store has gone back to an older copy, so it does not tell orders apart alone.
   */
  readonly revision: number;
}

/** Stage of a roll-out; `completed` and `rolledBack` are final. */
export type CanaryStage = 'running' | 'completed' | 'rolledBack';

/** Limit on the requests that a bad version may receive: a share of the period's requests and a number in addition. */
export interface ExposureLimit {
  /** From 0 to 1. */
  readonly share: number;
  /** Number of requests. */
  readonly slack: number;
}

/** Answers of all routers during a roll-out. */
export interface PooledCounts {
  readonly answers: number;
  /** Those of the new version. */
  readonly newAnswers: number;
  /** Answers per second in the last epochs. */
  readonly perSecond: number;
  /** Time of the count, in milliseconds. */
  readonly atMs: number;
}

/** Canary roll-out of a version, with the evidence that this router has. */
export interface Canary {
  readonly order: RolloutOrder;
  readonly stage: CanaryStage;
  readonly exposure: ExposureLimit;
  /** Time at which any router first saw the order, on this router's clock, in milliseconds. */
  readonly startedAtMs: number;
  /**
   * Time since which this router has known the start from wall clocks alone, in milliseconds; null if a router whose
   * steady clock has run since it saw the order without a record is known to confirm it.
   */
  readonly unwitnessedSinceMs: number | null;
  /** True once this router or a peer has found the version bad. */
  readonly isBad: boolean;
  /** Versions that earlier roll-outs of the service have rolled back; no request runs on them. */
  readonly withdrawn: readonly string[];
  /** Versions that served without a bound when the order came, as far as they are known. */
  readonly serving: readonly string[];
  /** True if the order is for one of these, which needs no trial. */
  readonly isReturn: boolean;
  /** Earlier orders of the service that were neither completed nor rolled back, the latest first. */
  readonly superseded: readonly Canary[];
  /** Share of the sessions that stay on the version once the order was replaced or removed, from 0 to 1; null before. */
  readonly sessionShare: number | null;
  /** Start of the hashes of the version, from 0 to 1; those of earlier orders that had not ended come before. */
  readonly offset: number;
  /** Share of the sessions that an earlier order for the version had brought there, from 0 to 1. */
  readonly sessionFloor: number;
  /** Evidence by source, epoch, kind and version. */
  readonly rows: immutable.Map<string, SourcedRow>;
  /** Epochs and kinds in which a rejection is known; the rows of the others say nothing to peers. */
  readonly rejecting: immutable.Set<string>;
  /** Callers of this router that were counted, by version and kind, with the epoch, or Infinity once one was rejected. */
  readonly callers: immutable.Map<string, number>;
  /** Answers of all routers, or null while this router does not know them. */
  readonly pooled: PooledCounts | null;
  /** Requests in flight on the previous versions, by source, with the time of the report. */
  readonly previousInFlight: immutable.Map<string, InFlightReport>;
  /** Time at which the evidence was last evaluated, in milliseconds. */
  readonly evaluatedAtMs: number;
  /** Time at which the outcome was last sent to the store, in milliseconds. */
  readonly outcomeProposedAtMs: number;
}

/** An evidence row with the router or zone that counted it. */
export interface SourcedRow {
  readonly source: string;
  readonly row: canaryEvidence.EvidenceRow;
}

/** Age of an order, as one router tells it to another. */
export interface CanaryAge {
  readonly service: string;
  readonly revision: number;
  /** Version that is ordered; reports of the former build have none. */
  readonly to?: string;
  /** Age of the order by the steady clock of the sender, in milliseconds; the former build tells none. */
  readonly ageMs?: number;
  /** True if that age goes back to a router that saw the order without a record, and so to no wall clock. */
  readonly isWitnessed?: boolean;
}

/** Report of one router to another on a canary. */
export interface CanaryReport extends CanaryAge {
  /** Id of the router that counted the rows, or `zone:` and the name of the zone whose routers did. */
  readonly source: string;
  readonly isBad: boolean;
  readonly rows: readonly canaryEvidence.EvidenceRow[];
  /** Requests in flight on the versions that the roll-out replaces. */
  readonly oldRunning: number;
  /** Answers of all routers, for a router that does not get the evidence; null in other reports. */
  readonly pooled?: Omit<PooledCounts, 'atMs'> | null;
  /** Share of the sessions that stay on the version, if another order has followed; the former build tells none. */
  readonly sessionShare?: number;
  /** Start of the hashes of that version, from 0 to 1. */
  readonly offset?: number;
}

/** Number of requests in flight on the versions that a roll-out replaces, with the time of the report. */
export interface InFlightReport {
  readonly count: number;
  readonly atMs: number;
}

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
/**
 * Remaining time at which a router that does not have the evidence of all routers may complete a roll-out, in
 * milliseconds; those that have it decide before.
 */
const UNPOOLED_COMPLETION_MS = 300;
/** Epochs over which the current rate of answers is counted. */
const RATE_EPOCHS = 2;
/** Answers that a version should have had by its share, from which none shows that it could not be tried. */
const MIN_EXPECTED_ANSWERS = 5;
/** Age above which a report no longer tells what its sender knows, in milliseconds. */
const RECENT_REPORT_MS = 2_500;
/**
 * Time within which a router that knows the age of an order from wall clocks alone ends no roll-out by its schedule, in
 * milliseconds; a peer that knows better has reported several times by then.
 */
const WITNESS_WAIT_MS = 2_000;

/** Makes the state of the canary for an order, without evidence. */
export const makeCanary = (
  order: RolloutOrder,
  stage: CanaryStage,
  startedAtMs: number,
  exposure: ExposureLimit,
  unwitnessedSinceMs: number | null = null,
): Canary => ({
  order,
  stage,
  exposure,
  startedAtMs,
  unwitnessedSinceMs,
  isBad: false,
  withdrawn: [],
  serving: [],
  isReturn: false,
  superseded: [],
  sessionShare: null,
  offset: 0,
  sessionFloor: 0,
  rows: immutable.Map(),
  rejecting: immutable.Set(),
  callers: immutable.Map(),
  pooled: null,
  previousInFlight: immutable.Map(),
  evaluatedAtMs: -Infinity,
  outcomeProposedAtMs: -Infinity,
});

/** Most versions of a service that are remembered as withdrawn. */
const MAX_WITHDRAWN = 16;

/** Lists the versions that are withdrawn once an order follows a canary, without the version that it orders. */
export const listWithdrawn = (
  previous: Pick<Canary, 'stage' | 'isBad' | 'withdrawn'> & { readonly to: string },
  order: RolloutOrder,
): readonly string[] => {
  const isWithdrawn =
    previous.stage === 'rolledBack' || (previous.isBad && previous.stage === 'running');
  return Array.from(new Set([...previous.withdrawn, ...(isWithdrawn ? [previous.to] : [])]))
    .filter((version) => version !== order.to)
    .slice(-MAX_WITHDRAWN);
};

/** Returns whether two orders are the same; their revisions may differ if one may have been written again. */
export const isSameOrder = (a: RolloutOrder, b: RolloutOrder, mayBeRewritten = false): boolean =>
  a.service === b.service &&
  a.to === b.to &&
  a.periodMs === b.periodMs &&
  (mayBeRewritten || a.revision === b.revision);

/**
 * Sets the counts of all routers unless later ones are known; they stay as they are during the ramp, since sessions must not
 * go back.
 */
const withPooled = (canary: Canary, pooled: PooledCounts, nowMs: number): Canary =>
  canaryShare.isRamping(canary, nowMs) || (canary.pooled?.atMs ?? -Infinity) > pooled.atMs
    ? canary
    : { ...canary, pooled };

/** Counts the answers in the evidence, which must be that of all routers, unless the ramp has begun. */
export const countPooled = (canary: Canary, nowMs: number): Canary => {
  if (canaryShare.isRamping(canary, nowMs)) {
    return canary;
  }
  const rows = canaryEvidence.listAnswerRows(
    canary.rows
      .valueSeq()
      .map((sourced) => sourced.row)
      .toArray(),
  );
  const epoch = Math.floor((nowMs - canary.startedAtMs) / canaryEvidence.EPOCH_MS);
  const isRecent = (row: canaryEvidence.EvidenceRow): boolean =>
    row.epoch < epoch && row.epoch >= epoch - RATE_EPOCHS;
  const { answers } = canaryEvidence.sumRows(rows);
  const epochs = Math.min(RATE_EPOCHS, epoch);
  return {
    ...canary,
    pooled: {
      answers,
      newAnswers: canaryEvidence.sumRows(rows.filter((row) => row.isNew)).answers,
      perSecond: epochs <= 0 ? 0 : canaryEvidence.sumRows(rows.filter(isRecent)).answers / epochs,
      atMs: nowMs,
    },
  };
};

/** Names a row of a source. */
export const makeRowKey = (source: string, row: canaryEvidence.EvidenceRow): string =>
  `${source}|${row.epoch}|${row.kind}|${row.measure}|${row.isNew}`;

/** Names the epoch and kind of a row. */
const makeStratumKey = ({ epoch, kind }: canaryEvidence.EvidenceRow): string => `${epoch}|${kind}`;

const computeEpoch = (canary: Canary, nowMs: number): number =>
  Math.max(0, Math.floor((nowMs - canary.startedAtMs) / canaryEvidence.EPOCH_MS));

/** Changes a row of a router's own evidence in the current epoch. */
const updateRow = (
  canary: Canary,
  source: string,
  kind: Pick<canaryEvidence.EvidenceRow, 'kind' | 'measure' | 'isNew'>,
  nowMs: number,
  change: (row: canaryEvidence.EvidenceRow) => canaryEvidence.EvidenceRow,
): Canary => {
  const empty = canaryEvidence.makeRow({ epoch: computeEpoch(canary, nowMs), ...kind });
  const key = makeRowKey(source, empty);
  const row = change(canary.rows.get(key)?.row ?? empty);
  return { ...canary, rows: canary.rows.set(key, { source, row }) };
};

/** Records an answer to a request of this router, or the time between its events; `elapsedMs` is null for a failure. */
export const recordAnswer = (
  canary: Canary,
  source: string,
  answer: {
    readonly kind: string;
    readonly measure?: canaryEvidence.TimedMeasure;
    readonly isNew: boolean;
    readonly elapsedMs: number | null;
  },
  nowMs: number,
): Canary => {
  const { kind, measure = 'answer', isNew, elapsedMs } = answer;
  return updateRow(canary, source, { kind, measure, isNew }, nowMs, (row) =>
    canaryEvidence.addAnswer(row, elapsedMs),
  );
};

/** Most callers that a router tells apart; further ones are not counted. */
const MAX_CALLERS = 20_000;

/**
 * Records that a caller of this router got an answer. Requests of one caller stay on one version, so they are counted
 * once an epoch, and no more once one was rejected; `caller` is null for a request that has none.
 */
export const recordCaller = (
  canary: Canary,
  source: string,
  answer: {
    readonly kind: string;
    readonly isNew: boolean;
    readonly caller: string | null;
    readonly isRejected: boolean;
  },
  nowMs: number,
): Canary => {
  const { kind, isNew, caller, isRejected } = answer;
  const key = `${isNew}|${kind}|${caller}`;
  const epoch = computeEpoch(canary, nowMs);
  const counted = caller === null ? undefined : canary.callers.get(key);
  const isCounted = counted === Infinity || (counted === epoch && !isRejected);
  const isUnknown = caller !== null && counted === undefined;
  if (isCounted || (isUnknown && canary.callers.size >= MAX_CALLERS)) {
    return canary;
  }
  const updated = updateRow(
    canary,
    source,
    { kind, measure: 'rejection', isNew },
    nowMs,
    (row) => ({
      ...row,
      answers: row.answers + Number(counted !== epoch),
      failures: row.failures + Number(isRejected),
    }),
  );
  const told = isRejected
    ? { ...updated, rejecting: updated.rejecting.add(`${epoch}|${kind}`) }
    : updated;
  return caller === null
    ? told
    : { ...told, callers: told.callers.set(key, isRejected ? Infinity : epoch) };
};

/**
 * Returns the time at which a report was sent, on this router's clock, in milliseconds. It may have waited while this router
 * stood still; the age of the order that it tells dates it, unless that comes from wall clocks.
 */
const getReportedAtMs = (
  canary: Canary,
  told: Pick<CanaryReport, 'ageMs' | 'isWitnessed'>,
  nowMs: number,
): number =>
  told.ageMs === undefined || told.isWitnessed !== true
    ? nowMs
    : Math.min(nowMs, canary.startedAtMs + told.ageMs);

/** Merges a peer's report; a row with more answers or failures replaces an earlier one, so merging is idempotent. */
export const mergeReport = (
  canary: Canary,
  report: Pick<CanaryReport, 'source' | 'rows' | 'oldRunning' | 'pooled' | 'ageMs' | 'isWitnessed'>,
  nowMs: number,
): Canary => {
  const { source, rows, oldRunning, pooled = null } = report;
  const atMs = getReportedAtMs(canary, report, nowMs);
  const counted = pooled === null ? canary : withPooled(canary, { ...pooled, atMs }, nowMs);
  return {
    ...counted,
    rows: rows.reduce((merged, row) => {
      const key = makeRowKey(source, row);
      const existing = merged.get(key);
      return existing !== undefined &&
        existing.row.answers >= row.answers &&
        existing.row.failures >= row.failures
        ? merged
        : merged.set(key, { source, row });
    }, canary.rows),
    rejecting: canary.rejecting.union(
      rows
        .filter((row) => row.measure === 'rejection' && row.failures > 0)
        .map((row) => makeStratumKey(row)),
    ),
    previousInFlight:
      (canary.previousInFlight.get(source)?.atMs ?? -Infinity) > atMs
        ? canary.previousInFlight
        : canary.previousInFlight.set(source, { count: oldRunning, atMs }),
  };
};

/**
 * Merges the age of the order that a peer tells. Each age that a steady clock has counted is at most the true one, so the
 * greater one holds; one that goes back to wall clocks may be too great, and yields to any that does not.
 */
export const mergeAge = (
  canary: Canary,
  told: Pick<CanaryReport, 'ageMs' | 'isWitnessed'>,
  nowMs: number,
): Canary => {
  const isOwnWitnessed = canary.unwitnessedSinceMs === null;
  const isToldWitnessed = told.isWitnessed === true;
  if (told.ageMs === undefined || (isOwnWitnessed && !isToldWitnessed)) {
    return canary;
  }
  const toldStartMs = nowMs - told.ageMs;
  return isToldWitnessed && !isOwnWitnessed
    ? { ...canary, startedAtMs: toldStartMs, unwitnessedSinceMs: null }
    : { ...canary, startedAtMs: Math.min(canary.startedAtMs, toldStartMs) };
};

/** Lists the rows of the last epochs from some sources, which peers may not have received yet. */
export const listRecentRows = (
  canary: Canary,
  sources: ReadonlySet<string>,
  epochs: number,
  nowMs: number,
): readonly canaryEvidence.EvidenceRow[] => {
  const first = Math.floor((nowMs - canary.startedAtMs) / canaryEvidence.EPOCH_MS) - epochs;
  return canary.rows
    .valueSeq()
    .filter(
      ({ source, row }) =>
        row.epoch >= first &&
        sources.has(source) &&
        (row.measure !== 'rejection' || canary.rejecting.has(makeStratumKey(row))),
    )
    .map((sourced) => sourced.row)
    .toArray();
};

/** Marks the version as bad if the evidence of all sources shows it; a bad version stays bad. */
export const evaluateCanary = (canary: Canary): Canary => {
  if (canary.isBad || canary.isReturn || canary.stage !== 'running') {
    return canary;
  }
  const rows = canary.rows.valueSeq().map((sourced) => sourced.row);
  return rows.some((row) => row.isNew) && canaryEvidence.isBadVersion(rows.toArray())
    ? { ...canary, isBad: true }
    : canary;
};

/** Returns whether a peer has reported on a canary lately. */
export const hasRecentReport = (canary: Canary, nowMs: number): boolean =>
  canary.previousInFlight.some((report) => nowMs - report.atMs <= RECENT_REPORT_MS);

/** Returns whether neither this router nor any recent report has requests in flight on the previous versions. */
const isPreviousIdle = (canary: Canary, ownInFlight: number, nowMs: number): boolean =>
  ownInFlight === 0 &&
  canary.previousInFlight.every(
    (report) => report.count === 0 || nowMs - report.atMs > RECENT_REPORT_MS,
  );

const hasNewAnswers = (canary: Canary, rows: readonly canaryEvidence.EvidenceRow[]): boolean =>
  rows.some((row) => row.isNew) || (canary.pooled?.newAnswers ?? 0) > 0;

/** Returns whether so many requests ran that some would have run on the version if it could have been tried. */
const shouldHaveNewAnswers = (
  canary: Canary,
  rows: readonly canaryEvidence.EvidenceRow[],
): boolean => {
  const counted = canaryEvidence.sumRows(canaryEvidence.listAnswerRows(rows)).answers;
  const answers = Math.max(counted, canary.pooled?.answers ?? 0);
  return answers * canaryShare.computeBaseShare(canary) >= MIN_EXPECTED_ANSWERS;
};

/** Returns whether a peer may still tell that the age of the order, known from wall clocks alone, is another. */
const mayAgeBeCorrected = (canary: Canary, nowMs: number): boolean =>
  canary.unwitnessedSinceMs !== null && nowMs - canary.unwitnessedSinceMs < WITNESS_WAIT_MS;

/**
 * Returns the outcome with which a running canary should end now, or null while it continues. At the end of the period
 * the version that is more likely bad than not is rolled back, and so is one that could not be tried: that costs a
 * delay, completing it would cost callers for good. A router that cannot know whether others tried it leaves the
 * outcome to them.
 */
export const evaluateOutcome = (
  canary: Canary,
  ownInFlight: number,
  nowMs: number,
  hasAllEvidence = true,
  hasNewUpstreams = true,
): 'completed' | 'rolledBack' | null => {
  if (canary.stage !== 'running') {
    return null;
  }
  if (canary.isBad) {
    return 'rolledBack';
  }
  if (canary.sessionShare !== null) {
    return null;
  }
  if (mayAgeBeCorrected(canary, nowMs)) {
    return null;
  }
  const progress = canaryShare.computeProgress(canary, nowMs);
  const remainingMs = (1 - progress) * canary.order.periodMs;
  const canStopPrevious =
    remainingMs <= FORCED_COMPLETION_MS || isPreviousIdle(canary, ownInFlight, nowMs);
  const isDue =
    progress >= 1 - canary.exposure.share * END_PART &&
    canStopPrevious &&
    (hasAllEvidence || remainingMs <= UNPOOLED_COMPLETION_MS);
  if (!isDue) {
    return null;
  }
  const rows = canary.rows
    .valueSeq()
    .map((sourced) => sourced.row)
    .toArray();
  if (canary.isReturn) {
    return 'completed';
  }
  if (hasNewAnswers(canary, rows)) {
    return canaryEvidence.isLikelyBad(rows) ? 'rolledBack' : 'completed';
  }
  if (!hasAllEvidence && canary.pooled === null) {
    return null;
  }
  return !hasNewUpstreams || shouldHaveNewAnswers(canary, rows) ? 'rolledBack' : 'completed';
};

/** Answers of the versions of one service on one route in one epoch, as one router saw them. */
export interface EvidenceRow {
  /** Number of the epoch since the trial began. */
  readonly epoch: number;
  /** Route and model whose answers are comparable. */
  readonly kind: string;
  /** True for the version on trial. */
  readonly isNew: boolean;
  readonly answers: number;
  readonly failures: number;
  /** Sum of the logarithms of the times to the answer, in milliseconds, and of their squares. */
  readonly logSum: number;
  readonly logSquareSum: number;
  /** Answers whose time was taken. */
  readonly timed: number;
}

/** Totals of rows. */
export type EvidenceTotals = Pick<
  EvidenceRow,
  'answers' | 'failures' | 'logSum' | 'logSquareSum' | 'timed'
>;

/** Length of an epoch, in milliseconds. */
export const EPOCH_MS = 1_000;

/** Failure share assumed of a version before it has answered. */
const PRIOR_FAILURE_SHARE = 0.03;
const PRIOR_ANSWERS = 10;
/** Additional failure share that a bad version is expected to show. */
const BAD_FAILURE_GAP = 0.25;
const MAX_FAILURE_SHARE = 0.95;
/**
 * Log-likelihood ratio from which a version counts as failing. Each of some kinds is judged after each
 * of a thousand answers, so a single comparison has to be far surer than the trial as a whole.
 */
const FAILURE_THRESHOLD = Math.log(100_000);
/** Failures without which no version counts as failing. */
const MIN_FAILURES = 3;
/** Ratio of answer times from which a version counts as slow. */
const SLOW_RATIO = 3;
/** Standard errors by which the ratio must be exceeded. */
const SLOW_STANDARD_ERRORS = 5;
/** Timed answers of each version needed before slowness is judged. */
const MIN_TIMED = 6;
/** Spread of log times assumed at least, since few samples understate it. */
const MIN_LOG_SPREAD = 0.5;

const EMPTY_TOTALS: EvidenceTotals = {
  answers: 0,
  failures: 0,
  logSum: 0,
  logSquareSum: 0,
  timed: 0,
};

/** Adds rows up. */
export const sumRows = (rows: readonly EvidenceRow[]): EvidenceTotals =>
  rows.reduce<EvidenceTotals>(
    (sum, row) => ({
      answers: sum.answers + row.answers,
      failures: sum.failures + row.failures,
      logSum: sum.logSum + row.logSum,
      logSquareSum: sum.logSquareSum + row.logSquareSum,
      timed: sum.timed + row.timed,
    }),
    EMPTY_TOTALS,
  );

/** Adds up rows of one epoch, kind and version that several routers have counted. */
export const mergeRows = (rows: readonly EvidenceRow[]): readonly EvidenceRow[] => {
  const groups = new Map<string, EvidenceRow[]>();
  rows.forEach((row) => {
    const key = `${row.epoch}|${row.kind}|${row.isNew}`;
    groups.set(key, [...(groups.get(key) ?? []), row]);
  });
  return Array.from(groups.values()).flatMap((group) => {
    const [first] = group;
    return first === undefined ? [] : [{ ...first, ...sumRows(group) }];
  });
};

const estimateFailureShare = (old: EvidenceTotals): number =>
  (old.failures + PRIOR_FAILURE_SHARE * PRIOR_ANSWERS) / (old.answers + PRIOR_ANSWERS);

/** Log-likelihood ratio of a failing version against one like the old. */
const computeLogLikelihoodRatio = (totals: EvidenceTotals, usualShare: number): number => {
  const badShare = Math.min(MAX_FAILURE_SHARE, usualShare + BAD_FAILURE_GAP);
  return (
    totals.failures * Math.log(badShare / usualShare) +
    (totals.answers - totals.failures) * Math.log((1 - badShare) / (1 - usualShare))
  );
};

const splitByEpoch = (rows: readonly EvidenceRow[]): readonly EvidenceTotals[] => {
  const epochs = Array.from(new Set(rows.map((row) => row.epoch))).toSorted((a, b) => a - b);
  return epochs.map((epoch) => sumRows(rows.filter((row) => row.epoch === epoch)));
};

/** Cumulative sum over epochs that restarts at zero, so that a late fault shows as soon as an early one. */
const hasFailures = (fresh: readonly EvidenceRow[], old: EvidenceTotals): boolean => {
  const usualShare = estimateFailureShare(old);
  let sum = 0;
  let failures = 0;
  return splitByEpoch(fresh).some((totals) => {
    sum = Math.max(0, sum + computeLogLikelihoodRatio(totals, usualShare));
    failures = sum === 0 ? 0 : failures + totals.failures;
    return sum >= FAILURE_THRESHOLD && failures >= MIN_FAILURES;
  });
};

const computeMean = (totals: EvidenceTotals): number => totals.logSum / Math.max(1, totals.timed);

const computeVariance = (totals: EvidenceTotals): number => {
  const mean = computeMean(totals);
  const spread = totals.logSquareSum / Math.max(1, totals.timed) - mean * mean;
  return Math.max(MIN_LOG_SPREAD ** 2, spread) / Math.max(1, totals.timed);
};

const isSlow = (fresh: EvidenceTotals, old: EvidenceTotals): boolean => {
  if (fresh.timed < MIN_TIMED || old.timed < MIN_TIMED) {
    return false;
  }
  const excess = computeMean(fresh) - computeMean(old) - Math.log(SLOW_RATIO);
  return (
    excess > 0 &&
    excess + Math.log(SLOW_RATIO) >
      SLOW_STANDARD_ERRORS * Math.sqrt(computeVariance(fresh) + computeVariance(old))
  );
};

const listKinds = (rows: readonly EvidenceRow[]): readonly string[] =>
  Array.from(new Set(rows.map((row) => row.kind)));

/** Epochs over which slowness is judged, so that a version that turns slow late is seen. */
const SLOW_EPOCHS = 5;

/** Tells whether the version on trial is bad: as a whole, or on one kind of request. */
export const isBadVersion = (rows: readonly EvidenceRow[]): boolean => {
  const fresh = rows.filter((row) => row.isNew);
  const old = rows.filter((row) => !row.isNew);
  if (hasFailures(fresh, sumRows(old))) {
    return true;
  }
  const lastEpoch = Math.max(...fresh.map((row) => row.epoch));
  return listKinds(fresh).some((kind) => {
    const freshOfKind = fresh.filter((row) => row.kind === kind);
    const oldOfKind = sumRows(old.filter((row) => row.kind === kind));
    const recent = freshOfKind.filter((row) => row.epoch > lastEpoch - SLOW_EPOCHS);
    return (
      hasFailures(freshOfKind, oldOfKind) ||
      isSlow(sumRows(freshOfKind), oldOfKind) ||
      isSlow(sumRows(recent), oldOfKind)
    );
  });
};

/** Adds one answer to a row's totals; `elapsedMs` is null for failures. */
export const addAnswer = (row: EvidenceRow, elapsedMs: number | null): EvidenceRow => {
  const logMs = elapsedMs === null ? 0 : Math.log(Math.max(1, elapsedMs));
  return {
    ...row,
    answers: row.answers + 1,
    failures: row.failures + Number(elapsedMs === null),
    logSum: row.logSum + logMs,
    logSquareSum: row.logSquareSum + logMs * logMs,
    timed: row.timed + Number(elapsedMs !== null),
  };
};

import * as excessTest from './excessTest.js';

/** What the times of a row measure: the time to an answer, or the time between two events of a stream. */
export type TimedMeasure = 'answer' | 'event';
/** What a row counts: answers with their times, or callers and how many of them had a request rejected. */
export type EvidenceMeasure = TimedMeasure | 'rejection';

/** Counts of answers to one kind of request in one epoch, by a service's canary version or by its previous ones. */
export interface EvidenceRow {
  /** Number of the epoch since the start of the roll-out. */
  readonly epoch: number;
  /** Route and model, within which answers are comparable. */
  readonly kind: string;
  readonly measure: EvidenceMeasure;
  /** True for the canary's version. */
  readonly isNew: boolean;
  readonly answers: number;
  readonly failures: number;
  /** Sums of the logarithms of the times in milliseconds, and of their squares. */
  readonly logSum: number;
  readonly logSquareSum: number;
  /** Number of answers with a recorded time. */
  readonly timed: number;
}

/** Sums over evidence rows. */
export type EvidenceTotals = Pick<
  EvidenceRow,
  'answers' | 'failures' | 'logSum' | 'logSquareSum' | 'timed'
>;

/** Length of an epoch, in milliseconds. */
export const EPOCH_MS = 1_000;

/** Prior of the failure share of the previous versions, and its weight as a number of answers. */
const PRIOR_FAILURE_SHARE = 0.03;
const PRIOR_ANSWERS = 10;
/** Amount by which a bad version's failure share exceeds that of the previous versions, in the tested hypothesis. */
const BAD_FAILURE_GAP = 0.25;
/** Upper bound of a bad version's failure share; at 1, a single good answer would rule the hypothesis out. */
const MAX_FAILURE_SHARE = 0.95;
/** Certainty that a test of a version asks for. */
interface Certainty {
  /** Log-likelihood ratio from which the CUSUM test finds a failing version. */
  readonly cusumRatio: number;
  /** Log-likelihood ratio of all answers, of all kinds or of one, from which a version counts as failing. */
  readonly wholeRatio: number;
  readonly wholeKindRatio: number;
  /** Number of failures below which a version does not count as failing. */
  readonly minFailures: number;
  /** Log of the evidence, from 0, from which a version counts as rejecting more than its predecessors. */
  readonly excess: number;
  /** The same for a version that fails more, by however little; Infinity leaves that test out, which is the dearest. */
  readonly failureExcess: number;
  /** Ratio of the mean times of a kind above which a version counts as slow. */
  readonly kindRatio: number;
  /** Standard errors by which the means of the log times of a kind must also differ. */
  readonly kindErrors: number;
  /** Standard errors by which the means over all kinds must differ. */
  readonly pooledErrors: number;
}

/**
 * Each of several kinds is tested after each of about a thousand answers, so a single test must be far more certain
 * than the whole roll-out.
 */
const REPEATED: Certainty = {
  cusumRatio: Math.log(100_000),
  wholeRatio: Math.log(100_000),
  wholeKindRatio: Math.log(100_000),
  minFailures: 3,
  excess: Math.log(1_000),
  failureExcess: Infinity,
  kindRatio: 3,
  kindErrors: 5,
  pooledErrors: 4.5,
};
/** Certainty of the one test at the end of a roll-out. */
const FINAL: Certainty = {
  cusumRatio: Math.log(20_000),
  wholeRatio: Math.log(50),
  wholeKindRatio: Math.log(1_000),
  minFailures: 3,
  excess: Math.log(50),
  failureExcess: Math.log(20),
  kindRatio: 1.8,
  kindErrors: 3.5,
  pooledErrors: 3,
};
/** Timed answers that the canary and the previous versions each need before slowness is evaluated. */
const MIN_TIMED = 6;
/**
 * The same ratio for all kinds of request together. It is lower, because one estimate from all answers varies
 * less, and because a version that delays only some of its answers raises the mean by less.
 */
const POOLED_SLOW_RATIO = 1.35;
/** Timed answers of the canary that the estimate over all kinds needs. */
const MIN_POOLED_TIMED = 20;
/** Lower bound of the standard deviation of log times, since few samples underestimate it. */
const MIN_LOG_SPREAD = 0.5;

const EMPTY_TOTALS: EvidenceTotals = {
  answers: 0,
  failures: 0,
  logSum: 0,
  logSquareSum: 0,
  timed: 0,
};

/** Makes a row without answers. */
export const makeRow = (
  row: Pick<EvidenceRow, 'epoch' | 'kind' | 'measure' | 'isNew'>,
): EvidenceRow => ({ ...row, ...EMPTY_TOTALS });

/** Sums evidence rows. */
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

/** Sums the rows of several routers that have the same epoch, kind and version. */
export const mergeRows = (rows: readonly EvidenceRow[]): readonly EvidenceRow[] => {
  const groups = new Map<string, EvidenceRow[]>();
  rows.forEach((row) => {
    const key = `${row.epoch}|${row.kind}|${row.measure}|${row.isNew}`;
    groups.set(key, [...(groups.get(key) ?? []), row]);
  });
  return Array.from(groups.values()).flatMap((group) => {
    const [first] = group;
    return first === undefined ? [] : [{ ...first, ...sumRows(group) }];
  });
};

/** Estimates the failure share of the previous versions, from 0 to 1, with the prior. */
const estimateFailureShare = (baseline: EvidenceTotals): number =>
  (baseline.failures + PRIOR_FAILURE_SHARE * PRIOR_ANSWERS) / (baseline.answers + PRIOR_ANSWERS);

/** Computes the log-likelihood ratio of a bad version against one that fails as often as the previous versions. */
const computeLogLikelihoodRatio = (totals: EvidenceTotals, baselineShare: number): number => {
  const badShare = Math.min(MAX_FAILURE_SHARE, baselineShare + BAD_FAILURE_GAP);
  return (
    totals.failures * Math.log(badShare / baselineShare) +
    (totals.answers - totals.failures) * Math.log((1 - badShare) / (1 - baselineShare))
  );
};

/** Sums the rows of each epoch, in ascending order of the epochs. */
const splitByEpoch = (rows: readonly EvidenceRow[]): readonly EvidenceTotals[] => {
  const epochs = Array.from(new Set(rows.map((row) => row.epoch))).toSorted((a, b) => a - b);
  return epochs.map((epoch) => sumRows(rows.filter((row) => row.epoch === epoch)));
};

/**
 * Returns whether the candidate fails significantly more often than the baseline: over all its answers, or by a CUSUM
 * test over the epochs. The sum of that test is clamped at zero, so that a late fault is detected as fast as an early
 * one.
 */
const isFailing = (
  candidate: readonly EvidenceRow[],
  baseline: EvidenceTotals,
  certainty: Certainty,
  wholeRatio: number,
): boolean => {
  const baselineShare = estimateFailureShare(baseline);
  const whole = sumRows(candidate);
  if (
    whole.failures >= certainty.minFailures &&
    computeLogLikelihoodRatio(whole, baselineShare) >= wholeRatio
  ) {
    return true;
  }
  let sum = 0;
  let failures = 0;
  return splitByEpoch(candidate).some((totals) => {
    sum = Math.max(0, sum + computeLogLikelihoodRatio(totals, baselineShare));
    failures = sum === 0 ? 0 : failures + totals.failures;
    return sum >= certainty.cusumRatio && failures >= certainty.minFailures;
  });
};

/** Computes the mean of the log times. */
const computeLogMean = (totals: EvidenceTotals): number =>
  totals.logSum / Math.max(1, totals.timed);

/** Computes the variance of the log times. */
const computeLogVariance = (totals: EvidenceTotals): number => {
  const mean = computeLogMean(totals);
  const variance = totals.logSquareSum / Math.max(1, totals.timed) - mean * mean;
  return Math.max(MIN_LOG_SPREAD ** 2, variance);
};

/** Computes the variance of the mean of the log times. */
const computeLogMeanVariance = (totals: EvidenceTotals): number =>
  computeLogVariance(totals) / Math.max(1, totals.timed);

/** Returns whether the candidate's geometric mean time exceeds a ratio to the baseline's, with significance. */
const isSlow = (
  candidate: EvidenceTotals,
  baseline: EvidenceTotals,
  certainty: Certainty,
): boolean => {
  if (candidate.timed < MIN_TIMED || baseline.timed < MIN_TIMED) {
    return false;
  }
  const excess =
    computeLogMean(candidate) - computeLogMean(baseline) - Math.log(certainty.kindRatio);
  return (
    excess > 0 &&
    excess + Math.log(certainty.kindRatio) >
      certainty.kindErrors *
        Math.sqrt(computeLogMeanVariance(candidate) + computeLogMeanVariance(baseline))
  );
};

/** Evidence on one kind of request. */
interface KindTotals {
  readonly candidate: EvidenceTotals;
  readonly baseline: EvidenceTotals;
}

/**
 * Returns whether the candidate is slower over all kinds of request, by the mean of the differences of the kinds,
 * weighted by the inverse of their variances. These are those of equal versions: delays of some answers would widen
 * the candidate's own spread and hide themselves.
 */
const isSlowOverall = (kinds: readonly KindTotals[], certainty: Certainty): boolean => {
  const comparable = kinds.filter(
    ({ candidate, baseline }) => candidate.timed > 0 && baseline.timed >= MIN_TIMED,
  );
  const timed = comparable.reduce((sum, { candidate }) => sum + candidate.timed, 0);
  if (timed < MIN_POOLED_TIMED) {
    return false;
  }
  let weightSum = 0;
  let differenceSum = 0;
  comparable.forEach(({ candidate, baseline }) => {
    const weight = 1 / (computeLogVariance(baseline) * (1 / candidate.timed + 1 / baseline.timed));
    weightSum += weight;
    differenceSum += weight * (computeLogMean(candidate) - computeLogMean(baseline));
  });
  const difference = differenceSum / weightSum;
  return (
    difference > Math.log(POOLED_SLOW_RATIO) &&
    difference > certainty.pooledErrors / Math.sqrt(weightSum)
  );
};

/** Names the rows whose times are comparable. */
const makeKindKey = (row: EvidenceRow): string => `${row.kind}|${row.measure}`;

const listKinds = (rows: readonly EvidenceRow[]): readonly string[] =>
  Array.from(new Set(rows.map(makeKindKey)));

/** Selects the rows that count answers and failures. */
export const listAnswerRows = (rows: readonly EvidenceRow[]): readonly EvidenceRow[] =>
  rows.filter((row) => row.measure === 'answer');

/** Divides rows into strata of one epoch and one kind, or of one kind. */
const listStrata = (
  rows: readonly EvidenceRow[],
  hasEpochs: boolean,
): readonly excessTest.Stratum[] => {
  const strata = new Map<string, excessTest.Stratum>();
  rows.forEach(({ epoch, kind, isNew, answers, failures }) => {
    const key = hasEpochs ? `${epoch}|${kind}` : kind;
    const { newCount = 0, newEvents = 0, oldCount = 0, oldEvents = 0 } = strata.get(key) ?? {};
    strata.set(key, {
      newCount: newCount + (isNew ? answers : 0),
      newEvents: newEvents + (isNew ? failures : 0),
      oldCount: oldCount + (isNew ? 0 : answers),
      oldEvents: oldEvents + (isNew ? 0 : failures),
    });
  });
  return Array.from(strata.values());
};

/** Returns whether the candidate has any of the events of the rows; most roll-outs have none. */
const hasEvents = (rows: readonly EvidenceRow[]): boolean =>
  rows.some((row) => row.isNew && row.failures > 0);

/** Returns whether more requests of the candidate have the events of the rows, overall or of one kind. */
const isExcessive = (
  rows: readonly EvidenceRow[],
  threshold: number,
  hasEpochs: boolean,
): boolean => {
  const kinds = new Set(rows.filter((row) => row.isNew && row.failures > 0).map((row) => row.kind));
  const isBeyond = (tested: readonly EvidenceRow[], minimum: number): boolean =>
    excessTest.computeExcess(listStrata(tested, hasEpochs)) >= minimum;
  return (
    kinds.size > 0 &&
    (isBeyond(rows, threshold) ||
      Array.from(kinds).some((kind) =>
        isBeyond(
          rows.filter((row) => row.kind === kind),
          threshold + Math.log(kinds.size),
        ),
      ))
  );
};

/**
 * Clamps the failures of the candidate in an epoch to one more than the baseline leads to expect there: the end of one
 * upstream breaks several requests at once and says no more than one failure.
 */
const clampFailures = (rows: readonly EvidenceRow[]): readonly EvidenceRow[] => {
  const baselineShare = estimateFailureShare(sumRows(rows.filter((row) => !row.isNew)));
  const left = new Map<number, number>();
  rows
    .filter((row) => row.isNew)
    .forEach(({ epoch, answers }) =>
      left.set(epoch, (left.get(epoch) ?? 1) + answers * baselineShare),
    );
  return rows.map((row) => {
    if (!row.isNew || row.failures === 0) {
      return row;
    }
    const allowed = left.get(row.epoch) ?? 0;
    const failures = Math.min(row.failures, Math.floor(allowed));
    left.set(row.epoch, allowed - failures);
    return { ...row, failures };
  });
};

/** Number of most recent epochs whose slowness is also evaluated alone, to detect a version that becomes slow late. */
const SLOW_EPOCHS = 5;

/** Tests whether the canary's version fails or rejects too often or is slow, overall or for one kind of request. */
const evaluateVersion = (rows: readonly EvidenceRow[], certainty: Certainty): boolean => {
  const timed = rows.filter((row) => row.measure !== 'rejection');
  const candidate = timed.filter((row) => row.isNew);
  const baseline = timed.filter((row) => !row.isNew);
  const answers = listAnswerRows(candidate);
  const previousAnswers = sumRows(listAnswerRows(baseline));
  const rejections = rows.filter((row) => row.measure === 'rejection');
  const { excess, failureExcess } = certainty;
  if (
    isFailing(answers, previousAnswers, certainty, certainty.wholeRatio) ||
    (hasEvents(rejections) && isExcessive(rejections, excess, true)) ||
    (Number.isFinite(failureExcess) &&
      hasEvents(answers) &&
      isExcessive(clampFailures(mergeRows(listAnswerRows(timed))), failureExcess, false))
  ) {
    return true;
  }
  const lastEpoch = Math.max(...candidate.map((row) => row.epoch));
  const kinds = listKinds(candidate).map((kind) => {
    const rowsOfKind = candidate.filter((row) => makeKindKey(row) === kind);
    const recentRows = rowsOfKind.filter((row) => row.epoch > lastEpoch - SLOW_EPOCHS);
    return {
      rows: rowsOfKind,
      candidate: sumRows(rowsOfKind),
      recent: sumRows(recentRows),
      baseline: sumRows(baseline.filter((row) => makeKindKey(row) === kind)),
    };
  });
  const recentKinds = kinds.map(({ recent, baseline: of }) => ({
    candidate: recent,
    baseline: of,
  }));
  return (
    isSlowOverall(kinds, certainty) ||
    isSlowOverall(recentKinds, certainty) ||
    kinds.some(
      (kind) =>
        isFailing(listAnswerRows(kind.rows), kind.baseline, certainty, certainty.wholeKindRatio) ||
        isSlow(kind.candidate, kind.baseline, certainty) ||
        isSlow(kind.recent, kind.baseline, certainty),
    )
  );
};

/** Returns whether the evidence shows a bad version; may be evaluated after each answer. */
export const isBadVersion = (rows: readonly EvidenceRow[]): boolean =>
  evaluateVersion(rows, REPEATED);

/** Returns whether the version is more likely bad than not; for one evaluation at the end of a roll-out. */
export const isLikelyBad = (rows: readonly EvidenceRow[]): boolean => evaluateVersion(rows, FINAL);

/** Counts of the answers of one kind of request by one version, for the log. */
export interface EvidenceSummary {
  readonly kind: string;
  readonly measure: EvidenceMeasure;
  readonly isNew: boolean;
  readonly answers: number;
  readonly failures: number;
  /** Geometric mean of the times, in milliseconds. */
  readonly meanMs: number;
}

/** Describes evidence by kind of request and version. */
export const describeEvidence = (rows: readonly EvidenceRow[]): readonly EvidenceSummary[] =>
  mergeRows(rows.map((row) => ({ ...row, epoch: 0 }))).map((row) => ({
    kind: row.kind,
    measure: row.measure,
    isNew: row.isNew,
    answers: row.answers,
    failures: row.failures,
    meanMs: Math.round(Math.exp(computeLogMean(row))),
  }));

/** Adds one answer to a row; `elapsedMs` is null for a failure. */
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

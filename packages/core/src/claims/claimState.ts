import * as immutable from 'immutable';
import type * as effects from '../effects.js';
import type * as events from '../events.js';
import type * as routerState from '../routerState.js';
import * as transition from '../transition.js';
import * as claimLog from './claimLog.js';

/**
 * Local copy of the claim log of one time bucket. Segments are created in sequence, and creating a
 * segment that exists fails, so that two writers cannot both append the same segment.
 */
export interface BucketLog {
  readonly records: claimLog.ClaimRecords;
  /** Number of the next segment. */
  readonly nextSegment: number;
  /** `lingering`: operations are collected until the timer starts the next write. */
  readonly phase: 'loading' | 'idle' | 'lingering' | 'writing';
  /** Operations for the next write. */
  readonly waiting: readonly claimLog.ClaimOperation[];
  /** Operations of the write in flight. */
  readonly batch: readonly claimLog.ClaimOperation[];
  readonly usedAtMs: number;
  /** Number of consecutive failed reads and writes. */
  readonly failureCount: number;
}

/** Claim logs, by time bucket. */
export type ClaimState = immutable.Map<number, BucketLog>;

/** Span of one bucket, in milliseconds. */
export const BUCKET_MS = 10_000;
/** Time during which operations are collected into one write, in milliseconds. */
export const LINGER_MS = 25;
/** Time after which an unused log is dropped from memory, in milliseconds. */
const IDLE_MS = 60_000;
/** Number of consecutive failures after which pending claims are answered with `unavailable`. */
const MAX_FAILURES = 2;
/** Maximum number of operations in one segment. */
const MAX_BATCH = 512;

/** State without any log. */
export const EMPTY_CLAIM_STATE: ClaimState = immutable.Map();

const makeLog = (nowMs: number): BucketLog => ({
  records: immutable.Map(),
  nextSegment: 0,
  phase: 'loading',
  waiting: [],
  batch: [],
  usedAtMs: nowMs,
  failureCount: 0,
});

const setLog = (
  current: routerState.RouterState,
  bucket: number,
  log: BucketLog,
): routerState.RouterState => ({ ...current, claims: current.claims.set(bucket, log) });

const makeAnswer = (
  operation: claimLog.ClaimOperation,
  record: claimLog.ClaimRecord | undefined,
): readonly effects.Effect[] =>
  operation.kind === 'claim'
    ? [
        {
          type: 'answerClaim',
          token: operation.token,
          ...claimLog.evaluateClaim(record, operation.token),
        },
      ]
    : [];

const answerAll = (
  operations: readonly claimLog.ClaimOperation[],
  records: claimLog.ClaimRecords,
): readonly effects.Effect[] =>
  operations.flatMap((operation) => makeAnswer(operation, records.get(operation.id)));

/**
 * Returns whether an operation would change nothing and needs no write, for example because its
 * write succeeded although the store's answer was lost.
 */
const isDecided = (records: claimLog.ClaimRecords, operation: claimLog.ClaimOperation): boolean =>
  claimLog.applyOperations(records, [operation]) === records;

/** Writes waiting operations to the next segment; claims that are already decided are answered. */
const writeWaiting = (
  current: routerState.RouterState,
  bucket: number,
  log: BucketLog,
): transition.Transition => {
  const decided = log.waiting.filter((operation) => isDecided(log.records, operation));
  const undecided = log.waiting.filter((operation) => !isDecided(log.records, operation));
  const answers = answerAll(decided, log.records);
  if (undecided.length === 0) {
    const idle: BucketLog = { ...log, phase: 'idle', waiting: [], batch: [] };
    return transition.makeTransition(setLog(current, bucket, idle), ...answers);
  }
  const batch = undecided.slice(0, MAX_BATCH);
  const writing: BucketLog = {
    ...log,
    phase: 'writing',
    waiting: undecided.slice(MAX_BATCH),
    batch,
  };
  return transition.makeTransition(setLog(current, bucket, writing), ...answers, {
    type: 'writeClaimSegment',
    bucket,
    segment: log.nextSegment,
    operations: batch,
  });
};

const loadSegments = (
  current: routerState.RouterState,
  bucket: number,
  log: BucketLog,
): transition.Transition =>
  transition.makeTransition(setLog(current, bucket, { ...log, phase: 'loading' }), {
    type: 'loadClaimLog',
    bucket,
    fromSegment: log.nextSegment,
  });

const startLinger = (
  current: routerState.RouterState,
  bucket: number,
  log: BucketLog,
): transition.Transition =>
  transition.makeTransition(setLog(current, bucket, { ...log, phase: 'lingering' }), {
    type: 'armClaimTimer',
    bucket,
    delayMs: LINGER_MS,
  });

const handleClaimRequested = (
  current: routerState.RouterState,
  event: events.EventOf<'claimRequested'>,
): transition.Transition => {
  const existing = current.claims.get(event.bucket);
  const log = existing ?? makeLog(event.nowMs);
  const next: BucketLog = {
    ...log,
    usedAtMs: event.nowMs,
    waiting: [...log.waiting, event.operation],
  };
  if (existing === undefined) {
    return loadSegments(current, event.bucket, next);
  }
  return log.phase === 'idle'
    ? startLinger(current, event.bucket, next)
    : transition.makeTransition(setLog(current, event.bucket, next));
};

const handleClaimTimerFired = (
  current: routerState.RouterState,
  event: events.EventOf<'claimTimerFired'>,
): transition.Transition => {
  const log = current.claims.get(event.bucket);
  return log?.phase === 'lingering'
    ? writeWaiting(current, event.bucket, log)
    : transition.makeTransition(current);
};

/** Answers all pending claims with `unavailable` and drops the log. */
const failLog = (
  current: routerState.RouterState,
  bucket: number,
  log: BucketLog,
): transition.Transition =>
  transition.makeTransition(
    { ...current, claims: current.claims.remove(bucket) },
    ...answerAll([...log.batch, ...log.waiting], immutable.Map()),
  );

const countFailure = (
  current: routerState.RouterState,
  bucket: number,
  log: BucketLog,
): transition.Transition => {
  const failed: BucketLog = { ...log, failureCount: log.failureCount + 1 };
  return failed.failureCount >= MAX_FAILURES
    ? failLog(current, bucket, failed)
    : loadSegments(current, bucket, failed);
};

const handleClaimLogLoaded = (
  current: routerState.RouterState,
  event: events.EventOf<'claimLogLoaded'>,
): transition.Transition => {
  const log = current.claims.get(event.bucket);
  if (log?.phase !== 'loading') {
    return transition.makeTransition(current);
  }
  if (event.segments === null) {
    return countFailure(current, event.bucket, log);
  }
  const loaded: BucketLog = {
    ...log,
    records: event.segments.reduce(claimLog.applyOperations, log.records),
    nextSegment: log.nextSegment + event.segments.length,
    // New segments show that the store accepts writes, even if its answers are lost.
    failureCount: event.segments.length > 0 ? 0 : log.failureCount,
    // If the result of the last write is unknown, its batch is evaluated again against the log.
    waiting: [...log.batch, ...log.waiting],
    batch: [],
  };
  return writeWaiting(current, event.bucket, loaded);
};

const finishWrite = (
  current: routerState.RouterState,
  bucket: number,
  log: BucketLog,
): transition.Transition => {
  const records = claimLog.applyOperations(log.records, log.batch);
  const written: BucketLog = {
    ...log,
    records,
    nextSegment: log.nextSegment + 1,
    batch: [],
    phase: 'idle',
    failureCount: 0,
  };
  const answers = answerAll(log.batch, records);
  const answered = transition.makeTransition(setLog(current, bucket, written), ...answers);
  return written.waiting.length === 0
    ? answered
    : transition.composeTransition(answered, (next) => startLinger(next, bucket, written));
};

type WriteHandler = (
  current: routerState.RouterState,
  bucket: number,
  log: BucketLog,
) => transition.Transition;

const WRITE_HANDLERS: Readonly<
  Record<events.EventPayloads['claimSegmentWritten']['result'], WriteHandler>
> = {
  committed: finishWrite,
  conflict: loadSegments,
  unknown: countFailure,
  refused: countFailure,
};

const handleClaimSegmentWritten = (
  current: routerState.RouterState,
  event: events.EventOf<'claimSegmentWritten'>,
): transition.Transition => {
  const log = current.claims.get(event.bucket);
  return log?.phase === 'writing'
    ? WRITE_HANDLERS[event.result](current, event.bucket, log)
    : transition.makeTransition(current);
};

/** Drops logs that were not used for `IDLE_MS`; they are loaded again when needed. */
export const forgetIdle = (
  current: routerState.RouterState,
  nowMs: number,
): routerState.RouterState => {
  const isUnused = (log: BucketLog): boolean =>
    log.phase === 'idle' && nowMs - log.usedAtMs > IDLE_MS;
  return current.claims.some(isUnused)
    ? { ...current, claims: current.claims.filterNot(isUnused) }
    : current;
};

/** Handlers of the events of claim logs. */
export const HANDLERS = {
  claimRequested: handleClaimRequested,
  claimTimerFired: handleClaimTimerFired,
  claimLogLoaded: handleClaimLogLoaded,
  claimSegmentWritten: handleClaimSegmentWritten,
} as const;

import * as immutable from 'immutable';
import type * as effects from '../effects.js';
import type * as events from '../events.js';
import type * as routerState from '../routerState.js';
import * as transition from '../transition.js';
import * as claimLog from './claimLog.js';

/**
 * The claim log of one time bucket as this router knows it. Segments are created one after the
 * other; creating a segment that exists fails, so no two writers can both believe to own the tail.
 */
export interface BucketLog {
  readonly records: claimLog.ClaimRecords;
  /** Number of the next segment. */
  readonly tail: number;
  readonly phase: 'loading' | 'idle' | 'lingering' | 'writing';
  readonly waiting: readonly claimLog.ClaimOperation[];
  /** Operations of the write that is out. */
  readonly batch: readonly claimLog.ClaimOperation[];
  readonly usedAtMs: number;
  /** Failed reads and writes in a row. */
  readonly failureCount: number;
}

/** Claim logs, by time bucket. */
export type ClaimState = immutable.Map<number, BucketLog>;

/** Span of one bucket, in milliseconds. */
export const BUCKET_MS = 10_000;
/** Time in which operations are gathered into one write, in milliseconds. */
export const LINGER_MS = 25;
/** Time an unused log is remembered, in milliseconds. */
const IDLE_MS = 60_000;
/** Failures in a row after which waiting claims are told that the log is unavailable. */
const MAX_FAILURES = 2;
/** Largest number of operations in one segment. */
const MAX_BATCH = 512;

/** No logs. */
export const EMPTY_CLAIM_STATE: ClaimState = immutable.Map();

const makeLog = (nowMs: number): BucketLog => ({
  records: immutable.Map(),
  tail: 0,
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

/** Operations that would change nothing need no write, such as those of a write that landed. */
const isDecided = (records: claimLog.ClaimRecords, operation: claimLog.ClaimOperation): boolean =>
  claimLog.applyOperations(records, [operation]) === records;

/** Starts a write of what waits; claims that are decided by now are answered instead. */
const writeWaiting = (
  current: routerState.RouterState,
  bucket: number,
  log: BucketLog,
): transition.Transition => {
  const decided = log.waiting.filter((operation) => isDecided(log.records, operation));
  const open = log.waiting.filter((operation) => !isDecided(log.records, operation));
  const answers = answerAll(decided, log.records);
  if (open.length === 0) {
    const idle: BucketLog = { ...log, phase: 'idle', waiting: [], batch: [] };
    return transition.makeTransition(setLog(current, bucket, idle), ...answers);
  }
  const batch = open.slice(0, MAX_BATCH);
  const writing: BucketLog = { ...log, phase: 'writing', waiting: open.slice(MAX_BATCH), batch };
  return transition.makeTransition(setLog(current, bucket, writing), ...answers, {
    type: 'writeClaimSegment',
    bucket,
    segment: log.tail,
    operations: batch,
  });
};

const loadTail = (
  current: routerState.RouterState,
  bucket: number,
  log: BucketLog,
): transition.Transition =>
  transition.makeTransition(setLog(current, bucket, { ...log, phase: 'loading' }), {
    type: 'loadClaimLog',
    bucket,
    fromSegment: log.tail,
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
  const known = current.claims.get(event.bucket);
  const log = known ?? makeLog(event.nowMs);
  const next: BucketLog = {
    ...log,
    usedAtMs: event.nowMs,
    waiting: [...log.waiting, event.operation],
  };
  if (known === undefined) {
    return loadTail(current, event.bucket, next);
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

/** Tells all that wait that nothing was written for them, and forgets the log. */
const failLog = (
  current: routerState.RouterState,
  bucket: number,
  log: BucketLog,
): transition.Transition =>
  transition.makeTransition(
    { ...current, claims: current.claims.remove(bucket) },
    ...answerAll([...log.batch, ...log.waiting], immutable.Map()),
  );

const failOnce = (
  current: routerState.RouterState,
  bucket: number,
  log: BucketLog,
): transition.Transition => {
  const failed: BucketLog = { ...log, failureCount: log.failureCount + 1 };
  return failed.failureCount >= MAX_FAILURES
    ? failLog(current, bucket, failed)
    : loadTail(current, bucket, failed);
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
    return failOnce(current, event.bucket, log);
  }
  const loaded: BucketLog = {
    ...log,
    records: event.segments.reduce(claimLog.applyOperations, log.records),
    tail: log.tail + event.segments.length,
    // New segments mean that the store takes writes, even if their answers are lost.
    failureCount: event.segments.length > 0 ? 0 : log.failureCount,
    // The batch of a write whose fate was unknown is judged again by what stands in the log.
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
    tail: log.tail + 1,
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
  Record<events.EventBodies['claimSegmentWritten']['result'], WriteHandler>
> = {
  committed: finishWrite,
  conflict: loadTail,
  unknown: failOnce,
  refused: failOnce,
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

/** Forgets logs that were not used for a while; they can be read again. */
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

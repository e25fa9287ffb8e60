import * as immutable from 'immutable';

/** Recorded answer of a non-idempotent request. */
export interface RecordedAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

/** One operation on a claim log; the token identifies the claimer. */
export type ClaimOperation =
  | { readonly kind: 'claim'; readonly id: string; readonly token: string }
  | {
      readonly kind: 'answer';
      readonly id: string;
      readonly token: string;
      readonly answer: RecordedAnswer;
    }
  | { readonly kind: 'release'; readonly id: string; readonly token: string };

/** State of one request in a log: the claimer's token, and its answer once recorded. */
export interface ClaimRecord {
  readonly token: string;
  readonly answer: RecordedAnswer | null;
}

/** Result of a claim. */
export type ClaimResult = 'granted' | 'answered' | 'mayHaveRun' | 'unavailable';

/** Records of a log, by request id. */
export type ClaimRecords = immutable.Map<string, ClaimRecord>;

type OperationHandler = (records: ClaimRecords, operation: ClaimOperation) => ClaimRecords;

const applyClaim: OperationHandler = (records, { id, token }) =>
  records.has(id) ? records : records.set(id, { token, answer: null });

const applyAnswer: OperationHandler = (records, operation) => {
  const record = records.get(operation.id);
  return operation.kind === 'answer' && record?.token === operation.token && record.answer === null
    ? records.set(operation.id, { ...record, answer: operation.answer })
    : records;
};

const applyRelease: OperationHandler = (records, { id, token }) => {
  const record = records.get(id);
  return record?.token === token && record.answer === null ? records.remove(id) : records;
};

const OPERATION_HANDLERS: Readonly<Record<ClaimOperation['kind'], OperationHandler>> = {
  claim: applyClaim,
  answer: applyAnswer,
  release: applyRelease,
};

/** Applies the operations of a segment in order; returns the same map if none has an effect. */
export const applyOperations = (
  records: ClaimRecords,
  operations: readonly ClaimOperation[],
): ClaimRecords =>
  operations.reduce(
    (next, operation) => OPERATION_HANDLERS[operation.kind](next, operation),
    records,
  );

/** Returns the result of a claim by its record in the log; without a record it is `unavailable`. */
export const evaluateClaim = (
  record: ClaimRecord | undefined,
  token: string,
): { readonly result: ClaimResult; readonly answer: RecordedAnswer | null } => {
  if (record === undefined) {
    return { result: 'unavailable', answer: null };
  }
  if (record.answer !== null) {
    return { result: 'answered', answer: record.answer };
  }
  return { result: record.token === token ? 'granted' : 'mayHaveRun', answer: null };
};

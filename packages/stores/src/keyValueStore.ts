import type * as shared from '@jayrock/shared';

/** One key with its value and the revision of its last change. */
export interface KeyValueEntry {
  readonly key: string;
  readonly value: string;
  readonly revision: number;
}

/**
 * Why a call failed. `refused`: it certainly had no effect. `unknown`: it may have taken effect.
 * `overBudget`: the client's own rate limit held it back.
 */
export type KeyValueError = 'refused' | 'unknown' | 'overBudget';

/** Result of a call to the key-value service. */
export type KeyValueOutcome<T> = shared.outcome.Outcome<T, KeyValueError>;

/** A key's expected revision; 0 means that the key must not exist. */
export interface RevisionCheck {
  readonly key: string;
  readonly revision: number;
}

/** One write of a transaction. */
export interface KeyValuePut {
  readonly key: string;
  readonly value: string;
  readonly leaseId?: string;
}

/** Writes that take effect together if all checks hold. */
export interface Transaction {
  readonly checks: readonly RevisionCheck[];
  readonly puts: readonly KeyValuePut[];
  readonly deletes?: readonly string[];
}

/** What a transaction did. */
export interface TransactionResult {
  /** False when a check failed and nothing was written. */
  readonly isCommitted: boolean;
  readonly revision: number;
}

/** How urgent a call is when the client's budget is short. */
export type CallPriority = 'claims' | 'configuration' | 'ledger' | 'other';

/** Stops a watch. */
export type StopWatch = () => void;

/** The platform's key-value service. */
export interface KeyValueStore {
  readonly get: (
    key: string,
    priority: CallPriority,
  ) => Promise<KeyValueOutcome<KeyValueEntry | null>>;
  /** Lists keys with a prefix in key order, from `from` on when given. */
  readonly list: (
    prefix: string,
    priority: CallPriority,
    from?: string,
  ) => Promise<KeyValueOutcome<readonly KeyValueEntry[]>>;
  readonly commit: (
    transaction: Transaction,
    priority: CallPriority,
  ) => Promise<KeyValueOutcome<TransactionResult>>;
  /** Deletes all keys with a prefix. */
  readonly deletePrefix: (prefix: string, priority: CallPriority) => Promise<KeyValueOutcome<void>>;
  /** Calls back on every change of a key until stopped; it reconnects by itself. */
  readonly watch: (key: string, onChange: (entry: KeyValueEntry) => void) => StopWatch;
  readonly grantLease: (ttlSeconds: number) => Promise<KeyValueOutcome<string>>;
  readonly keepLease: (leaseId: string) => Promise<KeyValueOutcome<boolean>>;
  readonly close: () => Promise<void>;
}

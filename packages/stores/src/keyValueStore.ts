import type * as shared from '@jayrock/shared';

/** A key with its value and the revision of its last change. */
export interface KeyValueEntry {
  readonly key: string;
  readonly value: string;
  readonly revision: number;
}

/**
 * Error of a call. `refused`: it had no effect. `unknown`: it may have taken effect.
 * `overBudget`: it was not sent because of the client's own rate limit.
 */
export type KeyValueError = 'refused' | 'unknown' | 'overBudget';

/** Result of a call to the key-value service. */
export type KeyValueOutcome<T> = shared.outcome.Outcome<T, KeyValueError>;

/** A key's expected revision; 0 means that the key must not exist. */
export interface RevisionCheck {
  readonly key: string;
  readonly revision: number;
}

/** A write of a transaction; with a lease, the key is deleted when the lease expires. */
export interface KeyValuePut {
  readonly key: string;
  readonly value: string;
  readonly leaseId?: string;
}

/** Writes and deletions that are applied atomically if all revision checks match. */
export interface Transaction {
  readonly checks: readonly RevisionCheck[];
  readonly puts: readonly KeyValuePut[];
  readonly deletes?: readonly string[];
}

/** Result of a transaction. */
export interface TransactionResult {
  /** False if a check failed and nothing was written. */
  readonly isCommitted: boolean;
  readonly revision: number;
}

/** Priority of a call when the client's call budget runs short. */
export type CallPriority = 'claims' | 'configuration' | 'ledger' | 'other';

/** Stops a watch. */
export type StopWatch = () => void;

/** The platform's key-value service. */
export interface KeyValueStore {
  readonly get: (
    key: string,
    priority: CallPriority,
  ) => Promise<KeyValueOutcome<KeyValueEntry | null>>;
  /** Lists entries with a prefix in key order, starting at the key `from` if given. */
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
  /** Calls `onChange` on every change of a key until stopped; reconnects automatically. */
  readonly watch: (key: string, onChange: (entry: KeyValueEntry) => void) => StopWatch;
  readonly grantLease: (ttlSeconds: number) => Promise<KeyValueOutcome<string>>;
  readonly renewLease: (leaseId: string) => Promise<KeyValueOutcome<boolean>>;
  readonly close: () => Promise<void>;
}

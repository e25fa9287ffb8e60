import type * as shared from '@jayrock/shared';
import type * as keyValueStore from './keyValueStore.js';

/**
 * Number that rises each time the store goes back to an older copy of its data, after which it gives out revisions
 * again; null for a store that never does.
 */
export type StoreEra = number | null;

/** Entries under a prefix, and the store revision after which to wait for changes. */
export interface PrefixSnapshot {
  readonly era: StoreEra;
  readonly entries: readonly keyValueStore.KeyValueEntry[];
  readonly revision: number;
  /**
   * Time after the start of the call at which the state was current, in milliseconds, negative for an earlier one;
   * without it, the start of a read and of a wait with changes, and the end of a wait without any.
   */
  readonly currentAfterMs?: number;
}

/** A change of a key; the value is null if the key was deleted. */
export interface PrefixChange {
  readonly key: string;
  readonly value: string | null;
  readonly revision: number;
}

/** Changes after a revision, and the revision after which to wait for the next ones. */
export interface PrefixChanges {
  /** Era of the revisions; if it is not that of the revision that was waited on, changes may be missing. */
  readonly era: StoreEra;
  readonly changes: readonly PrefixChange[];
  readonly revision: number;
  /**
   * Time after the start of the call at which the state was current, in milliseconds, negative for an earlier one;
   * without it, the start of a read and of a wait with changes, and the end of a wait without any.
   */
  readonly currentAfterMs?: number;
}

/** Error of a wait for changes. `compacted`: the history is gone; the prefix must be read again. */
export type WaitError = keyValueStore.KeyValueError | 'compacted';

/** A key-value service with long polling for changes by prefix and revision. */
export interface PrefixStore {
  readonly read: (
    key: string,
  ) => Promise<keyValueStore.KeyValueOutcome<keyValueStore.KeyValueEntry | null>>;
  readonly readPrefix: (prefix: string) => Promise<keyValueStore.KeyValueOutcome<PrefixSnapshot>>;
  /**
   * Resolves as soon as there are changes after a revision, or without changes after `waitMs`; fails if there is no
   * answer within `timeoutMs`, or a time that depends on the wait.
   */
  readonly waitForChanges: (
    prefix: string,
    after: number,
    waitMs: number,
    timeoutMs?: number,
  ) => Promise<shared.outcome.Outcome<PrefixChanges, WaitError>>;
  readonly commit: (
    transaction: keyValueStore.Transaction,
  ) => Promise<keyValueStore.KeyValueOutcome<keyValueStore.TransactionResult>>;
  /** Grants a lease and returns its identifier. */
  readonly grantLease: (ttlMs: number) => Promise<keyValueStore.KeyValueOutcome<string>>;
  /** Renews a lease; false if it has expired. */
  readonly renewLease: (leaseId: string) => Promise<keyValueStore.KeyValueOutcome<boolean>>;
  /** Returns the number of calls made so far. */
  readonly countCalls: () => number;
  readonly close: () => Promise<void>;
}

import type * as shared from '@jayrock/shared';
import type * as keyValueStore from './keyValueStore.js';

/** Keys under a prefix, and the store's revision from which changes follow. */
export interface PrefixSnapshot {
  readonly entries: readonly keyValueStore.KeyValueEntry[];
  readonly revision: number;
}

/** One change of a key; a deleted key has no value. */
export interface PrefixChange {
  readonly key: string;
  readonly value: string | null;
  readonly revision: number;
}

/** Changes since a revision, and the revision from which the next ones follow. */
export interface PrefixChanges {
  readonly changes: readonly PrefixChange[];
  readonly revision: number;
}

/** Why a wait for changes failed. `compacted`: the history is gone, so the prefix has to be read. */
export type WaitError = keyValueStore.KeyValueError | 'compacted';

/** A key-value service whose changes are followed by prefix and revision. */
export interface PrefixStore {
  readonly read: (
    key: string,
  ) => Promise<keyValueStore.KeyValueOutcome<keyValueStore.KeyValueEntry | null>>;
  readonly readPrefix: (prefix: string) => Promise<keyValueStore.KeyValueOutcome<PrefixSnapshot>>;
  /** Resolves as soon as there are changes, or with none after `waitMs`. */
  readonly waitChanges: (
    prefix: string,
    after: number,
    waitMs: number,
  ) => Promise<shared.outcome.Outcome<PrefixChanges, WaitError>>;
  readonly commit: (
    transaction: keyValueStore.Transaction,
  ) => Promise<keyValueStore.KeyValueOutcome<keyValueStore.TransactionResult>>;
  /** Grants a lease and returns its identifier. */
  readonly grantLease: (ttlMs: number) => Promise<keyValueStore.KeyValueOutcome<string>>;
  /** Renews a lease; false when it has ended. */
  readonly keepLease: (leaseId: string) => Promise<keyValueStore.KeyValueOutcome<boolean>>;
  /** Calls made so far. */
  readonly countCalls: () => number;
  readonly close: () => Promise<void>;
}

import * as shared from '@jayrock/shared';
import type * as keyValueStore from './keyValueStore.js';

interface Lease {
  readonly ttlMs: number;
  readonly expiresAtMs: number;
}

type Watcher = (entry: keyValueStore.KeyValueEntry) => void;

/** Result of committing a transaction to a memory table. */
export type CommitResult = keyValueStore.TransactionResult;

/** An in-memory key-value table with revisions, leases and watches. */
export class MemoryTable {
  readonly #entries = new Map<string, keyValueStore.KeyValueEntry & { leaseId?: string }>();

  readonly #leases = new Map<string, Lease>();

  readonly #watchers = new Map<string, Set<Watcher>>();

  #revision = 0;

  #leaseCount = 0;

  /** Returns the entry of a key, or null. */
  get(key: string): keyValueStore.KeyValueEntry | null {
    return this.#entries.get(key) ?? null;
  }

  /** Lists entries with a prefix in key order, starting at the key `from`. */
  list(prefix: string, from = prefix): readonly keyValueStore.KeyValueEntry[] {
    return Array.from(this.#entries.values())
      .filter((entry) => entry.key.startsWith(prefix) && entry.key >= from)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
  }

  /** Commits a transaction if all its revision checks match. */
  commit(transaction: keyValueStore.Transaction): CommitResult {
    const isUnchanged = transaction.checks.every(
      (check) => (this.#entries.get(check.key)?.revision ?? 0) === check.revision,
    );
    if (!isUnchanged) {
      return { isCommitted: false, revision: this.#revision };
    }
    this.#revision += 1;
    transaction.deletes?.forEach((key) => this.#entries.delete(key));
    transaction.puts.forEach((put) => this.#put(put));
    return { isCommitted: true, revision: this.#revision };
  }

  /** Deletes all keys with a prefix. */
  deletePrefix(prefix: string): void {
    this.list(prefix).forEach((entry) => this.#entries.delete(entry.key));
  }

  #put(put: keyValueStore.KeyValuePut): void {
    const entry = { ...put, revision: this.#revision };
    this.#entries.set(put.key, entry);
    this.#watchers.get(put.key)?.forEach((watcher) => watcher(entry));
  }

  /** Calls a watcher on every put of a key, until the returned function is called. */
  watch(key: string, watcher: Watcher): keyValueStore.StopWatch {
    const watchers = this.#watchers.get(key) ?? new Set<Watcher>();
    watchers.add(watcher);
    this.#watchers.set(key, watchers);
    return () => watchers.delete(watcher);
  }

  /** Grants a lease and returns its id. */
  grantLease(ttlMs: number, nowMs: number): string {
    this.#leaseCount += 1;
    const id = String(this.#leaseCount);
    this.#leases.set(id, { ttlMs, expiresAtMs: nowMs + ttlMs });
    return id;
  }

  /** Renews a lease; returns false if it has expired. */
  renewLease(id: string, nowMs: number): boolean {
    const lease = this.#leases.get(id);
    if (lease === undefined) {
      return false;
    }
    this.#leases.set(id, { ...lease, expiresAtMs: nowMs + lease.ttlMs });
    return true;
  }

  /** Removes expired leases and the keys attached to them. */
  expireLeases(nowMs: number): void {
    Array.from(this.#leases.entries())
      .filter(([, lease]) => lease.expiresAtMs <= nowMs)
      .forEach(([id]) => {
        this.#leases.delete(id);
        Array.from(this.#entries.values())
          .filter((entry) => entry.leaseId === id)
          .forEach((entry) => this.#entries.delete(entry.key));
      });
  }
}

/** Opens a memory table as the key-value service of a site without one. */
export const openMemoryStore = (
  table: MemoryTable = new MemoryTable(),
  getNowMs: () => number = Date.now,
): keyValueStore.KeyValueStore => {
  const expire = (): void => table.expireLeases(getNowMs());
  return {
    get: async (key) => {
      expire();
      return shared.outcome.makeOk(table.get(key));
    },
    list: async (prefix, _, from) => {
      expire();
      return shared.outcome.makeOk(table.list(prefix, from));
    },
    commit: async (transaction) => {
      expire();
      return shared.outcome.makeOk(table.commit(transaction));
    },
    deletePrefix: async (prefix) => shared.outcome.makeOk(table.deletePrefix(prefix)),
    watch: (key, onChange) => table.watch(key, onChange),
    grantLease: async (ttlSeconds) =>
      shared.outcome.makeOk(table.grantLease(ttlSeconds * 1_000, getNowMs())),
    renewLease: async (id) => {
      expire();
      return shared.outcome.makeOk(table.renewLease(id, getNowMs()));
    },
    close: async () => undefined,
  };
};

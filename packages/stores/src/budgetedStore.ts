import * as shared from '@jayrock/shared';
import type * as keyValueStore from './keyValueStore.js';

/** Calls a second that one client may make, and how many it may save up. */
export interface CallBudget {
  readonly callsPerSecond: number;
  readonly burst: number;
}

/** Share of the burst kept back from each priority, so that urgent calls find room. */
const RESERVED_SHARES: Readonly<Record<keyValueStore.CallPriority, number>> = {
  claims: 0,
  configuration: 0.1,
  ledger: 0.25,
  other: 0.5,
};

/** Counts of calls made and held back, by kind. */
export interface CallCounts {
  readonly reads: number;
  readonly writes: number;
  readonly watches: number;
  readonly heldBack: number;
}

/** A store with a client-side budget and a call counter. */
export interface BudgetedStore extends keyValueStore.KeyValueStore {
  readonly getCounts: () => CallCounts;
}

const MS_PER_SECOND = 1_000;

/** Keeps one router's calls within its share of what the key-value service takes. */
export const makeBudgetedStore = (
  store: keyValueStore.KeyValueStore,
  budget: CallBudget,
  getNowMs: () => number = Date.now,
): BudgetedStore => {
  let tokens = budget.burst;
  let refilledAtMs = getNowMs();
  let counts: CallCounts = { reads: 0, writes: 0, watches: 0, heldBack: 0 };
  const takeToken = (priority: keyValueStore.CallPriority): boolean => {
    const nowMs = getNowMs();
    const gained = ((nowMs - refilledAtMs) * budget.callsPerSecond) / MS_PER_SECOND;
    tokens = Math.min(budget.burst, tokens + gained);
    refilledAtMs = nowMs;
    if (tokens - 1 < RESERVED_SHARES[priority] * budget.burst) {
      counts = { ...counts, heldBack: counts.heldBack + 1 };
      return false;
    }
    tokens -= 1;
    return true;
  };
  const withBudget = async <T>(
    kind: 'reads' | 'writes',
    priority: keyValueStore.CallPriority,
    call: () => Promise<keyValueStore.KeyValueOutcome<T>>,
  ): Promise<keyValueStore.KeyValueOutcome<T>> => {
    if (!takeToken(priority)) {
      return shared.outcome.makeFailed('overBudget');
    }
    counts = { ...counts, [kind]: counts[kind] + 1 };
    return call();
  };
  return {
    get: (key, priority) => withBudget('reads', priority, () => store.get(key, priority)),
    list: (prefix, priority, from) =>
      withBudget('reads', priority, () => store.list(prefix, priority, from)),
    commit: (transaction, priority) =>
      withBudget('writes', priority, () => store.commit(transaction, priority)),
    deletePrefix: (prefix, priority) =>
      withBudget('writes', priority, () => store.deletePrefix(prefix, priority)),
    watch: (key, onChange) => {
      counts = { ...counts, watches: counts.watches + 1 };
      const stop = store.watch(key, onChange);
      return () => {
        counts = { ...counts, watches: counts.watches - 1 };
        stop();
      };
    },
    grantLease: (ttlSeconds) =>
      withBudget('writes', 'configuration', () => store.grantLease(ttlSeconds)),
    keepLease: (leaseId) => withBudget('writes', 'configuration', () => store.keepLease(leaseId)),
    close: () => store.close(),
    getCounts: () => counts,
  };
};

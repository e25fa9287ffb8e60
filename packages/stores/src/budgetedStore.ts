import * as shared from '@jayrock/shared';
import type * as keyValueStore from './keyValueStore.js';

/** Token bucket of one client: refill rate in calls per second, and capacity. */
export interface CallBudget {
  readonly callsPerSecond: number;
  readonly burst: number;
}

/** Share of the burst that each priority must leave unused, reserved for more urgent calls. */
const RESERVED_SHARES: Readonly<Record<keyValueStore.CallPriority, number>> = {
  claims: 0,
  configuration: 0.1,
  ledger: 0.25,
  other: 0.5,
};

/** Numbers of calls by kind, of open watches and of calls rejected for lack of budget. */
export interface CallCounts {
  readonly reads: number;
  readonly writes: number;
  readonly watches: number;
  readonly heldBack: number;
}

/** A store with a client-side rate limit and call counters. */
export interface BudgetedStore extends keyValueStore.KeyValueStore {
  readonly getCounts: () => CallCounts;
}

const MS_PER_SECOND = 1_000;

/** Limits a router's calls to its share of the key-value service's capacity, by a token bucket. */
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
    const refill = ((nowMs - refilledAtMs) * budget.callsPerSecond) / MS_PER_SECOND;
    tokens = Math.min(budget.burst, tokens + refill);
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
    renewLease: (leaseId) => withBudget('writes', 'configuration', () => store.renewLease(leaseId)),
    close: () => store.close(),
    getCounts: () => counts,
  };
};

import type * as stores from '@jayrock/stores';

/** Time to live of a lease that is not renewed, in seconds. */
const TTL_SECONDS = 10;
/** Remaining lease time required to send an order, in milliseconds. */
const MIN_REMAINING_MS = 4_000;
const MS_PER_SECOND = 1_000;

/** Lease that permits its holder to send orders to a zone's engines. */
export interface OrderLease {
  /** Acquires or renews the lease. */
  readonly refresh: () => Promise<void>;
  /** Returns the fencing token while enough lease time remains, else null. */
  readonly getFencingToken: () => number | null;
  /** Discards the lease, so that it is not renewed and gives no fencing token; the store lets it expire. */
  readonly drop: () => void;
}

interface HeldLease {
  readonly leaseId: string;
  /** Store revision at which the lease's key was created; it increases with each later holder. */
  readonly fencingToken: number;
  readonly expiresAtMs: number;
}

/**
 * Makes the lease of a zone. Its expiry is computed from the time before each call was sent, so that it is
 * never later than the store's, on a clock that keeps running while the process is paused.
 */
export const makeOrderLease = (
  store: stores.keyValueStore.KeyValueStore,
  zone: string,
  holder: string,
  getNowMs: () => number = () => performance.now(),
): OrderLease => {
  const key = `leases/orders/${zone}`;
  let heldLease: HeldLease | null = null;
  const renew = async (lease: HeldLease): Promise<void> => {
    const sentAtMs = getNowMs();
    const renewed = await store.renewLease(lease.leaseId);
    if (renewed.ok) {
      heldLease = renewed.value
        ? { ...lease, expiresAtMs: sentAtMs + TTL_SECONDS * MS_PER_SECOND }
        : null;
    }
  };
  const acquire = async (): Promise<void> => {
    const existing = await store.get(key, 'other');
    if (!existing.ok || existing.value !== null) {
      return;
    }
    const sentAtMs = getNowMs();
    const granted = await store.grantLease(TTL_SECONDS);
    if (!granted.ok) {
      return;
    }
    const leaseId = granted.value;
    const result = await store.commit(
      { checks: [{ key, revision: 0 }], puts: [{ key, value: holder, leaseId }] },
      'other',
    );
    if (result.ok && result.value.isCommitted) {
      const expiresAtMs = sentAtMs + TTL_SECONDS * MS_PER_SECOND;
      heldLease = { leaseId, fencingToken: result.value.revision, expiresAtMs };
    }
  };
  return {
    refresh: () =>
      heldLease === null || getNowMs() >= heldLease.expiresAtMs ? acquire() : renew(heldLease),
    getFencingToken: () =>
      heldLease !== null && heldLease.expiresAtMs - getNowMs() >= MIN_REMAINING_MS
        ? heldLease.fencingToken
        : null,
    drop: () => {
      heldLease = null;
    },
  };
};

import type * as stores from '@jayrock/stores';

/** Time a lease lives without being kept, in seconds. */
const TTL_SECONDS = 10;
/** Time that must be left on a lease for an order to be sent, in milliseconds. */
const MIN_LEFT_MS = 4_000;
const MS_PER_SECOND = 1_000;

/** The right to give a zone's engines orders. */
export interface OrderLease {
  /** Takes or keeps the lease. */
  readonly refresh: () => Promise<void>;
  /** Returns the fencing number while enough time is left on the lease, else null. */
  readonly getFencingToken: () => number | null;
  /** Gives up keeping the lease. */
  readonly drop: () => void;
}

interface Held {
  readonly leaseId: string;
  /** Revision at which the lease's key was made; later holders have greater ones. */
  readonly fencing: number;
  readonly expiresAtMs: number;
}

/**
 * Makes the lease of a zone. Its end is reckoned from before each call was sent, by a clock that
 * goes on while the process is paused.
 */
export const makeOrderLease = (
  store: stores.keyValueStore.KeyValueStore,
  zone: string,
  holder: string,
  getNowMs: () => number = () => performance.now(),
): OrderLease => {
  const key = `leases/orders/${zone}`;
  let held: Held | null = null;
  const keep = async (known: Held): Promise<void> => {
    const sentAtMs = getNowMs();
    const kept = await store.keepLease(known.leaseId);
    if (kept.ok) {
      held = kept.value ? { ...known, expiresAtMs: sentAtMs + TTL_SECONDS * MS_PER_SECOND } : null;
    }
  };
  const take = async (): Promise<void> => {
    const found = await store.get(key, 'other');
    if (!found.ok || found.value !== null) {
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
      held = { leaseId, fencing: result.value.revision, expiresAtMs };
    }
  };
  return {
    refresh: () => (held === null || getNowMs() >= held.expiresAtMs ? take() : keep(held)),
    getFencingToken: () =>
      held !== null && held.expiresAtMs - getNowMs() >= MIN_LEFT_MS ? held.fencing : null,
    drop: () => {
      held = null;
    },
  };
};

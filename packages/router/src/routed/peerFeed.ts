import type * as stores from '@jayrock/stores';
import type * as pino from 'pino';
import * as zod from 'zod';
import type * as routerRuntime from '../routerRuntime.js';
import * as canaryRecords from './canaryRecords.js';

/** Key prefix under which routers register their addresses. */
const ROUTER_PREFIX = `${canaryRecords.OWN_PREFIX}routers/`;
/** Duration of the lease, in milliseconds, after which the entry of a router that no longer runs expires. */
const LEASE_MS = 30_000;
/** Interval between renewals of the lease, in milliseconds. */
const RENEW_MS = 10_000;

const entrySchema = zod.object({ address: zod.string() });

/** Registers this router in the store and follows the registrations of other routers. */
export interface PeerFeed {
  /** Applies a changed or, with a null value, removed registration. */
  readonly handleChange: (key: string, value: string | null) => void;
  /** Registers this router again after the store has gone back to an older copy, in which leases are lost. */
  readonly handleRestored: () => void;
  /** Removes the registration of this router. */
  readonly leave: () => Promise<void>;
  readonly stop: () => void;
}

const decodeAddress = (value: string): string | null => {
  try {
    return entrySchema.parse(JSON.parse(value)).address;
  } catch {
    return null;
  }
};

/** Registers this router under a lease, which is renewed until the feed stops. */
export const startPeerFeed = (
  runtime: routerRuntime.Runtime,
  store: stores.prefixStore.PrefixStore,
  log: pino.Logger,
): PeerFeed => {
  const { self } = runtime.getState();
  const key = `${ROUTER_PREFIX}${self.routerId}`;
  const addresses = new Map<string, string>();
  let leaseId: string | null = null;
  let hasLeft = false;
  const registerRouter = async (): Promise<void> => {
    const lease = await store.grantLease(LEASE_MS);
    if (!lease.ok) {
      log.warn({ error: lease.error }, 'router not registered: no lease granted');
      return;
    }
    const committed = await store.commit({
      checks: [],
      puts: [{ key, value: JSON.stringify({ address: self.address }), leaseId: lease.value }],
    });
    leaseId = committed.ok ? lease.value : null;
  };
  const renew = async (): Promise<void> => {
    if (leaseId === null) {
      await registerRouter();
      return;
    }
    const renewed = await store.renewLease(leaseId);
    if (renewed.ok && !renewed.value) {
      await registerRouter();
    }
  };
  let renewal = Promise.resolve();
  const startRenewal = (): void => {
    renewal = renew().catch((error: unknown) => log.error({ error }, 'router registration failed'));
  };
  startRenewal();
  const timer = setInterval(startRenewal, RENEW_MS);
  return {
    handleChange: (changedKey, value) => {
      if (!changedKey.startsWith(ROUTER_PREFIX)) {
        return;
      }
      const address = value === null ? null : decodeAddress(value);
      if (address === null) {
        addresses.delete(changedKey);
      } else {
        addresses.set(changedKey, address);
      }
      runtime.dispatch({
        type: 'seedAddressesChanged',
        addresses: Array.from(new Set(addresses.values())),
      });
    },
    handleRestored: () => {
      renewal = renewal.then(async () => {
        leaseId = null;
        await (hasLeft ? undefined : renew());
      });
      renewal.catch((error: unknown) => log.error({ error }, 'router registration failed'));
    },
    stop: () => {
      hasLeft = true;
      clearInterval(timer);
    },
    leave: async () => {
      hasLeft = true;
      clearInterval(timer);
      // A registration that is under way would otherwise come after its removal.
      await renewal;
      await store.commit({ checks: [], puts: [], deletes: [key] });
    },
  };
};

import type * as stores from '@jayrock/stores';
import type * as pino from 'pino';
import * as zod from 'zod';
import type * as runtime from '../runtime.js';
import * as canaryRecords from './canaryRecords.js';

/** Prefix under which routers list their addresses. */
const ROUTER_PREFIX = `${canaryRecords.OWN_PREFIX}routers/`;
/** Time after which the entry of a router that ended lapses, in milliseconds. */
const LEASE_MS = 30_000;
/** Time between two renewals of the entry, in milliseconds. */
const RENEW_MS = 10_000;

const entry = zod.object({ address: zod.string() });

/** Lists this router in the store and learns of others. */
export interface PeerFeed {
  readonly handleChange: (key: string, value: string | null) => void;
  /** Takes this router off the list. */
  readonly leave: () => Promise<void>;
  readonly stop: () => void;
}

const decodeAddress = (value: string): string | null => {
  try {
    return entry.parse(JSON.parse(value)).address;
  } catch {
    return null;
  }
};

/** Starts listing this router in the store under a lease. */
export const startPeerFeed = (
  node: runtime.Runtime,
  store: stores.prefixStore.PrefixStore,
  log: pino.Logger,
): PeerFeed => {
  const { self } = node.getState();
  const key = `${ROUTER_PREFIX}${self.routerId}`;
  const addresses = new Map<string, string>();
  let leaseId: string | null = null;
  const list = async (): Promise<void> => {
    const granted = await store.grantLease(LEASE_MS);
    if (!granted.ok) {
      log.warn({ error: granted.error }, 'router not listed: no lease');
      return;
    }
    const done = await store.commit({
      checks: [],
      puts: [{ key, value: JSON.stringify({ address: self.address }), leaseId: granted.value }],
    });
    leaseId = done.ok ? granted.value : null;
  };
  const renew = async (): Promise<void> => {
    if (leaseId === null) {
      await list();
      return;
    }
    const kept = await store.keepLease(leaseId);
    if (kept.ok && !kept.value) {
      await list();
    }
  };
  const run = (): void => {
    renew().catch((error: unknown) => log.error({ error }, 'router not listed'));
  };
  run();
  const timer = setInterval(run, RENEW_MS);
  return {
    handleChange: (changed, value) => {
      if (!changed.startsWith(ROUTER_PREFIX)) {
        return;
      }
      const address = value === null ? null : decodeAddress(value);
      if (address === null) {
        addresses.delete(changed);
      } else {
        addresses.set(changed, address);
      }
      node.dispatch({
        type: 'contactsChanged',
        addresses: Array.from(new Set(addresses.values())),
      });
    },
    stop: () => clearInterval(timer),
    leave: async () => {
      clearInterval(timer);
      await store.commit({ checks: [], puts: [], deletes: [key] });
    },
  };
};

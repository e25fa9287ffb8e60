import * as platform from '@jayrock/platform';
import type * as shared from '@jayrock/shared';
import type * as stores from '@jayrock/stores';
import type * as pino from 'pino';
import type * as routerRuntime from '../routerRuntime.js';
import * as prefixFeed from './prefixFeed.js';

/** The entries of upstreams. */
export interface HostFeed {
  /** Applies all entries, as read at the start or after a gap. */
  readonly handleSnapshot: (
    entries: readonly stores.keyValueStore.KeyValueEntry[],
    restoration: prefixFeed.Restoration | null,
  ) => void;
  readonly handleChange: (change: stores.prefixStore.PrefixChange) => void;
  readonly stop: () => void;
}

/** Follows the entries that upstreams register in the store and reports changed and removed hosts. */
export const makeHostFeed = (
  runtime: routerRuntime.Runtime,
  getTimeSinceOutageMs: () => number,
  log: pino.Logger,
): HostFeed => {
  const lastReported = new Map<string, string>();
  /** Start times of processes that were leaving or removed, by key. */
  const goneSince = new Map<string, number | undefined>();
  const removalTimers = new Map<string, NodeJS.Timeout>();
  /** Returns whether an entry shows a process as live that is known to be leaving or gone. */
  const isOutdated = (key: string, host: shared.hosts.Host): boolean =>
    host.state === 'live' && goneSince.has(key) && goneSince.get(key) === host.bornAtMs;
  const applyEntry = (key: string, value: string, mayBeFromCopy = false): void => {
    const host = platform.hostEntries.decodeHost(key, value);
    if (host.ok && mayBeFromCopy && isOutdated(key, host.value)) {
      log.info({ key }, 'outdated upstream entry ignored');
      return;
    }
    clearTimeout(removalTimers.get(key));
    removalTimers.delete(key);
    if (!host.ok) {
      log.warn({ key, field: host.error }, 'invalid upstream entry');
      return;
    }
    if (host.value.state === 'leaving') {
      goneSince.set(key, host.value.bornAtMs);
    } else {
      goneSince.delete(key);
    }
    // An accepted order also changes fields of the entry that are not decoded; such changes are ignored.
    const text = JSON.stringify(host.value);
    if (lastReported.get(key) !== text) {
      lastReported.set(key, text);
      runtime.dispatch({ type: 'hostChanged', host: host.value });
    }
  };
  const removeEntry = (key: string): void => {
    removalTimers.delete(key);
    const reported = lastReported.get(key);
    if (reported !== undefined) {
      lastReported.delete(key);
      goneSince.set(key, (JSON.parse(reported) as shared.hosts.Host).bornAtMs);
      runtime.dispatch({ type: 'hostRemoved', hostId: platform.hostEntries.getHostId(key) });
    }
  };
  /** Delays the removal after a store outage, since an entry that expired during it may be registered again. */
  const scheduleRemoval = (key: string): void => {
    const delayMs = prefixFeed.REWRITE_MS - getTimeSinceOutageMs();
    if (delayMs <= 0) {
      removeEntry(key);
    } else if (!removalTimers.has(key)) {
      removalTimers.set(
        key,
        setTimeout(() => removeEntry(key), delayMs),
      );
    }
  };
  return {
    handleSnapshot: (entries, restoration) => {
      const listed = new Set(entries.map((entry) => entry.key));
      Array.from(lastReported.keys())
        .filter((key) => !listed.has(key))
        .forEach(scheduleRemoval);
      const copiedRevision = restoration?.revision ?? -1;
      entries.forEach(({ key, value, revision }) =>
        applyEntry(key, value, revision <= copiedRevision),
      );
    },
    handleChange: ({ key, value }) =>
      value === null ? scheduleRemoval(key) : applyEntry(key, value),
    stop: () => removalTimers.forEach((timer) => clearTimeout(timer)),
  };
};

import * as platform from '@jayrock/platform';
import type * as stores from '@jayrock/stores';
import type * as pino from 'pino';
import type * as runtime from '../runtime.js';
import * as prefixFeed from './prefixFeed.js';

/**
 * Time without changes after which a wait begins anew, in milliseconds. A wait that a cut has silenced ends
 * within it; that plus its margin stays below the 5 s in which a router back in touch must know who leaves.
 */
const WAIT_MS = 4_000;
/** Pause after changes: entries change with every order an upstream takes, and many at once. */
const GATHER_MS = 200;
/** Time after an outage of the store in which lapsed entries come back, in milliseconds. */
const RETURN_MS = 1_900;

/** Follows the upstreams that list themselves in the store. */
export const startHostFeed = (
  node: runtime.Runtime,
  store: stores.prefixStore.PrefixStore,
  log: pino.Logger,
): prefixFeed.PrefixFeed => {
  const told = new Map<string, string>();
  const removals = new Map<string, NodeJS.Timeout>();
  let getCalmMs = (): number => Infinity;
  const adopt = (key: string, value: string): void => {
    clearTimeout(removals.get(key));
    removals.delete(key);
    const host = platform.hostEntries.decodeHost(key, value);
    if (!host.ok) {
      log.warn({ key, field: host.error }, 'entry of an upstream cannot be read');
      return;
    }
    // Entries change with every order an upstream takes; only what is decoded matters here.
    const text = JSON.stringify(host.value);
    if (told.get(key) !== text) {
      told.set(key, text);
      node.dispatch({ type: 'hostChanged', host: host.value });
    }
  };
  const remove = (key: string): void => {
    removals.delete(key);
    if (told.delete(key)) {
      node.dispatch({ type: 'hostRemoved', hostId: platform.hostEntries.getHostId(key) });
    }
  };
  /** Entries that lapsed while the store was away may come back, so they are kept for a while. */
  const scheduleRemoval = (key: string): void => {
    const delayMs = RETURN_MS - getCalmMs();
    if (delayMs <= 0) {
      remove(key);
    } else if (!removals.has(key)) {
      removals.set(
        key,
        setTimeout(() => remove(key), delayMs),
      );
    }
  };
  const feed = prefixFeed.startPrefixFeed(
    store,
    { prefix: platform.wire.KEYS.upstreams, waitMs: WAIT_MS, batchDelayMs: GATHER_MS, clock: null },
    {
      handleSnapshot: (entries) => {
        const listed = new Set(entries.map((entry) => entry.key));
        Array.from(told.keys())
          .filter((key) => !listed.has(key))
          .forEach(scheduleRemoval);
        entries.forEach((entry) => adopt(entry.key, entry.value));
      },
      handleChange: (change) =>
        change.value === null ? scheduleRemoval(change.key) : adopt(change.key, change.value),
    },
    log,
  );
  getCalmMs = feed.getTimeSinceFailureMs;
  return feed;
};

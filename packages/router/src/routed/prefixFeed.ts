import * as shared from '@jayrock/shared';
import type * as stores from '@jayrock/stores';
import type * as pino from 'pino';
import type * as freshnessClock from './freshnessClock.js';

/** Receives the keys under a prefix and their changes. */
export interface PrefixFeedListener {
  /** Called with all keys at the start and whenever changes may have been missed. */
  readonly handleSnapshot: (entries: readonly stores.keyValueStore.KeyValueEntry[]) => void;
  readonly handleChange: (change: stores.prefixStore.PrefixChange) => void;
}

/** Follows the keys under a prefix. */
export interface PrefixFeed {
  /** Resolves after the first successful read of the prefix. */
  readonly firstRead: Promise<void>;
  /** Time since the store last failed to answer, in milliseconds; Infinity if it never failed. */
  readonly getTimeSinceFailureMs: () => number;
  /** Reads the prefix now; concurrent calls share one read. Resolves to false if the store does not answer. */
  readonly refresh: () => Promise<boolean>;
  readonly stop: () => void;
}

/** Options of a prefix feed. */
export interface PrefixFeedOptions {
  readonly prefix: string;
  /** Timeout of a long poll, in milliseconds; a poll without changes confirms the known state. */
  readonly waitMs: number;
  /** Delay after changes, in milliseconds, so that the next poll returns further ones in one batch. */
  readonly batchDelayMs: number;
  /** Records confirmations; null if their age does not matter. */
  readonly clock: freshnessClock.FreshnessClock | null;
}

/** Bounds of the exponential backoff after failed calls, in milliseconds, before jitter. */
const MIN_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 800;

/** Starts a feed: reads the prefix, long-polls for changes, and reads it again after a gap in the history. */
export const startPrefixFeed = (
  store: stores.prefixStore.PrefixStore,
  options: PrefixFeedOptions,
  listener: PrefixFeedListener,
  log: pino.Logger,
): PrefixFeed => {
  const { prefix, waitMs, batchDelayMs, clock } = options;
  let isStopped = false;
  let failures = 0;
  let failedAtMs = -Infinity;
  let revision: number | null = null;
  let resolveFirstRead: () => void = () => undefined;
  const firstRead = new Promise<void>((resolve) => {
    resolveFirstRead = resolve;
  });
  const recordSuccess = (): void => {
    if (failures > 0) {
      log.info({ prefix, failures }, 'store answers again');
    }
    failures = 0;
  };
  const backOff = async (error: string): Promise<void> => {
    failures += 1;
    failedAtMs = performance.now();
    if (failures === 1) {
      log.warn({ prefix, error }, 'store does not answer');
    }
    const backoffMs = Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** (failures - 1));
    await shared.delay.wait(backoffMs * (0.5 + Math.random()));
  };
  const readOnce = async (): Promise<stores.keyValueStore.KeyValueError | null> => {
    const reading = clock?.takeReading();
    const snapshot = await store.readPrefix(prefix);
    if (isStopped) {
      return null;
    }
    if (!snapshot.ok) {
      return snapshot.error;
    }
    revision = Math.max(revision ?? 0, snapshot.value.revision);
    listener.handleSnapshot(snapshot.value.entries);
    if (reading !== undefined) {
      clock?.confirm(reading);
    }
    resolveFirstRead();
    return null;
  };
  const readAll = async (): Promise<void> => {
    const error = await readOnce();
    if (error === null) {
      recordSuccess();
    } else {
      await backOff(error);
    }
  };
  let refreshing: Promise<boolean> | null = null;
  const refresh = (): Promise<boolean> => {
    if (failures > 0) {
      return Promise.resolve(false);
    }
    refreshing ??= readOnce()
      .then((error) => error === null)
      .finally(() => {
        refreshing = null;
      });
    return refreshing;
  };
  const pollOnce = async (after: number): Promise<void> => {
    const reading = clock?.takeReading();
    const polled = await store.waitForChanges(prefix, after, waitMs);
    if (isStopped) {
      return;
    }
    if (polled.ok) {
      recordSuccess();
      revision = Math.max(revision ?? 0, polled.value.revision);
      polled.value.changes.forEach(listener.handleChange);
      if (reading !== undefined) {
        // A poll returns without changes only at its timeout, so the state was current then.
        const isEmpty = polled.value.changes.length === 0;
        clock?.confirm(reading, isEmpty ? waitMs : 0);
      }
      if (polled.value.changes.length > 0 && batchDelayMs > 0) {
        await shared.delay.wait(batchDelayMs);
      }
    } else if (polled.error === 'compacted') {
      log.info({ prefix, after }, 'change history compacted, reading the prefix again');
      revision = null;
    } else {
      await backOff(polled.error);
    }
  };
  const followPrefix = async (): Promise<void> => {
    while (!isStopped) {
      // eslint-disable-next-line no-await-in-loop -- each call follows the one before
      await (revision === null ? readAll() : pollOnce(revision));
    }
  };
  followPrefix().catch((error: unknown) => log.error({ error, prefix }, 'prefix feed failed'));
  return {
    firstRead,
    getTimeSinceFailureMs: () => performance.now() - failedAtMs,
    refresh,
    stop: () => {
      isStopped = true;
    },
  };
};

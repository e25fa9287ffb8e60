import * as shared from '@jayrock/shared';
import type * as stores from '@jayrock/stores';
import type * as pino from 'pino';
import type * as freshnessClock from './freshnessClock.js';

/** What a feed tells of the keys under a prefix. */
export interface PrefixFeedListener {
  /** All keys, at the start and whenever changes may have been missed. */
  readonly handleSnapshot: (entries: readonly stores.keyValueStore.KeyValueEntry[]) => void;
  readonly handleChange: (change: stores.prefixStore.PrefixChange) => void;
}

/** A feed of the keys under a prefix. */
export interface PrefixFeed {
  /** Resolves once the prefix was read for the first time. */
  readonly firstRead: Promise<void>;
  /** Time since the store last failed to answer, in milliseconds; infinite if it never did. */
  readonly getTimeSinceFailureMs: () => number;
  /** Reads the prefix now; calls made meanwhile share one read. False if the store did not answer. */
  readonly refresh: () => Promise<boolean>;
  readonly stop: () => void;
}

/** How a feed follows its prefix. */
export interface PrefixFeedOptions {
  readonly prefix: string;
  /** Time after which a wait without changes confirms what is known, in milliseconds. */
  readonly waitMs: number;
  /** Pause after changes, in which further ones gather for one answer, in milliseconds. */
  readonly batchDelayMs: number;
  /** Records confirmations, where their age matters. */
  readonly clock: freshnessClock.FreshnessClock | null;
}

/** Shortest and longest pause after a failed call, in milliseconds. */
const MIN_PAUSE_MS = 100;
const MAX_PAUSE_MS = 800;

/** Follows a prefix of the store: reads it, waits for changes, and reads it anew after a gap. */
export const startPrefixFeed = (
  store: stores.prefixStore.PrefixStore,
  options: PrefixFeedOptions,
  listener: PrefixFeedListener,
  log: pino.Logger,
): PrefixFeed => {
  const { prefix, waitMs, batchDelayMs: gatherMs, clock } = options;
  let isStopped = false;
  let failures = 0;
  let failedAtMs = -Infinity;
  let revision: number | null = null;
  let settleFirst: () => void = () => undefined;
  const first = new Promise<void>((resolve) => {
    settleFirst = resolve;
  });
  const noteSuccess = (): void => {
    if (failures > 0) {
      log.info({ prefix, failures }, 'store answers again');
    }
    failures = 0;
  };
  const noteFailure = async (error: string): Promise<void> => {
    failures += 1;
    failedAtMs = performance.now();
    if (failures === 1) {
      log.warn({ prefix, error }, 'store does not answer');
    }
    const pauseMs = Math.min(MAX_PAUSE_MS, MIN_PAUSE_MS * 2 ** (failures - 1));
    await shared.delay.wait(pauseMs * (0.5 + Math.random()));
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
    settleFirst();
    return null;
  };
  const readAll = async (): Promise<void> => {
    const error = await readOnce();
    if (error === null) {
      noteSuccess();
    } else {
      await noteFailure(error);
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
  const waitOnce = async (after: number): Promise<void> => {
    const reading = clock?.takeReading();
    const waited = await store.waitChanges(prefix, after, waitMs);
    if (isStopped) {
      return;
    }
    if (waited.ok) {
      noteSuccess();
      revision = Math.max(revision ?? 0, waited.value.revision);
      waited.value.changes.forEach(listener.handleChange);
      if (reading !== undefined) {
        // The store answers a wait without changes only when its time has passed.
        const isEmpty = waited.value.changes.length === 0;
        clock?.confirm(reading, isEmpty ? waitMs : 0);
      }
      if (waited.value.changes.length > 0 && gatherMs > 0) {
        await shared.delay.wait(gatherMs);
      }
    } else if (waited.error === 'compacted') {
      log.info({ prefix, after }, 'history is gone, reading anew');
      revision = null;
    } else {
      await noteFailure(waited.error);
    }
  };
  const run = async (): Promise<void> => {
    while (!isStopped) {
      // eslint-disable-next-line no-await-in-loop -- each call follows the one before
      await (revision === null ? readAll() : waitOnce(revision));
    }
  };
  run().catch((error: unknown) => log.error({ error, prefix }, 'feed ended'));
  return {
    firstRead: first,
    getTimeSinceFailureMs: () => performance.now() - failedAtMs,
    refresh,
    stop: () => {
      isStopped = true;
    },
  };
};

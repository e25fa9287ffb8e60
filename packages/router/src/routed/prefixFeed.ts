import * as shared from '@jayrock/shared';
import type * as stores from '@jayrock/stores';
import type * as pino from 'pino';
import type * as freshnessClock from './freshnessClock.js';

/** The store has gone back to an older copy, so keys may be missing or outdated until they are written again. */
export interface Restoration {
  /** True for the first snapshot since then. */
  readonly isFirst: boolean;
  /** Revision of that snapshot; entries up to it may come from the copy. */
  readonly revision: number;
}

/** Receives the keys under a prefix and their changes. */
export interface PrefixFeedListener {
  /** Called with all keys at the start and whenever changes may have been missed; later changes wait for its end. */
  readonly handleSnapshot: (
    entries: readonly stores.keyValueStore.KeyValueEntry[],
    restoration: Restoration | null,
  ) => Promise<void>;
  readonly handleChange: (change: stores.prefixStore.PrefixChange) => void;
}

/** Follows the keys under a prefix. */
export interface PrefixFeed {
  /** Resolves after the first successful read of the prefix. */
  readonly firstRead: Promise<void>;
  /** Resolves when a call to the store has failed for the first time. */
  readonly firstFailure: Promise<void>;
  /**
   * Time since the end of the last outage of the store, in milliseconds; Infinity if there was none. It lost data, or
   * confirmed nothing for longer than a poll, so that entries may have lapsed that their owners write again.
   */
  readonly getTimeSinceOutageMs: () => number;
  /**
   * Confirms what is known, or learns what has changed, now, if the store answers; the clock tells. Concurrent calls share
   * one, or join a read that is under way; none is made while the store is known not to answer.
   */
  readonly refresh: () => Promise<void>;
  readonly stop: () => void;
}

/** Options of a prefix feed. */
export interface PrefixFeedOptions {
  readonly prefix: string;
  /** Returns the longest time of a poll, in milliseconds; one without changes confirms the known state. */
  readonly getWaitMs: () => number;
  /** Records confirmations. */
  readonly clock: freshnessClock.FreshnessClock;
}

/** Where a feed stands in the store's history. */
interface Position {
  readonly revision: number;
  readonly era: stores.prefixStore.StoreEra;
}

/**
 * Time of a poll that is answered at once, in milliseconds. After a failed one, it shows whether the store has gone back
 * to an older copy, in which the position may name a later change.
 */
const SHORT_WAIT_MS = 1;
/** Time after an outage or the start of a new era in which others write again what the store has lost, in milliseconds. */
export const REWRITE_MS = 1_900;
/** Bounds of the exponential backoff after failed calls, in milliseconds, before jitter. */
const MIN_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 650;
/** Upper bound after a call that itself took longer than `MAX_BACKOFF_MS`. */
const MAX_SHORT_BACKOFF_MS = 200;

/** Starts a feed: reads the prefix, long-polls for changes, and reads it again after a gap in the history. */
export const startPrefixFeed = (
  store: stores.prefixStore.PrefixStore,
  options: PrefixFeedOptions,
  listener: PrefixFeedListener,
  log: pino.Logger,
): PrefixFeed => {
  const { prefix, getWaitMs, clock } = options;
  let isStopped = false;
  let failures = 0;
  let outageAtMs = -Infinity;
  let position: Position | null = null;
  let era: stores.prefixStore.StoreEra = null;
  /** Revision up to which all changes of the era are known. */
  let seenRevision = -1;
  /** Later revisions of entries that a read in pages has shown. */
  let aheadRevisions: ReadonlyMap<string, number> = new Map();
  let resolveFirstRead: () => void = () => undefined;
  const firstRead = new Promise<void>((resolve) => {
    resolveFirstRead = resolve;
  });
  let resolveFirstFailure: () => void = () => undefined;
  const firstFailure = new Promise<void>((resolve) => {
    resolveFirstFailure = resolve;
  });
  let restoredAtMs = -Infinity;
  let restoredRevision: number | null = null;
  /** Confirms the state as of a reading, unless the store may still lack what it has lost by going back to a copy. */
  const confirm = (reading: freshnessClock.ClockReading, laterMs = 0): void => {
    if (reading.monotonicMs + laterMs >= restoredAtMs + REWRITE_MS) {
      clock.confirm(reading, laterMs);
    }
  };
  /** Records an answer after failures: they were an outage if nothing was confirmed for so long that entries may lapse. */
  const recordSuccess = (): void => {
    if (failures > 0) {
      log.info({ prefix, failures }, 'store answers again');
      outageAtMs = clock.getAgeMs() > getWaitMs() ? performance.now() : outageAtMs;
    }
    failures = 0;
  };
  /** Pauses after a failed call; the time that the call took is a part of the pause. */
  const backOff = async (error: string, calledAtMs: number): Promise<void> => {
    failures += 1;
    resolveFirstFailure();
    if (failures === 1) {
      log.warn({ prefix, error }, 'store does not answer');
    }
    const jitter = 0.5 + Math.random();
    const backoffMs = MIN_BACKOFF_MS * 2 ** (failures - 1);
    await shared.delay.wait(
      Math.max(
        jitter * Math.min(MAX_SHORT_BACKOFF_MS, backoffMs),
        jitter * Math.min(MAX_BACKOFF_MS, backoffMs) - (performance.now() - calledAtMs),
      ),
    );
  };
  /** Applies a change; one that cannot be applied does not keep others from being followed. */
  const applyChange = (change: stores.prefixStore.PrefixChange): void => {
    try {
      listener.handleChange(change);
    } catch (error) {
      log.error({ error, key: change.key }, 'change not applied');
    }
  };
  const readOnce = async (): Promise<stores.keyValueStore.KeyValueError | null> => {
    const reading = clock.takeReading();
    const snapshot = await store.readPrefix(prefix);
    if (isStopped) {
      return null;
    }
    if (!snapshot.ok) {
      return snapshot.error;
    }
    const isOfEarlierEra = era !== null && snapshot.value.era !== null && snapshot.value.era < era;
    if (isOfEarlierEra || (snapshot.value.era === era && snapshot.value.revision < seenRevision)) {
      // An earlier state than the one that is known, as a router that is behind may have it.
      return 'unknown';
    }
    recordSuccess();
    const isRestored = era !== null && snapshot.value.era !== era;
    if (isRestored) {
      log.warn({ prefix, era: snapshot.value.era }, 'store went back to an older copy');
      outageAtMs = performance.now();
      restoredAtMs = outageAtMs;
      restoredRevision = snapshot.value.revision;
    }
    ({ era } = snapshot.value);
    seenRevision = snapshot.value.revision;
    aheadRevisions = new Map(
      snapshot.value.entries
        .filter(({ revision }) => revision > seenRevision)
        .map(({ key, revision }) => [key, revision]),
    );
    await listener
      .handleSnapshot(
        snapshot.value.entries,
        restoredRevision === null ? null : { isFirst: isRestored, revision: restoredRevision },
      )
      .catch((error: unknown) => log.error({ error, prefix }, 'entries not applied'));
    position = { revision: seenRevision, era };
    confirm(reading, snapshot.value.currentAfterMs ?? 0);
    resolveFirstRead();
    return null;
  };
  let pendingRead: ReturnType<typeof readOnce> | null = null;
  let readAtMs = -Infinity;
  /** Reads the prefix, or joins the read that is under way; changes are followed after it has been applied. */
  const readShared = (): ReturnType<typeof readOnce> => {
    if (pendingRead === null) {
      readAtMs = performance.now();
      pendingRead = readOnce().finally(() => {
        pendingRead = null;
      });
    }
    return pendingRead;
  };
  const readAll = async (): Promise<void> => {
    const error = await readShared();
    if (error !== null) {
      await backOff(error, readAtMs);
    }
  };
  /** Polls once from a position; returns the error of a poll that failed. */
  const pollOnce = async (
    after: Position,
    waitMs: number,
  ): Promise<stores.keyValueStore.KeyValueError | null> => {
    const reading = clock.takeReading();
    const polled = await store.waitForChanges(prefix, after.revision, waitMs);
    if (isStopped || position === null || era !== after.era) {
      // A refresh has read another era, or found a gap, meanwhile.
      return null;
    }
    if (!polled.ok && polled.error !== 'compacted') {
      return polled.error;
    }
    recordSuccess();
    if (!polled.ok || polled.value.era !== after.era) {
      log.info({ prefix, after }, 'change history incomplete, reading the prefix again');
      position = null;
      return null;
    }
    const { changes, revision, currentAfterMs } = polled.value;
    // Two polls may be under way, so some of the changes may be known.
    const fresh = changes.filter(
      ({ key, revision: at }) => at > Math.max(seenRevision, aheadRevisions.get(key) ?? -1),
    );
    seenRevision = Math.max(seenRevision, revision);
    position = { revision: seenRevision, era };
    fresh.forEach(applyChange);
    // A poll returns without changes only at its timeout, so the state was current then.
    confirm(reading, currentAfterMs ?? (changes.length === 0 ? waitMs : 0));
    return null;
  };
  const pollAgain = async (after: Position): Promise<void> => {
    const calledAtMs = performance.now();
    const error = await pollOnce(after, failures > 0 ? SHORT_WAIT_MS : getWaitMs());
    if (error !== null) {
      await backOff(error, calledAtMs);
    }
  };
  const pollNow = async (): Promise<void> => {
    const error = position === null ? null : await pollOnce(position, SHORT_WAIT_MS);
    if (error === null && position === null) {
      await readShared();
    }
  };
  let refreshing: Promise<void> | null = null;
  const refresh = (): Promise<void> => {
    if (failures > 0) {
      return Promise.resolve();
    }
    refreshing ??= pollNow().finally(() => {
      refreshing = null;
    });
    return refreshing;
  };
  const followPrefix = async (): Promise<void> => {
    while (!isStopped) {
      // eslint-disable-next-line no-await-in-loop -- each call follows the one before
      await (position === null ? readAll() : pollAgain(position));
    }
  };
  followPrefix().catch((error: unknown) => log.error({ error, prefix }, 'prefix feed failed'));
  return {
    firstRead,
    firstFailure,
    getTimeSinceOutageMs: () => performance.now() - outageAtMs,
    refresh,
    stop: () => {
      isStopped = true;
    },
  };
};

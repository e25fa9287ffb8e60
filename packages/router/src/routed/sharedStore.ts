import * as core from '@jayrock/core';
import * as shared from '@jayrock/shared';
import type * as stores from '@jayrock/stores';
import type * as pino from 'pino';
import type * as messages from '../peers/messages.js';
import type * as rpcClient from '../peers/rpcClient.js';
import type * as routerRuntime from '../routerRuntime.js';
import * as freshnessClock from './freshnessClock.js';
import * as prefixLog from './prefixLog.js';

/** Time by which a call to a reader may exceed the wait that it asks for, in milliseconds. */
const WAIT_MARGIN_MS = 1_000;
/** Time within which a change has to be known to a router whose reader gives no answer, in milliseconds. */
const NEWS_MS = 2_000;
/** Time without a sign of life after which a reader that holds a call counts as silent, in milliseconds. */
const SILENCE_MS = 0.4 * NEWS_MS;
/** Longest wait at a reader that gives no signs of life, in milliseconds; routers of the former build give none. */
const UNWATCHED_HOLD_MS = 0.2 * NEWS_MS;
/** Timeout of a call to a reader after another one was silent, in milliseconds. */
const NEXT_READER_TIMEOUT_MS = 0.15 * NEWS_MS;
/** Timeout of a read of a prefix through a reader, in milliseconds. */
const READ_TIMEOUT_MS = 600;
/** Age above that of a wait at which what a reader knows counts as outdated, in milliseconds. */
const AGE_MARGIN_MS = 1_000;
/** Time for which a reader that did not answer is not asked, in milliseconds. */
const SILENT_READER_MS = 3_000;
/**
 * Largest delay before the store is asked directly because a reader is outdated, in milliseconds; it spreads the calls
 * of the routers that share the reader.
 */
const FALLBACK_SPREAD_MS = 300;
/**
 * Largest size of the values that a reader passes on, in characters; larger ones are read from the store, whose link is
 * wider than that of a reader with many routers behind it.
 */
const MAX_RELAYED_SIZE = 65_536;
/** Time between direct calls while the store does not answer either, in milliseconds, before jitter. */
const DIRECT_RETRY_MS = 4_000;

/**
 * Time for which a reader that cannot reach the store holds a router that knows it, in milliseconds, so that the router
 * hears at once when the store answers again.
 */
const RECOVERY_HOLD_MS = 2_000;

/** What this router knows of a prefix. */
interface KnownPrefix {
  readonly log: prefixLog.PrefixLog;
  readonly clock: freshnessClock.FreshnessClock;
  isFailing: boolean;
  waiters: (() => void)[];
}

/** Reads of the store that routers share. */
export interface SharedStore {
  /** The store, which is read through another router where there is one that reads for this one. */
  readonly store: stores.prefixStore.PrefixStore;
  /** Answers a router that reads a prefix through this one. */
  readonly serveRead: (
    params: messages.PeerParams<'readPrefix'>,
  ) => messages.PeerResult<'readPrefix'>;
  /** Answers once there is a change or a new confirmation, or after the wait. */
  readonly serveWait: (
    params: messages.PeerParams<'waitForPrefix'>,
  ) => Promise<messages.PeerResult<'waitForPrefix'>>;
}

const isTooLarge = (values: readonly { readonly value: string | null }[]): boolean =>
  values.reduce((sum, { value }) => sum + (value?.length ?? 0), 0) > MAX_RELAYED_SIZE;

/** Turns a reader's answer to a wait into the outcome of a wait at the store. */
const decodeWait = ({
  changes,
  heldMs,
  ageMs,
}: NonNullable<messages.PeerResult<'waitForPrefix'>>): shared.outcome.Outcome<
  stores.prefixStore.PrefixChanges,
  stores.prefixStore.WaitError
> =>
  changes === null
    ? shared.outcome.makeFailed('compacted')
    : shared.outcome.makeOk({ ...changes, currentAfterMs: heldMs - ageMs });

/** Dependencies of the shared reads. */
export interface SharedStoreContext {
  readonly runtime: routerRuntime.Runtime;
  readonly client: rpcClient.RpcClient;
  readonly log: pino.Logger;
}

/**
 * Wraps a store so that a few routers read it for all. What a router passes on bears the age of its last confirmation, so
 * a relay never makes data look newer. A router whose readers are silent or outdated asks the store itself.
 */
export const makeSharedStore = (
  { runtime, client, log }: SharedStoreContext,
  direct: stores.prefixStore.PrefixStore,
): SharedStore => {
  const known = new Map<string, KnownPrefix>();
  const silentUntilMs = new Map<string, number>();
  let directFailedUntilMs = -Infinity;
  let lastSource: string | null = null;

  const getKnown = (prefix: string): KnownPrefix => {
    const existing = known.get(prefix) ?? {
      log: prefixLog.makePrefixLog(),
      clock: freshnessClock.makeFreshnessClock(),
      isFailing: false,
      waiters: [],
    };
    known.set(prefix, existing);
    return existing;
  };
  const wakeWaiters = (prefix: KnownPrefix): void => {
    const { waiters } = prefix;
    Object.assign(prefix, { waiters: [] });
    waiters.forEach((wake) => wake());
  };
  const recordSource = (source: string): void => {
    if (source !== lastSource) {
      lastSource = source;
      log.info({ source }, 'source of the store changed');
    }
  };
  /**
   * Records the outcome of a read, and when the state that it shows was current; `apply` returns false if it could not be
   * applied, so that it confirms nothing.
   */
  const record = <T extends { readonly currentAfterMs?: number }>(
    prefix: string,
    reading: freshnessClock.ClockReading,
    outcome: shared.outcome.Outcome<T, stores.prefixStore.WaitError>,
    apply: (value: T) => boolean,
  ): void => {
    const entry = getKnown(prefix);
    entry.isFailing = !outcome.ok && outcome.error !== 'compacted';
    if (outcome.ok && apply(outcome.value)) {
      entry.clock.confirm(reading, outcome.value.currentAfterMs ?? 0);
    }
    wakeWaiters(entry);
  };
  /**
   * Asks the readers in turn; null if none has an answer that is recent enough. After a silent one, news may already be
   * late, so the next ones are asked for what they know.
   */
  const askReaders = async <
    T extends { readonly ageMs: number; readonly isFailing: boolean; readonly isLarge: boolean },
  >(
    ask: (address: string, isLate: boolean) => Promise<T | null>,
    maxAgeMs: number,
  ): Promise<T | null> => {
    const readers = core.storeReaders
      .listReaders(runtime.getState().members)
      .filter((address) => (silentUntilMs.get(address) ?? -Infinity) < performance.now());
    let isLate = false;
    for (const address of readers) {
      const askedAtMs = performance.now();
      // eslint-disable-next-line no-await-in-loop -- the next reader is asked only if this one has no answer
      const reply = await ask(address, isLate);
      if (reply === null) {
        isLate = true;
        log.info({ address, afterMs: Math.round(performance.now() - askedAtMs) }, 'reader silent');
        silentUntilMs.set(address, performance.now() + SILENT_READER_MS);
      } else if (reply.ageMs <= maxAgeMs && !reply.isFailing && !reply.isLarge) {
        recordSource(address);
        return reply;
      }
    }
    if (readers.length > 0) {
      await shared.delay.wait(Math.random() * FALLBACK_SPREAD_MS);
    }
    return null;
  };
  /** Asks the store itself; while it fails for a router that has readers, seldom. */
  const askDirectly = async <T, E extends stores.prefixStore.WaitError>(
    call: () => Promise<shared.outcome.Outcome<T, E | 'unknown'>>,
  ): Promise<shared.outcome.Outcome<T, E | 'unknown'>> => {
    const hasReaders = core.storeReaders.listReaders(runtime.getState().members).length > 0;
    if (hasReaders && performance.now() < directFailedUntilMs) {
      return shared.outcome.makeFailed('unknown');
    }
    const outcome = await call();
    directFailedUntilMs =
      outcome.ok || outcome.error === 'compacted'
        ? -Infinity
        : performance.now() + DIRECT_RETRY_MS * (0.5 + Math.random());
    recordSource('store');
    return outcome;
  };
  const readPrefix: stores.prefixStore.PrefixStore['readPrefix'] = async (prefix) => {
    const { takeReading } = getKnown(prefix).clock;
    const reading = takeReading();
    const reply = await askReaders(
      (address, isLate) =>
        client.call(
          address,
          'readPrefix',
          { prefix },
          isLate ? NEXT_READER_TIMEOUT_MS : READ_TIMEOUT_MS,
        ),
      READ_TIMEOUT_MS + AGE_MARGIN_MS,
    );
    const started = reply === null ? takeReading() : reading;
    const outcome =
      reply === null
        ? await askDirectly(() => direct.readPrefix(prefix))
        : shared.outcome.makeOk({
            ...reply.snapshot,
            currentAfterMs: -reply.ageMs,
          });
    record(prefix, started, outcome, (snapshot) => {
      getKnown(prefix).log.replace(snapshot);
      return true;
    });
    return outcome.ok && reply === null
      ? shared.outcome.makeOk({
          ...outcome.value,
          currentAfterMs: started.monotonicMs - reading.monotonicMs,
        })
      : outcome;
  };
  const waitForChanges: stores.prefixStore.PrefixStore['waitForChanges'] = async (
    prefix,
    after,
    waitMs,
  ) => {
    const { isFailing, clock } = getKnown(prefix);
    const { takeReading } = clock;
    const reading = takeReading();
    const holdMs = isFailing ? Math.max(waitMs, RECOVERY_HOLD_MS) : waitMs;
    const askToWait = (
      address: string,
      readerWaitMs: number,
      timeoutMs: number,
    ): Promise<messages.PeerResult<'waitForPrefix'>> =>
      client.callHeld(
        address,
        'waitForPrefix',
        { prefix, after, waitMs: readerWaitMs, ageMs: clock.getAgeMs(), isFailing },
        timeoutMs,
        SILENCE_MS,
      );
    const reply = await askReaders((address, isLate) => {
      const readerWaitMs = client.hasHeartbeat(address)
        ? holdMs
        : Math.min(holdMs, UNWATCHED_HOLD_MS);
      return isLate
        ? askToWait(address, 0, NEXT_READER_TIMEOUT_MS)
        : askToWait(address, readerWaitMs, readerWaitMs + WAIT_MARGIN_MS);
    }, holdMs + AGE_MARGIN_MS);
    const started = reply === null ? takeReading() : reading;
    const outcome =
      reply === null
        ? await askDirectly<stores.prefixStore.PrefixChanges, stores.prefixStore.WaitError>(() =>
            direct.waitForChanges(prefix, after, waitMs),
          )
        : decodeWait(reply);
    // An empty wait at the store ends at its timeout.
    const currentAfterMs =
      outcome.ok && reply === null && outcome.value.changes.length === 0 ? waitMs : 0;
    const dated =
      outcome.ok && reply === null
        ? shared.outcome.makeOk({ ...outcome.value, currentAfterMs })
        : outcome;
    record(prefix, started, dated, (changes) => getKnown(prefix).log.append(changes));
    return dated.ok && reply === null
      ? shared.outcome.makeOk({
          ...dated.value,
          currentAfterMs: currentAfterMs + started.monotonicMs - reading.monotonicMs,
        })
      : dated;
  };
  return {
    store: { ...direct, readPrefix, waitForChanges },
    serveRead: ({ prefix }) => {
      const entry = known.get(prefix);
      const snapshot = entry?.log.read() ?? null;
      return entry === undefined || snapshot === null || !Number.isFinite(entry.clock.getAgeMs())
        ? null
        : {
            snapshot: isTooLarge(snapshot.entries) ? { ...snapshot, entries: [] } : snapshot,
            ageMs: entry.clock.getAgeMs(),
            isFailing: entry.isFailing,
            isLarge: isTooLarge(snapshot.entries),
          };
    },
    serveWait: async ({ prefix, after, waitMs, ageMs, isFailing = false }) => {
      const entry = known.get(prefix);
      if (
        entry === undefined ||
        entry.log.read() === null ||
        !Number.isFinite(entry.clock.getAgeMs())
      ) {
        return null;
      }
      const startedAtMs = performance.now();
      const isNews = (): boolean => {
        if (entry.isFailing || isFailing) {
          return entry.isFailing !== isFailing;
        }
        const changes = entry.log.listAfter(after);
        const confirmedMs = (ageMs ?? Infinity) + performance.now() - startedAtMs;
        return (
          changes === null ||
          changes.changes.length > 0 ||
          // A confirmation is worth an answer only if it is clearly newer than the asking router's own.
          confirmedMs - entry.clock.getAgeMs() > waitMs / 2
        );
      };
      while (!isNews() && performance.now() - startedAtMs < waitMs) {
        // eslint-disable-next-line no-await-in-loop -- each wait ends with news or the timeout
        await new Promise<void>((resolve) => {
          const timer = setTimeout(resolve, waitMs - (performance.now() - startedAtMs));
          entry.waiters.push(() => {
            clearTimeout(timer);
            resolve();
          });
        });
      }
      const changes = entry.log.listAfter(after);
      const isLarge = changes !== null && isTooLarge(changes.changes);
      return {
        changes: isLarge ? null : changes,
        isLarge,
        heldMs: performance.now() - startedAtMs,
        ageMs: entry.clock.getAgeMs(),
        isFailing: entry.isFailing,
      };
    },
  };
};

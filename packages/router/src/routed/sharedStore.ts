import * as core from '@jayrock/core';
import * as shared from '@jayrock/shared';
import type * as stores from '@jayrock/stores';
import type * as pino from 'pino';
import type * as messages from '../peers/messages.js';
import type * as rpcClient from '../peers/rpcClient.js';
import type * as routerRuntime from '../routerRuntime.js';
import * as freshnessClock from './freshnessClock.js';
import * as prefixLog from './prefixLog.js';

/** Prefix of all keys: one wait at the store, or at a reader, shows how old all that a router knows is. */
export const ALL_KEYS = '';
/**
 * Shares of the time within which news has to be in force. A wait at the store without changes ends after the first, so
 * that what is known is confirmed in time; above the second, another source is asked, whatever the one before says.
 */
const POLL_SHARE = 0.4;
const STALE_SHARE = 0.6;
/** Share of that time above which no further reader is asked, only the store. */
const LATE_SHARE = 0.8;
/** Shares of that time by which an answer of a reader, and of the store, may exceed the wait that it was asked for. */
const READER_MARGIN_SHARE = 0.1;
const STORE_MARGIN_SHARE = 0.35;
/** Share of that time for which changes are collected after those that the store has sent, as they come in groups. */
const BATCH_SHARE = 0.1;
/**
 * Largest share of that time by which a call to the store is delayed after readers were of no use; it spreads the calls
 * of the routers that share them.
 */
const SPREAD_SHARE = 0.05;
/** Largest share of that time between direct calls without an answer. */
const DIRECT_RETRY_SHARE = 1;
/** Share of that time for which a reader that did not answer, or knows nothing recent, is not asked. */
const AVOIDED_SHARE = 1;
/** Share of that time after which a read of a prefix through a reader counts as not answered. */
const READ_TIMEOUT_SHARE = 0.3;
/**
 * Largest size of the values that a reader passes on, in characters; larger ones are read from the store, whose link is
 * wider than that of a reader with many routers behind it.
 */
const MAX_RELAYED_SIZE = 65_536;

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
  /** Returns the time within which news has to be in force, in milliseconds. */
  readonly getNewsMs: () => number;
}

/** What a reader says of its own knowledge. */
interface ReaderReply {
  readonly ageMs: number;
  readonly isFailing: boolean;
  readonly isLarge: boolean;
}

/** Checks of a reader's answer. */
interface ReplyChecks<T> {
  /** Returns whether it shows an earlier state than the known one. */
  readonly isBehind?: (reply: T) => boolean;
  /** Returns whether changes may be missing; the store's history may be longer. */
  readonly isIncomplete?: (reply: T) => boolean;
  readonly hasChanges?: (reply: T) => boolean;
}

/**
 * Wraps a store so that a few routers read it for all. What a router knows bears the time at which the store confirmed
 * it, and a router that passes it on never makes it look newer. Its age alone decides when to ask another source: a reader
 * or a store that is silent, slow or overloaded makes no difference.
 */
export const makeSharedStore = (
  { runtime, client, log, getNewsMs }: SharedStoreContext,
  direct: stores.prefixStore.PrefixStore,
): SharedStore => {
  const known = prefixLog.makePrefixLog();
  const clock = freshnessClock.makeFreshnessClock();
  const avoidedUntilMs = new Map<string, number>();
  let isFailing = false;
  let waiters: (() => void)[] = [];
  let directFailures = 0;
  let directFailedAtMs = -Infinity;
  let directFailedUntilMs = -Infinity;
  let batchedUntilMs = -Infinity;
  let lastSource: string | null = null;

  const listReaders = (): readonly string[] =>
    core.storeReaders.listReaders(runtime.getState().members);
  /** Time until what is known is stale, in milliseconds. */
  const getTimeLeftMs = (): number => Math.max(0, getNewsMs() * STALE_SHARE - clock.getAgeMs());
  const isLate = (): boolean => {
    const ageMs = clock.getAgeMs();
    return Number.isFinite(ageMs) && !isFailing && ageMs > getNewsMs() * LATE_SHARE;
  };
  const recordSource = (source: string): void => {
    if (source !== lastSource) {
      lastSource = source;
      log.info({ source }, 'source of the store changed');
    }
  };
  /**
   * Records the outcome of a read, and when the state that it shows was current; `apply` returns false if it could not be
   * applied, so that it confirms nothing. What a failing source passes on may be news, and it still fails.
   */
  const record = <T extends { readonly currentAfterMs?: number }>(
    reading: freshnessClock.ClockReading,
    outcome: shared.outcome.Outcome<T, stores.prefixStore.WaitError>,
    apply: (value: T) => boolean,
    isSourceFailing = false,
  ): void => {
    isFailing = isSourceFailing || (!outcome.ok && outcome.error !== 'compacted');
    if (outcome.ok && apply(outcome.value)) {
      clock.confirm(reading, outcome.value.currentAfterMs ?? 0);
    }
    const woken = waiters;
    waiters = [];
    woken.forEach((wake) => wake());
  };
  /** Waits until an outcome is recorded, or for a time in milliseconds. */
  const waitForRecord = (durationMs: number): Promise<void> =>
    new Promise((resolve) => {
      const timer = setTimeout(resolve, durationMs);
      waiters.push(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  /** The store answers a router again, so it may answer this one too. */
  const recordStoreAnswer = (): void => {
    directFailures = 0;
    directFailedUntilMs = -Infinity;
  };
  const isAvoided = (address: string): boolean =>
    (avoidedUntilMs.get(address) ?? -Infinity) >= performance.now();
  const avoid = (address: string, ageMs: number | null, askedAtMs: number): void => {
    const afterMs = Math.round(performance.now() - askedAtMs);
    log.info({ address, afterMs, ageMs }, ageMs === null ? 'reader silent' : 'reader outdated');
    avoidedUntilMs.set(address, performance.now() + getNewsMs() * AVOIDED_SHARE);
  };
  /**
   * Asks the readers in turn while there is time; null if none has an answer that is of use: recent and not behind what
   * is known, or with changes, which are true whatever their age.
   */
  const askReaders = async <T extends ReaderReply>(
    ask: (address: string, isFirst: boolean) => Promise<T | null>,
    {
      isBehind = () => false,
      isIncomplete = () => false,
      hasChanges = () => false,
    }: ReplyChecks<T>,
  ): Promise<T | null> => {
    const all = listReaders();
    const usable = all.filter((address) => !isAvoided(address));
    // While no source answers, those that are avoided are asked too: the silence may have been this router's own.
    const readers = isFailing ? [...usable, ...all.filter(isAvoided)] : usable;
    for (const address of readers) {
      if (isLate()) {
        break;
      }
      const askedAtMs = performance.now();
      // eslint-disable-next-line no-await-in-loop -- the next reader is asked only if this one has no answer
      const reply = await ask(address, address === usable[0]);
      if (reply !== null && reply.isLarge) {
        break;
      }
      const isRecent =
        reply !== null && !reply.isFailing && reply.ageMs <= getNewsMs() * STALE_SHARE;
      if (isRecent) {
        recordStoreAnswer();
      }
      const isSound = isRecent && !isBehind(reply);
      if (reply !== null && (hasChanges(reply) || (isSound && !isIncomplete(reply)))) {
        recordSource(address);
        return reply;
      }
      // A reader that fails is asked again, since it tells at once when the store answers.
      if (reply === null || !(reply.isFailing || isSound)) {
        avoid(address, reply?.ageMs ?? null, askedAtMs);
      }
    }
    if (listReaders().length > 0) {
      await shared.delay.wait(Math.random() * getNewsMs() * SPREAD_SHARE);
    }
    return null;
  };
  /** Asks the store itself; while it fails for a router that has readers, seldom. */
  const askDirectly = async <T, E extends stores.prefixStore.WaitError>(
    call: () => Promise<shared.outcome.Outcome<T, E | 'unknown'>>,
  ): Promise<shared.outcome.Outcome<T, E | 'unknown'>> => {
    if (listReaders().length > 0 && performance.now() < directFailedUntilMs) {
      return shared.outcome.makeFailed('unknown');
    }
    const calledAtMs = performance.now();
    const outcome = await call();
    recordSource('store');
    if (outcome.ok || outcome.error === 'compacted') {
      recordStoreAnswer();
    } else if (calledAtMs >= directFailedAtMs) {
      // Calls that were under way together failed for one reason.
      directFailures += 1;
      directFailedAtMs = performance.now();
      // A connection may have been dead, so the first call after it, on a new one, need not wait.
      directFailedUntilMs =
        directFailures === 1
          ? -Infinity
          : directFailedAtMs + getNewsMs() * DIRECT_RETRY_SHARE * (0.5 + 0.5 * Math.random());
    }
    return outcome;
  };
  const readPrefix: stores.prefixStore.PrefixStore['readPrefix'] = async (prefix) => {
    const reading = clock.takeReading();
    const reply = await askReaders(
      (address) => client.call(address, 'readPrefix', { prefix }, getNewsMs() * READ_TIMEOUT_SHARE),
      { isBehind: ({ snapshot }) => known.isBehind(snapshot) },
    );
    const started = reply === null ? clock.takeReading() : reading;
    const outcome =
      reply === null
        ? await askDirectly(() => direct.readPrefix(prefix))
        : shared.outcome.makeOk({
            ...reply.snapshot,
            currentAfterMs: -reply.ageMs,
          });
    record(started, outcome, (snapshot) => {
      if (known.isBehind(snapshot)) {
        return false;
      }
      if (!known.isOfSameEra(snapshot)) {
        clock.reset();
      }
      known.replace(snapshot);
      return true;
    });
    return outcome.ok && reply === null
      ? shared.outcome.makeOk({
          ...outcome.value,
          currentAfterMs: started.monotonicMs - reading.monotonicMs,
        })
      : outcome;
  };
  /** Asks a reader to hold the call until there is news, or what this router knows is stale. */
  const askToWait = (
    address: string,
    isFirst: boolean,
    params: Omit<messages.PeerParams<'waitForPrefix'>, 'ageMs'>,
  ): Promise<messages.PeerResult<'waitForPrefix'>> => {
    // While all sources fail, the first reader holds the call until it hears from the store, or this router asks it.
    const longestMs = isFailing
      ? Math.max(0, directFailedUntilMs - performance.now())
      : Math.min(params.waitMs, getTimeLeftMs());
    const waitMs = isFirst || !isFailing ? longestMs : 0;
    return client.call(
      address,
      'waitForPrefix',
      { ...params, waitMs, ageMs: clock.getAgeMs(), isFailing },
      waitMs + getNewsMs() * READER_MARGIN_SHARE,
    );
  };
  /** Waits at the store until it has changes, or for as long as what is known need not be confirmed. */
  const waitDirectly = async (
    prefix: string,
    after: number,
    longestMs: number,
  ): Promise<
    shared.outcome.Outcome<stores.prefixStore.PrefixChanges, stores.prefixStore.WaitError>
  > => {
    const newsMs = getNewsMs();
    const waitMs = Math.max(1, Math.min(longestMs, newsMs * POLL_SHARE - clock.getAgeMs()));
    const outcome = await askDirectly<
      stores.prefixStore.PrefixChanges,
      stores.prefixStore.WaitError
    >(() => direct.waitForChanges(prefix, after, waitMs, waitMs + newsMs * STORE_MARGIN_SHARE));
    if (!outcome.ok) {
      return outcome;
    }
    const isEmpty = outcome.value.changes.length === 0;
    batchedUntilMs = isEmpty ? -Infinity : performance.now() + newsMs * BATCH_SHARE;
    // An empty wait at the store ends at its timeout.
    return shared.outcome.makeOk({ ...outcome.value, currentAfterMs: isEmpty ? waitMs : 0 });
  };
  const waitForChanges: stores.prefixStore.PrefixStore['waitForChanges'] = async (
    prefix,
    after,
    waitMs,
  ) => {
    const reading = clock.takeReading();
    const reply = await askReaders(
      (address, isFirst) => askToWait(address, isFirst, { prefix, after, waitMs }),
      {
        isBehind: ({ changes }) =>
          changes !== null && known.isBehind({ era: changes.era, revision: Infinity }),
        isIncomplete: ({ changes }) => changes === null,
        hasChanges: ({ changes }) =>
          changes !== null && changes.changes.length > 0 && known.isOfSameEra(changes),
      },
    );
    if (reply !== null) {
      const relayed = decodeWait(reply);
      record(reading, relayed, known.append, reply.isFailing);
      return relayed;
    }
    if (performance.now() < batchedUntilMs) {
      await shared.delay.wait(batchedUntilMs - performance.now());
    }
    const started = clock.takeReading();
    const outcome = await waitDirectly(prefix, after, waitMs);
    record(started, outcome, known.append);
    return outcome.ok
      ? shared.outcome.makeOk({
          ...outcome.value,
          currentAfterMs:
            (outcome.value.currentAfterMs ?? 0) + started.monotonicMs - reading.monotonicMs,
        })
      : outcome;
  };
  return {
    store: { ...direct, readPrefix, waitForChanges },
    serveRead: ({ prefix }) => {
      const snapshot = known.read(prefix);
      const ageMs = clock.getAgeMs();
      if (snapshot === null || !Number.isFinite(ageMs)) {
        return null;
      }
      const isLarge = isTooLarge(snapshot.entries);
      return {
        snapshot: isLarge ? { ...snapshot, entries: [] } : snapshot,
        ageMs,
        isFailing,
        isLarge,
      };
    },
    serveWait: async ({ prefix, after, waitMs, ageMs, isFailing: isAskerFailing = false }) => {
      if (!Number.isFinite(clock.getAgeMs())) {
        return null;
      }
      const startedAtMs = performance.now();
      const isNews = (): boolean => {
        const changes = known.listAfter(after, prefix);
        if (changes !== null && changes.changes.length > 0) {
          return true;
        }
        if (isFailing || isAskerFailing) {
          return isFailing !== isAskerFailing;
        }
        const confirmedMs = (ageMs ?? Infinity) + performance.now() - startedAtMs;
        return (
          changes === null ||
          // A confirmation is worth an answer only if it is clearly newer than the asking router's own.
          confirmedMs - clock.getAgeMs() > waitMs / 2
        );
      };
      while (!isNews() && performance.now() - startedAtMs < waitMs) {
        // eslint-disable-next-line no-await-in-loop -- each wait ends with news or the timeout
        await waitForRecord(waitMs - (performance.now() - startedAtMs));
      }
      const changes = known.listAfter(after, prefix);
      const isLarge = changes !== null && isTooLarge(changes.changes);
      return {
        changes: isLarge ? null : changes,
        isLarge,
        heldMs: performance.now() - startedAtMs,
        ageMs: clock.getAgeMs(),
        isFailing,
      };
    },
  };
};

import * as core from '@jayrock/core';
import * as shared from '@jayrock/shared';
import type * as stores from '@jayrock/stores';
import type * as pino from 'pino';
import * as zod from 'zod';
import type * as routerRuntime from '../routerRuntime.js';
import * as canaryRecords from './canaryRecords.js';

/** Key prefix of the guards in the store. */
const GUARD_PREFIX = `${canaryRecords.OWN_PREFIX}guards/`;
/** Delays of writes, in milliseconds. */
export interface WriteDelays {
  /** Time for which a guard must have lasted, since the first ones may change as evidence arrives. */
  readonly settleMs: number;
  /** Time for which a router waits for each one before it in the order of writers. */
  readonly writerMs: number;
}

const DEFAULT_DELAYS: WriteDelays = { settleMs: 2_000, writerMs: 3_000 };

const recordSchema = zod.object({
  id: zod.string(),
  crashes: zod.array(
    zod.object({
      crash: zod.string(),
      upstreamId: zod.string(),
      atMs: zod.number(),
      requests: zod.array(
        zod.object({
          id: zod.string(),
          exactId: zod.string().exactOptional(),
          callerId: zod.string().exactOptional(),
          parts: zod.array(zod.string()),
          hasBegun: zod.boolean(),
        }),
      ),
    }),
  ),
});

type GuardRecord = zod.infer<typeof recordSchema>;

/** Guards in the store, which outlive a stop of all routers. */
export interface GuardRecords {
  /** Applies a changed or, with a null value, removed record. */
  readonly handleRecord: (key: string, value: string | null) => void;
  /** Writes the record of a guard that has begun, or removes that of one that has ended. */
  readonly recordGuard: (effect: core.effects.EffectOf<'recordGuard'>) => void;
  /** Forgets what is stored, before the records of an older copy to which the store has gone back are applied. */
  readonly forgetRecords: () => void;
  /** Writes the guards that the store lacks, and removes those that have ended. */
  readonly rewriteRecords: () => void;
  readonly stop: () => void;
}

const decodeRecord = (text: string): GuardRecord | null => {
  try {
    return recordSchema.parse(JSON.parse(text));
  } catch {
    return null;
  }
};

/** Encodes a guard; times are those of the wall clock, since the record may be read by a later process. */
const encodeRecord = (id: string, news: core.guardNews.GuardNews): string => {
  const nowMs = Date.now();
  const record: GuardRecord = {
    id,
    crashes: news.crashes.map(({ ageMs, ...report }) => ({
      ...report,
      atMs: nowMs - ageMs,
      requests: report.requests.map((request) => ({ ...request, parts: [...request.parts] })),
    })),
  };
  return JSON.stringify(record);
};

const makeNews = ({ id, crashes }: GuardRecord): core.guardNews.GuardNews => {
  const nowMs = Date.now();
  return {
    crashes: crashes.map(({ atMs, ...report }) => ({
      ...report,
      ageMs: Math.max(0, nowMs - atMs),
    })),
    survivals: [],
    // The record exists for as long as the guard is in force.
    renewals: [{ id, ageMs: 0 }],
  };
};

/**
 * Follows and writes the records of guards. All routers know a guard; they write it one after the other in a fixed
 * order, each only if the record of the one before has not arrived, so that one write is usual.
 */
export const makeGuardRecords = (
  runtime: routerRuntime.Runtime,
  store: stores.prefixStore.PrefixStore,
  log: pino.Logger,
  delays = DEFAULT_DELAYS,
): GuardRecords => {
  const stored = new Set<string>();
  const timers = new Map<string, NodeJS.Timeout>();
  let isRestoring = false;
  /** What this router last had to record of each guard, by key. */
  const wanted = new Map<string, core.effects.EffectOf<'recordGuard'>>();
  const getRank = (): number => {
    const { members, self } = runtime.getState();
    return core.memberTable.listActiveMembers(members).filter((peer) => peer.id < self.routerId)
      .length;
  };
  const writeRecord = async (
    key: string,
    { id, news }: core.effects.EffectOf<'recordGuard'>,
  ): Promise<void> => {
    if ((news !== null) === stored.has(key)) {
      return;
    }
    const committed = await store.commit(
      news === null
        ? { checks: [], puts: [], deletes: [key] }
        : { checks: [{ key, revision: 0 }], puts: [{ key, value: encodeRecord(id, news) }] },
    );
    log.info({ guard: id, isInForce: news !== null, outcome: committed }, 'guard recorded');
  };
  const scheduleWrite = (key: string, effect: core.effects.EffectOf<'recordGuard'>): void => {
    clearTimeout(timers.get(key));
    const delayMs = delays.settleMs + getRank() * delays.writerMs;
    const timer = setTimeout(() => {
      timers.delete(key);
      writeRecord(key, effect).catch((error: unknown) =>
        log.error({ error }, 'guard not recorded'),
      );
    }, delayMs);
    timers.set(key, timer.unref());
  };
  return {
    handleRecord: (key, value) => {
      if (!key.startsWith(GUARD_PREFIX)) {
        return;
      }
      if (value === null) {
        stored.delete(key);
        return;
      }
      stored.add(key);
      if (isRestoring && wanted.get(key)?.news === null) {
        // The copy has a guard that has ended since.
        return;
      }
      const record = decodeRecord(value);
      if (record === null) {
        log.warn({ key }, 'invalid record of a guard');
        return;
      }
      runtime.dispatch({ type: 'guardNewsReceived', news: makeNews(record) });
    },
    recordGuard: (effect) => {
      const key = `${GUARD_PREFIX}${shared.hash.hashDigest(effect.id).slice(0, 32)}`;
      wanted.set(key, effect);
      scheduleWrite(key, effect);
    },
    forgetRecords: () => {
      isRestoring = true;
      stored.clear();
    },
    rewriteRecords: () => {
      isRestoring = false;
      wanted.forEach((effect, key) => {
        if ((effect.news !== null) !== stored.has(key)) {
          scheduleWrite(key, effect);
        }
      });
    },
    stop: () => timers.forEach((timer) => clearTimeout(timer)),
  };
};

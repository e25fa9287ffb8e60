import * as core from '@jayrock/core';
import * as platform from '@jayrock/platform';
import type * as shared from '@jayrock/shared';
import type * as stores from '@jayrock/stores';
import type * as pino from 'pino';
import * as zod from 'zod';
import type * as routerRuntime from '../routerRuntime.js';

/** Prefix of this product's own keys in the store. */
export const OWN_PREFIX = 'jayrock/';
const RECORD_PREFIX = `${OWN_PREFIX}trials/`;

const recordSchema = zod.object({
  to: zod.string(),
  orderRevision: zod.number(),
  startedAtMs: zod.number(),
  stage: zod.enum(['running', 'completed', 'rolledBack']),
  /**
   * Versions that earlier roll-outs have rolled back, and those of `superseded`, which the former build does not know;
   * records of builds before it have none.
   */
  withdrawn: zod.array(zod.string()).exactOptional(),
  /** Period of the order, in milliseconds; records of the former build have none of this and the following fields. */
  periodMs: zod.number().exactOptional(),
  /** Versions that served without a bound when the order came. */
  serving: zod.array(zod.string()).exactOptional(),
  /** Earlier orders that have not ended, with the share of the sessions that stay on their versions. */
  superseded: zod
    .array(
      zod.object({
        to: zod.string(),
        orderRevision: zod.number(),
        startedAtMs: zod.number(),
        periodMs: zod.number(),
        sessionShare: zod.number(),
        offset: zod.number(),
      }),
    )
    .exactOptional(),
  /** Start of the hashes of the version, from 0 to 1. */
  offset: zod.number().exactOptional(),
});

type CanaryRecord = zod.infer<typeof recordSchema>;

/** Roll-outs in the store: the operator's orders and the records that routers write. */
export interface CanaryRecords {
  /** Applies a changed or removed order of the operator and records its start. */
  readonly handleOrder: (key: string, value: string | null, revision: number) => void;
  /** Applies a changed roll-out record. */
  readonly handleRecord: (key: string, value: string | null, revision: number) => void;
  /** The store has gone back to an older copy, so orders may be written again. */
  readonly handleRestored: () => void;
  /** Forgets the records, whose revisions mean nothing after the store has gone back to an older copy. */
  readonly forgetRecords: () => void;
  /** Writes the records that the store lacks or has in an earlier stage. */
  readonly rewriteRecords: () => void;
  /** Writes the outcome of a roll-out unless another router has already written one. */
  readonly recordCanaryOutcome: (effect: core.effects.EffectOf<'recordCanaryOutcome'>) => void;
}

/** Time after the store has gone back to a copy within which an equal order is the known one, in milliseconds. */
const REWRITE_MS = 5_000;

/** Least age of an order that has a record, in milliseconds; a wall clock that is behind does not make it a new one. */
const MIN_RECORDED_AGE_MS = 1;

interface StoredRecord {
  readonly record: CanaryRecord;
  readonly revision: number;
}

const decodeRecord = (text: string): CanaryRecord | null => {
  try {
    return recordSchema.parse(JSON.parse(text));
  } catch {
    return null;
  }
};

/** Returns whether a record is that of an order; the revision of the order may differ if it may have been written again. */
const isRecordOf = (
  record: CanaryRecord | undefined,
  { to, revision }: core.canaryState.RolloutOrder,
  mayBeRewritten = false,
): record is CanaryRecord =>
  record?.to === to && (mayBeRewritten || record.orderRevision === revision);

const computeElapsedMs = ({ startedAtMs }: Pick<CanaryRecord, 'startedAtMs'>): number =>
  Math.max(MIN_RECORDED_AGE_MS, Date.now() - startedAtMs);

/** Lists the earlier orders in a record, and its own if it has not ended and another one has followed. */
const listSuperseded = (
  record: CanaryRecord,
  order: core.canaryState.RolloutOrder,
): readonly core.versionRoles.SupersededVersion[] => {
  const earlier = (record.superseded ?? []).map((item) => ({
    to: item.to,
    revision: item.orderRevision,
    periodMs: item.periodMs,
    elapsedMs: computeElapsedMs(item),
    sessionShare: item.sessionShare,
    offset: item.offset,
  }));
  const isReplaced =
    record.stage === 'running' && record.to !== order.to && record.orderRevision <= order.revision;
  return isReplaced && record.serving?.includes(record.to) !== true
    ? [
        {
          to: record.to,
          revision: record.orderRevision,
          periodMs: record.periodMs ?? 0,
          elapsedMs: computeElapsedMs(record),
          sessionShare: record.periodMs === undefined ? 0 : null,
          offset: record.offset ?? 0,
        },
        ...earlier,
      ]
    : earlier;
};

/** Returns what the record of a service tells of its versions for an order. */
const describeVersions = (
  record: CanaryRecord | undefined,
  order: core.canaryState.RolloutOrder,
): core.versionRoles.KnownVersions => {
  if (record === undefined) {
    return { withdrawn: [], serving: [], superseded: [], offset: null };
  }
  const isOther = record.to !== order.to || record.orderRevision !== order.revision;
  const isCompleted = isOther && record.stage === 'completed';
  const superseded = isCompleted ? [] : listSuperseded(record, order);
  return {
    withdrawn: core.canaryState
      .listWithdrawn({ ...record, isBad: false, withdrawn: record.withdrawn ?? [] }, order)
      .filter((version) => !superseded.some(({ to }) => to === version)),
    serving: isCompleted ? [record.to] : (record.serving ?? []),
    superseded,
    offset: isOther ? null : (record.offset ?? null),
  };
};

/** Follows and writes roll-out records; a write succeeds only if no other router wrote the record meanwhile. */
export const makeCanaryRecords = (
  runtime: routerRuntime.Runtime,
  store: stores.prefixStore.PrefixStore,
  log: pino.Logger,
): CanaryRecords => {
  const orders = new Map<string, core.canaryState.RolloutOrder>();
  const records = new Map<string, StoredRecord>();
  let rewrittenUntilMs = -Infinity;
  const mayBeRewritten = (): boolean => performance.now() < rewrittenUntilMs;
  const writeRecord = async (
    order: core.canaryState.RolloutOrder,
    next: CanaryRecord,
    expected: number,
  ): Promise<void> => {
    const { service, to } = order;
    const key = `${RECORD_PREFIX}${service}`;
    const committed = await store.commit({
      checks: [{ key, revision: expected }],
      puts: [
        { key, value: JSON.stringify(next) },
        {
          key: platform.rolloutEntries.makeStatusKey(service),
          value: platform.rolloutEntries.encodeStatus(service, to, next.stage),
        },
      ],
    });
    log.info({ service, to, stage: next.stage, outcome: committed }, 'roll-out record written');
  };
  /** Dispatches an order with the stage and the elapsed time of its record; running from now if there is no record. */
  const reportStage = (order: core.canaryState.RolloutOrder): void => {
    const stored = records.get(order.service)?.record;
    const known = isRecordOf(stored, order, mayBeRewritten()) ? stored : null;
    runtime.dispatch({
      type: 'canaryObserved',
      order,
      mayBeRewritten: mayBeRewritten(),
      stage: known?.stage ?? 'running',
      ...describeVersions(stored, order),
      elapsedMs: known === null ? 0 : computeElapsedMs(known),
    });
  };
  /** Writes the record of an order as far as this router knows it, unless there is one of the same or a later stage. */
  const createRecord = (order: core.canaryState.RolloutOrder): void => {
    const stored = records.get(order.service);
    const canary = runtime.getState().routed.canaries.get(order.service);
    const isKnown = canary !== undefined && core.canaryState.isSameOrder(canary.order, order);
    const stage = isKnown ? canary.stage : 'running';
    // A router that has not seen a later order yet does not write over its record.
    const isOutdated = (stored?.record.orderRevision ?? 0) > order.revision;
    if (isOutdated && !mayBeRewritten()) {
      return;
    }
    if (
      isRecordOf(stored?.record, order) &&
      (stage === 'running' || stored.record.stage !== 'running')
    ) {
      return;
    }
    const elapsedMs = isKnown ? runtime.getNowMs() - canary.startedAtMs : 0;
    const told = describeVersions(stored?.record, order);
    const superseded = (isKnown ? canary.superseded : []).map((earlier) => ({
      to: earlier.order.to,
      orderRevision: earlier.order.revision,
      startedAtMs: Date.now() - (runtime.getNowMs() - earlier.startedAtMs),
      periodMs: earlier.order.periodMs,
      sessionShare: earlier.sessionShare ?? 0,
      offset: earlier.offset,
    }));
    const next: CanaryRecord = {
      to: order.to,
      orderRevision: order.revision,
      startedAtMs: Date.now() - elapsedMs,
      stage,
      withdrawn: Array.from(
        new Set([
          ...told.withdrawn,
          ...(isKnown ? canary.withdrawn : []),
          ...superseded.map(({ to }) => to),
        ]),
      ),
      periodMs: order.periodMs,
      serving: [...(isKnown ? canary.serving : told.serving)],
      superseded,
      offset: isKnown ? canary.offset : 0,
    };
    writeRecord(order, next, stored?.revision ?? 0).catch((error: unknown) =>
      log.error({ error }, 'roll-out record not created'),
    );
  };
  /** Writes the record of an order if the store lacks it or has it in an earlier stage; leaves those of other orders. */
  const completeRecord = (order: core.canaryState.RolloutOrder): void => {
    const stored = records.get(order.service);
    if (stored === undefined || isRecordOf(stored.record, order)) {
      createRecord(order);
    }
  };
  const refreshRecord = async (service: string): Promise<void> => {
    const key = `${RECORD_PREFIX}${service}`;
    const entry = await store.read(key);
    if (entry.ok && entry.value === null) {
      records.delete(service);
    } else if (entry.ok && entry.value !== null) {
      const value = decodeRecord(entry.value.value);
      if (value !== null) {
        records.set(service, { record: value, revision: entry.value.revision });
      }
    }
  };
  const writeOutcome = async (
    effect: core.effects.EffectOf<'recordCanaryOutcome'>,
  ): Promise<void> => {
    const { order, stage } = effect;
    // The record in memory may be outdated, because the response to a write can be lost.
    await refreshRecord(order.service);
    const stored = records.get(order.service);
    if (stored === undefined || !isRecordOf(stored.record, order)) {
      createRecord(order);
      return;
    }
    if (stored.record.stage !== 'running') {
      reportStage(order);
      return;
    }
    await writeRecord(order, { ...stored.record, stage }, stored.revision);
    await refreshRecord(order.service);
    reportStage(order);
  };
  return {
    handleOrder: (key, value, revision) => {
      const service = key.slice(platform.wire.KEYS.rolloutOrders.length);
      const decoded = value === null ? null : platform.rolloutEntries.decodeOrder(value);
      if (decoded === null) {
        orders.delete(service);
        // A store that has gone back to an older copy lacks orders that no one has removed.
        if (!mayBeRewritten()) {
          runtime.dispatch({ type: 'canaryOrderRemoved', service });
        }
        return;
      }
      if (!decoded.ok) {
        log.warn({ key, problem: decoded.error }, 'invalid roll-out order');
        return;
      }
      const order = { ...decoded.value, revision };
      orders.set(order.service, order);
      reportStage(order);
      createRecord(order);
    },
    handleRecord: (key, value, revision) => {
      if (!key.startsWith(RECORD_PREFIX) || value === null) {
        return;
      }
      const service = key.slice(RECORD_PREFIX.length);
      const decoded = decodeRecord(value);
      if (decoded === null) {
        log.warn({ key }, 'invalid roll-out record');
        return;
      }
      // This router may have read a later one, after a write of its own.
      if ((records.get(service)?.revision ?? 0) > revision) {
        return;
      }
      records.set(service, { record: decoded, revision });
      const order = orders.get(service);
      if (order !== undefined) {
        reportStage(order);
        completeRecord(order);
      }
    },
    forgetRecords: () => records.clear(),
    handleRestored: () => {
      rewrittenUntilMs = performance.now() + REWRITE_MS;
    },
    rewriteRecords: () => orders.forEach(completeRecord),
    recordCanaryOutcome: (effect) => {
      writeOutcome(effect).catch((error: unknown) =>
        log.error({ error }, 'roll-out outcome not written'),
      );
    },
  };
};

/** Decodes the route table in a value of the store; logs the problem and returns null if it is invalid. */
export const readRouteTable = (
  value: string,
  log: pino.Logger,
): shared.routeTable.RouteTable | null => {
  const decoded = platform.routeTables.decodeRouteTable(value);
  if (!decoded.ok) {
    log.error({ problem: decoded.error }, 'invalid configuration, keeping the one in force');
    return null;
  }
  return decoded.value;
};

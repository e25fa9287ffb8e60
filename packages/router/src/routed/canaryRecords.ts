import type * as core from '@jayrock/core';
import * as platform from '@jayrock/platform';
import type * as shared from '@jayrock/shared';
import type * as stores from '@jayrock/stores';
import type * as pino from 'pino';
import * as zod from 'zod';
import type * as runtime from '../runtime.js';

/** Prefix of this product's own keys. */
export const OWN_PREFIX = 'jayrock/';
const RECORD_PREFIX = `${OWN_PREFIX}trials/`;

const record = zod.object({
  to: zod.string(),
  orderRevision: zod.number(),
  startedAtMs: zod.number(),
  stage: zod.enum(['running', 'completed', 'rolledBack']),
});

type CanaryRecord = zod.infer<typeof record>;

/** Roll-outs as the store holds them: the operator's orders and the routers' records. */
export interface CanaryRecords {
  readonly handleOrder: (key: string, value: string | null, revision: number) => void;
  readonly handleRecord: (key: string, value: string | null, revision: number) => void;
  /** Writes the end of a roll-out, if nobody has written one. */
  readonly recordCanaryOutcome: (effect: core.effects.EffectOf<'recordCanaryOutcome'>) => void;
}

interface Held {
  readonly record: CanaryRecord;
  readonly revision: number;
}

const decodeRecord = (text: string): CanaryRecord | null => {
  try {
    return record.parse(JSON.parse(text));
  } catch {
    return null;
  }
};

/** Follows and writes the records of roll-outs; every write holds only if no other router wrote. */
export const makeCanaryRecords = (
  node: runtime.Runtime,
  store: stores.prefixStore.PrefixStore,
  log: pino.Logger,
): CanaryRecords => {
  const orders = new Map<string, core.canaryState.RolloutOrder>();
  const records = new Map<string, Held>();
  const write = async (
    order: core.canaryState.RolloutOrder,
    next: CanaryRecord,
    expected: number,
  ): Promise<void> => {
    const { service, to } = order;
    const key = `${RECORD_PREFIX}${service}`;
    const done = await store.commit({
      checks: [{ key, revision: expected }],
      puts: [
        { key, value: JSON.stringify(next) },
        {
          key: platform.rolloutEntries.makeStatusKey(service),
          value: platform.rolloutEntries.encodeStatus(service, to, next.stage),
        },
      ],
    });
    log.info({ service, to, stage: next.stage, outcome: done }, 'roll-out record written');
  };
  const tell = (order: core.canaryState.RolloutOrder): void => {
    const held = records.get(order.service)?.record;
    const isOwn = held?.orderRevision === order.revision;
    node.dispatch({
      type: 'canaryObserved',
      order,
      stage: isOwn && held !== undefined ? held.stage : 'running',
      elapsedMs: isOwn && held !== undefined ? Math.max(0, Date.now() - held.startedAtMs) : 0,
    });
  };
  const begin = (order: core.canaryState.RolloutOrder): void => {
    const held = records.get(order.service);
    if (held?.record.orderRevision === order.revision) {
      return;
    }
    const next: CanaryRecord = {
      to: order.to,
      orderRevision: order.revision,
      startedAtMs: Date.now(),
      stage: 'running',
    };
    write(order, next, held?.revision ?? 0).catch((error: unknown) =>
      log.error({ error }, 'roll-out record failed'),
    );
  };
  const refresh = async (service: string): Promise<void> => {
    const key = `${RECORD_PREFIX}${service}`;
    const found = await store.read(key);
    if (found.ok && found.value !== null) {
      const value = decodeRecord(found.value.value);
      if (value !== null) {
        records.set(service, { record: value, revision: found.value.revision });
      }
    }
  };
  const settle = async (effect: core.effects.EffectOf<'recordCanaryOutcome'>): Promise<void> => {
    const { order, stage } = effect;
    // The record may have changed since it was last seen, for a write's answer can be lost.
    await refresh(order.service);
    const held = records.get(order.service);
    if (held?.record.orderRevision !== order.revision) {
      begin(order);
      return;
    }
    if (held.record.stage !== 'running') {
      tell(order);
      return;
    }
    await write(order, { ...held.record, stage }, held.revision);
    await refresh(order.service);
    tell(order);
  };
  return {
    handleOrder: (key, value, revision) => {
      const service = key.slice(platform.wire.KEYS.rolloutOrders.length);
      const decoded = value === null ? null : platform.rolloutEntries.decodeOrder(value);
      if (decoded === null) {
        orders.delete(service);
        return;
      }
      if (!decoded.ok) {
        log.warn({ key, problem: decoded.error }, 'order of a roll-out cannot be read');
        return;
      }
      const order = { ...decoded.value, revision };
      orders.set(order.service, order);
      tell(order);
      begin(order);
    },
    handleRecord: (key, value, revision) => {
      if (!key.startsWith(RECORD_PREFIX) || value === null) {
        return;
      }
      const service = key.slice(RECORD_PREFIX.length);
      const decoded = decodeRecord(value);
      if (decoded === null) {
        log.warn({ key }, 'record of a roll-out cannot be read');
        return;
      }
      records.set(service, { record: decoded, revision });
      const order = orders.get(service);
      if (order !== undefined) {
        tell(order);
      }
    },
    recordCanaryOutcome: (effect) => {
      settle(effect).catch((error: unknown) => log.error({ error }, 'roll-out not settled'));
    },
  };
};

/** Reads a route table from the store's value, or logs what is wrong with it. */
export const readRouteTable = (
  value: string,
  log: pino.Logger,
): shared.routeTable.RouteTable | null => {
  const decoded = platform.routeTables.decodeRouteTable(value);
  if (!decoded.ok) {
    log.error({ problem: decoded.error }, 'configuration cannot be read; the last stays in force');
    return null;
  }
  return decoded.value;
};

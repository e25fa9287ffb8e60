import * as core from '@jayrock/core';
import * as stores from '@jayrock/stores';
import type * as pino from 'pino';
import type * as rpcClient from '../peers/rpcClient.js';
import type * as routerRuntime from '../routerRuntime.js';
import * as orderLease from './orderLease.js';

/** Interval at which the lease is renewed and orders or demand are sent, in milliseconds. */
const ROUND_MS = 3_000;

type Order = core.effects.EffectOf<'sendOrder'>;

/** Sends orders to the zone's engines while this router holds the lease. */
export interface OrderService {
  readonly sendOrder: (order: Order) => void;
  readonly stop: () => void;
}

/** Starts the order service of a router. */
export const startOrderService = (
  runtime: routerRuntime.Runtime,
  store: stores.keyValueStore.KeyValueStore,
  client: rpcClient.RpcClient,
  log: pino.Logger,
): OrderService => {
  const { zone, routerId } = runtime.getState().self;
  const lease = orderLease.makeOrderLease(store, zone, routerId);
  const reportDemand = (holder: core.member.MemberUpdate): void => {
    const rows = core.demand.listDemand(runtime.getState().demand, Date.now());
    if (rows.length > 0) {
      client.call(holder.address, 'pushDemand', { source: routerId, rows }).catch(() => undefined);
    }
  };
  const runRound = async (): Promise<void> => {
    const { members } = runtime.getState();
    const [holder] = core.zoneRoles.listRoleHolders(members, 'engineOrders', zone, 1);
    if (holder === undefined || holder.id !== routerId) {
      lease.drop();
      if (holder !== undefined) {
        reportDemand(holder);
      }
      return;
    }
    await lease.refresh();
    if (lease.getFencingToken() !== null) {
      runtime.dispatch({ type: 'ordersDue' });
    }
  };
  const send = async (order: Order): Promise<void> => {
    const fencing = lease.getFencingToken();
    if (fencing === null) {
      return;
    }
    const result = await stores.engineOrders.sendOrder(order.address, {
      fencing,
      loaded: order.loaded,
    });
    log.info({ upstream: order.upstreamId, loaded: order.loaded, fencing, result }, 'order sent');
    // The result is only logged: the next load report shows the engine's state, and if another holder has
    // changed it meanwhile, a later round sends the target state again.
  };
  const timer = setInterval(() => {
    runRound().catch(() => undefined);
  }, ROUND_MS);
  return {
    sendOrder: (order) => {
      send(order).catch((error: unknown) => log.error({ error }, 'order failed'));
    },
    stop: () => clearInterval(timer),
  };
};

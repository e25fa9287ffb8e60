import * as core from '@jayrock/core';
import * as shared from '@jayrock/shared';
import type * as rpcClient from '../peers/rpcClient.js';
import type * as routerRuntime from '../routerRuntime.js';

/** Number of peers that are asked. */
const PEER_COUNT = 3;
/** Timeout of a call, in milliseconds; a router starts without the answer after it. */
const TIMEOUT_MS = 300;

/**
 * Adopts the newest table of routes that a few peers have. The store may have gone back to an older copy, which a router
 * that starts cannot see; routers that run keep the newer table, and may have made themselves known before the store
 * answers.
 */
export const fetchPeerRoutes = async (
  runtime: routerRuntime.Runtime,
  client: rpcClient.RpcClient,
): Promise<void> => {
  const addresses = core.memberTable
    .listPeerAddresses(runtime.getState().members)
    .map((address) => ({ address, order: Math.random() }))
    .toSorted((a, b) => a.order - b.order)
    .slice(0, PEER_COUNT);
  const replies = await Promise.all(
    addresses.map(({ address }) => client.call(address, 'getRoutes', {}, TIMEOUT_MS)),
  );
  replies.forEach((reply) => {
    const table = shared.routeTable.routeTableSchema.safeParse(reply?.table);
    if (table.success) {
      runtime.dispatch({ type: 'routesAdopted', table: table.data });
    }
  });
};

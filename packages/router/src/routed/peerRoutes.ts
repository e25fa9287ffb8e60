import * as core from '@jayrock/core';
import * as shared from '@jayrock/shared';
import type * as rpcClient from '../peers/rpcClient.js';
import type * as routerRuntime from '../routerRuntime.js';

/** Number of peers that are asked. */
const PEER_COUNT = 3;
/** Timeout of a call, in milliseconds; a router starts without the answer after it. */
const TIMEOUT_MS = 300;

/** Tells the reducer the ages of orders that peers told; called once the orders are known. */
export type AgeTeller = () => void;

/**
 * Adopts the newest table of routes that a few peers have. The store may have gone back to an older copy, which a router
 * that starts cannot see; routers that run keep the newer table, and may have made themselves known before the store
 * answers. The age of a running order can be read only from wall clocks in the store; peers tell it by their steady ones.
 */
export const fetchPeerRoutes = async (
  runtime: routerRuntime.Runtime,
  client: rpcClient.RpcClient,
): Promise<AgeTeller> => {
  const addresses = core.memberTable
    .listPeerAddresses(runtime.getState().members)
    .map((address) => ({ address, order: Math.random() }))
    .toSorted((a, b) => a.order - b.order)
    .slice(0, PEER_COUNT);
  const replies = await Promise.all(
    addresses.map(async ({ address }) => {
      const reply = await client.call(address, 'getRoutes', {}, TIMEOUT_MS);
      return { address, reply, receivedAtMs: runtime.getNowMs() };
    }),
  );
  replies.forEach(({ reply }) => {
    const table = shared.routeTable.routeTableSchema.safeParse(reply?.table);
    if (table.success) {
      runtime.dispatch({ type: 'routesAdopted', table: table.data });
    }
  });
  return () =>
    replies.forEach(({ address, reply, receivedAtMs }) =>
      reply?.canaryAges?.forEach((told) => {
        const { ageMs } = told;
        const heldMs = runtime.getNowMs() - receivedAtMs;
        runtime.dispatch({
          type: 'canaryAgeReceived',
          ...told,
          ...(ageMs === undefined ? {} : { ageMs: ageMs + heldMs }),
          source: address,
        });
      }),
    );
};

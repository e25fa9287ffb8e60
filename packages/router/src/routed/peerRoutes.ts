import * as core from '@jayrock/core';
import type * as rpcClient from '../peers/rpcClient.js';
import * as tableCodec from '../peers/tableCodec.js';
import type * as routerRuntime from '../routerRuntime.js';

/** Number of peers that are asked. */
const PEER_COUNT = 3;
/** Timeout of a call, in milliseconds; a router starts without the answer after it. */
const TIMEOUT_MS = 300;

/** Age of an order that a peer told. */
export interface ToldAge {
  readonly age: core.canaryState.CanaryAge;
  /** Address of the peer. */
  readonly source: string;
  /** Time at which it was told, in milliseconds of the runtime's clock. */
  readonly toldAtMs: number;
}

/**
 * Adopts the newest table of routes that a few peers have. The store may have gone back to an older copy, which a router
 * that starts cannot see; routers that run keep the newer table, and may have made themselves known before the store
 * answers. Returns the ages of the running orders by the peers' steady clocks; the store holds wall clocks only.
 */
export const fetchPeerRoutes = async (
  runtime: routerRuntime.Runtime,
  client: rpcClient.RpcClient,
): Promise<readonly ToldAge[]> => {
  const addresses = core.memberTable
    .listPeerAddresses(runtime.getState().members)
    .map((address) => ({ address, order: Math.random() }))
    .toSorted((a, b) => a.order - b.order)
    .slice(0, PEER_COUNT);
  const replies = await Promise.all(
    addresses.map(async ({ address }) => {
      const reply = await client.call(address, 'getRoutes', {}, TIMEOUT_MS);
      return { address, reply, toldAtMs: runtime.getNowMs() };
    }),
  );
  replies.forEach(({ reply }) => {
    const table = tableCodec.decodeTable(reply);
    if (table !== null) {
      runtime.dispatch({ type: 'routesAdopted', table });
    }
  });
  return replies.flatMap(({ address, reply, toldAtMs }) =>
    (reply?.canaryAges ?? []).map((age) => ({ age, source: address, toldAtMs })),
  );
};

/** Tells the reducer the ages of orders that it knows, with the time since they were told. */
export const reportAges = (runtime: routerRuntime.Runtime, ages: readonly ToldAge[]): void =>
  ages.forEach(({ age, source, toldAtMs }) => {
    const { ageMs } = age;
    const heldMs = runtime.getNowMs() - toldAtMs;
    runtime.dispatch({
      ...age,
      ...(ageMs === undefined ? {} : { ageMs: ageMs + heldMs }),
      type: 'canaryAgeReceived',
      source,
    });
  });

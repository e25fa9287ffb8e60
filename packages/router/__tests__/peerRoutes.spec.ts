import * as core from '@jayrock/core';
import * as shared from '@jayrock/shared';
import test from 'ava';
import type * as rpcClient from '../src/peers/rpcClient.js';
import * as peerRoutes from '../src/routed/peerRoutes.js';
import * as routerRuntime from '../src/routerRuntime.js';

/** Time for which a router holds what peers told it, and by which a timer may be early, in milliseconds. */
const HELD_MS = 100;
const TIMER_EARLY_MS = 2;
/** Age of an order by the wall clocks in its record, in milliseconds. */
const RECORDED_AGE_MS = 30_000;
const PEERS = ['10.0.0.2:1', '10.0.0.3:1'];

const makeTable = (version: number): shared.routeTable.RouteTable =>
  shared.routeTable.routeTableSchema.parse({
    version,
    routes: [],
    services: [],
    organisations: [],
  });

/** Makes a router that starts and has the peers' addresses from the store. */
const makeRuntime = (): routerRuntime.Runtime => {
  const runtime = routerRuntime.makeRuntime(
    core.routerState.makeState({
      routerId: 'r-1',
      zone: 'a',
      address: '10.0.0.1:1',
      ledgerCapacity: 1,
    }),
  );
  runtime.dispatch({ type: 'seedAddressesChanged', addresses: PEERS });
  return runtime;
};

/** Lets a peer probe the router, as peers do that knew a router at its address. */
const sendProbe = (runtime: routerRuntime.Runtime, address: string): void =>
  runtime.dispatch({
    type: 'gossipReceived',
    message: {
      self: { id: address, address, zone: 'a', status: 'alive', incarnation: 1 },
      updates: [],
      generation: 0,
      confirmedAgeMs: 0,
    },
  });

/** Fetches the table from peers that have version 2, and returns the version that the router has then. */
const fetchVersion = async (runtime: routerRuntime.Runtime): Promise<number | null> => {
  const call = async (): Promise<object> => ({ table: makeTable(2) });
  await peerRoutes.fetchPeerRoutes(runtime, { call } as unknown as rpcClient.RpcClient);
  return runtime.getState().routed.routeIndex?.version ?? null;
};

test('a router that starts adopts the table of peers that have not probed it yet', async (t) => {
  t.is(await fetchVersion(makeRuntime()), 2);
});

// Only addresses without a known member were asked, so that it had the table of an older copy of the store alone.
test('a router that starts adopts the table of peers that it already knows as members', async (t) => {
  const runtime = makeRuntime();
  PEERS.forEach((address) => sendProbe(runtime, address));
  t.is(await fetchVersion(runtime), 2);
});

test('a router that starts takes the ages of orders that peers tell, with the time for which it held them', async (t) => {
  const runtime = makeRuntime();
  const age = { service: 'desk', revision: 40, to: 'v2', ageMs: 5_000, isWitnessed: true };
  const replies: readonly object[] = [{ table: null }, { table: null, canaryAges: [age] }];
  let calls = 0;
  const call = async (): Promise<object | undefined> => {
    calls += 1;
    return replies[calls - 1];
  };
  const ages = await peerRoutes.fetchPeerRoutes(runtime, {
    call,
  } as unknown as rpcClient.RpcClient);
  await shared.delay.wait(HELD_MS);
  const order = { service: 'desk', to: 'v2', periodMs: 60_000, revision: 40 };
  runtime.dispatch({ type: 'canaryObserved', order, stage: 'running', elapsedMs: RECORDED_AGE_MS });
  peerRoutes.reportAges(runtime, ages);
  const canary = runtime.getState().routed.canaries.get('desk');
  const startedAgoMs = runtime.getNowMs() - (canary?.startedAtMs ?? 0);
  t.true(startedAgoMs >= age.ageMs + HELD_MS - TIMER_EARLY_MS);
  t.true(startedAgoMs < RECORDED_AGE_MS);
  t.is(canary?.unwitnessedSinceMs, null);
});

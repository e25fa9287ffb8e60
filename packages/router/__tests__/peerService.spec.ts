import * as core from '@jayrock/core';
import * as shared from '@jayrock/shared';
import test from 'ava';
import * as peerService from '../src/peers/peerService.js';
import type * as rpcClient from '../src/peers/rpcClient.js';
import * as routerRuntime from '../src/routerRuntime.js';

/** Time after which alerts have been sent, in milliseconds. */
const SENT_MS = 100;

const makeMember = (id: string, address: string): core.member.MemberUpdate => ({
  id,
  address,
  zone: 'a',
  status: 'alive',
  incarnation: 1,
});

test('news that is told once reaches members and registered routers that are not members yet', async (t) => {
  const runtime = routerRuntime.makeRuntime(
    core.routerState.makeState({
      routerId: 'r-1',
      zone: 'a',
      address: '10.0.0.1:1',
      ledgerCapacity: 1,
    }),
  );
  runtime.dispatch({
    type: 'gossipReceived',
    message: {
      self: makeMember('r-2', '10.0.0.2:1'),
      updates: [],
      generation: 0,
      confirmedAgeMs: 0,
    },
  });
  runtime.dispatch({
    type: 'seedAddressesChanged',
    addresses: ['10.0.0.1:1', '10.0.0.2:1', '10.0.0.3:1'],
  });
  const told: string[] = [];
  const client = {
    call: async (address: string, method: string) => {
      if (method === 'alert') {
        told.push(address);
      }
      return null;
    },
  } as unknown as rpcClient.RpcClient;
  const peers = peerService.startPeerService(runtime, client);
  t.teardown(peers.stop);
  peers.broadcastLeavingNews([{ upstreamId: 'u-0', bornAtMs: 1 }]);
  await shared.delay.wait(SENT_MS);
  t.deepEqual(told.toSorted(), ['10.0.0.2:1', '10.0.0.3:1']);
});

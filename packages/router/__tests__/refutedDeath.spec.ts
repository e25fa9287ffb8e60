import * as core from '@jayrock/core';
import test from 'ava';
import * as peerHandlers from '../src/peers/peerHandlers.js';
import type * as peerService from '../src/peers/peerService.js';
import type * as rpcClient from '../src/peers/rpcClient.js';
import * as routerRuntime from '../src/routerRuntime.js';

const makeRuntime = (routerId: string): routerRuntime.Runtime =>
  routerRuntime.makeRuntime(
    core.routerState.makeState({
      routerId,
      zone: 'a',
      address: `${routerId}:1`,
      ledgerCapacity: 1,
    }),
  );

const makeGreeting = (runtime: routerRuntime.Runtime): core.events.GossipMessage =>
  core.membership.makeGossipMessage(runtime.getState(), [], runtime.getNowMs());

/** Number of updates that a peer has to pass on besides the death. */
const OTHER_UPDATES = 40;

test('a router that was declared dead hears of it with the answer to its probe and is a member again', async (t) => {
  const [peer, returned] = ['r-1', 'r-2'].map(makeRuntime);
  if (peer === undefined || returned === undefined) {
    t.fail();
    return;
  }
  const { probe } = peerHandlers.makeMemberHandlers({
    runtime: peer,
    client: {} as rpcClient.RpcClient,
    peers: {} as peerService.PeerService,
  });
  const { self } = returned.getState().members;
  const others = Array.from({ length: OTHER_UPDATES }, (_, index) => ({
    ...self,
    id: `r-0${index}`,
    address: `r-0${index}:1`,
  }));
  await probe({ greeting: makeGreeting(returned) });
  const updates = [{ ...self, status: 'dead' as const }, ...others];
  const message = { ...makeGreeting(makeRuntime('r-3')), updates };
  peer.dispatch({ type: 'gossipReceived', message });
  const exchange = async (): Promise<core.events.GossipMessage> => {
    const { greeting } = await probe({ greeting: makeGreeting(returned) });
    returned.dispatch({ type: 'gossipReceived', message: greeting });
    return greeting;
  };
  const { updates: told } = await exchange();
  t.true(told.some(({ id }) => id === self.id));
  t.true(told.length <= core.memberTable.UPDATES_PER_MESSAGE);
  await exchange();
  t.is(peer.getState().members.members.get(self.id)?.status, 'alive');
});

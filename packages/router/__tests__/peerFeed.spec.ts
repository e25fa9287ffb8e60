import * as core from '@jayrock/core';
import * as shared from '@jayrock/shared';
import type * as stores from '@jayrock/stores';
import test from 'ava';
import * as pino from 'pino';
import * as peerFeed from '../src/routed/peerFeed.js';
import * as routerRuntime from '../src/routerRuntime.js';

test('a router that stops while it registers leaves no registration behind', async (t) => {
  const keys = new Set<string>();
  let grant: () => void = () => undefined;
  const granted = new Promise<void>((resolve) => {
    grant = resolve;
  });
  const store = {
    grantLease: async () => {
      await granted;
      return shared.outcome.makeOk('lease-1');
    },
    renewLease: async () => shared.outcome.makeOk(true),
    commit: async ({ puts, deletes = [] }: stores.keyValueStore.Transaction) => {
      puts.forEach(({ key }) => keys.add(key));
      deletes.forEach((key) => keys.delete(key));
      return shared.outcome.makeOk({ isCommitted: true, revision: 1 });
    },
  } as unknown as stores.prefixStore.PrefixStore;
  const runtime = routerRuntime.makeRuntime(
    core.routerState.makeState({ routerId: 'r-1', zone: 'a', address: '', ledgerCapacity: 1 }),
  );
  const feed = peerFeed.startPeerFeed(runtime, store, pino.pino({ level: 'silent' }));
  const left = feed.leave();
  await shared.delay.wait(10);
  grant();
  await left;
  await shared.delay.wait(10);
  t.deepEqual(Array.from(keys), []);
});

import test from 'ava';
import * as core from '@jayrock/core';
import * as shared from '@jayrock/shared';
import type * as stores from '@jayrock/stores';
import * as pino from 'pino';
import type * as rpcClient from '../src/peers/rpcClient.js';
import * as routerRuntime from '../src/routerRuntime.js';
import * as sharedStore from '../src/routed/sharedStore.js';

type Waited = shared.outcome.Outcome<
  stores.prefixStore.PrefixChanges,
  stores.prefixStore.WaitError
>;

const PREFIX = 'operator/';
/** Time within which news has to be in force, in milliseconds. */
const NEWS_MS = 2_000;

/** Makes the shared reads of a lone router whose store answers waits as the test says. */
const makeReads = (wait: () => Waited): sharedStore.SharedStore => {
  const runtime = routerRuntime.makeRuntime(
    core.routerState.makeState({ routerId: 'r1', zone: 'a', address: 'r1:1', ledgerCapacity: 1 }),
  );
  const direct = {
    readPrefix: async () =>
      shared.outcome.makeOk({
        era: 1,
        revision: 5,
        entries: [{ key: 'operator/table', value: 'old', revision: 5 }],
      }),
    waitForChanges: async () => wait(),
  } as unknown as stores.prefixStore.PrefixStore;
  return sharedStore.makeSharedStore(
    {
      runtime,
      client: {} as rpcClient.RpcClient,
      log: pino.pino({ level: 'silent' }),
      getNewsMs: () => NEWS_MS,
    },
    direct,
  );
};

test('a wait that ends in a new era of the store confirms nothing to other routers', async (t) => {
  const reads = makeReads(() => shared.outcome.makeOk({ era: 2, revision: 9, changes: [] }));
  await reads.store.readPrefix(PREFIX);
  await new Promise((resolve) => {
    setTimeout(resolve, 60);
  });
  await reads.store.waitForChanges(PREFIX, 5, 0);
  t.true((reads.serveRead({ prefix: PREFIX })?.ageMs ?? 0) >= 55);
});

test('a gap in the history does not count as a failing store', async (t) => {
  const reads = makeReads(() => shared.outcome.makeFailed('compacted'));
  await reads.store.readPrefix(PREFIX);
  await reads.store.waitForChanges(PREFIX, 5, 0);
  t.false(reads.serveRead({ prefix: PREFIX })?.isFailing);
});

test('a failed wait is told to other routers, with the age of what is known', async (t) => {
  const reads = makeReads(() => shared.outcome.makeFailed('unknown'));
  await reads.store.readPrefix(PREFIX);
  await reads.store.waitForChanges(PREFIX, 5, 0);
  const params = { prefix: PREFIX, after: 5, waitMs: 5_000, ageMs: 0 };
  const reply = await reads.serveWait(params);
  t.true(reply?.isFailing);
  t.true(reply !== null && reply.heldMs < 1_000);
});

test('a router that follows one prefix is told of its keys only', async (t) => {
  const reads = makeReads(() =>
    shared.outcome.makeOk({
      era: 1,
      revision: 7,
      changes: [
        { key: 'hosts/u', value: 'leaving', revision: 6 },
        { key: 'operator/table', value: 'new', revision: 7 },
      ],
    }),
  );
  await reads.store.readPrefix(sharedStore.ALL_KEYS);
  await reads.store.waitForChanges(sharedStore.ALL_KEYS, 5, NEWS_MS);
  const params = { after: 5, waitMs: NEWS_MS, ageMs: 0 };
  const told = await reads.serveWait({ prefix: 'hosts/', ...params });
  t.deepEqual(
    told?.changes?.changes.map(({ key }) => key),
    ['hosts/u'],
  );
  t.is(told?.changes?.revision, 7);
  const all = await reads.serveWait({ prefix: sharedStore.ALL_KEYS, ...params });
  t.is(all?.changes?.changes.length, 2);
  t.deepEqual(
    reads.serveRead({ prefix: PREFIX })?.snapshot.entries.map(({ value }) => value),
    ['new'],
  );
});

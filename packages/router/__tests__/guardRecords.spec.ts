import * as core from '@jayrock/core';
import * as shared from '@jayrock/shared';
import type * as stores from '@jayrock/stores';
import test from 'ava';
import * as pino from 'pino';
import * as guardRecords from '../src/routed/guardRecords.js';
import * as routerRuntime from '../src/routerRuntime.js';

const DELAYS: guardRecords.WriteDelays = { settleMs: 20, writerMs: 100 };
const GUARD_ID = 'part:bad';

/** News of three crashes by different requests with the part `bad`. */
const NEWS: core.guardNews.GuardNews = {
  ...core.guardNews.NO_NEWS,
  crashes: ['u1', 'u2', 'u3'].map((upstreamId, index) => ({
    crash: `${upstreamId}@1`,
    upstreamId,
    ageMs: 1_000 - index * 200,
    requests: [{ id: `request-${index}`, parts: ['bad'], hasBegun: true }],
  })),
};

/** Makes a store of which only commits are used, and the list of the transactions. */
const makeStore = (): {
  readonly store: stores.prefixStore.PrefixStore;
  readonly transactions: stores.keyValueStore.Transaction[];
} => {
  const transactions: stores.keyValueStore.Transaction[] = [];
  const store = {
    commit: async (transaction: stores.keyValueStore.Transaction) => {
      transactions.push(transaction);
      return shared.outcome.makeOk({ committed: true });
    },
  } as unknown as stores.prefixStore.PrefixStore;
  return { store, transactions };
};

const makeRouter = (
  routerId: string,
  store: stores.prefixStore.PrefixStore,
): { readonly runtime: routerRuntime.Runtime; readonly records: guardRecords.GuardRecords } => {
  const runtime = routerRuntime.makeRuntime(
    core.routerState.makeState({
      routerId,
      zone: 'a',
      address: `127.0.0.1:${routerId.length}`,
      ledgerCapacity: 10,
    }),
  );
  const log = pino.pino({ level: 'silent' });
  const records = guardRecords.makeGuardRecords(runtime, store, log, DELAYS);
  runtime.connect({ recordGuard: (effect) => records.recordGuard(effect) });
  return { runtime, records };
};

const listGuards = (runtime: routerRuntime.Runtime): readonly string[] =>
  runtime.getState().routed.guard.guards.map((guard) => core.guardState.makeGuardId(guard.keys));

test('a guard is written once although all routers know it, and a router that starts later reads it', async (t) => {
  const { store, transactions } = makeStore();
  const [first, second] = [makeRouter('a', store), makeRouter('bb', store)];
  // The second router knows the first, which writes before it.
  second.runtime.dispatch({
    type: 'gossipReceived',
    message: core.membership.makeGossipMessage(first.runtime.getState(), [], 0),
  });
  [first, second].forEach(({ runtime }) =>
    runtime.dispatch({ type: 'guardNewsReceived', news: NEWS }),
  );
  await shared.delay.wait(60);
  const [{ key, value } = { key: '', value: '' }] = transactions[0]?.puts ?? [];
  [first, second].forEach(({ records }) => records.handleRecord(key, value));
  await shared.delay.wait(150);
  t.is(transactions.length, 1);
  t.deepEqual(transactions[0]?.checks, [{ key, revision: 0 }]);
  const later = makeRouter('c', store);
  t.deepEqual(listGuards(later.runtime), []);
  later.records.handleRecord(key, value);
  t.deepEqual(listGuards(later.runtime), [GUARD_ID]);
  await shared.delay.wait(60);
  t.is(transactions.length, 1);
});

test('the next router writes a guard if the first one does not, and one that ends soon is not written', async (t) => {
  const { store, transactions } = makeStore();
  const [first, second] = [makeRouter('a', store), makeRouter('bb', store)];
  second.runtime.dispatch({
    type: 'gossipReceived',
    message: core.membership.makeGossipMessage(first.runtime.getState(), [], 0),
  });
  second.runtime.dispatch({ type: 'guardNewsReceived', news: NEWS });
  first.runtime.dispatch({ type: 'guardNewsReceived', news: NEWS });
  // An answer with the part was complete, so that the first router drops the guard before it is written.
  first.runtime.dispatch({
    type: 'guardNewsReceived',
    news: { ...core.guardNews.NO_NEWS, survivals: [{ key: GUARD_ID, ageMs: 0 }] },
  });
  t.deepEqual(listGuards(first.runtime), []);
  await shared.delay.wait(60);
  t.is(transactions.length, 0);
  await shared.delay.wait(120);
  t.is(transactions.length, 1);
});

test('the record of a guard that has ended is removed, and an invalid record is left out', async (t) => {
  const { store, transactions } = makeStore();
  const { runtime, records } = makeRouter('a', store);
  runtime.dispatch({ type: 'guardNewsReceived', news: NEWS });
  await shared.delay.wait(60);
  const [{ key, value } = { key: '', value: '' }] = transactions[0]?.puts ?? [];
  records.handleRecord(key, value);
  runtime.dispatch({
    type: 'guardNewsReceived',
    news: { ...core.guardNews.NO_NEWS, survivals: [{ key: GUARD_ID, ageMs: 0 }] },
  });
  await shared.delay.wait(60);
  t.deepEqual(transactions[1]?.deletes, [key]);
  records.handleRecord(key, null);
  records.handleRecord(key, '{"id":');
  t.deepEqual(listGuards(runtime), []);
});

test('a guard that an older copy of the store lacks is written again, and one that has ended is not taken from it', async (t) => {
  const { store, transactions } = makeStore();
  const { runtime, records } = makeRouter('a', store);
  runtime.dispatch({ type: 'guardNewsReceived', news: NEWS });
  await shared.delay.wait(60);
  const [{ key, value } = { key: '', value: '' }] = transactions[0]?.puts ?? [];
  records.handleRecord(key, value);
  records.forgetRecords();
  records.rewriteRecords();
  await shared.delay.wait(60);
  t.is(transactions[1]?.puts[0]?.key, key);
  records.handleRecord(key, value);
  runtime.dispatch({
    type: 'guardNewsReceived',
    news: { ...core.guardNews.NO_NEWS, survivals: [{ key: GUARD_ID, ageMs: 0 }] },
  });
  await shared.delay.wait(60);
  records.handleRecord(key, null);
  records.forgetRecords();
  records.handleRecord(key, value);
  records.rewriteRecords();
  t.deepEqual(listGuards(runtime), []);
  await shared.delay.wait(60);
  t.deepEqual(transactions.at(-1)?.deletes, [key]);
});

import test from 'ava';
import * as stores from '@jayrock/stores';
import * as orderLease from '../src/orders/orderLease.js';

interface Holders {
  readonly first: orderLease.OrderLease;
  readonly second: orderLease.OrderLease;
  readonly pass: (ms: number) => void;
}

const makeHolders = (): Holders => {
  let nowMs = 1_000;
  const getNowMs = (): number => nowMs;
  const store = stores.memoryStore.openMemoryStore(new stores.memoryStore.MemoryTable(), getNowMs);
  return {
    first: orderLease.makeOrderLease(store, 'a', 'first', getNowMs),
    second: orderLease.makeOrderLease(store, 'a', 'second', getNowMs),
    pass: (ms) => {
      nowMs += ms;
    },
  };
};

test('only one router holds the lease of a zone', async (t) => {
  const { first, second } = makeHolders();
  await first.refresh();
  await second.refresh();
  t.not(first.getFencingToken(), null);
  t.is(second.getFencingToken(), null);
});

test('a holder paused past its lease sends nothing, and the next has a greater number', async (t) => {
  const { first, second, pass } = makeHolders();
  await first.refresh();
  const before = first.getFencingToken() ?? 0;
  pass(11_000);
  await second.refresh();
  t.is(first.getFencingToken(), null);
  t.true((second.getFencingToken() ?? 0) > before);
  await first.refresh();
  t.is(first.getFencingToken(), null);
});

test('no order is sent when little time is left on the lease', async (t) => {
  const { first, pass } = makeHolders();
  await first.refresh();
  pass(7_000);
  t.is(first.getFencingToken(), null);
  await first.refresh();
  t.not(first.getFencingToken(), null);
});

import test from 'ava';
import * as stores from '@jayrock/stores';
import * as orderLease from '../src/orders/orderLease.js';

interface Holders {
  readonly first: orderLease.OrderLease;
  readonly second: orderLease.OrderLease;
  readonly advance: (ms: number) => void;
}

const makeHolders = (): Holders => {
  let nowMs = 1_000;
  const getNowMs = (): number => nowMs;
  const store = stores.memoryStore.openMemoryStore(new stores.memoryStore.MemoryTable(), getNowMs);
  return {
    first: orderLease.makeOrderLease(store, 'a', 'first', getNowMs),
    second: orderLease.makeOrderLease(store, 'a', 'second', getNowMs),
    advance: (ms) => {
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

test('a holder paused past its lease loses it, and the next one has a greater fencing token', async (t) => {
  const { first, second, advance } = makeHolders();
  await first.refresh();
  const before = first.getFencingToken() ?? 0;
  advance(11_000);
  await second.refresh();
  t.is(first.getFencingToken(), null);
  t.true((second.getFencingToken() ?? 0) > before);
  await first.refresh();
  t.is(first.getFencingToken(), null);
});

test('a lease with little time left gives no fencing token until it is renewed', async (t) => {
  const { first, advance } = makeHolders();
  await first.refresh();
  advance(7_000);
  t.is(first.getFencingToken(), null);
  await first.refresh();
  t.not(first.getFencingToken(), null);
});

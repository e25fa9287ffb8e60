import * as core from '@jayrock/core';
import * as platform from '@jayrock/platform';
import * as shared from '@jayrock/shared';
import type * as stores from '@jayrock/stores';
import test from 'ava';
import * as pino from 'pino';
import * as canaryRecords from '../src/routed/canaryRecords.js';
import * as routerRuntime from '../src/routerRuntime.js';

const RECORD_KEY = `${canaryRecords.OWN_PREFIX}trials/desk`;
const ORDER_KEY = `${platform.wire.KEYS.rolloutOrders}desk`;

const makeRecord = (to: string, orderRevision: number, stage: string): string =>
  JSON.stringify({ to, orderRevision, startedAtMs: Date.now(), stage });

test('the record of a later order stays if it arrives before the order', async (t) => {
  const transactions: stores.keyValueStore.Transaction[] = [];
  const store = {
    commit: async (transaction: stores.keyValueStore.Transaction) => {
      transactions.push(transaction);
      return shared.outcome.makeOk({ isCommitted: true, revision: 1 });
    },
  } as unknown as stores.prefixStore.PrefixStore;
  const runtime = routerRuntime.makeRuntime(
    core.routerState.makeState({
      routerId: 'a',
      zone: 'a',
      address: '127.0.0.1:1',
      ledgerCapacity: 10,
    }),
  );
  const records = canaryRecords.makeCanaryRecords(runtime, store, pino.pino({ level: 'silent' }));
  const order = JSON.stringify({ service: 'desk', to: 'v2', period_s: 10 });
  records.handleRecord(RECORD_KEY, makeRecord('v2', 40, 'completed'), 50);
  records.handleOrder(ORDER_KEY, order, 40);
  records.handleRecord(RECORD_KEY, makeRecord('v3', 60, 'running'), 70);
  await shared.delay.wait(10);
  t.is(transactions.length, 0);
});

// The record of the next order replaced the one that told that a version was rolled back.
test('the record of an order keeps the versions that earlier ones have rolled back', async (t) => {
  const transactions: stores.keyValueStore.Transaction[] = [];
  const store = {
    commit: async (transaction: stores.keyValueStore.Transaction) => {
      transactions.push(transaction);
      return shared.outcome.makeOk({ isCommitted: true, revision: 1 });
    },
  } as unknown as stores.prefixStore.PrefixStore;
  const runtime = routerRuntime.makeRuntime(
    core.routerState.makeState({
      routerId: 'a',
      zone: 'a',
      address: '127.0.0.1:1',
      ledgerCapacity: 10,
    }),
  );
  const records = canaryRecords.makeCanaryRecords(runtime, store, pino.pino({ level: 'silent' }));
  // The former build writes no such field.
  records.handleRecord(RECORD_KEY, makeRecord('v2', 40, 'rolledBack'), 50);
  records.handleOrder(ORDER_KEY, JSON.stringify({ service: 'desk', to: 'v3', period_s: 10 }), 60);
  await shared.delay.wait(10);
  t.deepEqual(runtime.getState().routed.canaries.get('desk')?.withdrawn, ['v2']);
  const written = transactions[0]?.puts?.find(({ key }) => key === RECORD_KEY);
  t.deepEqual(JSON.parse(written?.value ?? '{}').withdrawn, ['v2']);
});

test('the age in a record is no witness of an order, though the wall clock is behind', (t) => {
  const store = {
    commit: () => Promise.resolve(shared.outcome.makeOk({ isCommitted: true, revision: 1 })),
  } as unknown as stores.prefixStore.PrefixStore;
  const isWitnessed = (recordedAtMs: number | null): boolean => {
    const runtime = routerRuntime.makeRuntime(
      core.routerState.makeState({
        routerId: 'a',
        zone: 'a',
        address: '127.0.0.1:1',
        ledgerCapacity: 10,
      }),
    );
    const records = canaryRecords.makeCanaryRecords(runtime, store, pino.pino({ level: 'silent' }));
    if (recordedAtMs !== null) {
      const record = { to: 'v2', orderRevision: 40, startedAtMs: recordedAtMs, stage: 'running' };
      records.handleRecord(RECORD_KEY, JSON.stringify(record), 50);
    }
    const order = JSON.stringify({ service: 'desk', to: 'v2', period_s: 10 });
    records.handleOrder(ORDER_KEY, order, 40);
    return runtime.getState().routed.canaries.get('desk')?.unwitnessedSinceMs === null;
  };
  t.true(isWitnessed(null));
  t.false(isWitnessed(Date.now() - 2_000));
  t.false(isWitnessed(Date.now() + 60_000));
});

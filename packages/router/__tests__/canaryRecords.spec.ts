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

interface Recorder {
  readonly records: canaryRecords.CanaryRecords;
  readonly runtime: routerRuntime.Runtime;
  readonly transactions: readonly stores.keyValueStore.Transaction[];
}

/** Makes records of a router whose store takes every transaction. */
const makeRecorder = (): Recorder => {
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
  return { records, runtime, transactions };
};

const makeOrder = (to: string): string => JSON.stringify({ service: 'desk', to, period_s: 10 });

/** Returns the record that a transaction writes. */
const getRecord = (
  transaction: stores.keyValueStore.Transaction | undefined,
): Readonly<Record<string, unknown>> =>
  JSON.parse(transaction?.puts?.find(({ key }) => key === RECORD_KEY)?.value ?? '{}');

test('the record of a later order stays if it arrives before the order', async (t) => {
  const { records, transactions } = makeRecorder();
  records.handleRecord(RECORD_KEY, makeRecord('v2', 40, 'completed'), 50);
  records.handleOrder(ORDER_KEY, makeOrder('v2'), 40);
  records.handleRecord(RECORD_KEY, makeRecord('v3', 60, 'running'), 70);
  await shared.delay.wait(10);
  t.is(transactions.length, 0);
});

// The record of the next order replaced the one that told that a version was rolled back.
test('the record of an order keeps the versions that earlier ones have rolled back', async (t) => {
  const { records, runtime, transactions } = makeRecorder();
  // The former build writes no such field.
  records.handleRecord(RECORD_KEY, makeRecord('v2', 40, 'rolledBack'), 50);
  records.handleOrder(ORDER_KEY, makeOrder('v3'), 60);
  await shared.delay.wait(10);
  t.deepEqual(runtime.getState().routed.canaries.get('desk')?.withdrawn, ['v2']);
  t.deepEqual(getRecord(transactions[0]).withdrawn, ['v2']);
});

// Revisions are given out again after the store has gone back to an older copy.
test('an order does not take over the outcome in the record of another one that had its revision', async (t) => {
  const { records, runtime, transactions } = makeRecorder();
  records.handleRecord(RECORD_KEY, makeRecord('v2', 60, 'rolledBack'), 70);
  records.handleOrder(ORDER_KEY, makeOrder('v3'), 60);
  await shared.delay.wait(10);
  const canary = runtime.getState().routed.canaries.get('desk');
  t.is(canary?.stage, 'running');
  t.deepEqual(canary?.withdrawn, ['v2']);
  const { to, stage, withdrawn } = getRecord(transactions[0]);
  t.deepEqual({ to, stage, withdrawn }, { to: 'v3', stage: 'running', withdrawn: ['v2'] });
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

// The record of the next order replaced the one of a roll-out under way, whose version counted as a previous one then.
test('the record of an order tells of the one that it follows, also to routers of the former build', async (t) => {
  const { records, runtime, transactions } = makeRecorder();
  records.handleOrder(ORDER_KEY, makeOrder('v2'), 40);
  records.handleOrder(ORDER_KEY, makeOrder('v3'), 60);
  await shared.delay.wait(10);
  const record = getRecord(transactions.at(-1));
  t.is(record.to, 'v3');
  // The former build sends nothing to withdrawn versions.
  t.deepEqual(record.withdrawn, ['v2']);
  const { superseded } = runtime.getState().routed.canaries.get('desk') ?? {};
  t.deepEqual(
    superseded?.map(({ order }) => order.to),
    ['v2'],
  );
  // A router that starts has seen neither order.
  const started = makeRecorder();
  started.records.handleRecord(RECORD_KEY, JSON.stringify(record), 70);
  started.records.handleOrder(ORDER_KEY, makeOrder('v3'), 60);
  const canary = started.runtime.getState().routed.canaries.get('desk');
  t.deepEqual(
    canary?.superseded.map(({ order }) => order.to),
    ['v2'],
  );
  t.deepEqual(canary?.withdrawn, []);
  t.is(canary?.offset, runtime.getState().routed.canaries.get('desk')?.offset);
  t.is(canary === undefined ? null : core.versionRoles.getRole(canary, 'v2'), 'superseded');
});

test('the record of a roll-out under way, as the former build writes it, bounds its version under the next order', (t) => {
  const { records, runtime } = makeRecorder();
  records.handleRecord(RECORD_KEY, makeRecord('v2', 40, 'running'), 50);
  records.handleOrder(ORDER_KEY, makeOrder('v3'), 60);
  const canary = runtime.getState().routed.canaries.get('desk');
  const [earlier] = canary?.superseded ?? [];
  t.is(earlier?.order.to, 'v2');
  [true, false].forEach((isSession) =>
    t.is(
      earlier === undefined
        ? null
        : core.canaryShare.getTrafficShare(earlier, runtime.getNowMs() + 2, isSession),
      0,
    ),
  );
});

test('a version that was completed serves without a bound under the next order', (t) => {
  const { records, runtime } = makeRecorder();
  records.handleRecord(RECORD_KEY, makeRecord('v2', 40, 'completed'), 50);
  records.handleOrder(ORDER_KEY, makeOrder('v3'), 60);
  const canary = runtime.getState().routed.canaries.get('desk');
  t.deepEqual(canary?.serving, ['v2']);
  t.deepEqual(canary?.superseded, []);
});

test('a router that has not seen the next order does not write over its record', async (t) => {
  const { records, transactions } = makeRecorder();
  records.handleRecord(RECORD_KEY, makeRecord('v3', 60, 'running'), 70);
  records.handleOrder(ORDER_KEY, makeOrder('v2'), 40);
  await shared.delay.wait(10);
  t.is(transactions.length, 0);
});

test('the removal of an order stops the roll-out, unless the store went back to an older copy', (t) => {
  [true, false].forEach((isRestored) => {
    const { records, runtime } = makeRecorder();
    records.handleOrder(ORDER_KEY, makeOrder('v2'), 40);
    if (isRestored) {
      records.handleRestored();
    }
    records.handleOrder(ORDER_KEY, null, 50);
    const canary = runtime.getState().routed.canaries.get('desk');
    t.is(canary?.sessionShare, isRestored ? null : 0);
  });
});

import type * as ava from 'ava';
import test from 'ava';
import * as core from '@jayrock/core';
import * as platform from '@jayrock/platform';
import * as shared from '@jayrock/shared';
import type * as stores from '@jayrock/stores';
import * as pino from 'pino';
import * as routerRuntime from '../src/routerRuntime.js';
import * as freshnessClock from '../src/routed/freshnessClock.js';
import * as hostFeed from '../src/routed/hostFeed.js';
import * as prefixFeed from '../src/routed/prefixFeed.js';

const KEY = `${platform.wire.KEYS.upstreams}u-0`;
const ERA = 1;
const SETTLE_MS = 500;

const renderEntry = (state: string): string =>
  JSON.stringify({
    service: 'desk',
    address: '10.0.0.1:80',
    zone: 'a',
    version: 'v1',
    slots: 8,
    state,
    sequence: 1,
    born: 1_700_000_000_000,
  });

const makeSnapshot = (
  state: string,
  revision: number,
): shared.outcome.Outcome<stores.prefixStore.PrefixSnapshot, never> =>
  shared.outcome.makeOk({
    era: ERA,
    revision,
    entries: [{ key: KEY, value: renderEntry(state), revision }],
  });

/** Makes a store whose reads return snapshots in turn, and whose waits return changes in turn and then none. */
const makeStore = (
  snapshots: readonly ReturnType<typeof makeSnapshot>[],
  waits: readonly Awaited<ReturnType<stores.prefixStore.PrefixStore['waitForChanges']>>[],
): stores.prefixStore.PrefixStore => {
  let readCount = 0;
  let waitCount = 0;
  return {
    readPrefix: async () => {
      readCount += 1;
      return snapshots[Math.min(readCount, snapshots.length) - 1];
    },
    waitForChanges: async () => {
      waitCount += 1;
      const wait = waits[waitCount - 1];
      await shared.delay.wait(wait === undefined ? SETTLE_MS * 2 : 0);
      return wait ?? shared.outcome.makeFailed('unknown');
    },
  } as unknown as stores.prefixStore.PrefixStore;
};

/** Follows a store until it has no more to say, and returns the state of the upstream that is in force then. */
const trackStore = async (
  t: ava.ExecutionContext,
  store: stores.prefixStore.PrefixStore,
): Promise<string | undefined> => {
  const runtime = routerRuntime.makeRuntime(
    core.routerState.makeState({ routerId: 'r-1', zone: 'a', address: '', ledgerCapacity: 1 }),
  );
  const log = pino.pino({ level: 'silent' });
  const hosts = hostFeed.makeHostFeed(runtime, () => Infinity, log);
  const feed = prefixFeed.startPrefixFeed(
    store,
    {
      prefix: platform.wire.KEYS.upstreams,
      getWaitMs: () => SETTLE_MS,
      clock: freshnessClock.makeFreshnessClock(),
    },
    { ...hosts, handleSnapshot: async (...snapshot) => hosts.handleSnapshot(...snapshot) },
    log,
  );
  t.teardown(feed.stop);
  t.teardown(hosts.stop);
  await feed.firstRead;
  await shared.delay.wait(SETTLE_MS);
  return runtime.getState().upstreams.get('u-0')?.host.state;
};

const LEAVE = shared.outcome.makeOk({
  era: ERA,
  revision: 6,
  changes: [{ key: KEY, value: renderEntry('draining'), revision: 6 }],
});

test('a leaving upstream stays so after its change', async (t) => {
  t.is(await trackStore(t, makeStore([makeSnapshot('ready', 5)], [LEAVE])), 'leaving');
});

test('a leaving upstream stays so when a source that is behind shows it as ready', async (t) => {
  const store = makeStore(
    [makeSnapshot('ready', 5)],
    [LEAVE, shared.outcome.makeFailed('compacted')],
  );
  t.is(await trackStore(t, store), 'leaving');
});

test('an upstream that a later snapshot shows as ready is in use again', async (t) => {
  const store = makeStore(
    [makeSnapshot('ready', 5), makeSnapshot('ready', 7)],
    [LEAVE, shared.outcome.makeFailed('compacted')],
  );
  t.is(await trackStore(t, store), 'live');
});

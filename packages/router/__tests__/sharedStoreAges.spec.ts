import * as core from '@jayrock/core';
import * as shared from '@jayrock/shared';
import type * as stores from '@jayrock/stores';
import test from 'ava';
import * as pino from 'pino';
import type * as rpcClient from '../src/peers/rpcClient.js';
import * as freshnessClock from '../src/routed/freshnessClock.js';
import * as prefixFeed from '../src/routed/prefixFeed.js';
import * as sharedStore from '../src/routed/sharedStore.js';
import * as routerRuntime from '../src/routerRuntime.js';

type Waited = shared.outcome.Outcome<
  stores.prefixStore.PrefixChanges,
  stores.prefixStore.WaitError
>;

const ALL = sharedStore.ALL_KEYS;
/** Time within which news has to be in force, in milliseconds. */
const NEWS_MS = 2_000;
/** Number of routers from which on a few of them read the store for the others. */
const FLEET = 12;

const FAILED: Waited = shared.outcome.makeFailed('unknown');
const NEWS: Waited = shared.outcome.makeOk({
  era: 1,
  revision: 6,
  changes: [{ key: 'servers/u', value: 'leaving', revision: 6 }],
});

const makeSnapshot = (era: number, value: string): stores.prefixStore.PrefixSnapshot => ({
  era,
  revision: 5,
  entries: [{ key: 'servers/u', value, revision: 5 }],
});

/** Makes the shared reads of a router; its readers, if it has a client, are eleven of twelve other routers. */
const makeReads = (
  wait: () => Promise<Waited>,
  client: Partial<rpcClient.RpcClient> | null = null,
  hasReaders: () => boolean = () => client !== null,
  read: () => stores.prefixStore.PrefixSnapshot | Promise<stores.prefixStore.PrefixSnapshot> = () =>
    makeSnapshot(1, 'live'),
): sharedStore.SharedStore => {
  const runtime = routerRuntime.makeRuntime(
    core.routerState.makeState({ routerId: 'z', zone: 'a', address: 'z:1', ledgerCapacity: 1 }),
  );
  const { members } = runtime.getState();
  const joined = Array.from({ length: FLEET }, (_, index) => `r${index}`).reduce(
    (table, id) =>
      core.memberTable.mergeUpdate(
        table,
        { id, address: `${id}:1`, zone: 'a', status: 'alive', incarnation: 0 },
        0,
      ),
    members,
  );
  return sharedStore.makeSharedStore(
    {
      runtime: {
        ...runtime,
        getState: () => ({ ...runtime.getState(), members: hasReaders() ? joined : members }),
      },
      client: (client ?? {}) as rpcClient.RpcClient,
      log: pino.pino({ level: 'silent' }),
      getNewsMs: () => NEWS_MS,
    },
    {
      readPrefix: async () => shared.outcome.makeOk(await read()),
      waitForChanges: wait,
    } as unknown as stores.prefixStore.PrefixStore,
  );
};

/** Makes a client whose peers answer as the test says. */
const makeClient = (
  answer: (method: string, params: never) => Promise<unknown>,
): Partial<rpcClient.RpcClient> => ({
  call: (async (_address: string, method: string, params: never) =>
    answer(method, params)) as unknown as rpcClient.RpcClient['call'],
});

/** Makes a client whose peers all answer as one router does. */
const makePeerClient = (reader: sharedStore.SharedStore): Partial<rpcClient.RpcClient> =>
  makeClient((method, params) =>
    method === 'readPrefix' ? Promise.resolve(reader.serveRead(params)) : reader.serveWait(params),
  );

/** Polls as a feed does after failures until there is a change; returns the time that it took, in milliseconds. */
const waitForNews = async ({ store }: sharedStore.SharedStore): Promise<number> => {
  const startedAtMs = performance.now();
  for (;;) {
    // eslint-disable-next-line no-await-in-loop -- each wait follows the one before
    const outcome = await store.waitForChanges(ALL, 5, 1);
    if (outcome.ok && outcome.value.changes.length > 0) {
      return performance.now() - startedAtMs;
    }
    // eslint-disable-next-line no-await-in-loop -- as above
    await shared.delay.wait(20);
  }
};

test('a store that refuses one call is asked again in time while the readers wait for it to answer', async (t) => {
  const reader = makeReads(async () => FAILED);
  await reader.store.readPrefix(ALL);
  await reader.store.waitForChanges(ALL, 5, 1);
  const outcomes = [FAILED, NEWS];
  const follower = makeReads(async () => outcomes.shift() ?? NEWS, makePeerClient(reader));
  await follower.store.readPrefix(ALL);
  const elapsedMs = await waitForNews(follower);
  t.true(elapsedMs < NEWS_MS, `${Math.round(elapsedMs)} ms`);
});

test('two polls that fail on the same dead connections count as one failure', async (t) => {
  const callsAtMs: number[] = [];
  const wait = async (): Promise<Waited> => {
    callsAtMs.push(performance.now());
    const isAnswered = callsAtMs.length > 2;
    await shared.delay.wait(isAnswered ? 0 : NEWS_MS * 0.1);
    return isAnswered ? NEWS : FAILED;
  };
  const follower = makeReads(
    wait,
    makeClient(async () => null),
  );
  await Promise.all([
    follower.store.waitForChanges(ALL, 5, NEWS_MS),
    follower.store.waitForChanges(ALL, 5, 1),
  ]);
  t.is(callsAtMs.length, 2);
  const elapsedMs = await waitForNews(follower);
  t.true(elapsedMs < NEWS_MS * 0.4, `${Math.round(elapsedMs)} ms`);
});

test('a reader in an earlier era of the store does not replace what is known, nor lend its state a newer age', async (t) => {
  let hasReaders = false;
  const reads = makeReads(
    async () => FAILED,
    makeClient(async () => ({
      snapshot: makeSnapshot(0, 'of an earlier era'),
      ageMs: NEWS_MS / 2,
      isFailing: false,
      isLarge: false,
    })),
    () => hasReaders,
  );
  await reads.store.readPrefix(ALL);
  hasReaders = true;
  await reads.store.readPrefix(ALL);
  const told = reads.serveRead({ prefix: ALL });
  t.deepEqual(
    { era: told?.snapshot.era, value: told?.snapshot.entries[0]?.value },
    { era: 1, value: 'live' },
    `age ${Math.round(told?.ageMs ?? -1)} ms`,
  );
});

test('a router that follows a restored store does not read it all the time because of a reader that is cut off since before', async (t) => {
  const told = [NEWS];
  const reader = makeReads(async () => told.shift() ?? FAILED);
  await reader.store.readPrefix(ALL);
  await reader.store.waitForChanges(ALL, 5, 1);
  await reader.store.waitForChanges(ALL, 6, 1);
  let reads = 0;
  const follower = makeReads(
    async () => {
      await shared.delay.wait(NEWS_MS * 0.4);
      return shared.outcome.makeOk({ era: 2, revision: 5, changes: [] });
    },
    makePeerClient(reader),
    () => true,
    () => {
      reads += 1;
      return makeSnapshot(2, 'live');
    },
  );
  const feed = prefixFeed.startPrefixFeed(
    follower.store,
    {
      prefix: ALL,
      getWaitMs: () => NEWS_MS,
      clock: freshnessClock.makeFreshnessClock(),
    },
    { handleSnapshot: async () => undefined, handleChange: () => undefined },
    pino.pino({ level: 'silent' }),
  );
  t.teardown(feed.stop);
  await shared.delay.wait(NEWS_MS / 2);
  t.true(reads <= 2, `${reads} reads`);
});

test('a reader whose history is too short for a large change is asked again after it', async (t) => {
  const change: Waited = shared.outcome.makeOk({
    era: 1,
    revision: 6,
    changes: [{ key: 'servers/large', value: 'x'.repeat(300_000), revision: 6 }],
  });
  const reader = makeReads(async () => change);
  await reader.store.readPrefix(ALL);
  await reader.store.waitForChanges(ALL, 5, 1);
  let calls = 0;
  const follower = makeReads(async () => {
    calls += 1;
    return change;
  }, makePeerClient(reader));
  await follower.store.readPrefix(ALL);
  await follower.store.waitForChanges(ALL, 5, 1);
  await follower.store.waitForChanges(ALL, 6, 1);
  t.is(calls, 1);
});

test('a reader that fails tells a router that fails as well what that one has missed', async (t) => {
  const told = [NEWS];
  const reader = makeReads(async () => told.shift() ?? FAILED);
  await reader.store.readPrefix(ALL);
  await reader.store.waitForChanges(ALL, 5, 1);
  await reader.store.waitForChanges(ALL, 6, 1);
  const params = { prefix: ALL, waitMs: NEWS_MS, ageMs: NEWS_MS, isFailing: true };
  const reply = await reader.serveWait({ ...params, after: 5 });
  t.is(reply?.changes?.changes.length, 1);
  t.true((reply?.heldMs ?? Infinity) < NEWS_MS / 2, `${Math.round(reply?.heldMs ?? -1)} ms`);
});

test('a read that a restoration of the store has overtaken does not take the age from what is known', async (t) => {
  let answerOvertaken: (snapshot: stores.prefixStore.PrefixSnapshot) => void = () => undefined;
  const overtaken = new Promise<stores.prefixStore.PrefixSnapshot>((resolve) => {
    answerOvertaken = resolve;
  });
  const answers = [makeSnapshot(1, 'live'), overtaken, makeSnapshot(2, 'live')];
  const reads = makeReads(
    async () => FAILED,
    null,
    () => false,
    () => answers.shift() ?? makeSnapshot(2, 'live'),
  );
  await reads.store.readPrefix(ALL);
  const late = reads.store.readPrefix(ALL);
  await reads.store.readPrefix(ALL);
  answerOvertaken(makeSnapshot(1, 'live'));
  await late;
  t.is(reads.serveRead({ prefix: ALL })?.snapshot.era, 2);
});

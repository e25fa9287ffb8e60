import * as http from 'node:http';
import type * as net from 'node:net';
import type * as ava from 'ava';
import test from 'ava';
import * as core from '@jayrock/core';
import * as shared from '@jayrock/shared';
import type * as stores from '@jayrock/stores';
import * as pino from 'pino';
import * as rpcClient from '../src/peers/rpcClient.js';
import * as routerRuntime from '../src/routerRuntime.js';
import * as sharedStore from '../src/routed/sharedStore.js';

const SECRET = 'secret';
const LOCAL = '127.0.0.1';
const PREFIX = 'hosts/';
/** Time within which a change has to be known to a router in touch, in milliseconds. */
const NEWS_MS = 2_000;
/** Number of routers from which on a few of them read the store for the others. */
const FLEET = 12;

type Method = 'readPrefix' | 'waitForPrefix';

interface Call {
  readonly id: number;
  readonly method: Method;
  readonly params: { readonly waitMs: number };
}

/** Answers one call of a follower, which began `sinceMs` milliseconds after the reader has got its behaviour. */
type Reader = (response: http.ServerResponse, call: Call, sinceMs: number) => void;

const answer = (
  response: http.ServerResponse,
  { id, method }: Call,
  state: { readonly ageMs: number; readonly isFailing: boolean },
): void => {
  const known = { era: 1, revision: 5 };
  const results = {
    readPrefix: { snapshot: { ...known, entries: [] }, isLarge: false, ...state },
    waitForPrefix: { changes: { ...known, changes: [] }, isLarge: false, heldMs: 0, ...state },
  };
  response.end(JSON.stringify({ jsonrpc: '2.0', id, result: results[method] }));
};

/** A reader to which the store confirms what it knows. */
const answerSound: Reader = (response, call) => {
  setTimeout(
    () => answer(response, call, { ageMs: 0, isFailing: false }),
    call.method === 'waitForPrefix' ? call.params.waitMs / 2 : 0,
  );
};

/** A router that froze before the call. */
const holdFrozen: Reader = () => undefined;

/** A router that freezes in the middle of a held call. */
const holdFreezing: Reader = (response) => {
  response.writeHead(200);
  response.write(' ');
};

/** A reader that lives, and that the store no longer answers. */
const answerDeaf: Reader = (response, call, sinceMs) => {
  const { waitMs } = call.params;
  setTimeout(() => answer(response, call, { ageMs: sinceMs + waitMs, isFailing: false }), waitMs);
};

/** The same, once it has noticed. */
const answerFailing: Reader = (response, call, sinceMs) =>
  answer(response, call, { ageMs: sinceMs, isFailing: true });

/** A router of the former build, which follows single prefixes only. */
const answerAsFormer: Reader = (response, { id }) => {
  response.end(JSON.stringify({ jsonrpc: '2.0', id, result: null }));
};

const readText = async (request: http.IncomingMessage): Promise<string> => {
  const chunks: Buffer[] = [];
  for await (const chunk of request) {
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks).toString('utf8');
};

const listen = async (t: ava.ExecutionContext, server: http.Server): Promise<string> => {
  await new Promise<void>((resolve) => {
    server.listen(0, LOCAL, resolve);
  });
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  return `${LOCAL}:${(server.address() as net.AddressInfo).port}`;
};

interface Follower {
  readonly reads: sharedStore.SharedStore;
  /** Sets what all other routers do from now on. */
  readonly setReaders: (reader: Reader) => void;
  readonly countDirectCalls: () => number;
}

/** Makes a router in a fleet, which does not read the store itself. */
const makeFollower = async (t: ava.ExecutionContext): Promise<Follower> => {
  let reader = answerSound;
  let changedAtMs = performance.now();
  const serve = async (
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> => {
    const call = JSON.parse(await readText(request)) as Call;
    reader(response, call, performance.now() - changedAtMs);
  };
  const addresses = await Promise.all(
    Array.from({ length: FLEET }, () =>
      listen(
        t,
        http.createServer((request, response) => {
          serve(request, response).catch(() => response.destroy());
        }),
      ),
    ),
  );
  const runtime = routerRuntime.makeRuntime(
    core.routerState.makeState({ routerId: 'z', zone: 'a', address: 'z:1', ledgerCapacity: 1 }),
  );
  const { members } = runtime.getState();
  const joined = addresses.reduce(
    (table, address, index) =>
      core.memberTable.mergeUpdate(
        table,
        { id: `r${index}`, address, zone: 'a', status: 'alive', incarnation: 0 },
        0,
      ),
    members,
  );
  t.true(core.storeReaders.listReaders(joined).length > 0);
  const client = rpcClient.makeRpcClient(SECRET, LOCAL);
  t.teardown(client.close);
  let calls = 0;
  const direct = {
    waitForChanges: async () => {
      calls += 1;
      return shared.outcome.makeOk({
        era: 1,
        revision: 6,
        changes: [{ key: `${PREFIX}u`, value: 'leaving', revision: 6 }],
      });
    },
  } as unknown as stores.prefixStore.PrefixStore;
  const reads = sharedStore.makeSharedStore(
    {
      runtime: { ...runtime, getState: () => ({ ...runtime.getState(), members: joined }) },
      client,
      log: pino.pino({ level: 'silent' }),
      getNewsMs: () => NEWS_MS,
    },
    direct,
  );
  return {
    reads,
    setReaders: (next) => {
      reader = next;
      changedAtMs = performance.now();
    },
    countDirectCalls: () => calls,
  };
};

/** Waits for changes until there are some, as a feed does; returns the time that it took, in milliseconds. */
const waitForNews = async ({ reads }: Follower): Promise<number> => {
  const startedAtMs = performance.now();
  for (;;) {
    // eslint-disable-next-line no-await-in-loop -- each wait follows the one before
    const outcome = await reads.store.waitForChanges(PREFIX, 5, NEWS_MS);
    if (outcome.ok && outcome.value.changes.length > 0) {
      return performance.now() - startedAtMs;
    }
  }
};

/** Follows the readers for a time, in milliseconds. */
const watchReaders = async ({ reads }: Follower, durationMs: number): Promise<void> => {
  const startedAtMs = performance.now();
  while (performance.now() - startedAtMs < durationMs) {
    // eslint-disable-next-line no-await-in-loop -- each wait follows the one before
    await reads.store.waitForChanges(PREFIX, 5, NEWS_MS);
  }
};

// A router waited for what its readers say, whatever the age of what they know.
Object.entries({
  frozen: holdFrozen,
  freezing: holdFreezing,
  'living, and not answered by the store': answerDeaf,
  'failing and telling so': answerFailing,
  'of the former build': answerAsFormer,
}).forEach(([name, reader]) => {
  test(`a change is known in time while all readers are useless (${name})`, async (t) => {
    const follower = await makeFollower(t);
    t.true((await follower.reads.store.readPrefix(PREFIX)).ok);
    await watchReaders(follower, NEWS_MS);
    t.is(follower.countDirectCalls(), 0);
    follower.setReaders(reader);
    const elapsedMs = await waitForNews(follower);
    t.true(elapsedMs < NEWS_MS, `${Math.round(elapsedMs)} ms`);
  });
});

test('a change is known in time by a router that has not read anything while all readers are frozen', async (t) => {
  const follower = await makeFollower(t);
  follower.setReaders(holdFrozen);
  const elapsedMs = await waitForNews(follower);
  t.true(elapsedMs < NEWS_MS, `${Math.round(elapsedMs)} ms`);
});

test('a reader to which the store confirms what it knows is waited for, however long nothing changes', async (t) => {
  const follower = await makeFollower(t);
  t.true((await follower.reads.store.readPrefix(PREFIX)).ok);
  await watchReaders(follower, 3 * NEWS_MS);
  t.is(follower.countDirectCalls(), 0);
});

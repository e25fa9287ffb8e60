import * as http from 'node:http';
import type * as net from 'node:net';
import type * as ava from 'ava';
import test from 'ava';
import * as core from '@jayrock/core';
import * as shared from '@jayrock/shared';
import type * as stores from '@jayrock/stores';
import * as pino from 'pino';
import * as heartbeat from '../src/peers/heartbeat.js';
import * as rpcClient from '../src/peers/rpcClient.js';
import * as rpcServer from '../src/peers/rpcServer.js';
import * as routerRuntime from '../src/routerRuntime.js';
import * as sharedStore from '../src/routed/sharedStore.js';

const SECRET = 'secret';
const LOCAL = '127.0.0.1';
const PREFIX = 'hosts/';
/** Time within which a change has to be known to a router in touch, in milliseconds. */
const NEWS_MS = 2_000;
/** Number of routers from which on a few of them read the store for the others. */
const FLEET = 12;
const HOLD_MS = 4_000;

/** Answers one call of a follower. */
type Reader = (response: http.ServerResponse, id: number, waitMs: number) => void;

const render = (id: number): string =>
  JSON.stringify({
    jsonrpc: '2.0',
    id,
    result: {
      changes: { era: 1, revision: 5, changes: [] },
      isLarge: false,
      heldMs: 0,
      ageMs: 0,
      isFailing: false,
    },
  });

/** A router that froze before the call. */
const holdFrozen: Reader = () => undefined;

/** A router that freezes in the middle of a held call. */
const holdFreezing: Reader = (response) => {
  response.writeHead(200, { [heartbeat.HEARTBEAT_HEADER]: '300' });
  response.write(' ');
};

/** A router of the former build, which gives no signs of life. */
const answerAsFormer: Reader = (response, id, waitMs) => {
  setTimeout(() => response.end(render(id)), waitMs);
};

interface Call {
  readonly id: number;
  readonly params: { readonly waitMs: number };
}

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
const makeFollower = async (t: ava.ExecutionContext, first: Reader): Promise<Follower> => {
  let reader = first;
  const serve = async (
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> => {
    const { id, params } = JSON.parse(await readText(request)) as Call;
    reader(response, id, params.waitMs);
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
    },
    direct,
  );
  return {
    reads,
    setReaders: (next) => {
      reader = next;
    },
    countDirectCalls: () => calls,
  };
};

/** Waits for changes until there are some, as a feed does; returns the time that it took, in milliseconds. */
const waitForNews = async ({ reads }: Follower): Promise<number> => {
  const startedAtMs = performance.now();
  for (;;) {
    // eslint-disable-next-line no-await-in-loop -- each wait follows the one before
    const outcome = await reads.store.waitForChanges(PREFIX, 5, HOLD_MS);
    if (outcome.ok && outcome.value.changes.length > 0) {
      return performance.now() - startedAtMs;
    }
  }
};

// A router waited for each silent reader for as long as it may hold the call, and a second more.
Object.entries({ frozen: holdFrozen, freezing: holdFreezing }).forEach(([name, reader]) => {
  test(`a change is known in time while all readers are silent (${name})`, async (t) => {
    const follower = await makeFollower(t, reader);
    const elapsedMs = await waitForNews(follower);
    t.true(elapsedMs < NEWS_MS, `${Math.round(elapsedMs)} ms`);
  });
});

test('a change is known in time after a reader of the former build freezes', async (t) => {
  const follower = await makeFollower(t, answerAsFormer);
  const known = await follower.reads.store.waitForChanges(PREFIX, 5, HOLD_MS);
  t.true(known.ok);
  t.is(follower.countDirectCalls(), 0);
  follower.setReaders(holdFrozen);
  const elapsedMs = await waitForNews(follower);
  t.true(elapsedMs < NEWS_MS, `${Math.round(elapsedMs)} ms`);
});

test('a reader that holds a call for long, and gives signs of life, is waited for', async (t) => {
  const server = rpcServer.makeRpcServer(SECRET, {
    getRelayEnd: async () => {
      await shared.delay.wait(1_200);
      return { bytes: 7 };
    },
  });
  await server.listen({ host: LOCAL, port: 0 });
  const client = rpcClient.makeRpcClient(SECRET, LOCAL);
  t.teardown(() => Promise.all([client.close(), server.close()]));
  const { port } = server.server.address() as net.AddressInfo;
  const call = (silenceMs: number): Promise<unknown> =>
    client.callHeld(`${LOCAL}:${port}`, 'getRelayEnd', { relayId: 'r' }, 3_000, silenceMs);
  t.deepEqual(await call(450), { bytes: 7 });
  t.true(client.hasHeartbeat(`${LOCAL}:${port}`));
  // One of several calls asks for signs of life, for all of them.
  t.deepEqual(await Promise.all([call(450), call(450), call(450)]), [
    { bytes: 7 },
    { bytes: 7 },
    { bytes: 7 },
  ]);
  // Routers of the former build ask for no signs of life, and take the same reply.
  t.deepEqual(await client.call(`${LOCAL}:${port}`, 'getRelayEnd', { relayId: 'r' }, 3_000), {
    bytes: 7,
  });
});

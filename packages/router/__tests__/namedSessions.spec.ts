import test from 'ava';
import * as core from '@jayrock/core';
import * as shared from '@jayrock/shared';
import * as namedSessions from '../src/namedSessions.js';
import type * as rpcClient from '../src/peers/rpcClient.js';
import * as routerRuntime from '../src/routerRuntime.js';

const PIN = { versions: { small: 'v1' } };

const makeConfiguration = (hasRollout: boolean): shared.lists.Configuration => ({
  generation: 1,
  signingKey: '0'.repeat(64),
  plans: { plans: [], customers: [] },
  models: shared.lists.modelsListSchema.parse({
    services: [{ name: 'pool', kind: 'engines' }],
    models: [
      {
        name: 'small',
        service: 'pool',
        costPerThousandTokensMicros: 1,
        versions: [
          { name: 'v1', state: 'stable' },
          { name: 'v2', state: 'candidate' },
        ],
      },
    ],
    rollouts: hasRollout ? [{ model: 'small', from: 'v1', to: 'v2', state: 'running' }] : [],
  }),
});

const makeTestRuntime = (hasRollout: boolean): routerRuntime.Runtime => {
  const runtime = routerRuntime.makeRuntime(
    core.routerState.makeState({
      routerId: 'r1',
      zone: 'a',
      address: '127.0.0.1:1',
      ledgerCapacity: 10,
    }),
  );
  runtime.dispatch({ type: 'configAdopted', configuration: makeConfiguration(hasRollout) });
  return runtime;
};

interface Call {
  readonly method: string;
  readonly params: unknown;
}

/** Makes a client whose peer stores one pin, and records the calls made to it. */
const makeClient = (): {
  readonly client: rpcClient.RpcClient;
  readonly calls: readonly Call[];
} => {
  const calls: Call[] = [];
  const client = {
    call: async (_: string, method: string, params: unknown) => {
      calls.push({ method, params });
      return method === 'getSession' ? PIN : null;
    },
    countBytes: () => 0,
    close: async () => undefined,
  } as unknown as rpcClient.RpcClient;
  return { client, calls };
};

const addPeer = (runtime: routerRuntime.Runtime): void => {
  const self = {
    id: 'r2',
    address: '127.0.0.1:2',
    zone: 'a',
    status: 'alive' as const,
    incarnation: 1,
  };
  const message = { self, updates: [], generation: 1, confirmedAgeMs: 0 };
  runtime.dispatch({ type: 'gossipReceived', message });
};

/** Finds a session that a given router owns. */
const findSession = (runtime: routerRuntime.Runtime, owner: string): string =>
  Array.from({ length: 100 }, (_, index) => `ada/session-${index}`).find(
    (session) => core.zoneRoles.pickSessionOwner(runtime.getState().members, session).id === owner,
  ) ?? '';

test('a session is looked up only while a roll-out makes its version ambiguous', async (t) => {
  const runtime = makeTestRuntime(false);
  const sessions = namedSessions.makeNamedSessions(runtime, makeClient().client);
  sessions.record('ada/x', PIN);
  t.is(await sessions.find('ada/x'), null);
  const sessionsInRollout = namedSessions.makeNamedSessions(
    makeTestRuntime(true),
    makeClient().client,
  );
  sessionsInRollout.record('ada/x', PIN);
  t.deepEqual(await sessionsInRollout.find('ada/x'), PIN);
});

test('a session that another router owns is looked up there', async (t) => {
  const runtime = makeTestRuntime(true);
  addPeer(runtime);
  const { client, calls } = makeClient();
  const sessions = namedSessions.makeNamedSessions(runtime, client);
  t.deepEqual(await sessions.find(findSession(runtime, 'r2')), PIN);
  t.deepEqual(
    calls.map((call) => call.method),
    ['getSession'],
  );
});

test('a leaving router sends its pins to their next owners', async (t) => {
  const runtime = makeTestRuntime(true);
  const { client, calls } = makeClient();
  const sessions = namedSessions.makeNamedSessions(runtime, client);
  sessions.record('ada/x', PIN);
  addPeer(runtime);
  await sessions.handOver();
  t.deepEqual(calls, [{ method: 'putSession', params: { session: 'ada/x', ...PIN } }]);
});

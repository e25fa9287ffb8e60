import type * as net from 'node:net';
import test from 'ava';
import * as core from '@jayrock/core';
import * as shared from '@jayrock/shared';
import * as pino from 'pino';
import * as upstreamPaths from '../src/relays/upstreamPaths.js';
import * as routerRuntime from '../src/routerRuntime.js';
import * as attemptFailure from '../src/upstreams/attemptFailure.js';

const UPSTREAMS = ['u-0', 'u-1', 'u-2', 'u-3'] as const;
const STALL_MS = 600;

const getAddress = (id: string): string => `10.0.0.1:${id}`;

const makeRuntime = (): routerRuntime.Runtime => {
  const runtime = routerRuntime.makeRuntime(
    core.routerState.makeState({
      routerId: 'r1',
      zone: 'a',
      address: '10.0.0.2:1',
      ledgerCapacity: 1,
    }),
  );
  runtime.connect({});
  UPSTREAMS.forEach((id) =>
    runtime.dispatch({
      type: 'hostChanged',
      host: { id, address: getAddress(id), zone: 'a', service: 'desk', state: 'live', bornAtMs: 1 },
    }),
  );
  const self = { id: 'r2', address: '10.0.0.3:1', zone: 'a', status: 'alive', incarnation: 1 };
  runtime.dispatch({
    type: 'gossipReceived',
    message: {
      self: self as core.member.MemberUpdate,
      updates: [],
      generation: 0,
      confirmedAgeMs: 0,
    },
  });
  return runtime;
};

interface FakePaths {
  readonly paths: upstreamPaths.UpstreamPaths;
  readonly runtime: routerRuntime.Runtime;
  readonly asked: readonly string[];
}

/**
 * Makes paths whose probes have a result after a time, and whose only peer reaches every upstream; it may know that they
 * leave.
 */
const makePaths = (
  getResult: () => attemptFailure.ProbeResult,
  probeMs = 0,
  areLeaving = false,
): FakePaths => {
  const asked: string[] = [];
  const runtime = makeRuntime();
  const paths = upstreamPaths.makeUpstreamPaths(
    runtime,
    pino.pino({ level: 'silent' }),
    async (_, upstreamId, use) => {
      asked.push(upstreamId);
      if (areLeaving && use?.kind !== 'probe') {
        throw Object.assign(new Error('leaves'), { code: attemptFailure.LEAVING_CODE });
      }
      return { destroy: () => undefined } as unknown as net.Socket;
    },
    async () => {
      await shared.delay.wait(probeMs);
      return getResult();
    },
  );
  return { paths, runtime, asked };
};

test('peers are asked once half of the upstreams of a service fail', async (t) => {
  const { paths, asked } = makePaths(() => 'unknown');
  const results = [
    await paths.probe('u-0', getAddress('u-0')),
    await paths.probe('u-1', getAddress('u-1')),
  ];
  t.deepEqual(results, [
    { result: 'unknown', hasChanged: false },
    { result: 'open', hasChanged: true },
  ]);
  t.deepEqual(asked, ['u-1']);
  t.true(paths.isRelayed(getAddress('u-1')));
  t.false(paths.isRelayed(getAddress('u-0')));
});

test('the own path is taken again once it works', async (t) => {
  let result: attemptFailure.ProbeResult = 'refused';
  const { paths } = makePaths(() => result);
  await paths.probe('u-0', getAddress('u-0'));
  await paths.probe('u-1', getAddress('u-1'));
  result = 'open';
  t.deepEqual(await paths.probe('u-1', getAddress('u-1')), { result: 'open', hasChanged: true });
  t.is(paths.openRelayed(getAddress('u-1')), null);
});

test('an upstream that leaves, as a peer knows, rests for a time and stays reachable', async (t) => {
  const { paths, runtime } = makePaths(() => 'unknown', 0, true);
  await paths.probe('u-0', getAddress('u-0'));
  t.is((await paths.probe('u-1', getAddress('u-1'))).result, 'open');
  await t.throwsAsync(paths.openRelayed(getAddress('u-1')) ?? Promise.resolve(), {
    code: attemptFailure.LEAVING_CODE,
  });
  const upstream = runtime.getState().upstreams.get('u-1');
  t.is(upstream?.host.state, 'live');
  t.is(upstream?.consecutiveFailures, 0);
  t.true((upstream?.rest.untilMs ?? 0) > runtime.getNowMs());
  t.deepEqual(await paths.probe('u-1', getAddress('u-1')), { result: 'open', hasChanged: false });
});

test('a probe that was delayed by a stall of this process does not change the path', async (t) => {
  const { paths, asked } = makePaths(() => 'unknown', STALL_MS);
  await Promise.all(UPSTREAMS.map((id) => paths.probe(id, getAddress(id))));
  t.deepEqual(asked, []);
  t.is(paths.countRelayed(), 0);
});

import * as http from 'node:http';
import * as net from 'node:net';
import type * as ava from 'ava';
import test from 'ava';
import * as platform from '@jayrock/platform';
import * as shared from '@jayrock/shared';
import * as inputBarrier from '../src/eventLoop/inputBarrier.js';
import type * as pendingRoutedRequest from '../src/routed/pendingRoutedRequest.js';
import * as routedAttempt from '../src/routed/routedAttempt.js';
import * as connectionPools from '../src/upstreams/connectionPools.js';

const LOCAL = '127.0.0.1';
const TIME_LEFT_MS = 1_000;
const SETTLED_MS = 100;

/** An upstream whose connections take a time to open. */
interface SlowUpstream {
  readonly address: string;
  readonly pools: connectionPools.ConnectionPools;
  /** Deadlines that were handed on with requests, in milliseconds from their arrival. */
  readonly deadlines: readonly number[];
}

const startUpstream = async (t: ava.ExecutionContext, openMs: number): Promise<SlowUpstream> => {
  const deadlines: number[] = [];
  const server = http.createServer(({ headers }, response) => {
    deadlines.push(Number(headers[platform.wire.HEADERS.deadlineMs]));
    response.end();
  });
  await new Promise<void>((resolve) => {
    server.listen(0, LOCAL, resolve);
  });
  const { port } = server.address() as net.AddressInfo;
  const pools = connectionPools.makeConnectionPools(LOCAL, inputBarrier.makeInputBarrier(), {
    openRelayed: async () => {
      await shared.delay.wait(openMs);
      return net.connect(port, LOCAL);
    },
  });
  t.teardown(async () => {
    await pools.close();
    server.close();
  });
  return { address: `${LOCAL}:${port}`, pools, deadlines };
};

const makePending = (): pendingRoutedRequest.PendingRoutedRequest => ({
  id: 'a',
  callerRequestId: 'a',
  method: 'GET',
  url: '/',
  rawHeaders: [],
  headers: {},
  body: Buffer.alloc(0),
  fingerprint: 'f',
  callerFingerprint: null,
  formerFingerprint: null,
  response: new http.ServerResponse(new http.IncomingMessage(new net.Socket())),
  arrivedAtMs: 0,
  readAtMs: 0,
  sends: [],
  attempts: new Map(),
  isHeadWritten: false,
  lastEventId: null,
});

const sendRequest = ({ address, pools }: SlowUpstream): void => {
  routedAttempt.startRoutedAttempt(
    pools,
    inputBarrier.makeInputBarrier(),
    {
      pending: makePending(),
      attemptId: 1,
      upstreamId: 'u',
      address,
      send: {
        timeLeftMs: TIME_LEFT_MS,
        headTimeoutMs: Infinity,
        gapTimeoutMs: Infinity,
        patience: { headMs: 200, gapMs: 200 },
        organisation: 'ada',
        model: null,
        priority: 0,
        isStream: false,
      },
    },
    {
      handleHead: () => undefined,
      handleEnd: () => undefined,
      handleFailure: () => undefined,
      handleSilence: () => undefined,
      confirmUpstreams: () => null,
      detectOverdue: () => null,
      handleSent: () => undefined,
      handleActivity: () => undefined,
      handleClose: () => undefined,
      handleLoad: () => undefined,
      handleRateLimit: () => undefined,
      handleNotice: () => undefined,
    },
  );
};

[0, 350].forEach((openMs) => {
  const declare = openMs === 0 ? test : test.failing;
  declare(
    `the wait of ${openMs} ms for a connection is taken off the deadline that is handed on`,
    async (t) => {
      const upstream = await startUpstream(t, openMs);
      sendRequest(upstream);
      await shared.delay.wait(openMs + SETTLED_MS);
      t.is(upstream.deadlines.length, 1);
      t.true(
        (upstream.deadlines[0] ?? Infinity) <= TIME_LEFT_MS - openMs,
        `${upstream.deadlines[0]}`,
      );
    },
  );
});

import * as http from 'node:http';
import * as net from 'node:net';
import * as platform from '@jayrock/platform';
import test from 'ava';
import * as shared from '@jayrock/shared';
import type * as undici from 'undici';
import * as inputBarrier from '../src/eventLoop/inputBarrier.js';
import type * as pendingRoutedRequest from '../src/routed/pendingRoutedRequest.js';
import * as routedAttempt from '../src/routed/routedAttempt.js';
import * as bufferBudget from '../src/upstreams/bufferBudget.js';
import * as attemptFailure from '../src/upstreams/attemptFailure.js';
import * as connectionPools from '../src/upstreams/connectionPools.js';

interface FakePools {
  readonly pools: connectionPools.ConnectionPools;
  /** Opens the connection that the attempt waits for; returns why the attempt was aborted, or null. */
  readonly open: () => string | null;
  /** Delivers a whole answer that has no bytes. */
  readonly answer: (headers: Readonly<Record<string, string>>) => void;
}

/** A barrier that runs all work at once. */
const IMMEDIATE_BARRIER: inputBarrier.InputBarrier = {
  run: (work) => work(),
  runDue: (work) => work(),
  recordConnection: () => undefined,
  stop: () => undefined,
};

/** Creates pools whose connections open only when the test calls `open`. */
const makePools = (): FakePools => {
  let handler: undici.Dispatcher.DispatchHandler | null = null;
  let abortReason: string | null = null;
  const pool = {
    dispatch: (_: unknown, attemptHandler: undici.Dispatcher.DispatchHandler): boolean => {
      handler = attemptHandler;
      return true;
    },
  };
  return {
    pools: {
      get: () => pool as unknown as undici.Pool,
      renew: () => undefined,
      wasReset: () => false,
      verifyEnd: () => null,
      barrier: IMMEDIATE_BARRIER,
      buffers: bufferBudget.makeBufferBudget(),
      close: () => Promise.resolve(),
    },
    open: () => {
      const controller = {
        // As the library does, reports the error before it returns.
        abort: (error: Error) => {
          abortReason = error.message;
          handler?.onResponseError?.(controller as undici.Dispatcher.DispatchController, error);
        },
      };
      handler?.onRequestStart?.(controller as undici.Dispatcher.DispatchController, null);
      return abortReason;
    },
    answer: (headers) => {
      const controller = {} as undici.Dispatcher.DispatchController;
      handler?.onResponseStart?.(controller, 200, headers);
      handler?.onResponseEnd?.(controller, {});
    },
  };
};

/** Time for which the work that is added to a barrier runs, in milliseconds. */
const WORK_MS = 600;
const TURN_MS = 20;

const addWork = (barrier: inputBarrier.InputBarrier): void => {
  Array.from({ length: WORK_MS / TURN_MS }, () =>
    barrier.run(() => {
      const endMs = performance.now() + TURN_MS;
      while (performance.now() < endMs);
    }),
  );
};

const makePending = (): pendingRoutedRequest.PendingRoutedRequest => ({
  id: 'a',
  callerRequestId: 'a',
  method: 'POST',
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

const startAttempt = (
  pools: connectionPools.ConnectionPools,
  detectOverdue: () => string | null = () => null,
  isStream = false,
  headTimeoutMs = Infinity,
  barrier = IMMEDIATE_BARRIER,
  confirmUpstreams: () => Promise<void> | null = () => null,
): {
  readonly running: pendingRoutedRequest.RunningAttempt;
  readonly failures: routedAttempt.RoutedAttemptFailure[];
  readonly ends: routedAttempt.StreamSummary[];
} => {
  const failures: routedAttempt.RoutedAttemptFailure[] = [];
  const ends: routedAttempt.StreamSummary[] = [];
  const running = routedAttempt.startRoutedAttempt(
    pools,
    barrier,
    {
      pending: makePending(),
      attemptId: 1,
      upstreamId: 'u1',
      address: '127.0.0.1:1',
      send: {
        timeLeftMs: 1_000,
        headTimeoutMs,
        gapTimeoutMs: Infinity,
        patience: { headMs: 200, gapMs: 200 },
        organisation: 'ada',
        model: null,
        priority: 0,
        isStream,
      },
    },
    {
      handleHead: () => undefined,
      handleEnd: (stream) => ends.push(stream),
      handleFailure: (failure) => failures.push(failure),
      handleSilence: () => undefined,
      confirmUpstreams,
      detectOverdue,
      handleSent: () => undefined,
      handleActivity: () => undefined,
      handleClose: () => undefined,
      handleLoad: () => undefined,
      handleRateLimit: () => undefined,
      handleNotice: () => undefined,
    },
  );
  return { running, failures, ends };
};

test('dropping an attempt that waits for a connection fails it as unsent, and it is never sent', (t) => {
  const { pools, open } = makePools();
  const { running, failures } = startAttempt(pools);
  running.dropUnsent();
  t.deepEqual(
    failures.map(({ failure, isUnsent, isNotRun }) => ({ failure, isUnsent, isNotRun })),
    [{ failure: 'unreachable', isUnsent: true, isNotRun: true }],
  );
  t.not(open(), null);
});

test('an attempt that was sent is not dropped', (t) => {
  const { pools, open } = makePools();
  const { running, failures } = startAttempt(pools);
  t.is(open(), null);
  running.dropUnsent();
  t.deepEqual(failures, []);
});

test('a request that is overdue when it gets its connection is not sent', (t) => {
  const { pools, open } = makePools();
  let overdue: string | null = null;
  const { failures } = startAttempt(pools, () => overdue);
  overdue = 'keyWithdrawn';
  t.not(open(), null);
  t.deepEqual(failures, [
    { failure: 'overdue', isUnsent: true, isNotRun: true, reason: 'keyWithdrawn' },
  ]);
});

test('a request whose relay is refused since its upstream leaves is overdue there, not a failure', async (t) => {
  const pools = connectionPools.makeConnectionPools('127.0.0.1', IMMEDIATE_BARRIER, {
    openRelayed: () =>
      Promise.reject(Object.assign(new Error('refused'), { code: attemptFailure.LEAVING_CODE })),
  });
  const { failures } = startAttempt(pools);
  await shared.delay.wait(50);
  t.deepEqual(failures, [
    { failure: 'overdue', isUnsent: true, isNotRun: true, reason: 'refused' },
  ]);
  await pools.close();
});

test('a short answer that only its connection ends may have been cut by a crash, one with chunks was not', (t) => {
  const H = platform.wire.HEADERS;
  const headers = { [H.requestId]: 'a', [H.stamp]: 'stamp' };
  const isCut = [headers, { ...headers, 'transfer-encoding': 'chunked' }].map((sent) => {
    const { pools, open, answer } = makePools();
    const { ends, failures } = startAttempt(pools, () => null, true);
    open();
    answer(sent);
    t.deepEqual(failures, []);
    return ends.map((end) => end.mayBeCut);
  });
  t.deepEqual(isCut, [[true], [false]]);
});

test('an upstream that gives no answer in time fails as silent, not as one that broke the connection', async (t) => {
  const { pools, open } = makePools();
  const { failures } = startAttempt(pools, () => null, false, 10);
  t.is(open(), null);
  await shared.delay.wait(50);
  t.deepEqual(
    failures.map(({ failure, isUnsent }) => ({ failure, isUnsent })),
    [{ failure: 'silent', isUnsent: false }],
  );
});

test('an attempt is sent once its source was asked, if the list of upstreams is too old', async (t) => {
  const { pools, open } = makePools();
  let confirm: () => void = () => undefined;
  let state: string | null = null;
  const { failures } = startAttempt(
    pools,
    () => state,
    false,
    Infinity,
    IMMEDIATE_BARRIER,
    () =>
      new Promise<void>((resolve) => {
        confirm = resolve;
      }),
  );
  t.is(open(), null);
  // What the source says is in force before the request is sent.
  state = 'upstreamLeft';
  confirm();
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
  t.is(open(), null);
  t.deepEqual(
    failures.map(({ failure, isUnsent, reason }) => ({ failure, isUnsent, reason })),
    [{ failure: 'overdue', isUnsent: true, reason: 'upstreamLeft' }],
  );
});

// The time-out began while the request waited to be sent, so an upstream that had no time to answer counted as silent.
test.serial(
  'the time for which an attempt waits to be sent is not part of its time-out',
  async (t) => {
    const { pools, open } = makePools();
    const barrier = inputBarrier.makeInputBarrier();
    addWork(barrier);
    const { failures } = startAttempt(pools, () => null, false, WORK_MS / 2, barrier);
    await new Promise<void>((resolve) => {
      barrier.run(resolve);
    });
    t.is(open(), null);
    await shared.delay.wait(TURN_MS);
    t.deepEqual(failures, []);
    barrier.stop();
  },
);

test.serial(
  'the time-out of an attempt that was sent does not wait for work in the barrier',
  async (t) => {
    const { pools, open } = makePools();
    const barrier = inputBarrier.makeInputBarrier();
    const { failures } = startAttempt(pools, () => null, false, WORK_MS / 6, barrier);
    await new Promise<void>((resolve) => {
      barrier.run(resolve);
    });
    t.is(open(), null);
    addWork(barrier);
    await shared.delay.wait(WORK_MS / 2);
    t.deepEqual(
      failures.map(({ failure }) => failure),
      ['silent'],
    );
    barrier.stop();
  },
);

import * as http from 'node:http';
import * as net from 'node:net';
import * as shared from '@jayrock/shared';
import test from 'ava';
import type * as undici from 'undici';
import type * as inputBarrier from '../src/eventLoop/inputBarrier.js';
import * as routedAttempt from '../src/routed/routedAttempt.js';
import * as bufferBudget from '../src/upstreams/bufferBudget.js';
import type * as connectionPools from '../src/upstreams/connectionPools.js';

const HEAD_TIMEOUT_MS = 20;

interface Started {
  readonly failures: readonly routedAttempt.RoutedAttemptFailure[];
  /** Returns how often the pool of the upstream was renewed. */
  readonly countRenewals: () => number;
  /** Returns how many requests were handed to a connection. */
  readonly countSends: () => number;
  /** Runs the work that waits behind the barrier. */
  readonly runBarrier: () => void;
}

/** Starts an attempt on an upstream that gives a connection at once and never answers. */
const startAttempt = (
  confirmUpstreams: () => Promise<void> | null,
  headTimeoutMs: number,
): Started => {
  const failures: routedAttempt.RoutedAttemptFailure[] = [];
  const works: (() => void)[] = [];
  let renewals = 0;
  let sends = 0;
  const barrier: inputBarrier.InputBarrier = {
    run: (work) => works.push(work),
    runDue: (work) => works.push(work),
    recordConnection: () => undefined,
    stop: () => undefined,
  };
  const runBarrier = (): void => works.splice(0).forEach((work) => work());
  const pool = {
    dispatch: (_: unknown, handler: undici.Dispatcher.DispatchHandler): boolean => {
      const controller = { abort: () => undefined } as unknown;
      handler.onRequestStart?.(controller as undici.Dispatcher.DispatchController, null);
      return true;
    },
  };
  const pools: connectionPools.ConnectionPools = {
    get: () => pool as unknown as undici.Pool,
    renew: () => {
      renewals += 1;
    },
    wasReset: () => false,
    verifyEnd: () => null,
    buffers: bufferBudget.makeBufferBudget(),
    barrier,
    close: () => Promise.resolve(),
  };
  routedAttempt.startRoutedAttempt(
    pools,
    barrier,
    {
      pending: {
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
      },
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
        isStream: false,
      },
    },
    {
      handleHead: () => undefined,
      handleEnd: () => undefined,
      handleFailure: (failure) => failures.push(failure),
      handleSilence: () => undefined,
      confirmUpstreams,
      detectOverdue: () => null,
      handleSent: () => {
        sends += 1;
      },
      handleActivity: () => undefined,
      handleClose: () => undefined,
      handleLoad: () => undefined,
      handleRateLimit: () => undefined,
      handleNotice: () => undefined,
    },
  );
  return { failures, countRenewals: () => renewals, countSends: () => sends, runBarrier };
};

test('an upstream does not count as silent while the store has not confirmed it', async (t) => {
  const attempt = startAttempt(() => new Promise<void>(() => {}), HEAD_TIMEOUT_MS);
  await shared.delay.wait(HEAD_TIMEOUT_MS * 3);
  attempt.runBarrier();
  t.is(attempt.countSends(), 0);
  t.deepEqual(
    attempt.failures.map(({ failure }) => failure).filter((failure) => failure === 'silent'),
    [],
  );
  t.is(attempt.countRenewals(), 0);
});

test('a list that has become too old behind the barrier is confirmed before the request is sent', (t) => {
  let isOutdated = false;
  const attempt = startAttempt(() => (isOutdated ? new Promise<void>(() => {}) : null), Infinity);
  isOutdated = true;
  attempt.runBarrier();
  t.is(attempt.countSends(), 0);
});

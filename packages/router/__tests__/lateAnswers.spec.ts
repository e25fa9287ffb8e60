import * as http from 'node:http';
import type * as net from 'node:net';
import type * as ava from 'ava';
import test from 'ava';
import * as inputBarrier from '../src/eventLoop/inputBarrier.js';
import * as attemptFailure from '../src/upstreams/attemptFailure.js';
import * as callAttempt from '../src/upstreams/callAttempt.js';
import * as chatAttempt from '../src/upstreams/chatAttempt.js';
import * as connectionPools from '../src/upstreams/connectionPools.js';

const LOCAL = '127.0.0.1';
const TIMEOUT_MS = 200;
/** Time at which the upstream answers, and for which the event loop is blocked then, in milliseconds. */
const ANSWERED_MS = 100;
const BLOCKED_MS = 300;
const STREAM = `data: ${JSON.stringify({ choices: [{ delta: { content: 'a' } }] })}\n\ndata: [DONE]\n\n`;

/** How an attempt ended: with its answer, or with its failure. */
type Outcome = 'answered' | attemptFailure.AttemptFailure['failure'];

/** Starts an attempt at an address, and calls back with its outcome. */
type Start = (
  pools: connectionPools.ConnectionPools,
  address: string,
  finish: (outcome: Outcome) => void,
) => void;

const IGNORED = {
  handleRateLimit: () => undefined,
  handleNotice: () => undefined,
  handleFirstToken: () => undefined,
  handleEvents: () => undefined,
};

const STARTS: Readonly<Record<'chat' | 'call', Start>> = {
  chat: (pools, address, finish) =>
    chatAttempt.runChatAttempt(
      pools,
      { requestId: 'a', address, versionId: 'v', priority: 0, resumeFrom: 0, body: {} },
      { firstByteTimeoutMs: TIMEOUT_MS, silentStreamMs: TIMEOUT_MS },
      {
        ...IGNORED,
        handleEnd: () => finish('answered'),
        handleFailure: ({ failure }) => finish(failure),
      },
    ),
  call: (pools, address, finish) =>
    callAttempt.runCallAttempt(
      pools,
      { requestId: 'a', address, path: '/', body: '{}', timeoutMs: TIMEOUT_MS },
      {
        ...IGNORED,
        handleAnswer: () => finish('answered'),
        handleFailure: ({ failure }) => finish(failure),
      },
    ),
};

const blockLoop = (durationMs: number): void => {
  const endMs = performance.now() + durationMs;
  while (performance.now() < endMs);
};

/** Starts an upstream that answers in time, and blocks the event loop for a time right after that. */
const startUpstream = async (t: ava.ExecutionContext, blockedMs: number): Promise<string> => {
  const server = http.createServer((request, response) => {
    request.resume();
    setTimeout(
      () =>
        // Timers run before the next poll only if the loop is blocked after its timers.
        setImmediate(() => {
          response.end(STREAM);
          blockLoop(blockedMs);
        }),
      ANSWERED_MS,
    );
  });
  await new Promise<void>((resolve) => {
    server.listen(0, LOCAL, resolve);
  });
  t.teardown(() => server.close());
  return `${LOCAL}:${(server.address() as net.AddressInfo).port}`;
};

const runAttempt = async (
  t: ava.ExecutionContext,
  kind: 'chat' | 'call',
  blockedMs: number,
): Promise<Outcome> => {
  const address = await startUpstream(t, blockedMs);
  const pools = connectionPools.makeConnectionPools(LOCAL, inputBarrier.makeInputBarrier());
  t.teardown(() => pools.close());
  return new Promise((resolve) => {
    STARTS[kind](pools, address, resolve);
  });
};

(['chat', 'call'] as const).forEach((kind) => {
  test.serial(`the answer to a ${kind} that arrives in time is taken`, async (t) => {
    t.is(await runAttempt(t, kind, 0), 'answered');
  });

  test.serial(
    `the answer to a ${kind} that arrived in time is not given up because the event loop was blocked`,
    async (t) => {
      t.is(await runAttempt(t, kind, BLOCKED_MS), 'answered');
    },
  );
});

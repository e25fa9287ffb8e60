import type * as ava from 'ava';
import test from 'ava';
import * as platform from '@jayrock/platform';
import * as standIns from '@jayrock/stand-ins';
import * as routedSite from './routedSite.js';
import * as threadCaller from './threadCaller.js';

const H = platform.wire.HEADERS;
/** Time for which the event loop is blocked, in milliseconds. */
const BLOCKED_MS = 300;
/** Time in which a request would have reached an upstream, in milliseconds. */
const SETTLED_MS = 200;

const renderRequest = (id: string, path: string, deadlineMs = 1_500): string =>
  [
    `GET ${path} HTTP/1.1`,
    `host: ${routedSite.HOST}`,
    `${H.requestId}: ${id}`,
    `${H.deadlineMs}: ${deadlineMs}`,
    `${H.key}: ${routedSite.KEY}`,
    `${H.model}: *`,
    `${H.tokens}: 100,100`,
    '',
    '',
  ].join('\r\n');

const renderRequests = (count: number, path: string): readonly string[] =>
  Array.from({ length: count }, (_, index) => renderRequest(`gone-${index}`, path));

const countArrived = (site: routedSite.RoutedSite): number =>
  site.upstreams.flatMap((upstream) => upstream.arrived).filter((id) => id.startsWith('gone-'))
    .length;

const startSite = async (
  t: ava.ExecutionContext,
  ip: string,
): Promise<{
  readonly site: routedSite.RoutedSite;
  readonly caller: threadCaller.ThreadCaller;
}> => {
  const site = await routedSite.startRoutedSite(ip);
  const caller = await threadCaller.startThreadCaller(site.callers);
  t.teardown(async () => {
    await caller.close();
    await site.close();
  });
  return { site, caller };
};

const PATHS = ['/read/', '/issue/', '/talk/', '/sized/', '/open/'] as const;

test.serial(
  'requests on open connections whose callers left while the event loop was blocked are not sent on',
  async (t) => {
    const { site, caller } = await startSite(t, '127.0.22.1');
    for (const path of PATHS) {
      // eslint-disable-next-line no-await-in-loop -- one kind of route after the other
      await caller.connect(4);
      caller.sendAndLeave(renderRequests(4, path), BLOCKED_MS / 4);
      threadCaller.blockEventLoop(BLOCKED_MS);
      // eslint-disable-next-line no-await-in-loop -- the same
      await standIns.control.wait(SETTLED_MS);
      t.is(countArrived(site), 0, path);
    }
  },
);

test.serial(
  'requests on new connections whose callers left while the event loop was blocked are not sent on',
  async (t) => {
    const { site, caller } = await startSite(t, '127.0.22.2');
    for (const path of PATHS) {
      caller.sendAndLeave(renderRequests(20, path), BLOCKED_MS / 2);
      threadCaller.blockEventLoop(BLOCKED_MS);
      // eslint-disable-next-line no-await-in-loop -- one kind of route after the other
      await standIns.control.wait(SETTLED_MS);
      t.is(countArrived(site), 0, path);
    }
  },
);

test.serial(
  'a request that lay unread past its route time-out is refused and not sent on',
  async (t) => {
    const { site, caller } = await startSite(t, '127.0.22.3');
    await caller.connect(1);
    caller.sendAndLeave([renderRequest('gone-0', '/brief/')], BLOCKED_MS * 3);
    threadCaller.blockEventLoop(BLOCKED_MS);
    await standIns.control.wait(SETTLED_MS);
    t.is(countArrived(site), 0);
  },
);

test.serial(
  'the time for which a request lay unread is taken off the deadline that is handed on',
  async (t) => {
    const { site, caller } = await startSite(t, '127.0.22.4');
    await caller.connect(1);
    caller.sendAndLeave([renderRequest('gone-0', '/read/', 1_500)], BLOCKED_MS * 3);
    threadCaller.blockEventLoop(BLOCKED_MS);
    await standIns.control.wait(SETTLED_MS);
    const received = site.upstreams
      .flatMap((upstream) => upstream.received)
      .find(({ id }) => id === 'gone-0');
    t.true(Number(received?.headers[H.deadlineMs]) <= 1_500 - BLOCKED_MS);
  },
);

/** Sends one request to hanging upstreams; they answer, and then the caller leaves, while the event loop is blocked. */
const answerAndLeave = async (
  site: routedSite.RoutedSite,
  caller: threadCaller.ThreadCaller,
  path: string,
  status: number,
): Promise<void> => {
  // Leaves an idle connection to each upstream, so that nothing delays a second send.
  await Promise.all(
    Array.from({ length: 8 }, (_, index) => site.call({ path: '/read/', id: `first-${index}` })),
  );
  site.upstreams.forEach((upstream) => {
    upstream.behaviour = { kind: 'hang' };
    upstream.confidence = 0;
  });
  await caller.connect(1);
  caller.sendAndLeave([renderRequest('gone-0', path)], SETTLED_MS * 10);
  await standIns.control.wait(SETTLED_MS);
  site.upstreams.forEach((upstream) => upstream.answerHeld({ kind: 'head', status }));
  caller.leave();
  threadCaller.blockEventLoop(BLOCKED_MS);
  await standIns.control.wait(SETTLED_MS);
};

test.serial(
  'an answer of low confidence is not replaced for a caller that left in the same turn',
  async (t) => {
    const { site, caller } = await startSite(t, '127.0.22.5');
    await answerAndLeave(site, caller, '/sized/', 200);
    t.is(countArrived(site), 1);
  },
);

test.serial('a failed answer is not retried for a caller that left in the same turn', async (t) => {
  const { site, caller } = await startSite(t, '127.0.22.6');
  await answerAndLeave(site, caller, '/read/', 500);
  t.is(countArrived(site), 1);
});

/** Calls hanging upstreams, which answer after a time while the event loop is blocked until the time-out has passed. */
const answerWhileBlocked = async (
  site: routedSite.RoutedSite,
  path: string,
  answerAfterMs: number,
): Promise<routedSite.CallResponse> => {
  site.upstreams.forEach((upstream) => {
    upstream.behaviour = { kind: 'hang' };
  });
  const response = site.call({ path, id: 'gone-0' });
  await standIns.control.wait(answerAfterMs);
  // Timers run before the next poll only if the loop is blocked after its timers.
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
  site.upstreams.forEach((upstream) => upstream.answerHeld({ kind: 'head', status: 200 }));
  threadCaller.blockEventLoop(BLOCKED_MS);
  return response;
};

test.serial(
  'an answer that arrived in time is not replaced because the event loop was blocked',
  async (t) => {
    const { site } = await startSite(t, '127.0.22.7');
    // The upstream of this route counts as silent after 1,000 ms.
    t.is((await answerWhileBlocked(site, '/read/', 850)).status, 200);
    t.is(countArrived(site), 1);
  },
);

test.serial(
  'an answer that arrived before the route time-out is given, although the event loop was blocked',
  async (t) => {
    const { site } = await startSite(t, '127.0.22.8');
    // The time-out of this route is 200 ms.
    t.is((await answerWhileBlocked(site, '/brief/', 50)).status, 200);
  },
);

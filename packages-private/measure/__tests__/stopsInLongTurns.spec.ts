import type * as ava from 'ava';
import test from 'ava';
import * as platform from '@jayrock/platform';
import * as standIns from '@jayrock/stand-ins';
import * as routedSite from './routedSite.js';
import * as threadCaller from './threadCaller.js';

const H = platform.wire.HEADERS;
/** Grace period of the router, after which its process is killed, in milliseconds. */
const GRACE_MS = 6_000;
/** Length of the turns of its event loop, in milliseconds. */
const TURN_MS = 450;
/** Time between two of these turns, in milliseconds. */
const PAUSE_MS = 100;
/** Time before the end of the grace period at which one of these turns begins, in milliseconds. */
const LAST_TURN_MS = 340;
const REQUESTS = 6;

const renderRequest = (id: string, url: string): string =>
  [
    `POST ${url} HTTP/1.1`,
    `host: ${routedSite.HOST}`,
    `${H.requestId}: ${id}`,
    `${H.deadlineMs}: 20000`,
    `${H.key}: ${routedSite.KEY}`,
    'content-length: 0',
    '',
    '',
  ].join('\r\n');

const startSite = async (t: ava.ExecutionContext, ip: string): Promise<routedSite.RoutedSite> => {
  const site = await routedSite.startRoutedSite(ip, 1, {
    graceMs: GRACE_MS,
    revocationMs: 60_000,
  });
  t.teardown(site.close);
  site.store.put(
    platform.wire.KEYS.configuration,
    routedSite.makeConfiguration(2, {
      routes: [
        routedSite.makeRoute('open', 'safe', { public: true }),
        routedSite.makeRoute('long', 'unsafe', { timeout_ms: 20_000, target_latency_ms: 8_000 }),
      ],
    }),
  );
  await standIns.control.waitUntil(async () => {
    const { status } = await site.call({ path: '/long/', id: 'first' });
    return status === 200;
  });
  site.upstreams.forEach((upstream) => {
    upstream.behaviour = { kind: 'hang' };
  });
  return site;
};

/** Blocks the event loop again and again, so that a turn begins at a time after now, in milliseconds. */
const blockLoopUntil = async (lastAtMs: number): Promise<void> => {
  const endAtMs = performance.now() + lastAtMs;
  const count = Math.floor(lastAtMs / (TURN_MS + PAUSE_MS));
  for (let left = count; left >= 0; left -= 1) {
    const atMs = endAtMs - left * (TURN_MS + PAUSE_MS);
    // eslint-disable-next-line no-await-in-loop -- one turn after the other
    await standIns.control.wait(Math.max(0, atMs - performance.now()));
    threadCaller.blockEventLoop(TURN_MS);
  }
};

test.serial(
  'a stopping router whose turns are long answers its last requests before its grace period ends',
  async (t) => {
    const site = await startSite(t, '127.0.62.1');
    const caller = await threadCaller.startThreadCaller(site.callers);
    t.teardown(caller.close);
    await caller.connect(REQUESTS);
    caller.send(
      Array.from({ length: REQUESTS }, (_, index) => renderRequest(`last-${index}`, '/long/')),
    );
    await standIns.control.waitUntil(() =>
      site.upstreams.every((upstream) => upstream.countOpen() === REQUESTS),
    );
    const stopped = site.running.stop();
    const answers = caller.takeAnswers(GRACE_MS);
    await blockLoopUntil(GRACE_MS - LAST_TURN_MS);
    (await answers).forEach((answer) => t.regex(answer, /^HTTP\/1\.1 504 /));
    await stopped;
  },
);

import type * as ava from 'ava';
import test from 'ava';
import * as platform from '@jayrock/platform';
import * as standIns from '@jayrock/stand-ins';
import * as routedSite from './routedSite.js';
import * as threadCaller from './threadCaller.js';

const H = platform.wire.HEADERS;
/** Connections that arrive first, one of which is accepted in each turn. */
const EARLIER = 50;
/** Length of these turns, in milliseconds. */
const TURN_MS = 20;
/** Time after which the connection with the request arrives, in milliseconds. */
const LATER_MS = 900;
/** Time-out of the route, in milliseconds. */
const TIMEOUT_MS = 2_000;
/** Time after the request was sent at which its answer ends, in milliseconds. */
const ANSWER_MS = 1_800;

const startSite = async (t: ava.ExecutionContext, ip: string): Promise<routedSite.RoutedSite> => {
  const site = await routedSite.startRoutedSite(ip, 1);
  t.teardown(site.close);
  const talk = routedSite.makeRoute('talk', 'streaming', {
    timeout_ms: TIMEOUT_MS,
    gap_target_ms: TIMEOUT_MS,
  });
  site.store.put(
    platform.wire.KEYS.configuration,
    routedSite.makeConfiguration(2, { routes: [talk] }),
  );
  await standIns.control.waitUntil(async () => {
    const { status } = await site.call({ path: '/open/', id: 'first' });
    return status === 404;
  });
  return site;
};

const startCaller = async (
  t: ava.ExecutionContext,
  address: string,
): Promise<threadCaller.ThreadCaller> => {
  const caller = await threadCaller.startThreadCaller(address);
  t.teardown(caller.close);
  return caller;
};

/** Makes each turn of the event loop long for a time in milliseconds. */
const blockTurns = (durationMs: number): void => {
  const endAtMs = performance.now() + durationMs;
  const block = (): void => {
    threadCaller.blockEventLoop(TURN_MS);
    if (performance.now() < endAtMs) {
      setImmediate(block);
    }
  };
  block();
};

const renderChunk = (text: string): string =>
  `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`;

test.serial(
  'an answer that has begun is not cut before its time-out has passed since the request was sent',
  async (t) => {
    const site = await startSite(t, '127.0.63.1');
    const earlier = await startCaller(t, site.callers);
    const caller = await startCaller(t, site.callers);
    let sentAtMs = Infinity;
    site.upstreams.forEach((upstream) => {
      upstream.behaviour = {
        kind: 'raw',
        write: (socket, _, stamps) => {
          socket.write(
            `HTTP/1.1 200 OK\r\n${stamps}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n`,
          );
          socket.write(renderChunk('id: 1\ndata: a\n\n'));
          setTimeout(
            () => socket.write(`${renderChunk('id: 2\ndata: b\n\n')}0\r\n\r\n`),
            sentAtMs + ANSWER_MS - performance.now(),
          );
        },
      };
    });
    blockTurns(LATER_MS + 300);
    const connected = earlier.connect(EARLIER);
    await standIns.control.wait(LATER_MS);
    sentAtMs = performance.now();
    caller.send([
      [
        'GET /talk/ HTTP/1.1',
        `host: ${routedSite.HOST}`,
        `${H.requestId}: late`,
        `${H.deadlineMs}: 20000`,
        `${H.key}: ${routedSite.KEY}`,
        '',
        '',
      ].join('\r\n'),
    ]);
    const [answer] = await caller.takeAnswers(TIMEOUT_MS + 500);
    await connected;
    t.regex(answer ?? '', /^HTTP\/1\.1 200 /);
    t.true(answer?.endsWith('0\r\n\r\n'), answer);
  },
);

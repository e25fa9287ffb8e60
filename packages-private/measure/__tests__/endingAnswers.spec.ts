import * as net from 'node:net';
import type * as ava from 'ava';
import test from 'ava';
import * as platform from '@jayrock/platform';
import * as standIns from '@jayrock/stand-ins';
import * as routedSite from './routedSite.js';
import * as threadCaller from './threadCaller.js';

const H = platform.wire.HEADERS;

/** Time for which the event loop is blocked, in milliseconds. */
const BLOCKED_MS = 100;
/** Pause between the parts of an answer, in milliseconds. */
const PAUSE_MS = 20;

type RawWrite = Extract<standIns.routedUpstream.Behaviour, { kind: 'raw' }>['write'];

/** Ends of an answer without a length; those by a reset are not complete. */
const ENDS: Readonly<Record<string, (socket: net.Socket, rest: string) => void>> = {
  close: (socket, rest) => socket.end(rest),
  reset: (socket, rest) => {
    socket.write(rest);
    socket.resetAndDestroy();
  },
  'reset later': (socket, rest) => {
    socket.write(rest);
    setTimeout(() => socket.resetAndDestroy(), PAUSE_MS);
  },
};
const RESETS = ['reset', 'reset later'] as const;

const PLAIN_BODY = 'first part, second part';
const EVENTS = 6;
const STREAM_BODY = standIns.routedUpstream.renderStream(EVENTS);
/** Ends of a stream that lies within its last event. */
const FRAGMENTS = ['id', 'id: 4', 'id: 4\n', 'id: 4\nda', 'id: 4\ndata: piece 4\n'] as const;
const WHOLE_EVENTS = 3;

const makeHead = (stamps: string, framing = ''): string =>
  `HTTP/1.1 200 OK\r\n${stamps}${framing}\r\n`;

const renderFrom = (received: standIns.routedUpstream.ReceivedRequest, events: number): string =>
  standIns.routedUpstream
    .renderStream(events)
    .slice(
      standIns.routedUpstream.renderStream(Number(received.headers[H.lastEventId] ?? 0)).length,
    );

const makeChunk = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`;

const setRaw = (site: routedSite.RoutedSite, write: RawWrite): void =>
  site.upstreams.forEach((upstream) => {
    upstream.behaviour = { kind: 'raw', write };
  });

const countReceived = (site: routedSite.RoutedSite, id: string): number =>
  site.upstreams.flatMap(({ received }) => received).filter((request) => request.id === id).length;

/** Lets the first attempt of each request fail, and the others succeed. */
const failFirst =
  (site: routedSite.RoutedSite, broken: RawWrite, sound: RawWrite): RawWrite =>
  (socket, received, stamps) =>
    (countReceived(site, received.id) === 1 ? broken : sound)(socket, received, stamps);

const startSite = async (
  t: ava.ExecutionContext,
  ip: string,
  upstreamCount = 2,
): Promise<routedSite.RoutedSite> => {
  const site = await routedSite.startRoutedSite(ip, upstreamCount);
  t.teardown(site.close);
  return site;
};

const makeCall = (path: string, id: string): routedSite.Call => ({
  path,
  id,
  method: 'POST',
  body: 'b',
});

const PLAIN_PATHS = ['/read/', '/issue/'] as const;
const STREAM_PATHS = ['/talk/', '/once/'] as const;

/** Answers in two parts, without a length; an attempt to resume gets the rest. */
const answerInParts =
  (body: (received: standIns.routedUpstream.ReceivedRequest) => string, end: string): RawWrite =>
  (socket, received, stamps) => {
    const text = body(received);
    const middle = Math.floor(text.length / 2);
    socket.write(makeHead(stamps) + text.slice(0, middle));
    setTimeout(() => ENDS[end]?.(socket, text.slice(middle)), PAUSE_MS);
  };

test('an answer without a length that ends with its connection is passed on whole and sent once', async (t) => {
  const site = await startSite(t, '127.0.26.1');
  for (const path of [...PLAIN_PATHS, ...STREAM_PATHS]) {
    const body = STREAM_PATHS.some((item) => item === path) ? STREAM_BODY : PLAIN_BODY;
    setRaw(
      site,
      answerInParts(() => body, 'close'),
    );
    // eslint-disable-next-line no-await-in-loop -- one kind of route after the other
    const response = await site.call(makeCall(path, path));
    t.is(response.status, 200, path);
    t.is(response.body, body, path);
    t.true(response.isWhole, path);
    t.is(countReceived(site, path), 1, path);
  }
});

test('a plain answer without a length that is reset is repeated if that is allowed, and never passed on', async (t) => {
  const site = await startSite(t, '127.0.26.2', 3);
  for (const end of RESETS) {
    const broken = answerInParts(() => 'never to be seen', end);
    setRaw(
      site,
      failFirst(
        site,
        broken,
        answerInParts(() => PLAIN_BODY, 'close'),
      ),
    );
    // eslint-disable-next-line no-await-in-loop -- one end after the other
    const read = await site.call(makeCall('/read/', `read ${end}`));
    t.is(countReceived(site, `read ${end}`), 2, end);
    t.is(read.body, PLAIN_BODY, end);
    t.true(read.isWhole, end);
    setRaw(site, broken);
    // eslint-disable-next-line no-await-in-loop -- one end after the other
    const issued = await site.call(makeCall('/issue/', `issue ${end}`));
    t.is(issued.status, 502, end);
    t.is(issued.headers[H.stamp], undefined, end);
    t.is(countReceived(site, `issue ${end}`), 1, end);
  }
});

test('a stream without chunks that is reset after an event is resumed if that is allowed, and never looks complete', async (t) => {
  const site = await startSite(t, '127.0.26.3');
  for (const end of RESETS) {
    const broken = answerInParts((received) => renderFrom(received, WHOLE_EVENTS), end);
    const sound = answerInParts((received) => renderFrom(received, EVENTS), 'close');
    setRaw(site, failFirst(site, broken, sound));
    const ids = ['a', 'b', 'c', 'd'].map((name) => `${name} ${end}`);
    // eslint-disable-next-line no-await-in-loop -- one end after the other
    const talks = await Promise.all(ids.map((id) => site.call(makeCall('/talk/', id))));
    talks.forEach((talk) => {
      t.is(talk.body, STREAM_BODY, end);
      t.true(talk.isWhole, end);
    });
    ids.forEach((id) => t.is(countReceived(site, id), 2, id));
    setRaw(
      site,
      answerInParts(() => STREAM_BODY, end),
    );
    // eslint-disable-next-line no-await-in-loop -- one end after the other
    const once = await site.call(makeCall('/once/', `once ${end}`)).catch(() => null);
    t.not(once?.isWhole === true && once.status === 200, true, end);
    t.is(countReceived(site, `once ${end}`), 1, end);
  }
});

type WriteBody = (socket: net.Socket, stamps: string, body: string) => void;

const CHUNKED = 'transfer-encoding: chunked\r\nconnection: close\r\n';
const endUnframed: WriteBody = (socket, stamps, body) => socket.end(makeHead(stamps) + body);
const endChunked: WriteBody = (socket, stamps, body) =>
  socket.end(`${makeHead(stamps, CHUNKED)}${makeChunk(body)}${makeChunk('')}`);
const endWithinChunk: WriteBody = (socket, stamps, body) =>
  socket.end(`${makeHead(stamps, CHUNKED)}ffff\r\n${body}`);

/** Streams that a server has broken off, by name. */
const BROKEN_STREAMS: readonly (readonly [string, WriteBody])[] = [
  ...FRAGMENTS.flatMap((fragment, index): readonly (readonly [string, WriteBody])[] => [
    [`unframed ${index}`, (socket, stamps, body) => endUnframed(socket, stamps, body + fragment)],
    [`chunked ${index}`, (socket, stamps, body) => endChunked(socket, stamps, body + fragment)],
  ]),
  ['within a chunk', endWithinChunk],
];

test('a stream that ends within an event or a chunk has been broken off: it is resumed if that is allowed, and never looks complete', async (t) => {
  const site = await startSite(t, '127.0.26.4');
  for (const [name, breakOff] of BROKEN_STREAMS) {
    const broken: RawWrite = (socket, received, stamps) =>
      breakOff(socket, stamps, renderFrom(received, WHOLE_EVENTS));
    const sound: RawWrite = (socket, received, stamps) =>
      endUnframed(socket, stamps, renderFrom(received, EVENTS));
    setRaw(site, failFirst(site, broken, sound));
    const ids = ['a', 'b', 'c', 'd'].map((id) => `${id} ${name}`);
    // eslint-disable-next-line no-await-in-loop -- one end after the other
    const talks = await Promise.all(ids.map((id) => site.call(makeCall('/talk/', id))));
    talks.forEach((talk) => {
      t.is(talk.body, STREAM_BODY, name);
      t.true(talk.isWhole, name);
    });
    ids.forEach((id) => t.is(countReceived(site, id), 2, id));
    setRaw(site, broken);
    // eslint-disable-next-line no-await-in-loop -- one end after the other
    const once = await site.call(makeCall('/once/', `once ${name}`));
    t.false(once.isWhole, name);
    t.is(countReceived(site, `once ${name}`), 1, name);
  }
});

test('the connection of an answer without a length is not used again', async (t) => {
  const site = await startSite(t, '127.0.26.5', 1);
  const sockets = new Set<net.Socket>();
  setRaw(site, (socket, _, stamps) => {
    sockets.add(socket);
    socket.write(`${makeHead(stamps, 'connection: keep-alive\r\n')}${PLAIN_BODY}`);
    setTimeout(() => socket.end(), PAUSE_MS);
  });
  const ids = ['q1', 'q2', 'q3', 'q4', 'q5'];
  for (const id of ids) {
    // eslint-disable-next-line no-await-in-loop -- each answer ends before the next request
    const response = await site.call(makeCall('/issue/', id));
    t.is(response.body, PLAIN_BODY, id);
    t.is(countReceived(site, id), 1, id);
  }
  t.is(sockets.size, ids.length);
});

/** Holds unframed answers, then ends them all in one turn, and blocks the event loop before any end is read. */
const endTogether = async (
  site: routedSite.RoutedSite,
  calls: readonly routedSite.Call[],
  parts: { readonly begin: string; readonly rest: string },
  endOf: (id: string) => string,
): Promise<readonly (routedSite.CallResponse | null)[]> => {
  const open: { readonly id: string; readonly socket: net.Socket; readonly head: string }[] = [];
  setRaw(site, (socket, { id }, stamps) => {
    const head = makeHead(stamps) + parts.begin;
    if (parts.begin !== '') {
      socket.write(head);
    }
    open.push({ id, socket, head: parts.begin === '' ? head : '' });
  });
  const responses = Promise.all(calls.map((call) => site.call(call).catch(() => null)));
  await standIns.control.waitUntil(() => open.length === calls.length);
  await standIns.control.wait(PAUSE_MS);
  open.forEach(({ id, socket, head }) => ENDS[endOf(id)]?.(socket, head + parts.rest));
  threadCaller.blockEventLoop(BLOCKED_MS);
  return responses;
};

const PARTS_OF_ANSWERS = [
  { begin: 'first part', rest: ', second part' },
  { begin: 'whole', rest: '' },
  { begin: '', rest: 'whole' },
  { begin: '', rest: 'x'.repeat(1_000_000) },
] as const;

PARTS_OF_ANSWERS.forEach((parts, index) =>
  test.serial(
    `answers that close and answers that are reset in one turn are told apart, also after a long turn (${index})`,
    async (t) => {
      const site = await startSite(t, `127.0.26.${20 + index}`);
      const ids = Array.from({ length: 12 }, (_, number) => `q${number}`);
      const endOf = (id: string): string =>
        Math.floor(Number(id.slice(1)) / 2) % 2 === 0 ? 'close' : 'reset';
      const calls = ids.map((id) => makeCall('/issue/', id));
      const responses = await endTogether(site, calls, parts, endOf);
      responses.forEach((response, number) => {
        const id = ids[number] ?? '';
        if (endOf(id) === 'close') {
          t.is(response?.status, 200, id);
          t.is(response?.body, parts.begin + parts.rest, id);
        } else {
          t.is(response?.status, 502, id);
        }
        t.is(countReceived(site, id), 1, id);
      });
    },
  ),
);

test.serial(
  'streams that close and streams that are reset in one turn are told apart',
  async (t) => {
    const site = await startSite(t, '127.0.26.30');
    const ids = Array.from({ length: 12 }, (_, number) => `q${number}`);
    const endOf = (id: string): string => (Number(id.slice(1)) % 3 === 1 ? 'reset' : 'close');
    const responses = await endTogether(
      site,
      ids.map((id) => makeCall('/once/', id)),
      { begin: STREAM_BODY, rest: '' },
      endOf,
    );
    responses.forEach((response, number) => {
      const id = ids[number] ?? '';
      t.is(response?.isWhole === true, endOf(id) === 'close', id);
      t.is(countReceived(site, id), 1, id);
    });
  },
);

test('a crash that ends a stream without chunks within an event counts as a crash', async (t) => {
  const site = await startSite(t, '127.0.26.6', 4);
  site.upstreams.forEach((upstream) => {
    upstream.behaviour = {
      kind: 'raw',
      write: (socket, received, stamps) => {
        socket.write(`${makeHead(stamps)}${renderFrom(received, WHOLE_EVENTS)}id: 4\nda`);
        upstream.crash('close');
      },
    };
  });
  for (const id of ['q1', 'q2', 'q3']) {
    // eslint-disable-next-line no-await-in-loop -- each crash follows the one before
    const response = await site.call(makeCall('/once/', id));
    t.false(response.isWhole, id);
    // eslint-disable-next-line no-await-in-loop -- the router checks the crash meanwhile
    await standIns.control.wait(100);
  }
  t.is((await site.call(makeCall('/once/', 'q4'))).status, 503);
  t.is(countReceived(site, 'q4'), 0);
});

/** Size of a body that no socket takes at once, in bytes. */
const LARGE_BODY_BYTES = 20_000_000;
/** Timeout of a request with such a body, in milliseconds: these tests are about how its answer ends. */
const LARGE_BODY_TIMEOUT_MS = 20_000;
/** Size of a body that is too large until the configuration changes, in bytes. */
const SMALL_BODY_BYTES = 20_000;
const TOO_LARGE_STATUS = 413;

/** Starts an upstream that answers without a length before it has read the body, and reads no more of it. */
const startEarlyUpstream = async (
  t: ava.ExecutionContext,
  end: (socket: net.Socket, rest: string) => void,
): Promise<string> => {
  const sockets = new Set<net.Socket>();
  const server = net.createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.once('data', (bytes) => {
      socket.pause();
      const [, id] = new RegExp(`${H.requestId}: (\\S+)`, 'i').exec(bytes.toString('latin1')) ?? [];
      socket.write(makeHead(`${H.requestId}: ${id}\r\n${H.stamp}: of-early\r\n`) + PLAIN_BODY);
      setTimeout(() => end(socket, PLAIN_BODY), PAUSE_MS);
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', () => resolve());
  });
  t.teardown(() => {
    sockets.forEach((socket) => socket.destroy());
    server.close();
  });
  const { port } = server.address() as net.AddressInfo;
  return `127.0.0.1:${port}`;
};

/** Ends of an answer whose request is still being sent, and the status that the caller gets. */
const EARLY_ENDS = [
  ['is complete when the upstream ends it', (socket, rest) => socket.end(rest), 200],
  ['is not complete when it is reset', (socket, rest) => ENDS.reset?.(socket, rest), 502],
  [
    'is not complete when its process ends',
    (socket, rest) => {
      socket.write(rest);
      // The rest of the request is unread, so that the system resets the connection.
      socket.destroy();
    },
    502,
  ],
] as const satisfies readonly (readonly [
  string,
  (socket: net.Socket, rest: string) => void,
  number,
])[];

// One at a time, before the other tests of this file: a large body keeps the event loop that they share busy.
EARLY_ENDS.forEach(([name, end, status], index) =>
  test.serial(
    `an answer without a length that begins before its request is sent ${name}`,
    async (t) => {
      const site = await startSite(t, `127.0.26.${40 + index}`, 1);
      const address = await startEarlyUpstream(t, end);
      const { limits } = routedSite.makeConfiguration(1) as { readonly limits: object };
      site.store.put(
        platform.wire.KEYS.configuration,
        routedSite.makeConfiguration(2, {
          limits: { ...limits, max_body_bytes: LARGE_BODY_BYTES },
          routes: [
            routedSite.makeRoute('issue', 'unsafe', {
              max_attempts: 2,
              timeout_ms: LARGE_BODY_TIMEOUT_MS,
            }),
          ],
        }),
      );
      site.registerUpstream(0, { address, sequence: 2 });
      const isKnown = async (): Promise<boolean> => {
        const { status: first, body } = await site.call({
          ...makeCall('/issue/', 'first'),
          body: 'b'.repeat(SMALL_BODY_BYTES),
        });
        return first !== TOO_LARGE_STATUS && !body.startsWith('from');
      };
      await standIns.control.waitUntil(isKnown);
      const response = await site.call({
        ...makeCall('/issue/', 'q1'),
        body: 'b'.repeat(LARGE_BODY_BYTES),
        headers: { [H.deadlineMs]: String(LARGE_BODY_TIMEOUT_MS) },
      });
      t.is(response.status, status, response.body.slice(0, 200));
      t.is(response.body === PLAIN_BODY + PLAIN_BODY, status === 200);
    },
  ),
);

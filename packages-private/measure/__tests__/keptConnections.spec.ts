import * as net from 'node:net';
import type * as ava from 'ava';
import test from 'ava';
import * as platform from '@jayrock/platform';
import * as shared from '@jayrock/shared';
import * as standIns from '@jayrock/stand-ins';
import * as routedSite from './routedSite.js';
import * as threadCaller from './threadCaller.js';

const H = platform.wire.HEADERS;

const startSite = async (
  t: ava.ExecutionContext,
  ip: string,
  upstreamCount = 2,
): Promise<routedSite.RoutedSite> => {
  const site = await routedSite.startRoutedSite(ip, upstreamCount);
  t.teardown(() => site.close());
  return site;
};

const setBehaviour = (
  site: routedSite.RoutedSite,
  behaviour: standIns.routedUpstream.Behaviour,
): void =>
  site.upstreams.forEach((upstream) => {
    upstream.behaviour = behaviour;
  });

const renderRequest = (id: string, path: string, deadlineMs = 15_000): string =>
  [
    `GET ${path} HTTP/1.1`,
    `host: ${routedSite.HOST}`,
    `${H.requestId}: ${id}`,
    `${H.deadlineMs}: ${deadlineMs}`,
    `${H.key}: ${routedSite.KEY}`,
    '',
    '',
  ].join('\r\n');

/** A caller with one connection that stays open. */
interface KeptCaller {
  readonly send: (text: string) => void;
  readonly getText: () => string;
  readonly isClosed: () => boolean;
  readonly waitForAnswer: (id: string) => Promise<void>;
  readonly socket: net.Socket;
}

const openKeptCaller = (t: ava.ExecutionContext, address: string): KeptCaller => {
  const socket = net.connect(shared.settings.parseAddress(address));
  let text = '';
  let isClosed = false;
  socket.on('data', (bytes) => {
    text += bytes.toString('latin1');
  });
  socket.on('error', () => undefined);
  socket.on('close', () => {
    isClosed = true;
  });
  t.teardown(() => socket.destroy());
  return {
    socket,
    send: (request) => socket.write(request),
    getText: () => text,
    isClosed: () => isClosed,
    waitForAnswer: (id) =>
      standIns.control.waitUntil(() => isClosed || text.includes(`${H.requestId}: ${id}\r\n`)),
  };
};

const countAnswers = (caller: KeptCaller, id: string): number =>
  caller.getText().split(`${H.requestId}: ${id}\r\n`).length - 1;

test.serial(
  'requests sent at once after each answer are answered, also in blocked turns',
  async (t) => {
    const site = await startSite(t, '127.0.125.1');
    const callers = Array.from({ length: 8 }, () => openKeptCaller(t, site.callers));
    const sendAll = async (caller: KeptCaller, name: number): Promise<void> => {
      for (let index = 0; index < 60; index += 1) {
        const id = `q${name}-${index}`;
        caller.send(renderRequest(id, index % 2 === 0 ? '/read/' : '/issue/'));
        // eslint-disable-next-line no-await-in-loop -- one request after the other
        await caller.waitForAnswer(id);
        t.is(countAnswers(caller, id), 1, id);
        t.false(caller.isClosed());
      }
    };
    const blocks = setInterval(() => threadCaller.blockEventLoop(30), 45);
    await Promise.all(callers.map(sendAll));
    clearInterval(blocks);
  },
);

test.serial('a request that is pipelined behind a long answer is answered', async (t) => {
  const site = await startSite(t, '127.0.125.2');
  setBehaviour(site, { kind: 'answer', status: 200, body: 'x'.repeat(8_000_000) });
  const caller = openKeptCaller(t, site.callers);
  caller.send(renderRequest('q1', '/read/'));
  await caller.waitForAnswer('q1');
  caller.socket.pause();
  setBehaviour(site, { kind: 'answer', status: 200, body: 'short' });
  caller.send(renderRequest('q2', '/issue/'));
  await standIns.control.wait(300);
  caller.socket.resume();
  await caller.waitForAnswer('q2');
  t.is(countAnswers(caller, 'q2'), 1);
  t.false(caller.isClosed());
});

test.serial(
  'the idle time-out of a connection does not end a request that takes longer, also if it changes',
  async (t) => {
    const site = await startSite(t, '127.0.125.3');
    const limits = {
      max_header_bytes: 16_384,
      max_body_bytes: 10_000,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 1,
    };
    const change = { routes: [routedSite.makeRoute('issue', 'unsafe', { timeout_ms: 20_000 })] };
    site.store.put(
      platform.wire.KEYS.configuration,
      routedSite.makeConfiguration(2, { ...change, limits }),
    );
    await standIns.control.wait(300);
    const caller = openKeptCaller(t, site.callers);
    caller.send(renderRequest('q1', '/issue/'));
    await caller.waitForAnswer('q1');
    caller.send(renderRequest('q2', '/issue/'));
    await caller.waitForAnswer('q2');
    t.regex(caller.getText(), /Keep-Alive: timeout=5\r\n/);
    setBehaviour(site, { kind: 'hang' });
    caller.send(renderRequest('q3', '/issue/'));
    await standIns.control.wait(1_000);
    site.store.put(
      platform.wire.KEYS.configuration,
      routedSite.makeConfiguration(3, { ...change, limits: { ...limits, idle_timeout_ms: 9 } }),
    );
    await standIns.control.wait(6_500);
    site.upstreams.forEach((upstream) => upstream.answerHeld({ kind: 'head', status: 200 }));
    await caller.waitForAnswer('q3');
    t.is(countAnswers(caller, 'q3'), 1);
    t.false(caller.isClosed());
  },
);

const CHANGES: Readonly<Record<string, (site: routedSite.RoutedSite) => void>> = {
  'their routes removed': (site) =>
    site.store.put(
      platform.wire.KEYS.configuration,
      routedSite.makeConfiguration(2, {
        routes: [routedSite.makeRoute('open', 'safe', { public: true })],
      }),
    ),
  'their routes moved to another service': (site) =>
    site.store.put(
      platform.wire.KEYS.configuration,
      routedSite.makeConfiguration(2, {
        routes: ['read', 'issue', 'talk'].map((name) =>
          routedSite.makeRoute(name, name === 'talk' ? 'streaming' : 'safe', { service: 'none' }),
        ),
      }),
    ),
  'their key withdrawn': (site) =>
    site.store.put(
      platform.wire.KEYS.configuration,
      routedSite.makeConfiguration(2, { tenants: [{ name: 'ada', keys: ['another'] }] }),
    ),
  'their time-outs shortened': (site) =>
    site.store.put(
      platform.wire.KEYS.configuration,
      routedSite.makeConfiguration(2, {
        routes: ['read', 'issue', 'talk'].map((name) =>
          routedSite.makeRoute(name, name === 'talk' ? 'streaming' : 'safe', { timeout_ms: 50 }),
        ),
      }),
    ),
  'their upstreams draining': (site) =>
    site.upstreams.forEach((_, index) =>
      site.registerUpstream(index, { state: 'draining', sequence: 2 }),
    ),
  'their upstreams removed': (site) =>
    site.upstreams.forEach(({ id }) => site.store.remove(`${platform.wire.KEYS.upstreams}${id}`)),
  'their settings reloaded': (site) => site.reload(),
};

Object.entries(CHANGES).forEach(([name, change], index) => {
  test.serial(`requests in flight are answered completely with ${name}`, async (t) => {
    const site = await startSite(t, `127.0.125.${index + 10}`);
    setBehaviour(site, { kind: 'stream', events: 200 });
    const stream = site.call({
      path: '/talk/',
      id: 'q1',
      method: 'POST',
      body: 'b',
      headers: { [H.deadlineMs]: '15000' },
    });
    await standIns.control.waitUntil(() =>
      site.upstreams.some(({ received }) => received.some(({ id }) => id === 'q1')),
    );
    setBehaviour(site, { kind: 'hang' });
    const plain = openKeptCaller(t, site.callers);
    plain.send(renderRequest('q2', '/issue/'));
    await standIns.control.waitUntil(() =>
      site.upstreams.some(({ received }) => received.some(({ id }) => id === 'q2')),
    );
    change(site);
    await standIns.control.wait(400);
    site.upstreams.forEach((upstream) => upstream.answerHeld({ kind: 'head', status: 200 }));
    await plain.waitForAnswer('q2');
    t.is(countAnswers(plain, 'q2'), 1);
    t.false(plain.isClosed());
    const response = await stream;
    t.true(response.isWhole);
    t.is(response.body, standIns.routedUpstream.renderStream(200));
  });
});

test.serial('a request whose long body is over the limit gets its refusal', async (t) => {
  const site = await startSite(t, '127.0.125.30');
  const response = await site.call({
    path: '/issue/',
    id: 'q1',
    method: 'POST',
    body: 'x'.repeat(3_000_000),
  });
  t.is(response.status, 413);
});

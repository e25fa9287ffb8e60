import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as http from 'node:http';
import * as module from 'node:module';
import * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import type * as ava from 'ava';
import test from 'ava';
import * as platform from '@jayrock/platform';
import * as shared from '@jayrock/shared';
import * as standIns from '@jayrock/stand-ins';
import * as routedSite from './routedSite.js';
import * as routerSettings from './routerSettings.js';
import * as socketSite from './socketSite.js';
import * as threadCaller from './threadCaller.js';

const H = platform.wire.HEADERS;
/** Grace period of the sites, in milliseconds. */
const GRACE_MS = 6_000;
/** Time after the stop signal at which the listener closes, in milliseconds. */
const REMOVAL_MS = 3_000;
/** Size of an answer that no socket buffer holds, in bytes. */
const LARGE_BYTES = 15_000_000;

const LONG_ROUTES = {
  routes: ['safe', 'unsafe', 'streaming'].map((kind) => ({
    name: kind,
    host: routedSite.HOST,
    prefix: `/${kind}/`,
    kind,
    timeout_ms: 20_000,
    target_latency_ms: 8_000,
    gap_target_ms: 8_000,
    priority: 1,
    service: 'desk',
    max_attempts: 2,
    public: false,
    resumable: kind === 'streaming',
  })),
};

const startSite = async (
  t: ava.ExecutionContext,
  ip: string,
  upstreamCount = 1,
): Promise<routedSite.RoutedSite> => {
  const site = await routedSite.startRoutedSite(ip, upstreamCount, {
    graceMs: GRACE_MS,
    revocationMs: 60_000,
  });
  t.teardown(site.close);
  return site;
};

/** Replaces the table by one whose routes keep a request waiting for longer than a stop takes. */
const adoptLongRoutes = async (site: routedSite.RoutedSite): Promise<void> => {
  const { routes } = routedSite.makeConfiguration(2) as { readonly routes: readonly object[] };
  site.store.put(
    platform.wire.KEYS.configuration,
    routedSite.makeConfiguration(2, { routes: [...routes, ...LONG_ROUTES.routes] }),
  );
  await standIns.control.waitUntil(async () => {
    const { status } = await site.call({ path: '/safe/', id: 'first' });
    return status === 200;
  });
};

const LONG_DEADLINE = { [H.deadlineMs]: '20000' };

const countReceived = (site: routedSite.RoutedSite, id: string): number =>
  site.upstreams.flatMap(({ received }) => received).filter((request) => request.id === id).length;

/** A caller that writes bytes as the test gives them. */
interface RawCaller {
  readonly socket: net.Socket;
  readonly getText: () => string;
  readonly closed: Promise<void>;
}

const connectRaw = async (address: string): Promise<RawCaller> => {
  const socket = net.connect(shared.settings.parseAddress(address));
  let text = '';
  socket.on('error', () => undefined);
  socket.on('data', (bytes: Buffer) => {
    text += bytes.toString('latin1');
  });
  const closed = new Promise<void>((resolve) => {
    socket.once('close', () => resolve());
  });
  await new Promise((resolve) => {
    socket.once('connect', resolve);
  });
  return { socket, getText: () => text, closed };
};

const renderHead = (id: string, url: string, bodyBytes = 0): string =>
  [
    `POST ${url} HTTP/1.1`,
    `host: ${routedSite.HOST}`,
    `${H.requestId}: ${id}`,
    `${H.deadlineMs}: 20000`,
    `${H.key}: ${routedSite.KEY}`,
    `content-length: ${bodyBytes}`,
    '',
    '',
  ].join('\r\n');

const getStatus = (answer: string): number => Number(/^HTTP\/1\.1 (\d+) /.exec(answer)?.[1] ?? 0);

/** Returns whether bytes begin with a complete answer. */
const isWholeAnswer = (text: string): boolean => {
  const [head = '', ...rest] = text.split('\r\n\r\n');
  const length = /content-length: (\d+)/i.exec(head)?.[1];
  return length !== undefined
    ? rest.join('\r\n\r\n').length >= Number(length)
    : /transfer-encoding: chunked/i.test(head) && text.endsWith('0\r\n\r\n');
};

test.serial(
  'a stop does not cut the rest of an answer that its caller has not read yet',
  async (t) => {
    const site = await startSite(t, '127.0.47.1');
    const body = 'x'.repeat(LARGE_BYTES);
    site.upstreams.forEach((upstream) => {
      upstream.behaviour = { kind: 'answer', status: 200, body };
    });
    const answer = site.call({ path: '/read/', id: 'large', readAfterMs: REMOVAL_MS + 1_000 });
    await standIns.control.waitUntil(() => countReceived(site, 'large') === 1);
    await standIns.control.wait(300);
    const startedAtMs = performance.now();
    const stopped = site.running.stop();
    const { isWhole, body: received } = await answer;
    t.true(isWhole);
    t.is(received.length, LARGE_BYTES);
    await stopped;
    t.true(performance.now() - startedAtMs < GRACE_MS);
  },
);

test.serial(
  'a stop that is not waiting for an answer does not take its grace period',
  async (t) => {
    const site = await startSite(t, '127.0.47.2');
    await site.call({ path: '/read/', id: 'first' });
    const idle = await connectRaw(site.callers);
    const startedAtMs = performance.now();
    await site.running.stop();
    t.true(performance.now() - startedAtMs < REMOVAL_MS + 500);
    await idle.closed;
  },
);

test.serial('a stop does not wait for calls of other routers', async (t) => {
  const site = await startSite(t, '127.0.47.12');
  const peer = await connectRaw('127.0.47.12:7402');
  peer.socket.write('POST /rpc HTTP/1.1\r\nhost: x\r\ncontent-length: 10\r\n\r\n');
  await standIns.control.wait(50);
  const startedAtMs = performance.now();
  await site.running.stop();
  t.true(performance.now() - startedAtMs < REMOVAL_MS + 500);
});

test.serial('a stop waits for a request whose body is still being read', async (t) => {
  const site = await startSite(t, '127.0.47.3');
  const caller = await connectRaw(site.callers);
  const stopped = site.running.stop();
  await standIns.control.wait(REMOVAL_MS - 200);
  caller.socket.write(`${renderHead('late', '/issue/', 10)}01234`);
  await standIns.control.wait(600);
  caller.socket.write('56789');
  await caller.closed;
  t.true(isWholeAnswer(caller.getText()), caller.getText());
  await stopped;
});

test.serial(
  'requests that lie unread when the listener of a stopping router closes get a complete answer',
  async (t) => {
    const site = await startSite(t, '127.0.47.4');
    const caller = await threadCaller.startThreadCaller(site.callers);
    t.teardown(caller.close);
    await caller.connect(5);
    const stopped = site.running.stop();
    await standIns.control.wait(REMOVAL_MS - 100);
    caller.send(Array.from({ length: 5 }, (_, index) => renderHead(`late-${index}`, '/read/')));
    threadCaller.blockEventLoop(600);
    await stopped;
    const answers = await caller.takeAnswers();
    t.is(answers.length, 5);
    answers.forEach((answer) => t.true(isWholeAnswer(answer), answer));
  },
);

test.serial(
  'requests that wait for their upstreams when the grace period ends get a complete answer',
  async (t) => {
    const site = await startSite(t, '127.0.47.5');
    await adoptLongRoutes(site);
    site.upstreams.forEach((upstream) => {
      upstream.behaviour = { kind: 'hang' };
    });
    // The upstream has eight slots, so some requests are sent and the others wait in the queue.
    const answers = ['safe', 'unsafe', 'streaming'].flatMap((name) =>
      Array.from({ length: 6 }, (_, index) => ({
        id: `${name}-${index}`,
        answer: site
          .call({ path: `/${name}/`, id: `${name}-${index}`, headers: LONG_DEADLINE })
          .catch(() => null),
      })),
    );
    await standIns.control.waitUntil(() => site.upstreams.some(({ countOpen }) => countOpen() > 7));
    const startedAtMs = performance.now();
    await site.running.stop();
    t.true(performance.now() - startedAtMs < GRACE_MS);
    for (const { id, answer } of answers) {
      // eslint-disable-next-line no-await-in-loop -- one answer after the other
      const found = await answer;
      t.true(found?.isWhole, id);
      // Only a request that no upstream has received may be answered as not run.
      t.is(found?.status, countReceived(site, id) === 0 ? 503 : 504, id);
    }
  },
);

test.serial(
  'a connection whose answer began before the stop is closed after it, and not kept',
  async (t) => {
    const site = await startSite(t, '127.0.47.6');
    site.upstreams.forEach((upstream) => {
      upstream.behaviour = { kind: 'stream', events: 800 };
    });
    const caller = await connectRaw(site.callers);
    caller.socket.write(renderHead('stream', '/talk/'));
    await standIns.control.waitUntil(() => caller.getText().includes('event-stream'));
    const startedAtMs = performance.now();
    const stopped = site.running.stop();
    await standIns.control.waitUntil(() => caller.getText().endsWith('0\r\n\r\n'));
    await Promise.all([caller.closed, stopped]);
    t.true(performance.now() - startedAtMs < GRACE_MS);
  },
);

test.serial(
  'a request that follows an answer on the same connection of a stopping router gets an answer',
  async (t) => {
    const site = await startSite(t, '127.0.47.7');
    site.upstreams.forEach((upstream) => {
      upstream.behaviour = { kind: 'stream', events: 800 };
    });
    const callers = await Promise.all(Array.from({ length: 8 }, () => connectRaw(site.callers)));
    callers.forEach(({ socket }, index) => socket.write(renderHead(`s-${index}`, '/talk/')));
    await standIns.control.waitUntil(() =>
      callers.every(({ getText }) => getText().includes('event-stream')),
    );
    const stopped = site.running.stop();
    // Each next request arrives while the answer of the former ends.
    callers.forEach(({ socket, getText }, index) =>
      socket.on('data', () => {
        if (getText().endsWith('0\r\n\r\n')) {
          socket.write(renderHead(`next-${index}`, '/read/'));
        }
      }),
    );
    await stopped;
    await Promise.all(callers.map(({ closed }) => closed));
    callers.forEach(({ getText }, index) => {
      const rest = getText().split('0\r\n\r\n').slice(1).join('');
      t.true(rest === '' || isWholeAnswer(rest), rest);
      t.true(countReceived(site, `next-${index}`) === 0 || getStatus(rest) === 200);
    });
  },
);

test.serial('a stream is not ended as silent because its caller reads slowly', async (t) => {
  const site = await startSite(t, '127.0.47.8');
  const body = Array.from(
    { length: 300 },
    (_, index) => `id: ${index + 1}\ndata: ${'x'.repeat(50_000)}\n\n`,
  ).join('');
  site.upstreams.forEach((upstream) => {
    upstream.behaviour = { kind: 'answer', status: 200, body };
  });
  // The route's gap target is 300 ms.
  const answer = await site.call({
    path: '/talk/',
    id: 'slow',
    readAfterMs: 3_000,
    headers: LONG_DEADLINE,
  });
  t.true(answer.isWhole);
  t.is(answer.body.length, body.length);
  t.is(countReceived(site, 'slow'), 1);
});

/** Sends a call to a plain service through jayrock's own interface, and leaves its answer unread for a time. */
const sendSlowly = (site: socketSite.SocketSite, readAfterMs: number): Promise<number | null> =>
  new Promise((resolve) => {
    const { host, port } = shared.settings.parseAddress(site.address);
    const headers = { 'content-type': 'application/json', authorization: 'Bearer demo-ada' };
    const request = http.request(
      { host, port, method: 'POST', path: '/services/orders/issue', headers },
      (response) => {
        let bytes = 0;
        response.once('error', () => resolve(null));
        response.once('end', () => resolve(bytes));
        setTimeout(
          () =>
            response.on('data', (chunk: Buffer) => {
              bytes += chunk.length;
            }),
          readAfterMs,
        );
      },
    );
    request.once('error', () => resolve(null));
    request.end('{}');
  });

test.serial(
  'a stop of the own interface does not cut the rest of an answer that its caller has not read yet',
  async (t) => {
    const site = await socketSite.startSite('127.0.47.9');
    site.plain.padding = 'x'.repeat(LARGE_BYTES);
    const answer = sendSlowly(site, REMOVAL_MS + 1_000);
    await standIns.control.waitUntil(() => site.plain.runCounts.size === 1);
    await standIns.control.waitUntil(() => site.running.runtime.getState().requests.size === 0);
    const stopped = site.close();
    t.true(Number(await answer) > LARGE_BYTES);
    await stopped;
  },
);

test.serial(
  'a stop of the own interface waits for a request whose body is still being read',
  async (t) => {
    const site = await socketSite.startSite('127.0.47.13');
    const startedAtMs = performance.now();
    const stopped = site.close();
    await standIns.control.wait(REMOVAL_MS - 100);
    const caller = await connectRaw(site.address);
    caller.socket.write(
      [
        'POST /services/orders/issue HTTP/1.1',
        'host: x',
        'authorization: Bearer demo-ada',
        'content-type: application/json',
        'content-length: 12',
        '',
        '{"a":',
      ].join('\r\n'),
    );
    await standIns.control.wait(300);
    caller.socket.write('"bcde"}');
    await caller.closed;
    t.true(isWholeAnswer(caller.getText()), caller.getText());
    t.is(getStatus(caller.getText()), 503);
    await stopped;
    t.true(performance.now() - startedAtMs < REMOVAL_MS + 1_500);
  },
);

const MAIN = path.join(
  path.dirname(module.createRequire(import.meta.url).resolve('@jayrock/router')),
  'main.js',
);

/** Runs a router as a process of its own until it ends by itself. */
const startProcess = (
  t: ava.ExecutionContext,
  settings: object,
): { readonly child: childProcess.ChildProcess; readonly ended: Promise<number | null> } => {
  const dir = fs.mkdtempSync(path.join(os.tmpdir(), 'jayrock-process-'));
  const file = path.join(dir, 'settings.jsonc');
  fs.writeFileSync(file, JSON.stringify(settings));
  const child = childProcess.spawn(process.execPath, [MAIN, '--settings', file], {
    stdio: 'ignore',
  });
  t.teardown(() => {
    child.kill('SIGKILL');
    fs.rmSync(dir, { recursive: true });
  });
  const ended = new Promise<number | null>((resolve) => {
    child.once('exit', (code) => resolve(code));
  });
  return { child, ended };
};

/** Connects to a listener as soon as it is open. */
const connectOnce = async (address: string): Promise<RawCaller> => {
  for (;;) {
    // eslint-disable-next-line no-await-in-loop -- each try follows a pause
    const caller = await Promise.race([
      connectRaw(address),
      standIns.control.wait(20).then(() => null),
    ]);
    if (caller !== null) {
      return caller;
    }
  }
};

test.serial(
  'a request that was read before a router has started gets an answer when the router is stopped',
  async (t) => {
    // A store that accepts connections and never answers keeps the router from starting.
    const sockets: net.Socket[] = [];
    const store = net.createServer((socket) => sockets.push(socket));
    await new Promise<void>((resolve) => {
      store.listen(0, '127.0.0.1', resolve);
    });
    t.teardown(() => {
      store.close();
      sockets.forEach((socket) => socket.destroy());
    });
    const { port } = store.address() as net.AddressInfo;
    const platformSettings = { kind: 'managed', storeAddress: `127.0.0.1:${port}` };
    const settings = routerSettings.makeRouterSettings('127.0.47.10', platformSettings);
    const { child, ended } = startProcess(t, settings);
    const caller = await connectOnce('127.0.47.10:7401');
    caller.socket.write(renderHead('early', '/read/'));
    await standIns.control.wait(20);
    child.kill('SIGTERM');
    await caller.closed;
    t.true(isWholeAnswer(caller.getText()), caller.getText());
    t.is(getStatus(caller.getText()), 503);
    t.is(await ended, 0);
  },
);

test.serial('a second stop signal does not cut the requests in flight', async (t) => {
  const upstream = await standIns.routedUpstream.startRoutedUpstream('u-0');
  t.teardown(upstream.close);
  const dir = fs.mkdtempSync(path.join(os.tmpdir(), 'jayrock-routes-'));
  t.teardown(() => fs.rmSync(dir, { recursive: true }));
  const routesFile = path.join(dir, 'routes.jsonc');
  const targets = [{ service: 'desk' }];
  const route = { name: 'open', host: routedSite.HOST, prefix: '/', kind: 'safe', targets };
  fs.writeFileSync(
    routesFile,
    JSON.stringify({
      version: 1,
      routes: [{ ...route, isPublic: true, timeoutMs: 5_000, targetLatencyMs: 3_000 }],
      services: [{ name: 'desk' }],
    }),
  );
  const upstreams = [{ id: 'u-0', address: upstream.address, zone: 'a', service: 'desk' }];
  const settings = routerSettings.makeRouterSettings('127.0.47.11', {
    kind: 'routes',
    routesFile,
    upstreams,
  });
  const { child, ended } = startProcess(t, settings);
  const caller = await connectOnce('127.0.47.11:7401');
  await standIns.control.wait(300);
  upstream.behaviour = { kind: 'hang' };
  caller.socket.write(renderHead('kept', '/read/'));
  await standIns.control.waitUntil(() => upstream.received.length > 0);
  child.kill('SIGTERM');
  await standIns.control.wait(100);
  child.kill('SIGTERM');
  await standIns.control.wait(100);
  upstream.answerHeld({ kind: 'answer', status: 200, body: 'answered' });
  await caller.closed;
  t.true(caller.getText().endsWith('answered'), caller.getText());
  t.is(await ended, 0);
});

// Answers were cut off at a router that got several signals.
test.serial('a series of signals does not cut the streams in flight', async (t) => {
  const upstream = await standIns.routedUpstream.startRoutedUpstream('u-0');
  t.teardown(upstream.close);
  const store = await standIns.platformStore.startPlatformStore();
  t.teardown(store.close);
  routedSite.writeUpstreamEntry(store, upstream);
  store.put(platform.wire.KEYS.configuration, routedSite.makeConfiguration(1, LONG_ROUTES));
  const settings = routerSettings.makeRouterSettings('127.0.47.12', {
    kind: 'managed',
    storeAddress: store.address,
    bounds: { graceMs: GRACE_MS },
  });
  const { child, ended } = startProcess(t, settings);
  const agent = new http.Agent();
  t.teardown(() => agent.destroy());
  await standIns.control.waitUntil(async () => {
    const call = { path: '/safe/', id: 'first' };
    const { status } = await routedSite
      .sendCall('127.0.47.12:7401', call, agent)
      .catch(() => ({ status: 0 }));
    return status === 200;
  });
  upstream.behaviour = { kind: 'stream', events: 20, pauseMs: 150 };
  const ids = ['begun', 'beginning'];
  const callers = await Promise.all(ids.map(() => connectRaw('127.0.47.12:7401')));
  callers[0]?.socket.write(renderHead('begun', '/streaming/'));
  await standIns.control.waitUntil(() => callers[0]?.getText().includes('piece 1') === true);
  callers[1]?.socket.write(renderHead('beginning', '/streaming/'));
  for (const name of ['SIGTERM', 'SIGHUP', 'SIGINT', 'SIGTERM', 'SIGHUP'] as const) {
    child.kill(name);
    // eslint-disable-next-line no-await-in-loop -- each signal follows a pause
    await standIns.control.wait(100);
  }
  await Promise.all(callers.map(({ closed }) => closed));
  callers.forEach(({ getText }) => {
    const answer = getText();
    t.is(getStatus(answer), 200);
    t.true(isWholeAnswer(answer), answer);
    t.true(answer.includes('piece 20'), answer);
  });
  t.deepEqual(
    ids.map((id) => upstream.received.filter((request) => request.id === id).length),
    [1, 1],
  );
  t.is(await ended, 0);
});

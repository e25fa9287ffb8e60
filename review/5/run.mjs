// One of twelve routers freezes; others, which read the store through it, go on to use a server that leaves.
import * as net from 'node:net';
import * as path from 'node:path';
import { performance } from 'node:perf_hooks';
import { setTimeout } from 'node:timers';
import { setTimeout as wait } from 'node:timers/promises';
// eslint-disable-next-line import-x/extensions -- Node.js needs the extension
import * as lib from './site.mjs';

const DRAIN_MS = 2_000;
const FREEZE_MS = 4_000;
/** Time by which arrivals must exceed the bound to count, in milliseconds: clocks and wake-ups of this script. */
const MARGIN_MS = 50;
const ROUTERS = 12;

/** Passes connections to the store on, and notes which machines watch the list of servers there. */
const startWatchedStore = async (site, target) => {
  const [host, port] = target.split(':');
  const watchers = new Map();
  const sockets = new Set();
  const server = net.createServer((incoming) => {
    const outgoing = net.connect({ host, port: Number(port) });
    [incoming, outgoing].forEach((socket) => {
      sockets.add(socket);
      socket.on('error', () => undefined);
      socket.once('close', () => sockets.delete(socket));
    });
    incoming.on('data', (bytes) => {
      if (/^GET \/v1\/kv-watch\?prefix=servers/.test(bytes.toString('latin1'))) {
        watchers.set(incoming.remoteAddress, performance.now());
      }
      outgoing.write(bytes);
    });
    outgoing.on('data', (bytes) => incoming.write(bytes));
    incoming.once('close', () => outgoing.destroy());
    outgoing.once('close', () => incoming.destroy());
  });
  await new Promise((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  site.closers.push(() => {
    server.close();
    sockets.forEach((socket) => socket.destroy());
  });
  return { address: `127.0.0.1:${server.address().port}`, watchers };
};

const play = async (site) => {
  const store = await site.startStore();
  const ackedAtMs = new Map();
  const arrivals = [];
  const senders = new Map();
  const startDesk = (id) =>
    lib.startServer(site, id, ({ request, response, requestId }) => {
      arrivals.push({ id, requestId, from: request.socket.remoteAddress, atMs: performance.now() });
      if (ackedAtMs.has(id)) {
        response.setHeader('connection', 'close');
      }
      setTimeout(() => response.end(`answer to ${requestId}`), 20);
    });
  const servers = await Promise.all(
    ['i-1', 'i-2', 'i-3', 'i-4', 'i-5', 'i-6', 'i-7', 'i-8'].map(startDesk),
  );
  const added = await startDesk('i-9');
  store.put(
    'op/config',
    lib.makeConfiguration(
      1,
      [{ name: 'desk', kind: 'safe', service: 'desk', timeout_ms: 2_000, target_latency_ms: 400 }],
      ['desk'],
    ),
  );
  const register = (server, change) =>
    lib.registerServer(store, server, 'desk', { slots: 12, ...change });
  servers.forEach((server) => register(server, {}));
  const watched = await startWatchedStore(site, store.address);
  const routers = Array.from({ length: ROUTERS }, (_, index) =>
    site.startRouter(`front-${index + 1}`, index + 1, watched.address),
  );
  await lib.waitFor(
    async () => (await Promise.all(routers.map(({ isReady }) => isReady()))).every(Boolean),
    'all routers ready',
    20_000,
  );
  // The routers learn of each other, and choose those that read the store for the others.
  await wait(12_000);
  const beforeMs = performance.now() - 4_500;
  const readers = routers.filter(({ ip }) => (watched.watchers.get(ip) ?? -Infinity) > beforeMs);
  site.record(`machines that watch the store themselves: ${readers.map(({ name }) => name)}`);
  let count = 0;
  let isOver = false;
  const counts = new Map();
  const runClient = async (router) => {
    while (!isOver) {
      count += 1;
      const id = `c-${count}`;
      senders.set(id, router.name);
      // eslint-disable-next-line no-await-in-loop -- a client sends one request after the other
      const { status } = await lib.send(router.front, {
        id,
        path: '/desk/x',
        headers: { 'X-Deadline-Ms': '2000' },
      });
      counts.set(status, (counts.get(status) ?? 0) + 1);
      // eslint-disable-next-line no-await-in-loop -- with a pause between them
      await wait(80);
    }
  };
  const clients = routers.map(runClient);
  await wait(3_000);
  const [frozen] = readers;
  // A release: a new server starts; a second later an old one drains.
  register(added, {});
  site.record(`the store acknowledged that ${added.id} is ready`);
  await wait(700);
  if (lib.HAS_TROUBLE) {
    frozen.child.kill('SIGSTOP');
    site.record(`${frozen.name} freezes for ${FREEZE_MS} ms`);
  }
  const endsAtMs = performance.now() + FREEZE_MS;
  await wait(300);
  // The one that the routers prefer for such requests.
  const countArrivals = ({ id }) => arrivals.filter((arrival) => arrival.id === id).length;
  const [leaving] = servers.toSorted((a, b) => countArrivals(b) - countArrivals(a));
  register(leaving, { state: 'draining' });
  ackedAtMs.set(leaving.id, performance.now());
  site.record(`the store acknowledged that ${leaving.id} is draining`);
  await wait(endsAtMs - performance.now());
  if (lib.HAS_TROUBLE) {
    frozen.child.kill('SIGCONT');
    site.record(`${frozen.name} goes on`);
  }
  await wait(2_500);
  isOver = true;
  await Promise.all(clients);
  site.record(`requests by status: ${JSON.stringify(Array.from(counts))}`);
  const late = arrivals.filter(
    ({ id, from, atMs }) =>
      from !== frozen.ip && ackedAtMs.has(id) && atMs > ackedAtMs.get(id) + DRAIN_MS + MARGIN_MS,
  );
  late.forEach(({ id, requestId, atMs }) =>
    site.record(
      `DRAIN: ${requestId} reached ${id} from ${senders.get(requestId)} ${Math.round(atMs - ackedAtMs.get(id))} ms after the acknowledgement`,
    ),
  );
  const machines = Array.from(new Set(late.map(({ requestId }) => senders.get(requestId))));
  site.record(
    `requests that reached a draining server too late: ${late.length}, from ${machines.length} machines`,
  );
  return late.length > 0;
};

await lib.runCase(path.join(import.meta.dirname, 'record.txt'), play);

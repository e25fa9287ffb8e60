// The open connections to the store go silent while a service is being replaced; a server that leaves goes on to be used.
import * as path from 'node:path';
import { performance } from 'node:perf_hooks';
import { setTimeout } from 'node:timers';
import { setTimeout as wait } from 'node:timers/promises';
// eslint-disable-next-line import-x/extensions -- Node.js needs the extension
import * as lib from '../lib/site.mjs';

const STABILITY_MS = 3_000;
const DRAIN_MS = 2_000;
/** Time by which arrivals must exceed a bound to count, in milliseconds: clocks and wake-ups of this script. */
const MARGIN_MS = 50;
const ROUTERS = 4;

const play = async (site) => {
  const store = await site.startStore();
  const ackedAtMs = new Map();
  const arrivals = [];
  const sentAtMs = new Map();
  const startDesk = async (id) => {
    const server = await lib.startServer(site, id, ({ response, requestId }) => {
      arrivals.push({ id, requestId, atMs: performance.now() });
      if (ackedAtMs.has(id)) {
        response.setHeader('connection', 'close');
      }
      setTimeout(() => response.end(`answer to ${requestId}`), 20);
    });
    return { ...server, id };
  };
  const servers = await Promise.all(['i-1', 'i-2', 'i-3', 'i-4'].map(startDesk));
  const added = await Promise.all(['i-5', 'i-6'].map(startDesk));
  store.put(
    'op/config',
    lib.makeConfiguration(
      1,
      [{ name: 'desk', kind: 'safe', service: 'desk', timeout_ms: 2_000, target_latency_ms: 400 }],
      ['desk'],
    ),
  );
  const register = (server, change) =>
    lib.registerServer(store, server, 'desk', { slots: 6, ...change });
  servers.forEach((server) => register(server, {}));
  const links = await Promise.all(
    Array.from({ length: ROUTERS }, () => lib.startSilentLink(site, store.address)),
  );
  const routers = links.map(({ address }, index) =>
    site.startRouter(`front-${index + 1}`, index + 1, address),
  );
  await lib.waitFor(
    async () => (await Promise.all(routers.map(({ isReady }) => isReady()))).every(Boolean),
    'all routers ready',
  );
  await wait(3_000);
  let count = 0;
  let isOver = false;
  const counts = new Map();
  const runClient = async (router) => {
    while (!isOver) {
      count += 1;
      const id = `c-${count}`;
      sentAtMs.set(id, performance.now());
      // eslint-disable-next-line no-await-in-loop -- a client sends one request after the other
      const { status } = await lib.send(router.front, {
        id,
        path: '/desk/x',
        headers: { 'X-Deadline-Ms': '2000' },
      });
      counts.set(status, (counts.get(status) ?? 0) + 1);
      // eslint-disable-next-line no-await-in-loop -- with a pause between them
      await wait(60);
    }
  };
  const clients = routers.flatMap((router) => [runClient(router), runClient(router)]);
  await wait(3_000);
  const drain = (server) => {
    register(server, { state: 'draining' });
    ackedAtMs.set(server.id, performance.now());
    site.record(`the store acknowledged that ${server.id} is draining`);
  };
  // A release: twice, a second apart, a new server starts and an old one drains.
  const replace = (index) => {
    register(added[index], {});
    site.record(`the store acknowledged that ${added[index].id} is ready`);
    drain(servers[index]);
  };
  replace(0);
  await wait(300);
  const silentAtMs = performance.now();
  if (lib.HAS_TROUBLE) {
    const silenced = links.map(({ silence }) => silence());
    site.record(`open connections to the store go silent: ${silenced.join(', ')} by machine`);
  }
  await wait(700);
  replace(1);
  await wait(6_000);
  isOver = true;
  await Promise.all(clients);
  site.record(`requests by status: ${JSON.stringify(Array.from(counts))}`);
  const inTouchAtMs = silentAtMs + (lib.HAS_TROUBLE ? STABILITY_MS : 0);
  const late = arrivals.filter(
    ({ id, requestId, atMs }) =>
      ackedAtMs.has(id) &&
      atMs > ackedAtMs.get(id) + DRAIN_MS + MARGIN_MS &&
      sentAtMs.get(requestId) > inTouchAtMs + MARGIN_MS,
  );
  late.forEach(({ id, requestId, atMs }) =>
    site.record(
      `DRAIN: ${requestId} reached ${id} ${Math.round(atMs - ackedAtMs.get(id))} ms after the acknowledgement, sent ${Math.round(sentAtMs.get(requestId) - silentAtMs)} ms after the connections went silent`,
    ),
  );
  site.record(`requests that reached a draining server too late: ${late.length}`);
  return late.length > 0;
};

await lib.runCase(path.join(import.meta.dirname, 'record.txt'), play);

// A GET request that crashes servers is sent again and again, beside sound GET requests with the same key.
import * as path from 'node:path';
import { performance } from 'node:perf_hooks';
import { setTimeout } from 'node:timers';
import { setTimeout as wait } from 'node:timers/promises';
// eslint-disable-next-line import-x/extensions -- Node.js needs the extension
import * as lib from './site.mjs';

const STABILITY_MS = 3_000;
/** Retries that may reach servers later than that after the third crash. */
const MAX_RETRIES = 3;
const ROUTERS = 3;
const SERVERS = 8;
/** Time for which a server is down after a crash, in milliseconds. */
const DOWN_MS = 3_000;
const POISON_INTERVAL_MS = 1_500;
const POISON_ATTEMPTS = 16;
const BAD_PATH = '/check/the-bad-one';

const play = async (site) => {
  const store = await site.startStore();
  const crashes = [];
  const arrivals = [];
  let isOver = false;
  let incarnations = 0;
  const startIncarnation = async () => {
    incarnations += 1;
    const id = `i-${incarnations}`;
    let isDown = false;
    const server = await lib.startServer(site, id, ({ request, response, requestId }) => {
      if (request.url !== BAD_PATH) {
        setTimeout(() => response.end(`answer to ${requestId}`), 15);
        return;
      }
      arrivals.push({ requestId, atMs: performance.now() });
      if (isDown) {
        return;
      }
      // The process ends as it begins to run the request; the next one has a new id.
      isDown = true;
      crashes.push(performance.now());
      site.record(`${id} crashes as it begins to run ${requestId}`);
      server.server.close();
      server.sockets.forEach((socket) => socket.resetAndDestroy());
      setTimeout(() => store.remove(`servers/${id}`), DOWN_MS);
      setTimeout(() => {
        if (!isOver) {
          startIncarnation().catch((error) => site.record(error.message));
        }
      }, DOWN_MS);
    });
    lib.registerServer(store, server, 'numbering', { slots: 6, born: Date.now() });
  };
  for (let index = 0; index < SERVERS; index += 1) {
    // eslint-disable-next-line no-await-in-loop -- their ids are numbered in order
    await startIncarnation();
  }
  store.put(
    'op/config',
    lib.makeConfiguration(
      1,
      [
        {
          name: 'check',
          kind: 'safe',
          service: 'numbering',
          timeout_ms: 2_000,
          target_latency_ms: 400,
          max_attempts: 2,
        },
      ],
      ['numbering'],
    ),
  );
  const routers = Array.from({ length: ROUTERS }, (_, index) =>
    site.startRouter(`front-${index + 1}`, index + 1, store.address),
  );
  await lib.waitFor(
    async () => (await Promise.all(routers.map(({ isReady }) => isReady()))).every(Boolean),
    'all routers ready',
  );
  await wait(2_000);
  const counts = new Map();
  let count = 0;
  const sendCheck = async (router, id, url) => {
    const { status } = await lib.send(router.front, {
      id,
      path: url,
      headers: { 'X-Deadline-Ms': '2000' },
    });
    return status;
  };
  const runClient = async (router) => {
    while (!isOver) {
      count += 1;
      // eslint-disable-next-line no-await-in-loop -- a client sends one request after the other
      const status = await sendCheck(router, `c-${count}`, `/check/receipt-${count}`);
      counts.set(status, (counts.get(status) ?? 0) + 1);
      // eslint-disable-next-line no-await-in-loop -- with a pause between them
      await wait(100);
    }
  };
  const clients = routers.map(runClient);
  await wait(1_000);
  for (let index = 0; index < POISON_ATTEMPTS; index += 1) {
    if (lib.HAS_TROUBLE) {
      const id = `bad-${index + 1}`;
      const router = routers[index % ROUTERS];
      sendCheck(router, id, BAD_PATH).then(
        (status) => site.record(`${id} at ${router.name} is answered with ${status}`),
        (error) => site.record(error.message),
      );
    }
    // eslint-disable-next-line no-await-in-loop -- it comes again after a pause
    await wait(POISON_INTERVAL_MS);
  }
  await wait(1_000);
  isOver = true;
  await Promise.all(clients);
  site.record(`sound requests by status: ${JSON.stringify(Array.from(counts))}`);
  const thirdAtMs = crashes[2] ?? Infinity;
  const late = arrivals.filter(({ atMs }) => atMs > thirdAtMs + STABILITY_MS);
  const retries = new Set(late.map(({ requestId }) => requestId)).size;
  site.record(
    `servers crashed: ${crashes.length}; attempts that reached servers later than ${STABILITY_MS} ms after the third: ${retries} (allowed ${MAX_RETRIES})${retries > MAX_RETRIES ? ': BUDGET' : ''}`,
  );
  return retries > MAX_RETRIES;
};

await lib.runCase(path.join(import.meta.dirname, 'record.txt'), play);

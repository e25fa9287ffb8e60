// A router of four reaches one of five servers through a peer; the peer is stopped while it passes on a stream.
import * as path from 'node:path';
import { clearInterval, setInterval } from 'node:timers';
import { setTimeout as wait } from 'node:timers/promises';
// eslint-disable-next-line import-x/extensions -- Node.js needs the extension
import * as lib from './site.mjs';

const EVENTS = 100;
const EVENT_MS = 150;
/** Share of a server's answers that may have no length, as the site file gives it (garble, unframed). */
const UNFRAMED_SHARE = 0.05;
const SHORT_CALLS = 100;
const STREAMS = 6;

const makeEvent = (id) => `id: ${id}\ndata: piece ${id} of ${EVENTS}\n\n`;

const listIds = (text) => Array.from(text.matchAll(/^id: (\d+)$/gm), (match) => Number(match[1]));

/** A model server: short answers, and streams, of which a few have no length and end with their connection. */
const makeModelServer = (site, id) => {
  let answers = 0;
  let unframed = 0;
  return lib.startServer(site, id, ({ request, response, requestId }) => {
    answers += 1;
    if (!request.url.startsWith('/report/')) {
      response.end(`answer to ${requestId}`);
      return;
    }
    const isUnframed = unframed + 1 <= answers * UNFRAMED_SHARE;
    const first = Number(request.headers['last-event-id'] ?? 0) + 1;
    unframed += Number(isUnframed);
    site.record(
      `${id} runs ${requestId} from event ${first}${isUnframed ? `, answer without a length (${unframed} of ${answers})` : ''}`,
    );
    response.setHeader('content-type', 'text/event-stream');
    if (isUnframed) {
      response.removeHeader('transfer-encoding');
      response.setHeader('connection', 'close');
    }
    response.flushHeaders();
    let next = first;
    const timer = setInterval(() => {
      if (response.destroyed) {
        clearInterval(timer);
        site.record(`${id}: the connection of ${requestId} was closed after event ${next - 1}`);
      } else if (next > EVENTS) {
        clearInterval(timer);
        response.end();
        site.record(`${id} ended ${requestId} after event ${EVENTS}`);
      } else {
        response.write(makeEvent(next));
        next += 1;
      }
    }, EVENT_MS);
    response.once('close', () => clearInterval(timer));
  });
};

const play = async (site) => {
  const store = await site.startStore();
  const first = await makeModelServer(site, 'i-model-1');
  const plain = await Promise.all(
    ['i-desk-1', 'i-desk-2', 'i-desk-3', 'i-desk-4'].map((id) =>
      lib.startServer(site, id, ({ response, requestId }) =>
        response.end(`answer to ${requestId}`),
      ),
    ),
  );
  store.put(
    'op/config',
    lib.makeConfiguration(
      1,
      [
        { name: 'report', kind: 'streaming', service: 'pool', resumable: true, gap_target_ms: 600 },
        { name: 'tag', kind: 'safe', service: 'pool' },
        { name: 'desk', kind: 'safe', service: 'desk' },
      ],
      ['pool', 'desk'],
    ),
  );
  lib.registerServer(store, first, 'pool');
  plain.forEach((server) => lib.registerServer(store, server, 'desk'));
  const link = await lib.startLink(site, first.address);
  const view = await lib.startStoreView(site, store, `servers/${first.id}`, link.address);
  let relay = null;
  const router = site.startRouter('front-1', 1, view, {
    handleLog: (line) => {
      if (line.msg === 'upstream path changed') {
        site.record(`front-1 reaches ${line.address} through ${line.peer}`);
        relay = line.peer;
      }
    },
  });
  const others = [2, 3, 4].map((index) => site.startRouter(`front-${index}`, index, store.address));
  const all = [router, ...others];
  await lib.waitFor(
    async () => (await Promise.all(all.map(({ isReady }) => isReady()))).every(Boolean),
    'all routers ready',
  );
  // The routers learn of each other.
  await wait(2_000);
  if (lib.HAS_TROUBLE) {
    site.record(`the path from front-1 to ${first.id} is cut: resets, then refused connections`);
    link.cut();
  }
  const statuses = new Map();
  const sendShort = (index) =>
    lib.send(router.front, { id: `tag-${index}`, path: '/tag/x', headers: {} });
  for (let index = 0; index < SHORT_CALLS; index += 4) {
    // eslint-disable-next-line no-await-in-loop -- the calls come one after the other
    const results = await Promise.all([0, 1, 2, 3].map((offset) => sendShort(index + offset)));
    results.forEach(({ status }) => statuses.set(status, (statuses.get(status) ?? 0) + 1));
    // eslint-disable-next-line no-await-in-loop -- with a pause between them
    await wait(40);
  }
  site.record(`short requests by status: ${JSON.stringify(Array.from(statuses))}`);
  if (lib.HAS_TROUBLE) {
    await lib.waitFor(() => relay !== null, 'a path through a peer');
  }
  const streams = Array.from({ length: STREAMS }, (_, index) =>
    lib.send(router.front, { id: `report-${index}`, path: '/report/x', method: 'POST', body: 'q' }),
  );
  await wait(1_500);
  if (lib.HAS_TROUBLE) {
    const peer = others.find(({ ip }) => relay.startsWith(`${ip}:`));
    site.record(`SIGTERM to ${peer.name}, which passes on the bytes of ${first.id}`);
    peer.child.kill('SIGTERM');
  }
  const results = await Promise.all(streams);
  const broken = results.filter(({ id, status, body, isComplete }) => {
    const ids = listIds(body);
    const isWhole = ids.length === EVENTS && ids.every((number, index) => number === index + 1);
    site.record(
      `${id}: status ${status}, events 1 to ${ids.at(-1)} (${ids.length}), ended as ${isComplete ? 'complete' : 'broken off'}${isComplete && !isWhole ? ': ORDER' : ''}`,
    );
    return status === 200 && isComplete && !isWhole;
  });
  return broken.length > 0;
};

await lib.runCase(path.join(import.meta.dirname, 'record.txt'), play);

// A planned stop of one of two routers while streams run that end long before the last sixth of the grace period.
import { performance } from 'node:perf_hooks';
import * as fs from 'node:fs';
import * as http from 'node:http';
import * as path from 'node:path';
import process from 'node:process';
import { setInterval, clearInterval } from 'node:timers';
/* eslint-disable import-x/extensions -- Node.js finds a module of the repository only with its extension */
import * as routers from './routers.mjs';
import * as servers from './servers.mjs';
import * as stores from './store.mjs';
/* eslint-enable import-x/extensions */

const HAS_TROUBLE = process.env.TROUBLE !== '0';
/** Seconds between SIGTERM and SIGKILL; DEPLOY.md: bounds are whole numbers, fractions, or true or false. */
const GRACE_S = Number(process.env.GRACE_S ?? '7.5');
const EVENTS = 45;
const EVENT_MS = 100;
const STREAMS = 20;
/** Time from the first stream to SIGTERM; all streams are sent before it. */
const LEAD_MS = 600;

const record = [];
const note = (text) => record.push(`${(performance.now() / 1000).toFixed(3)} ${text}`);
const getIp = routers.pickNetwork();
const closers = [];

const streamEvents = ({ response, head, request }) => {
  response.writeHead(200, { ...head, 'content-type': 'text/event-stream' });
  let sent = Number(request.headers['last-event-id'] ?? -1) + 1;
  const timer = setInterval(() => {
    response.write(`id: ${sent}\ndata: ${'x'.repeat(40)}\n\n`);
    sent += 1;
    if (sent >= EVENTS) {
      clearInterval(timer);
      response.end();
    }
  }, EVENT_MS);
  response.once('close', () => clearInterval(timer));
};

const startSite = async () => {
  const store = await stores.startStore(getIp(1), 0);
  closers.push(store.close);
  const pool = await Promise.all(
    [2, 3].map((machine) =>
      servers.startServer({
        store,
        id: `i-pool-${machine}`,
        host: getIp(machine),
        service: 'pool',
        zone: 'mid-a',
        slots: 96,
        serve: streamEvents,
      }),
    ),
  );
  closers.push(...pool.map(({ close }) => close));
  store.put('op/config', {
    version: 7,
    routes: [
      {
        name: 'r-talk',
        host: 'site.example',
        prefix: '/talk/',
        kind: 'streaming',
        timeout_ms: 20_000,
        target_latency_ms: 1000,
        gap_target_ms: 600,
        priority: 0,
        max_attempts: 3,
        public: false,
        resumable: true,
        service: 'pool',
      },
    ],
    services: [{ name: 'pool', health_path: '/health', max_connections: 500 }],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15_000,
    },
    tenants: [{ name: 'tenant-1', keys: ['key-1'], priority: null }],
  });
  const bounds = { ...routers.BOUNDS, grace_s: GRACE_S };
  const started = [10, 11].map((machine) =>
    routers.startRouter(
      routers.makeFields(getIp(machine), `front-${machine}`, 'mid-a', store.address, bounds),
    ),
  );
  closers.push(...started.map(({ close }) => close));
  return { pool, started };
};

const sendStream = async (router, index) => {
  const id = `talk-${index}`;
  const result = await servers.sendRequest({
    address: router.fields.listen.front,
    method: 'POST',
    path: `/talk/${index}`,
    headers: {
      host: 'site.example',
      'x-request-id': id,
      'x-deadline-ms': '20000',
      'x-credential': 'key-1',
      'content-type': 'text/plain',
    },
    body: `question ${index}`,
    agent: new http.Agent({ keepAlive: true }),
    deadlineMs: 20_000,
  });
  const events = result.body.split('\n\n').length - 1;
  note(
    `${id} sent ${(result.sentAtMs / 1000).toFixed(3)} ended ${(result.endedAtMs / 1000).toFixed(3)} ` +
      `status ${result.status} events ${events}/${EVENTS} whole ${result.isWhole} ${result.problem ?? ''}`,
  );
  return {
    ...result,
    id,
    isComplete: result.isWhole && result.status === 200 && events === EVENTS,
  };
};

const play = async () => {
  const { pool, started } = await startSite();
  const [router] = started;
  if (!(await routers.waitReady(started))) {
    note('the routers are not ready');
    return 2;
  }
  // Streams before the stop, and for the comparison one after the other until shortly before it.
  const streams = [];
  for (let index = 0; index < STREAMS; index += 1) {
    streams.push(sendStream(router, index));
    // eslint-disable-next-line no-await-in-loop -- one after the other
    await routers.wait(LEAD_MS / STREAMS);
  }
  const stoppedAtMs = performance.now();
  if (HAS_TROUBLE) {
    note(`SIGTERM to ${router.fields.node}, grace_s ${GRACE_S}`);
    router.signal('SIGTERM');
  }
  const results = await Promise.all(streams);
  const endMs = stoppedAtMs + GRACE_S * 1000;
  await routers.wait(Math.max(0, endMs - performance.now()));
  if (HAS_TROUBLE && router.exit === null) {
    note('SIGKILL');
    router.signal('SIGKILL');
  }
  const arrivals = pool.flatMap((server) => server.arrivals);
  arrivals.forEach(({ id, server, atMs, endedAtMs, isWhole }) =>
    note(
      `${server} ran ${id} from ${atMs.toFixed(0)} to ${endedAtMs?.toFixed(0)} whole ${isWhole}`,
    ),
  );
  const lastSixthAtMs = stoppedAtMs + GRACE_S * 1000 * (5 / 6);
  const lost = results.filter(
    ({ isComplete, id, endedAtMs }) =>
      !isComplete && endedAtMs < lastSixthAtMs && arrivals.some((arrival) => arrival.id === id),
  );
  lost.forEach(({ id, endedAtMs }) =>
    note(`LOST ${id}: passed on, cut ${Math.round(endedAtMs - stoppedAtMs)} ms after the stop`),
  );
  const complete = results.filter(({ isComplete }) => isComplete).length;
  note(`${results.length} streams, ${complete} complete, ${lost.length} lost`);
  if (!HAS_TROUBLE && complete < results.length) {
    return 2;
  }
  return lost.length > 0 ? 1 : 0;
};

const code = await play().catch((error) => {
  note(`could not run: ${error.stack}`);
  return 2;
});
closers.toReversed().forEach((close) => close());
note(`exit ${code}`);
fs.writeFileSync(path.join(import.meta.dirname, 'record.txt'), `${record.join('\n')}\n`);
process.exit(code);

// A small deployment on loopback for the cases: routers as the deploy file runs them, with stand-ins around them.
import { Buffer } from 'node:buffer';
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as http from 'node:http';
import * as os from 'node:os';
import * as path from 'node:path';
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { setTimeout as wait } from 'node:timers/promises';
import * as standIns from '@jayrock/stand-ins';

const ROOT = path.resolve(import.meta.dirname, '../..');

export const HOST = 'shop.example';
export const KEY = 'key-of-ada';
export const HAS_TROUBLE = process.env.TROUBLE !== '0';

/** Bounds of a small site, as the settings of a process on the platform show them. */
const BOUNDS = {
  revoke_ms: 5000,
  config_ms: 2000,
  grace_s: 8,
  exposure_share: 0.15,
  exposure_slack: 30,
  retry_budget_ratio: 0.9,
  budget_slack: 58,
  budget_window_s: 10,
};

const lookUp = (fields, name) => name.split('.').reduce((value, part) => value?.[part], fields);

/** Fills in the template of the settings, as DEPLOY.md says. */
const renderSettings = (fields) =>
  fs
    .readFileSync(path.join(ROOT, 'deploy/settings.jsonc.template'), 'utf8')
    .replaceAll(/\{\{([\w.]+)(\|json)?\}\}/g, (_, name, asJson) =>
      asJson === undefined ? String(lookUp(fields, name)) : JSON.stringify(lookUp(fields, name)),
    );

/** The command of the deploy file, with another settings file. */
const makeCommand = (file) => {
  const found = /^run = "(.*)"$/m.exec(
    fs.readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8'),
  );
  return found[1].replace('/etc/jayrock/node.toml', file).split(' ');
};

/** Asks a router's readiness address as the platform does. */
const checkReady = (host) =>
  new Promise((resolve) => {
    const request = http.get({ host, port: 8220, path: '/readyz', agent: false }, (response) => {
      response.resume();
      resolve(response.statusCode === 200);
    });
    request.once('error', () => resolve(false));
  });

/** Makes a site: its record, its processes and its stand-ins; `close` ends them all. */
export const makeSite = (recordFile) => {
  const startedAtMs = performance.now();
  const lines = [];
  const closers = [];
  const dir = fs.mkdtempSync(path.join(os.tmpdir(), 'jayrock-review-'));
  const subnet = `127.${60 + Math.floor(Math.random() * 150)}.${Math.floor(Math.random() * 250)}`;
  const record = (text) => {
    lines.push(`${((performance.now() - startedAtMs) / 1000).toFixed(3)} ${text}`);
  };
  const close = async () => {
    await Promise.allSettled(closers.toReversed().map((end) => end()));
    fs.rmSync(dir, { recursive: true, force: true });
    fs.writeFileSync(recordFile, `${lines.join('\n')}\n`);
  };
  /** Starts a router on an address of its own; its log is read line by line. */
  const startRouter = (
    name,
    index,
    storeAddress,
    { handleLog = () => undefined, zone = 'mid-a' } = {},
  ) => {
    const ip = `${subnet}.${index}`;
    const file = path.join(dir, `${name}.jsonc`);
    fs.writeFileSync(
      file,
      renderSettings({
        zone,
        node: name,
        ip,
        internal_ports: [7340, 7355],
        listen: { front: `${ip}:8227`, ready: `${ip}:8220` },
        platform: { address: storeAddress },
        bounds: BOUNDS,
      }),
    );
    const [program, ...args] = makeCommand(file);
    const child = childProcess.spawn(program, args, {
      cwd: ROOT,
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    let text = '';
    child.stdout.on('data', (bytes) => {
      const parts = (text + bytes.toString('utf8')).split('\n');
      text = parts.pop();
      parts.forEach((line) => {
        try {
          handleLog(JSON.parse(line));
        } catch {
          record(`${name} wrote: ${line}`);
        }
      });
    });
    child.stderr.on('data', (bytes) => record(`${name} wrote: ${bytes.toString('utf8').trim()}`));
    const ended = new Promise((resolve) => {
      child.once('exit', (code, signal) => {
        record(`${name} ended: code ${code}, signal ${signal}`);
        resolve();
      });
    });
    closers.push(async () => {
      child.kill('SIGKILL');
      await ended;
    });
    return {
      name,
      ip,
      child,
      ended,
      front: { host: ip, port: 8227 },
      isReady: () => checkReady(ip),
    };
  };
  const startStore = async () => {
    const store = await standIns.platformStore.startPlatformStore();
    closers.push(() => store.close());
    return store;
  };
  return { record, close, closers, subnet, startRouter, startStore };
};

/** Waits until a condition holds; throws after the time. */
export const waitFor = async (isDone, what, maxMs = 15_000) => {
  const endsAtMs = performance.now() + maxMs;
  // eslint-disable-next-line no-await-in-loop -- each check follows a pause
  while (!(await isDone())) {
    if (performance.now() > endsAtMs) {
      throw new Error(`not reached: ${what}`);
    }
    // eslint-disable-next-line no-await-in-loop -- each check follows a pause
    await wait(20);
  }
};

/** Makes the operator's configuration. */
export const makeConfiguration = (version, routes, services) => ({
  version,
  routes: routes.map((route) => ({
    host: HOST,
    prefix: `/${route.name}/`,
    timeout_ms: 25_000,
    target_latency_ms: 1_000,
    priority: 1,
    max_attempts: 3,
    public: false,
    resumable: false,
    ...route,
  })),
  services: services.map((name) => ({ name, health_path: '/health', max_connections: 500 })),
  limits: {
    max_header_bytes: 16_384,
    max_body_bytes: 4_194_304,
    header_timeout_ms: 5_000,
    idle_timeout_ms: 15_000,
  },
  tenants: [{ name: 'ada', keys: [KEY] }],
});

/**
 * Starts a server stand-in. `answer` gets the request and its connection and writes the answer; requests for another
 * instance are answered with 421 first.
 */
export const startServer = async (site, id, answer, host = '127.0.0.1') => {
  const sockets = new Set();
  const server = http.createServer((request, response) => {
    const chunks = [];
    request.on('data', (bytes) => chunks.push(bytes));
    request.on('end', () => {
      const requestId = request.headers['x-request-id'];
      response.setHeader('X-Request-Id', requestId ?? '');
      if ((request.headers['x-expect-instance'] ?? id) !== id) {
        response.writeHead(421, { 'X-Not-Executed': '1', 'content-length': '0' }).end();
        return;
      }
      response.setHeader('X-Response-Stamp', `stamp-${id}-${requestId}`);
      answer({ request, response, requestId, body: Buffer.concat(chunks) });
    });
    request.on('error', () => undefined);
  });
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.once('close', () => sockets.delete(socket));
  });
  await new Promise((resolve) => {
    server.listen(0, host, resolve);
  });
  site.closers.push(() => {
    sockets.forEach((socket) => socket.destroy());
    server.close();
  });
  return { id, address: `${host}:${server.address().port}`, server, sockets };
};

/** Writes the entry of a server. */
export const registerServer = (store, { id, address }, service, change = {}) =>
  store.put(`servers/${id}`, {
    service,
    address,
    zone: 'mid-a',
    version: 'v1',
    slots: 96,
    state: 'ready',
    cold_left_ms: 0,
    sequence: 1,
    born: 1_790_000_000_000,
    ...change,
  });

/** Sends a request as a client does; resolves to what came, and whether the answer ended as complete. */
export const send = ({ host, port }, { id, path: url, method = 'GET', headers = {}, body }) =>
  new Promise((resolve) => {
    const request = http.request({
      host,
      port,
      method,
      path: url,
      agent: false,
      headers: {
        host: HOST,
        'X-Request-Id': id,
        'X-Deadline-Ms': '25000',
        'X-Credential': KEY,
        ...headers,
      },
    });
    request.once('error', (error) =>
      resolve({ id, status: null, error: error.code, body: '', isComplete: false }),
    );
    request.once('response', (response) => {
      let text = '';
      response.on('data', (bytes) => {
        text += bytes.toString('latin1');
      });
      const finish = (isComplete) =>
        resolve({
          id,
          status: response.statusCode,
          headers: response.headers,
          stamp: response.headers['x-response-stamp'],
          body: text,
          isComplete,
        });
      response.once('end', () => finish(response.complete));
      response.once('error', () => finish(false));
    });
    request.end(body);
  });

/** Runs a case: exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. */
export const runCase = async (recordFile, play) => {
  const site = makeSite(recordFile);
  let code = 2;
  try {
    const broken = await play(site);
    code = broken ? 1 : 0;
    site.record(broken ? 'RULE BROKEN' : 'rule held');
  } catch (error) {
    site.record(`could not run: ${error.stack}`);
  }
  await site.close();
  process.exit(code);
};

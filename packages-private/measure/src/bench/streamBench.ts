import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as url from 'node:url';
import * as standIns from '@jayrock/stand-ins';
import * as undici from 'undici';
import * as fleets from '../faults/fleet.js';
import * as site from '../site.js';
import * as stats from '../policy/stats.js';

/** Two percentiles, in milliseconds. */
export interface Percentiles {
  readonly p50: number;
  readonly p99: number;
}

/** Latency and cost while a number of streams is open. */
export interface StreamCost {
  readonly direct: Percentiles;
  readonly routed: Percentiles;
  /** Time to the first byte that the router adds. */
  readonly addedFirstMs: Percentiles;
  /** The router's CPU time for a forwarded token, in microseconds. */
  readonly cpuMicrosPerToken: number;
  /** Growth of the router's resident memory for an open stream. */
  readonly bytesPerStream: number;
}

/** Throughput of one router process. */
export interface Throughput {
  readonly requestsPerSecond: number;
  readonly tokensPerSecond: number;
  /** The router's CPU time as a share of one core. */
  readonly cpuShare: number;
  /** Number of incomplete answers. */
  readonly failed: number;
}

const ROUTER_MAIN = path.resolve(
  path.dirname(url.fileURLToPath(import.meta.url)),
  '../../../../../packages/router/dist/src/main.js',
);
const IP = '127.0.4.1';
const PORT = 26_000;
const ENGINE_COUNT = 4;
const ENGINE_SLOTS = 1_200;
const MS_PER_TOKEN = 25;
const STREAM_TOKENS = 120;
const PROBES = 100;
const PROBE_TOKENS = 4;
const PROBE_PAUSE_MS = 20;
const VERSION = 'clerk-small@v3';

interface BenchSetup {
  readonly router: string;
  readonly status: string;
  readonly engines: readonly standIns.engine.Engine[];
  readonly close: () => Promise<void>;
}

const startSetup = async (): Promise<BenchSetup> => {
  const models = site.loadModels('ledgerline');
  const loaded = site.listVersions(models);
  const engines = await Promise.all(
    Array.from({ length: ENGINE_COUNT }, (_, index) =>
      standIns.engine.startEngine({
        id: `engine-${index}`,
        slots: ENGINE_SLOTS,
        loaded,
        msPerToken: MS_PER_TOKEN,
        msPerThousandPromptTokens: 0,
      }),
    ),
  );
  const dir = fs.mkdtempSync(path.join(os.tmpdir(), 'jayrock-bench-'));
  const settings = {
    zone: 'mid-a',
    callers: `${IP}:${PORT}`,
    peers: `${IP}:${PORT + 1}`,
    status: `${IP}:${PORT + 2}`,
    peerSecret: 'bench-shared-secret',
    platform: {
      kind: 'embedded',
      plansFile: path.join(site.getSiteDir('ledgerline'), 'plans.jsonc'),
      modelsFile: path.join(site.getSiteDir('ledgerline'), 'models.jsonc'),
      upstreams: engines.map(({ id, address }) => ({
        id,
        address,
        zone: 'mid-a',
        service: 'jayrock-pool',
      })),
    },
    logLevel: 'warn',
  };
  const file = path.join(dir, 'settings.jsonc');
  fs.writeFileSync(file, JSON.stringify(settings));
  const child = childProcess.spawn(process.execPath, [ROUTER_MAIN, '--settings', file], {
    stdio: 'inherit',
  });
  await fleets.waitReady(settings.callers);
  return {
    router: settings.callers,
    status: settings.status,
    engines,
    close: async () => {
      child.kill('SIGKILL');
      await Promise.all(engines.map((engine) => engine.close()));
    },
  };
};

const agent = new undici.Agent({ connections: 8_192, headersTimeout: 0, bodyTimeout: 0 });

interface StreamResult {
  readonly firstMs: number;
  readonly isWhole: boolean;
  readonly bytes: number;
}

const readStream = async (
  address: string,
  model: string,
  tokens: number,
): Promise<StreamResult> => {
  const startedMs = performance.now();
  const response = await undici.request(`http://${address}/v1/chat/completions`, {
    method: 'POST',
    dispatcher: agent,
    headers: {
      'content-type': 'application/json',
      authorization: 'Bearer demo-harbour-market',
    },
    body: JSON.stringify({
      model,
      stream: true,
      max_tokens: tokens,
      messages: [{ role: 'user', content: `len=${tokens}` }],
    }),
  });
  let firstMs = 0;
  let bytes = 0;
  let tail = '';
  for await (const piece of response.body as AsyncIterable<Buffer>) {
    firstMs = firstMs === 0 ? performance.now() - startedMs : firstMs;
    bytes += piece.length;
    tail = (tail + piece.toString()).slice(-20);
  }
  return { firstMs, bytes, isWhole: tail.includes('[DONE]') };
};

interface RouterUsage {
  readonly cpuMs: number;
  readonly rssBytes: number;
}

const readUsage = async (setup: BenchSetup): Promise<RouterUsage> => {
  const page = (await fleets.readStatus(setup.status)) as RouterUsage | null;
  return page ?? { cpuMs: 0, rssBytes: 0 };
};

/** Sends probes alternately to an engine and to the router; returns the times to the first byte. */
const probeDirectAndRouted = async (
  setup: BenchSetup,
): Promise<{ readonly direct: readonly number[]; readonly routed: readonly number[] }> => {
  const direct: number[] = [];
  const routed: number[] = [];
  const engine = setup.engines[0]?.address ?? '';
  await Array.from({ length: PROBES }).reduce<Promise<void>>(async (before) => {
    await before;
    direct.push((await readStream(engine, VERSION, PROBE_TOKENS)).firstMs);
    routed.push((await readStream(setup.router, 'clerk-small', PROBE_TOKENS)).firstMs);
    await standIns.control.wait(PROBE_PAUSE_MS);
  }, Promise.resolve());
  return { direct, routed };
};

const toPercentiles = (values: readonly number[]): Percentiles => ({
  p50: stats.findPercentile(values, 0.5),
  p99: stats.findPercentile(values, 0.99),
});

/** Measures the latency that the router adds, and its cost, while streams are open. */
export const measureStreams = async (streams: number): Promise<StreamCost> => {
  const setup = await startSetup();
  await standIns.control.wait(1_500);
  const before = await readUsage(setup);
  const seconds = (PROBES * (PROBE_PAUSE_MS + 2 * (PROBE_TOKENS + 1) * MS_PER_TOKEN)) / 1_000;
  const tokens = Math.max(STREAM_TOKENS, Math.ceil((seconds * 1_000) / MS_PER_TOKEN));
  const open = Array.from({ length: streams }, () =>
    readStream(setup.router, 'clerk-small', tokens),
  );
  await standIns.control.wait(2_000);
  const during = await readUsage(setup);
  const { direct, routed } = await probeDirectAndRouted(setup);
  await Promise.all(open);
  const after = await readUsage(setup);
  await setup.close();
  const forwardedTokens = streams * tokens + PROBES * PROBE_TOKENS;
  const own = { direct: toPercentiles(direct), routed: toPercentiles(routed) };
  return {
    ...own,
    addedFirstMs: {
      p50: own.routed.p50 - own.direct.p50,
      p99: own.routed.p99 - own.direct.p99,
    },
    cpuMicrosPerToken: ((after.cpuMs - before.cpuMs) * 1_000) / forwardedTokens,
    bytesPerStream: (during.rssBytes - before.rssBytes) / streams,
  };
};

const RATE_REQUESTS = 6_000;
const RATE_CONCURRENCY = 800;
const RATE_TOKENS = 25;

/** Measures how many requests and tokens a second one router process serves. */
export const measureThroughput = async (): Promise<Throughput> => {
  const setup = await startSetup();
  await standIns.control.wait(1_500);
  const before = await readUsage(setup);
  const startedMs = performance.now();
  let left = RATE_REQUESTS;
  let failed = 0;
  const work = async (): Promise<void> => {
    if (left <= 0) {
      return;
    }
    left -= 1;
    const answer = await readStream(setup.router, 'clerk-small', RATE_TOKENS);
    failed += Number(!answer.isWhole);
    await work();
  };
  await Promise.all(Array.from({ length: RATE_CONCURRENCY }, work));
  const seconds = (performance.now() - startedMs) / 1_000;
  const after = await readUsage(setup);
  await setup.close();
  return {
    requestsPerSecond: RATE_REQUESTS / seconds,
    tokensPerSecond: (RATE_REQUESTS * RATE_TOKENS) / seconds,
    cpuShare: (after.cpuMs - before.cpuMs) / 1_000 / seconds,
    failed,
  };
};

import * as http from 'node:http';
import * as platform from '@jayrock/platform';
import * as router from '@jayrock/router';
import * as shared from '@jayrock/shared';
import * as standIns from '@jayrock/stand-ins';
import * as routerSettings from './routerSettings.js';

const H = platform.wire.HEADERS;

/** Host name of the fixtures' routes. */
export const HOST = 'shop.example';
/** Key of the fixtures' only organisation. */
export const KEY = 'key-of-ada';

/** Makes a route of the operator's configuration. */
export const makeRoute = (name: string, kind: string, change: object = {}): object => ({
  name,
  host: HOST,
  prefix: `/${name}/`,
  kind,
  timeout_ms: 2_000,
  target_latency_ms: 400,
  priority: 1,
  service: 'desk',
  max_attempts: 3,
  public: false,
  resumable: kind === 'streaming',
  ...(kind === 'streaming' ? { gap_target_ms: 300 } : {}),
  ...change,
});

/** Makes the operator's configuration. */
export const makeConfiguration = (version: number, change: object = {}): object => ({
  version,
  routes: [
    makeRoute('read', 'safe'),
    makeRoute('issue', 'unsafe', { max_attempts: 2 }),
    makeRoute('talk', 'streaming', { timeout_ms: 20_000 }),
    makeRoute('once', 'streaming', { timeout_ms: 20_000, resumable: false, gap_target_ms: 2_000 }),
    makeRoute('sized', 'streaming', { sizes: ['small', 'large'] }),
    makeRoute('open', 'safe', { public: true }),
    makeRoute('brief', 'safe', { timeout_ms: 200 }),
  ],
  services: [
    {
      name: 'desk',
      health_path: '/health',
      max_connections: 100,
      engine: {
        slots: 8,
        kv_capacity_tokens: 10_000,
        models: [
          { name: 'small', cost: 0.01 },
          { name: 'large', cost: 0.2 },
        ],
      },
    },
  ],
  limits: {
    max_header_bytes: 16_384,
    max_body_bytes: 10_000,
    header_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
  },
  tenants: [{ name: 'ada', keys: [KEY] }],
  ...change,
});

/** Makes the operator's configuration with services whose upstreams are cold after their start. */
export const makeColdConfiguration = (
  version: number,
  coldStart: { readonly cold_start_s: number; readonly cold_per_s: number },
  change: object = {},
): object => {
  const configuration = makeConfiguration(version, change) as {
    readonly services: readonly object[];
  };
  const services = configuration.services.map((service) => ({ ...service, ...coldStart }));
  return { ...configuration, services };
};

/** A caller's request. */
export interface Call {
  readonly path: string;
  readonly id: string;
  readonly method?: string;
  readonly body?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly key?: string | null;
  /** Time for which the caller leaves the answer's body unread, in milliseconds. */
  readonly readAfterMs?: number;
}

/** A response as a caller received it. */
export interface CallResponse {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
  /** False if the connection broke before the answer was complete. */
  readonly isWhole: boolean;
}

/** A router of routes that runs in this process. */
export interface SiteRouter {
  readonly callers: string;
  readonly ready: string;
  readonly running: router.startRoutedRouter.RunningRoutedRouter;
  /** Applies the router's settings again. */
  readonly reload: () => void;
}

/** A router of routes with its store and upstreams on loopback. */
export interface RoutedSite extends SiteRouter {
  readonly store: standIns.platformStore.PlatformStore;
  readonly upstreams: readonly standIns.routedUpstream.RoutedUpstream[];
  /** Writes the entry of an upstream to the store. */
  readonly registerUpstream: (index: number, change?: object) => void;
  readonly call: (call: Call) => Promise<CallResponse>;
  /** Sends a request and closes its connection once an upstream has received it. */
  readonly sendAndDisconnect: (call: Call) => Promise<void>;
  readonly close: () => Promise<void>;
}

const openRequest = (address: string, call: Call, agent: http.Agent): http.ClientRequest => {
  const { host, port } = shared.settings.parseAddress(address);
  return http.request({
    host,
    port,
    agent,
    path: call.path,
    method: call.method ?? 'GET',
    headers: {
      host: HOST,
      [H.requestId]: call.id,
      [H.deadlineMs]: '1500',
      ...(call.key === null ? {} : { [H.key]: call.key ?? KEY }),
      ...call.headers,
    },
  });
};

/** Sends a request and reads its answer; rejects if the connection ends before the head of an answer. */
export const sendCall = (address: string, call: Call, agent: http.Agent): Promise<CallResponse> =>
  new Promise((resolve, reject) => {
    const request = openRequest(address, call, agent);
    request.once('error', reject);
    request.once('response', (response) => {
      const chunks: Buffer[] = [];
      const finish = (isWhole: boolean): void =>
        resolve({
          status: response.statusCode ?? 0,
          headers: response.headers,
          body: Buffer.concat(chunks).toString('utf8'),
          isWhole,
        });
      response.once('end', () => finish(true));
      response.once('error', () => finish(false));
      setTimeout(
        () => response.on('data', (chunk: Buffer) => chunks.push(chunk)),
        call.readAfterMs ?? 0,
      );
    });
    request.end(call.body);
  });

/** Starts a router on a loopback address; the routers of one store are peers. */
export const startSiteRouter = async (
  ip: string,
  storeAddress: string,
  bounds: object = {},
  zone = 'a',
): Promise<SiteRouter> => {
  const settings = shared.settings.settingsSchema.parse(
    routerSettings.makeRouterSettings(
      ip,
      {
        kind: 'managed',
        storeAddress,
        bounds: { graceMs: 6_000, repeatShare: 2, repeatSlack: 100, ...bounds },
      },
      { logLevel: 'silent', zone },
    ),
  );
  if (settings.platform.kind !== 'managed') {
    throw new Error('expected managed settings');
  }
  const running = await router.startRoutedRouter.startRoutedRouter(settings, settings.platform);
  return {
    callers: settings.callers,
    ready: settings.platform.readyAddress,
    running,
    reload: () => running.reload(settings),
  };
};

/** Waits until a router's readiness check succeeds. */
export const waitUntilReady = ({ ready }: SiteRouter): Promise<void> =>
  standIns.control.waitUntil(async () => (await fetch(`http://${ready}/readyz`)).ok);

/** Writes the entry of an upstream to the store. */
export const writeUpstreamEntry = (
  store: standIns.platformStore.PlatformStore,
  { id, address }: standIns.routedUpstream.RoutedUpstream,
  change: object = {},
): void =>
  store.put(`${platform.wire.KEYS.upstreams}${id}`, {
    service: 'desk',
    address,
    zone: 'a',
    version: 'v1',
    slots: 8,
    state: 'ready',
    sequence: 1,
    born: 1_700_000_000_000,
    ...change,
  });

/** Starts a store, upstreams and a router on one loopback address. */
export const startRoutedSite = async (
  ip: string,
  upstreamCount = 2,
  bounds: object = {},
): Promise<RoutedSite> => {
  const store = await standIns.platformStore.startPlatformStore();
  const upstreams = await Promise.all(
    Array.from({ length: upstreamCount }, (_, index) =>
      standIns.routedUpstream.startRoutedUpstream(`u-${index}`),
    ),
  );
  upstreams.forEach((upstream) => writeUpstreamEntry(store, upstream));
  store.put(platform.wire.KEYS.configuration, makeConfiguration(1));
  const started = await startSiteRouter(ip, store.address, bounds);
  const agent = new http.Agent({ keepAlive: true });
  const site: RoutedSite = {
    store,
    upstreams,
    ...started,
    registerUpstream: (index, change) => {
      const upstream = upstreams[index];
      if (upstream !== undefined) {
        writeUpstreamEntry(store, upstream, change);
      }
    },
    call: (call) => sendCall(started.callers, call, agent),
    sendAndDisconnect: async (call) => {
      const request = openRequest(started.callers, call, new http.Agent());
      request.on('error', () => undefined);
      request.end(call.body);
      await standIns.control.waitUntil(() =>
        upstreams.some(({ received }) => received.some(({ id }) => id === call.id)),
      );
      request.destroy();
    },
    close: async () => {
      agent.destroy();
      await started.running.close();
      await Promise.all(upstreams.map((upstream) => upstream.close()));
      await store.close();
    },
  };
  for (;;) {
    // eslint-disable-next-line no-await-in-loop -- the site is ready when a request succeeds
    const response = await site.call({ path: '/open/', id: 'warm-up' });
    if (response.status === 200) {
      return site;
    }
    // eslint-disable-next-line no-await-in-loop -- each poll follows a pause
    await standIns.control.wait(20);
  }
};

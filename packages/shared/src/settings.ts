import * as zod from 'zod';

const ADDRESS = /^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$/;

const address = zod.string().regex(ADDRESS, { message: 'expected IP:PORT' });

const upstream = zod
  .strictObject({ id: zod.string().min(1), address, zone: zod.string(), service: zod.string() })
  .readonly();

const routedUpstream = zod
  .strictObject({
    id: zod.string().min(1),
    address,
    zone: zod.string().min(1),
    service: zod.string().min(1),
    version: zod.string().min(1).default('1'),
    /** Number of requests the upstream serves concurrently. */
    slots: zod.number().int().positive().default(64),
  })
  .readonly();

/** Least value of a bound on time, in milliseconds; no router can react faster. */
const MIN_BOUND_MS = 100;

const boundMs = zod.number().min(MIN_BOUND_MS, {
  message: `expected at least ${MIN_BOUND_MS} ms`,
});

const bounds = zod
  .strictObject({
    /** Time within which every router must reject a withdrawn key, in milliseconds. */
    revocationMs: boundMs.default(5_000),
    /** Time within which a new configuration must be in force, in milliseconds. */
    configurationMs: boundMs.default(2_000),
    /** Time after which an upstream that leaves gets no more requests, in milliseconds; by default `configurationMs`. */
    drainMs: boundMs.exactOptional(),
    /** Time after which upstreams of an evacuated zone get no more requests, in milliseconds; by default `configurationMs`. */
    evacuationMs: boundMs.exactOptional(),
    /** Time between the stop signal and the end of the process, in milliseconds. */
    graceMs: boundMs.default(8_000),
    /** Maximum share of a roll-out period's requests that a bad version may receive. */
    exposureShare: zod.number().positive().max(1).default(0.15),
    /** Requests that a bad version may receive in addition to the share. */
    exposureSlack: zod.number().min(0).default(0),
    /** Maximum number of repeated sends per request to a service, over all routers. */
    repeatShare: zod.number().min(0).default(0.2),
    /** Repeated sends allowed in each window in addition to the share. */
    repeatSlack: zod.number().min(0).default(20),
    /** Window over which repeated sends are counted, in milliseconds. */
    repeatWindowMs: boundMs.default(10_000),
  })
  .readonly();

const platform = zod
  .discriminatedUnion('kind', [
    zod
      .strictObject({
        kind: zod.literal('embedded'),
        /** Path of the plans list, relative to the settings file. */
        plansFile: zod.string(),
        /** Path of the models list, relative to the settings file. */
        modelsFile: zod.string(),
        upstreams: zod.array(upstream).readonly(),
        ratingAddress: address.optional(),
      })
      .readonly(),
    zod
      .strictObject({
        kind: zod.literal('service'),
        keyValueAddress: address,
        hostListAddress: address,
        ratingAddress: address.optional(),
      })
      .readonly(),
    zod
      .strictObject({
        kind: zod.literal('routes'),
        /** Name of this router in logs. */
        name: zod.string().min(1),
        /** Path of the route table, relative to the settings file. */
        routesFile: zod.string().min(1),
        upstreams: zod.array(routedUpstream).readonly(),
        /** Listener of the readiness check by which the load balancer admits new connections. */
        readyAddress: address,
        bounds: bounds.prefault({}),
      })
      .readonly(),
    zod
      .strictObject({
        kind: zod.literal('managed'),
        /** Name of this router in logs. */
        name: zod.string().min(1),
        /** Store that holds the configuration and the list of upstreams. */
        storeAddress: address,
        /** Listener of the readiness check by which the load balancer admits new connections. */
        readyAddress: address,
        bounds: bounds.prefault({}),
      })
      .readonly(),
  ])
  .readonly();

const limits = zod
  .strictObject({
    /** Maximum size of a request body, in bytes. */
    maxBodyBytes: zod.number().int().positive().default(1_048_576),
    /** Timeout for a caller's request headers, in milliseconds. */
    headersTimeoutMs: zod.number().int().positive().default(5_000),
    /** Time without a token after which a stream is considered stalled, in milliseconds. */
    silentStreamMs: zod.number().int().positive().default(2_000),
    /** Timeout for an upstream's first byte with an empty prompt, in milliseconds. */
    firstByteTimeoutMs: zod.number().int().positive().default(5_000),
    /** Time within which the body of a request has to arrive, in milliseconds. */
    bodyTimeoutMs: zod.number().int().positive().default(60_000),
    /** Memory that the process may use, in bytes, if nothing else limits it further. */
    maxMemoryBytes: zod.number().int().positive().exactOptional(),
    /** Maximum number of callers' connections; by default it follows from the process's descriptors and memory. */
    maxConnections: zod.number().int().positive().exactOptional(),
    /** Maximum number of billing entries held in memory. */
    maxLedgerEntries: zod.number().int().positive().default(20_000),
  })
  .readonly();

/** Splits `IP:PORT` into host and port; an IPv6 address loses its brackets. */
export const parseAddress = (text: string): { readonly host: string; readonly port: number } => {
  const separator = text.lastIndexOf(':');
  return {
    host: text.slice(0, separator).replace(/^\[|\]$/g, ''),
    port: Number(text.slice(separator + 1)),
  };
};

/** Schema of a router's settings file. */
export const settingsSchema = zod
  .strictObject({
    zone: zod.string().min(1),
    callers: address,
    peers: address,
    /** Address at which peers reach this router, if it differs from the listening address. */
    advertisedPeers: address.optional(),
    status: address,
    /** Secret shared by all routers for their peer listener. */
    peerSecret: zod.string().min(16, { message: 'expected at least 16 characters' }),
    /** Peers contacted at start, before the host list has been read. */
    seedPeers: zod.array(address).readonly().default([]),
    platform,
    limits: limits.default({
      maxBodyBytes: 1_048_576,
      headersTimeoutMs: 5_000,
      silentStreamMs: 2_000,
      firstByteTimeoutMs: 5_000,
      bodyTimeoutMs: 60_000,
      maxLedgerEntries: 20_000,
    }),
    logLevel: zod.enum(['debug', 'info', 'warn', 'error', 'silent']).default('info'),
  })
  .readonly();

/** Settings of a router. */
export type Settings = zod.infer<typeof settingsSchema>;
/** Platform section of the settings. */
export type PlatformSettings = zod.infer<typeof platform>;
/** Bounds on the behaviour of a router of routed requests. */
export type Bounds = zod.infer<typeof bounds>;
/** Name of a bound in the settings. */
export type BoundName = keyof Bounds;
/** An upstream of routed requests, as configured in the settings. */
export type RoutedUpstream = zod.infer<typeof routedUpstream>;
/** Limits section of the settings. */
export type LimitSettings = zod.infer<typeof limits>;

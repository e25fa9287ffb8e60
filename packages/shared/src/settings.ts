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
    /** Requests the upstream serves at once. */
    slots: zod.number().int().positive().default(64),
  })
  .readonly();

const bounds = zod
  .strictObject({
    /** Time after which a withdrawn key must not be accepted anywhere, in milliseconds. */
    revocationMs: zod.number().positive().default(5_000),
    /** Time in which a configuration must be in force, in milliseconds. */
    configurationMs: zod.number().positive().default(2_000),
    /** Time between the signal to stop and the end of the process, in milliseconds. */
    graceMs: zod.number().positive().default(8_000),
    /** Share of the requests of a roll-out's period that a bad version may get. */
    exposureShare: zod.number().positive().max(1).default(0.15),
    /** Further sends that all routers together may make for each request to a service. */
    repeatShare: zod.number().min(0).default(0.2),
    /** Further sends allowed on top in each window. */
    repeatSlack: zod.number().min(0).default(20),
    /** Window in which further sends are counted, in milliseconds. */
    repeatWindowMs: zod.number().positive().default(10_000),
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
        /** Path of the table of routes, relative to the settings file. */
        routesFile: zod.string().min(1),
        upstreams: zod.array(routedUpstream).readonly(),
        /** Listener that tells the balancer whether new connections are welcome. */
        readyAddress: address,
        bounds: bounds.prefault({}),
      })
      .readonly(),
    zod
      .strictObject({
        kind: zod.literal('managed'),
        /** Name of this router in logs. */
        name: zod.string().min(1),
        /** Store that holds the configuration and lists the upstreams. */
        storeAddress: address,
        /** Listener that tells the balancer whether new connections are welcome. */
        readyAddress: address,
        bounds: bounds.prefault({}),
      })
      .readonly(),
  ])
  .readonly();

const limits = zod
  .strictObject({
    /** Largest request body, in bytes. */
    maxBodyBytes: zod.number().int().positive().default(1_048_576),
    /** Time for a caller to send its headers, in milliseconds. */
    headersTimeoutMs: zod.number().int().positive().default(5_000),
    /** Time without a token after which a stream counts as silent, in milliseconds. */
    silentStreamMs: zod.number().int().positive().default(2_000),
    /** Time for an upstream to send its first byte to an empty prompt, in milliseconds. */
    firstByteTimeoutMs: zod.number().int().positive().default(5_000),
    /** Largest number of billing entries held in memory. */
    maxLedgerEntries: zod.number().int().positive().default(20_000),
  })
  .readonly();

/** Splits `IP:PORT` into its parts. */
export const parseAddress = (text: string): { readonly host: string; readonly port: number } => {
  const separator = text.lastIndexOf(':');
  return {
    host: text.slice(0, separator).replace(/^\[|\]$/g, ''),
    port: Number(text.slice(separator + 1)),
  };
};

/** Schema of the settings file of one router. */
export const settingsSchema = zod
  .strictObject({
    zone: zod.string().min(1),
    callers: address,
    peers: address,
    /** Address under which peers reach this router, when it differs from the one it listens on. */
    advertisedPeers: address.optional(),
    status: address,
    /** Shared secret of the routers' own listener. */
    peerSecret: zod.string().min(16, { message: 'expected at least 16 characters' }),
    /** Peers tried first at start, before the host list answers. */
    seedPeers: zod.array(address).readonly().default([]),
    platform,
    limits: limits.default({
      maxBodyBytes: 1_048_576,
      headersTimeoutMs: 5_000,
      silentStreamMs: 2_000,
      firstByteTimeoutMs: 5_000,
      maxLedgerEntries: 20_000,
    }),
    logLevel: zod.enum(['debug', 'info', 'warn', 'error', 'silent']).default('info'),
  })
  .readonly();

/** Settings of one router. */
export type Settings = zod.infer<typeof settingsSchema>;
/** The platform part of the settings. */
export type PlatformSettings = zod.infer<typeof platform>;
/** One upstream behind routes, as settings name it. */
export type RoutedUpstream = zod.infer<typeof routedUpstream>;
/** Limits of one router. */
export type LimitSettings = zod.infer<typeof limits>;

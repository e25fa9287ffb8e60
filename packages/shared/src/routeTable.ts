import * as zod from 'zod';

const nonEmptyText = zod.string().min(1);

const target = zod.strictObject({ service: nonEmptyText, weight: zod.number().min(0).default(1) });

const route = zod
  .strictObject({
    name: nonEmptyText,
    host: nonEmptyText,
    /** Path prefix that begins and ends with a slash; the longest match wins. */
    prefix: zod.string().regex(/^\/(.*\/)?$/, {
      message: 'expected a path that begins and ends with a slash',
    }),
    /**
     * `safe` requests may be repeated and `unsafe` ones may not. `streaming` ones are answered with
     * events and may be repeated if they are resumable.
     */
    kind: zod.enum(['safe', 'unsafe', 'streaming']),
    /** Services among which the route's traffic is split by weight. */
    targets: zod.array(target).min(1).readonly(),
    /** Timeout of a request, in milliseconds. */
    timeoutMs: zod.number().positive().default(30_000),
    /** Target for the time to the answer, or to a stream's first event, in milliseconds. */
    targetLatencyMs: zod.number().positive().default(1_000),
    /** Target for the time between two events, in milliseconds; null for the default. */
    gapTargetMs: zod.number().positive().nullable().default(null),
    /** Priority of the route's requests; 0 is the most urgent. */
    priority: zod.number().int().min(0).default(0),
    /** Maximum number of sends of one request. */
    maxAttempts: zod.number().int().positive().default(2),
    /** True if requests need no key. */
    isPublic: zod.boolean().default(false),
    /** True if a broken stream may be resumed at another upstream after its last event. */
    isResumable: zod.boolean().default(false),
    /** Models that may answer, smallest first; empty if the request names the model. */
    sizes: zod.array(nonEmptyText).readonly().default([]),
  })
  .readonly();

const engine = zod
  .strictObject({
    /** Maximum batch size. */
    slots: zod.number().int().positive(),
    /** Capacity of the KV cache for prompts and answers, in tokens. */
    memoryTokens: zod.number().positive(),
    /** Number of tokens per stream event. */
    tokensPerEvent: zod.number().positive().default(1),
    models: zod
      .array(zod.strictObject({ name: nonEmptyText, costPerThousandTokens: zod.number().min(0) }))
      .readonly()
      .default([]),
  })
  .readonly();

const service = zod
  .strictObject({
    name: nonEmptyText,
    healthPath: zod.string().startsWith('/').default('/health'),
    /** Maximum number of connections from all routers to one upstream. */
    maxConnections: zod.number().int().positive().default(512),
    /** Time for which an upstream is cold after its start, in milliseconds. */
    coldStartMs: zod.number().min(0).default(0),
    /** Requests a second from all routers together that a cold upstream stands; 0 for any number. */
    coldPerSecond: zod.number().min(0).default(0),
    engine: engine.nullable().default(null),
  })
  .readonly();

const organisation = zod
  .strictObject({
    name: nonEmptyText,
    keys: zod.array(zod.string().min(1)).readonly(),
    /** Priority that overrides the route's, or null. */
    priority: zod.number().int().min(0).nullable().default(null),
  })
  .readonly();

/** Limits on the size and duration of a caller's requests and on idle connections. */
const callerLimits = zod
  .strictObject({
    maxHeaderBytes: zod.number().int().positive().default(16_384),
    maxBodyBytes: zod.number().int().positive().default(4_194_304),
    headersTimeoutMs: zod.number().positive().default(5_000),
    idleTimeoutMs: zod.number().positive().default(15_000),
  })
  .readonly();

/** Schema of a route table. */
export const routeTableSchema = zod
  .strictObject({
    version: zod.number().int().min(0),
    routes: zod.array(route).readonly(),
    services: zod.array(service).readonly(),
    organisations: zod.array(organisation).readonly().default([]),
    limits: callerLimits.prefault({}),
  })
  .readonly();

/** Route table: routes by host and path, their services, and the keys of organisations. */
export type RouteTable = zod.infer<typeof routeTableSchema>;

/** A reference to a service or model that the table does not define. */
interface BrokenReference {
  readonly path: readonly (string | number)[];
  readonly message: string;
}

const listBrokenReferences = ({ routes, services }: RouteTable): readonly BrokenReference[] => {
  const servicesByName = new Map(services.map((listed) => [listed.name, listed]));
  return routes.flatMap(({ targets, sizes }, index) =>
    targets.flatMap((weighted, position): readonly BrokenReference[] => {
      const targetService = servicesByName.get(weighted.service);
      const path = ['routes', index, 'targets', position, 'service'];
      if (targetService === undefined) {
        return [{ path, message: `no service is named "${weighted.service}"` }];
      }
      const models = targetService.engine?.models.map((model) => model.name) ?? [];
      return sizes
        .filter((size) => !models.includes(size))
        .map((size) => ({ path, message: `service "${weighted.service}" has no model "${size}"` }));
    }),
  );
};

/** Schema of a route table in a file; also checks references to services and models. */
export const routeFileSchema = routeTableSchema.superRefine((table, context) => {
  listBrokenReferences(table).forEach(({ path, message }) =>
    context.addIssue({ code: 'custom', path: [...path], message }),
  );
});

/** A route. */
export type Route = RouteTable['routes'][number];
/** A service behind routes. */
export type RoutedService = RouteTable['services'][number];
/** An organisation with its keys. */
export type Organisation = RouteTable['organisations'][number];
/** Limits on callers' requests and connections. */
export type CallerLimits = RouteTable['limits'];

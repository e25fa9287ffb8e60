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
    /** What may be repeated: `safe` work may, `unsafe` work may not, `streaming` answers are events. */
    kind: zod.enum(['safe', 'unsafe', 'streaming']),
    /** Services that share the route's traffic by weight. */
    targets: zod.array(target).min(1).readonly(),
    /** Longest time a caller is kept waiting, in milliseconds. */
    timeoutMs: zod.number().positive().default(30_000),
    /** Time to the answer, or to the first event of a stream, in milliseconds. */
    targetLatencyMs: zod.number().positive().default(1_000),
    /** Longest pause between two events, in milliseconds. */
    gapTargetMs: zod.number().positive().nullable().default(null),
    /** Rank of the route's requests; 0 is the most urgent. */
    priority: zod.number().int().min(0).default(0),
    /** Upstreams that one request may be sent to. */
    maxAttempts: zod.number().int().positive().default(2),
    /** True when no key is asked for. */
    isPublic: zod.boolean().default(false),
    /** True when a stream may go on at another upstream after an event. */
    isResumable: zod.boolean().default(false),
    /** Models that may answer, smallest first; empty when the request names its own. */
    sizes: zod.array(nonEmptyText).readonly().default([]),
  })
  .readonly();

const engine = zod
  .strictObject({
    /** Largest batch. */
    slots: zod.number().int().positive(),
    /** Memory for prompts and answers, in tokens. */
    memoryTokens: zod.number().positive(),
    /** Tokens in one event of a stream. */
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
    /** Connections an upstream accepts from all routers together. */
    maxConnections: zod.number().int().positive().default(512),
    engine: engine.nullable().default(null),
  })
  .readonly();

const organisation = zod
  .strictObject({
    name: nonEmptyText,
    keys: zod.array(zod.string().min(1)).readonly(),
    /** Rank that replaces the route's, or null. */
    priority: zod.number().int().min(0).nullable().default(null),
  })
  .readonly();

/** Bounds on what a caller may send and on how long it may stay idle. */
const callerLimits = zod
  .strictObject({
    maxHeaderBytes: zod.number().int().positive().default(16_384),
    maxBodyBytes: zod.number().int().positive().default(4_194_304),
    headersTimeoutMs: zod.number().positive().default(5_000),
    idleTimeoutMs: zod.number().positive().default(15_000),
  })
  .readonly();

/** Schema of a table of routes, as written in a file of JSON with comments. */
export const routeTableSchema = zod
  .strictObject({
    version: zod.number().int().min(0),
    routes: zod.array(route).readonly(),
    services: zod.array(service).readonly(),
    organisations: zod.array(organisation).readonly().default([]),
    limits: callerLimits.prefault({}),
  })
  .readonly();

/** Routes by host and path, the services behind them, and the keys of organisations. */
export type RouteTable = zod.infer<typeof routeTableSchema>;
/** A reference of a table to something it does not hold. */
interface BrokenReference {
  readonly path: readonly (string | number)[];
  readonly message: string;
}

const listBrokenReferences = ({ routes, services }: RouteTable): readonly BrokenReference[] => {
  const known = new Map(services.map((one) => [one.name, one]));
  return routes.flatMap(({ targets, sizes }, index) =>
    targets.flatMap((one, position): readonly BrokenReference[] => {
      const found = known.get(one.service);
      const path = ['routes', index, 'targets', position, 'service'];
      if (found === undefined) {
        return [{ path, message: `no service is named "${one.service}"` }];
      }
      const models = found.engine?.models.map((model) => model.name) ?? [];
      return sizes
        .filter((size) => !models.includes(size))
        .map((size) => ({ path, message: `service "${one.service}" has no model "${size}"` }));
    }),
  );
};

/** Schema of a table of routes in a file, whose references are checked as well. */
export const routeFileSchema = routeTableSchema.superRefine((table, context) => {
  listBrokenReferences(table).forEach(({ path, message }) =>
    context.addIssue({ code: 'custom', path: [...path], message }),
  );
});

/** One route. */
export type Route = RouteTable['routes'][number];
/** One service behind routes. */
export type RoutedService = RouteTable['services'][number];
/** One organisation with its keys. */
export type Organisation = RouteTable['organisations'][number];
/** Bounds on what callers may send. */
export type CallerLimits = RouteTable['limits'];

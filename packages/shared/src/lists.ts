import * as zod from 'zod';

const name = zod.string().regex(/^[a-z0-9][a-z0-9.-]{0,63}$/, {
  message: 'expected a name of lower-case letters, digits, dots and hyphens',
});

const targets = zod
  .strictObject({
    /** Latency to the first token, in milliseconds. */
    firstTokenMs: zod.number().positive().default(360),
    /** Time between two tokens, in milliseconds. */
    interTokenMs: zod.number().positive().default(25),
    /** Share of requests that must meet the latency targets. */
    latencyShare: zod.number().gt(0).lt(1).default(0.95),
    /** Share of requests that must be answered completely. */
    availability: zod.number().gt(0).lt(1).default(0.999),
  })
  .readonly();

const plan = zod
  .strictObject({
    name,
    models: zod.array(name).readonly(),
    adapters: zod.array(name).readonly().default([]),
    services: zod.array(name).readonly().default([]),
    /** Share of answers that must be rated good. */
    qualityTarget: zod.number().gt(0).lt(1).default(0.8),
    /** Maximum price of one request, in millionths of the billing currency. */
    costCeilingMicros: zod.number().int().positive().default(1_000_000),
    /** Time within which an answer must be complete, in milliseconds. */
    deadlineMs: zod.number().int().positive().default(60_000),
    targets: targets.default({
      firstTokenMs: 360,
      interTokenMs: 25,
      latencyShare: 0.95,
      availability: 0.999,
    }),
  })
  .readonly();

const customer = zod
  .strictObject({
    name,
    plan: name,
    /** SHA-256 of the customer's key, in hexadecimal. */
    keyHash: zod.string().regex(/^[0-9a-f]{64}$/, {
      message: 'expected the SHA-256 of the key as 64 hexadecimal digits',
    }),
    /** Weight of the customer's share of a contended pool, relative to other customers. */
    weight: zod.number().positive().default(1),
  })
  .readonly();

const version = zod
  .strictObject({
    name,
    state: zod.enum(['stable', 'candidate', 'withdrawn']),
    adapters: zod.array(name).readonly().default([]),
  })
  .readonly();

const model = zod
  .strictObject({
    name,
    /** Service whose engines serve the model. */
    service: name,
    /** Price of 1,000 tokens, in millionths of the billing currency. */
    costPerThousandTokensMicros: zod.number().int().positive(),
    versions: zod.array(version).min(1).readonly(),
  })
  .readonly();

const rollout = zod
  .strictObject({
    model: name,
    from: name,
    to: name,
    /** Percentage of sessions on the candidate at each step. */
    steps: zod
      .array(zod.number().gt(0).max(100))
      .min(1)
      .readonly()
      .default([1, 5, 10, 25, 50, 100]),
    step: zod.number().int().min(0).default(0),
    state: zod.enum(['running', 'paused', 'halted', 'finished']),
  })
  .readonly();

const route = zod
  .strictObject({
    path: zod.string().startsWith('/'),
    repeatable: zod.boolean(),
    /** Price of one call, in millionths of the billing currency. */
    costMicros: zod.number().int().min(0).default(0),
  })
  .readonly();

const service = zod
  .strictObject({
    name,
    kind: zod.enum(['engines', 'plain']),
    routes: zod.array(route).readonly().default([]),
  })
  .readonly();

interface Issue {
  readonly path: readonly (string | number)[];
  readonly message: string;
}

const findDuplicates = (list: string, names: readonly string[]): readonly Issue[] =>
  names
    .map((item, index) => ({ item, index }))
    .filter(({ item, index }) => names.indexOf(item) !== index)
    .map(({ item, index }) => ({
      path: [list, index, 'name'],
      message: `expected unique names, found "${item}" twice`,
    }));

const addIssues = (
  issues: readonly Issue[],
  context: {
    readonly addIssue: (issue: { code: 'custom'; path: PropertyKey[]; message: string }) => void;
  },
): void =>
  issues.forEach((issue) =>
    context.addIssue({ code: 'custom', path: [...issue.path], message: issue.message }),
  );

/** Schema of the plans list: plans and customers. */
export const plansListSchema = zod
  .strictObject({ plans: zod.array(plan).readonly(), customers: zod.array(customer).readonly() })
  .readonly()
  .superRefine((list, context) => {
    const plans = list.plans.map((item) => item.name);
    addIssues(findDuplicates('plans', plans), context);
    addIssues(
      findDuplicates(
        'customers',
        list.customers.map((item) => item.name),
      ),
      context,
    );
    const unknown = list.customers.flatMap((item, index): readonly Issue[] =>
      plans.includes(item.plan)
        ? []
        : [{ path: ['customers', index, 'plan'], message: `expected one of ${plans.join(', ')}` }],
    );
    addIssues(unknown, context);
  });

const checkRollout = (models: readonly Model[], item: Rollout, index: number): readonly Issue[] => {
  const rolledOut = models.find((listed) => listed.name === item.model);
  if (rolledOut === undefined) {
    return [{ path: ['rollouts', index, 'model'], message: `expected a model of this list` }];
  }
  const versions = rolledOut.versions.map((listed) => listed.name);
  const fields = (['from', 'to'] as const).flatMap((field): readonly Issue[] =>
    versions.includes(item[field])
      ? []
      : [{ path: ['rollouts', index, field], message: `expected one of ${versions.join(', ')}` }],
  );
  const step: readonly Issue[] =
    item.step < item.steps.length
      ? []
      : [{ path: ['rollouts', index, 'step'], message: `expected less than ${item.steps.length}` }];
  return [...fields, ...step];
};

/** Schema of the models list: services, models with their versions, and roll-outs. */
export const modelsListSchema = zod
  .strictObject({
    services: zod.array(service).readonly(),
    models: zod.array(model).readonly(),
    rollouts: zod.array(rollout).readonly().default([]),
  })
  .readonly()
  .superRefine((list, context) => {
    const services = list.services.map((item) => item.name);
    addIssues(findDuplicates('services', services), context);
    addIssues(
      findDuplicates(
        'models',
        list.models.map((item) => item.name),
      ),
      context,
    );
    const unknown = list.models.flatMap((item, index): readonly Issue[] =>
      services.includes(item.service)
        ? []
        : [
            {
              path: ['models', index, 'service'],
              message: `expected one of ${services.join(', ')}`,
            },
          ],
    );
    addIssues(unknown, context);
    addIssues(
      list.rollouts.flatMap((item, index) => checkRollout(list.models, item, index)),
      context,
    );
  });

/** Plans and customers, maintained by operators. */
export type PlansList = zod.infer<typeof plansListSchema>;
/** Services, models with their versions, and roll-outs, maintained by operators. */
export type ModelsList = zod.infer<typeof modelsListSchema>;
/** A plan: allowed models, adapters and services, targets and limits. */
export type Plan = zod.infer<typeof plan>;
/** A customer with its plan and the hash of its key. */
export type Customer = zod.infer<typeof customer>;
/** A model with its price and versions. */
export type Model = zod.infer<typeof model>;
/** A version of a model. */
export type Version = zod.infer<typeof version>;
/** A roll-out from a stable version to a candidate. */
export type Rollout = zod.infer<typeof rollout>;
/** A service: a pool of engines or of plain servers. */
export type Service = zod.infer<typeof service>;
/** A path of a plain service. */
export type Route = zod.infer<typeof route>;
/** Latency and availability targets of a plan. */
export type Targets = zod.infer<typeof targets>;

/** Plans list and models list of one generation; routers adopt them together. */
export interface Configuration {
  readonly generation: number;
  readonly plans: PlansList;
  readonly models: ModelsList;
  /** Key for signing session tokens, in hexadecimal. */
  readonly signingKey: string;
}

/** Describes each reference of a plan to a model or service missing from the models list. */
export const findBrokenReferences = (plans: PlansList, models: ModelsList): readonly string[] => {
  const modelNames = new Set(models.models.map((item) => item.name));
  const serviceNames = new Set(models.services.map((item) => item.name));
  return plans.plans.flatMap((item) => [
    ...item.models
      .filter((modelName) => !modelNames.has(modelName))
      .map((modelName) => `plan ${item.name}: model ${modelName} is not in the models list`),
    ...item.services
      .filter((serviceName) => !serviceNames.has(serviceName))
      .map((serviceName) => `plan ${item.name}: service ${serviceName} is not in the models list`),
  ]);
};

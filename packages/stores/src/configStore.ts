import * as shared from '@jayrock/shared';
import * as zod from 'zod';
import type * as keyValueStore from './keyValueStore.js';

/** Key of the configuration's head record. */
export const HEAD_KEY = 'config/head';
const PART_PREFIX = 'config/parts/';
/** Maximum length of a part, in characters; the service limits values to one megabyte. */
const MAX_PART_CHARACTERS = 256 * 1_024;
/** Number of edits listed in the head; their parts can still be read. */
const MAX_EDITS = 32;

const editSchema = zod.object({
  id: zod.string(),
  generation: zod.number().int(),
  plans: zod.array(zod.string()),
  models: zod.array(zod.string()),
});

const headSchema = zod.object({
  generation: zod.number().int().min(1),
  plans: zod.array(zod.string()),
  models: zod.array(zod.string()),
  signingKey: zod.string(),
  /** Latest edits, newest first; used to resolve lost commit responses and to show conflicts. */
  edits: zod.array(editSchema),
});

/** Head of the configuration: its generation and the digests of its parts. */
export type ConfigHead = zod.infer<typeof headSchema>;

/** A head with its store revision, which an edit is checked against. */
export interface VersionedHead {
  readonly head: ConfigHead | null;
  readonly revision: number;
}

/** Why a configuration could not be read or written. */
export type ConfigError =
  | { readonly kind: 'store'; readonly error: keyValueStore.KeyValueError }
  | { readonly kind: 'conflict'; readonly current: shared.lists.Configuration | null }
  | { readonly kind: 'invalid'; readonly problems: readonly string[] };

type ConfigOutcome<T> = shared.outcome.Outcome<T, ConfigError>;

const makeStoreError = (error: keyValueStore.KeyValueError): ConfigError => ({
  kind: 'store',
  error,
});

const makeInvalid = (...problems: readonly string[]): shared.outcome.Failed<ConfigError> =>
  shared.outcome.makeFailed({ kind: 'invalid', problems });

const parseJson = (text: string): unknown => {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
};

/** Parses the text of a head; returns null if it is invalid. */
export const parseHead = (text: string): ConfigHead | null => {
  const parsed = headSchema.safeParse(parseJson(text));
  return parsed.success ? parsed.data : null;
};

/** Reads the head of the configuration; `head` is null before the first configuration. */
export const readHead = async (
  store: keyValueStore.KeyValueStore,
): Promise<ConfigOutcome<VersionedHead>> => {
  const found = await store.get(HEAD_KEY, 'configuration');
  if (!found.ok) {
    return shared.outcome.makeFailed(makeStoreError(found.error));
  }
  if (found.value === null) {
    return shared.outcome.makeOk({ head: null, revision: 0 });
  }
  const head = parseHead(found.value.value);
  return head === null
    ? makeInvalid('the head of the configuration is not valid')
    : shared.outcome.makeOk({ head, revision: found.value.revision });
};

const readParts = async (
  store: keyValueStore.KeyValueStore,
  digests: readonly string[],
): Promise<ConfigOutcome<string>> => {
  const parts = await Promise.all(
    digests.map((digest) => store.get(`${PART_PREFIX}${digest}`, 'configuration')),
  );
  const failed = parts.find((part) => !part.ok);
  if (failed !== undefined && !failed.ok) {
    return shared.outcome.makeFailed(makeStoreError(failed.error));
  }
  const texts = parts.map((part) => (part.ok ? (part.value?.value ?? null) : null));
  const isIntact = texts.every(
    (text, index) => text !== null && shared.hash.hashDigest(text) === digests[index],
  );
  return isIntact
    ? shared.outcome.makeOk(texts.join(''))
    : makeInvalid('a part of the configuration is missing or damaged');
};

/** Validates both lists and their references; any problem rejects the whole configuration. */
export const validateConfiguration = (
  value: unknown,
): ConfigOutcome<shared.lists.Configuration> => {
  const schema = zod.object({
    generation: zod.number().int().min(1),
    plans: shared.lists.plansListSchema,
    models: shared.lists.modelsListSchema,
    signingKey: zod.string().min(32),
  });
  const parsed = schema.safeParse(value);
  if (!parsed.success) {
    return makeInvalid(
      ...parsed.error.issues.map((issue) => `${issue.path.join('.')}: ${issue.message}`),
    );
  }
  const broken = shared.lists.findBrokenReferences(parsed.data.plans, parsed.data.models);
  return broken.length > 0 ? makeInvalid(...broken) : shared.outcome.makeOk(parsed.data);
};

/** Fetches the parts listed in a head and validates the assembled configuration. */
export const fetchConfiguration = async (
  store: keyValueStore.KeyValueStore,
  head: ConfigHead,
): Promise<ConfigOutcome<shared.lists.Configuration>> => {
  const plans = await readParts(store, head.plans);
  if (!plans.ok) {
    return plans;
  }
  const models = await readParts(store, head.models);
  if (!models.ok) {
    return models;
  }
  return validateConfiguration({
    generation: head.generation,
    plans: parseJson(plans.value),
    models: parseJson(models.value),
    signingKey: head.signingKey,
  });
};

/** Reads a generation; returns null if the head no longer lists it. */
export const readGeneration = async (
  store: keyValueStore.KeyValueStore,
  generation: number,
): Promise<ConfigOutcome<shared.lists.Configuration | null>> => {
  const found = await readHead(store);
  if (!found.ok) {
    return found;
  }
  const { head } = found.value;
  const edit = head?.edits.find((listed) => listed.generation === generation);
  return head === null || edit === undefined
    ? shared.outcome.makeOk(null)
    : fetchConfiguration(store, { ...head, ...edit });
};

/** Reads the current configuration; returns null before the first one. */
export const readConfiguration = async (
  store: keyValueStore.KeyValueStore,
): Promise<ConfigOutcome<shared.lists.Configuration | null>> => {
  const head = await readHead(store);
  if (!head.ok) {
    return head;
  }
  return head.value.head === null
    ? shared.outcome.makeOk(null)
    : fetchConfiguration(store, head.value.head);
};

const splitParts = (text: string): readonly string[] =>
  Array.from({ length: Math.ceil(text.length / MAX_PART_CHARACTERS) }, (_, index) =>
    text.slice(index * MAX_PART_CHARACTERS, (index + 1) * MAX_PART_CHARACTERS),
  );

const makePuts = (parts: readonly string[]): readonly keyValueStore.KeyValuePut[] =>
  parts.map((value) => ({ key: `${PART_PREFIX}${shared.hash.hashDigest(value)}`, value }));

const writeParts = async (
  store: keyValueStore.KeyValueStore,
  parts: readonly string[],
): Promise<boolean> => {
  // Parts are content-addressed, so writing one twice is idempotent.
  const results = await Promise.all(
    makePuts(parts).map((put) => store.commit({ checks: [], puts: [put] }, 'configuration')),
  );
  return results.every((result) => result.ok);
};

const makeHead = (
  configuration: shared.lists.Configuration,
  previous: ConfigHead | null,
  plans: readonly string[],
  models: readonly string[],
): ConfigHead => ({
  generation: configuration.generation,
  plans: plans.map(shared.hash.hashDigest),
  models: models.map(shared.hash.hashDigest),
  signingKey: configuration.signingKey,
  edits: [
    {
      id: shared.requestId.makeRequestId(),
      generation: configuration.generation,
      plans: plans.map(shared.hash.hashDigest),
      models: models.map(shared.hash.hashDigest),
    },
    ...(previous?.edits ?? []),
  ].slice(0, MAX_EDITS),
});

/**
 * Reads the head back to find out whether a commit whose response was lost took effect. The head
 * lists the edit's id even after later edits, as in "Automatic Idempotency (FoundationDB design
 * doc)".
 */
const resolveLostCommit = async (
  store: keyValueStore.KeyValueStore,
  written: ConfigHead,
): Promise<ConfigOutcome<boolean>> => {
  const read = await readHead(store);
  if (!read.ok) {
    return read;
  }
  const id = written.edits[0]?.id;
  const edits = read.value.head?.edits ?? [];
  return shared.outcome.makeOk(edits.some((edit) => edit.id === id));
};

const failWithConflict = async (
  store: keyValueStore.KeyValueStore,
): Promise<shared.outcome.Failed<ConfigError>> => {
  const current = await readConfiguration(store);
  return shared.outcome.makeFailed({
    kind: 'conflict',
    current: current.ok ? current.value : null,
  });
};

/**
 * Writes a configuration that was derived from a base head.
 * Fails with a conflict if the head has been changed since the base was read.
 */
export const writeConfiguration = async (
  store: keyValueStore.KeyValueStore,
  configuration: shared.lists.Configuration,
  base: VersionedHead,
): Promise<ConfigOutcome<shared.lists.Configuration>> => {
  const checked = validateConfiguration(configuration);
  if (!checked.ok) {
    return checked;
  }
  const plans = splitParts(JSON.stringify(configuration.plans));
  const models = splitParts(JSON.stringify(configuration.models));
  if (!(await writeParts(store, [...plans, ...models]))) {
    return shared.outcome.makeFailed(makeStoreError('refused'));
  }
  const head = makeHead(configuration, base.head, plans, models);
  const result = await store.commit(
    {
      checks: [{ key: HEAD_KEY, revision: base.revision }],
      puts: [{ key: HEAD_KEY, value: JSON.stringify(head) }],
    },
    'configuration',
  );
  if (result.ok) {
    return result.value.isCommitted
      ? shared.outcome.makeOk(configuration)
      : failWithConflict(store);
  }
  if (result.error !== 'unknown') {
    return shared.outcome.makeFailed(makeStoreError(result.error));
  }
  const committed = await resolveLostCommit(store, head);
  if (!committed.ok) {
    return committed;
  }
  return committed.value ? shared.outcome.makeOk(configuration) : failWithConflict(store);
};

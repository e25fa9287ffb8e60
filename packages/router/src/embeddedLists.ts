import * as crypto from 'node:crypto';
import * as fs from 'node:fs';
import * as stores from '@jayrock/stores';
import * as shared from '@jayrock/shared';

/** Paths of the plans list and the models list of an embedded platform. */
export interface ListFiles {
  readonly plansFile: string;
  readonly modelsFile: string;
}

/** Interval at which the list files are checked for changes, in milliseconds. */
const WATCH_INTERVAL_MS = 500;
const SIGNING_KEY_BYTES = 32;

type Problems = readonly shared.jsonc.FileProblem[];

const makeReferenceProblem = (file: string, message: string): shared.jsonc.FileProblem => ({
  file,
  line: 1,
  field: 'plans',
  message,
});

/** Loads and validates both lists, including the references between them. */
export const loadLists = (
  files: ListFiles,
): shared.outcome.Outcome<
  { readonly plans: shared.lists.PlansList; readonly models: shared.lists.ModelsList },
  Problems
> => {
  const plans = shared.jsonc.loadJsonc(files.plansFile, shared.lists.plansListSchema);
  const models = shared.jsonc.loadJsonc(files.modelsFile, shared.lists.modelsListSchema);
  if (!plans.ok || !models.ok) {
    return shared.outcome.makeFailed([
      ...(plans.ok ? [] : plans.error),
      ...(models.ok ? [] : models.error),
    ]);
  }
  const brokenReferences = shared.lists.findBrokenReferences(plans.value, models.value);
  return brokenReferences.length > 0
    ? shared.outcome.makeFailed(
        brokenReferences.map((message) => makeReferenceProblem(files.plansFile, message)),
      )
    : shared.outcome.makeOk({ plans: plans.value, models: models.value });
};

/** Writes both lists to the store as the next generation and returns its number. */
export const loadIntoStore = async (
  store: stores.keyValueStore.KeyValueStore,
  files: ListFiles,
): Promise<shared.outcome.Outcome<number, Problems>> => {
  const lists = loadLists(files);
  if (!lists.ok) {
    return lists;
  }
  const read = await stores.configStore.readHead(store);
  const stored = read.ok ? read.value : { head: null, revision: 0 };
  const generation = (stored.head?.generation ?? 0) + 1;
  const signingKey =
    stored.head?.signingKey ?? crypto.randomBytes(SIGNING_KEY_BYTES).toString('hex');
  await stores.configStore.writeConfiguration(
    store,
    { generation, signingKey, ...lists.value },
    stored,
  );
  return shared.outcome.makeOk(generation);
};

const readModifiedAtMs = (file: string): number => {
  try {
    return fs.statSync(file).mtimeMs;
  } catch {
    return 0;
  }
};

/** Reloads the lists whenever a file changes. Returns a function that stops watching. */
export const watchFiles = (
  store: stores.keyValueStore.KeyValueStore,
  files: ListFiles,
): (() => void) => {
  const readModificationTimes = (): string =>
    `${readModifiedAtMs(files.plansFile)}|${readModifiedAtMs(files.modelsFile)}`;
  let lastTimes = readModificationTimes();
  const timer = setInterval(() => {
    const times = readModificationTimes();
    if (times !== lastTimes) {
      lastTimes = times;
      loadIntoStore(store, files).catch(() => undefined);
    }
  }, WATCH_INTERVAL_MS);
  return () => clearInterval(timer);
};

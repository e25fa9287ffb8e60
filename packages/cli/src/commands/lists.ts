import * as fs from 'node:fs';
import * as stores from '@jayrock/stores';
import * as shared from '@jayrock/shared';
import * as listDiff from '../listDiff.js';
import * as output from '../output.js';
import * as target from '../target.js';
import * as waitInForce from './waitInForce.js';

/** Name of a list. */
export type ListName = 'plans' | 'models';

/** Options of `plans` and `models`. */
export interface ListOptions extends target.TargetOptions {
  /** Generation that the file is based on. */
  readonly base?: number;
  readonly wait?: boolean;
}

type Store = stores.keyValueStore.KeyValueStore;
type Configuration = shared.lists.Configuration;

const SCHEMAS = {
  plans: shared.lists.plansListSchema,
  models: shared.lists.modelsListSchema,
} as const;

const BASE_COMMENT = /^\/\/ generation (\d+)/m;

const printStoreError = (error: stores.configStore.ConfigError): number => {
  output.printError(
    error.kind === 'invalid' ? error.problems.join('\n') : 'the key-value service does not answer',
  );
  return error.kind === 'invalid' ? output.EXIT_CODE.failed : output.EXIT_CODE.unreachable;
};

const getList = async (store: Store, name: ListName, options: ListOptions): Promise<number> => {
  const found = await stores.configStore.readConfiguration(store);
  if (!found.ok) {
    return printStoreError(found.error);
  }
  if (found.value === null) {
    output.printError('there is no configuration yet');
    return output.EXIT_CODE.failed;
  }
  if (options.json !== true) {
    output.printLine(`// generation ${found.value.generation}`);
  }
  output.printJson(found.value[name]);
  return output.EXIT_CODE.ok;
};

interface ListFile {
  readonly value: shared.lists.PlansList | shared.lists.ModelsList;
  readonly base: number | undefined;
}

const loadListFile = (file: string, name: ListName): ListFile | null => {
  const parsed = shared.jsonc.loadJsonc<ListFile['value']>(file, SCHEMAS[name]);
  if (!parsed.ok) {
    parsed.error.forEach((problem) => output.printError(shared.jsonc.formatProblem(problem)));
    return null;
  }
  const comment = BASE_COMMENT.exec(fs.readFileSync(file, 'utf8'))?.[1];
  return { value: parsed.value, base: comment === undefined ? undefined : Number(comment) };
};

const diffList = async (
  store: Store,
  name: ListName,
  file: string,
  options: ListOptions,
): Promise<number> => {
  const loaded = loadListFile(file, name);
  const found = await stores.configStore.readConfiguration(store);
  if (loaded === null) {
    return output.EXIT_CODE.failed;
  }
  if (!found.ok) {
    return printStoreError(found.error);
  }
  const lines = listDiff.diffLists(found.value?.[name] ?? {}, loaded.value);
  if (options.json === true) {
    output.printJson(lines);
  } else {
    output.printLine(lines.length === 0 ? 'no differences' : lines.join('\n'));
  }
  return output.EXIT_CODE.ok;
};

const printConflict = (
  name: ListName,
  base: Configuration | null,
  current: Configuration | null,
  proposed: ListFile['value'],
): number => {
  output.printError('another operator changed this list in the meantime; nothing was applied');
  output.printError('their change:');
  listDiff
    .diffLists(base?.[name] ?? {}, current?.[name] ?? {})
    .forEach((line) => output.printError(`  ${line}`));
  output.printError('your change:');
  listDiff
    .diffLists(base?.[name] ?? {}, proposed)
    .forEach((line) => output.printError(`  ${line}`));
  output.printError(`get the list again, or repeat with --base ${current?.generation ?? 0}`);
  return output.EXIT_CODE.conflict;
};

const hasListChanged = (
  name: ListName,
  a: Configuration | null,
  b: Configuration | null,
): boolean => JSON.stringify(a?.[name]) !== JSON.stringify(b?.[name]);

const replaceList = (name: ListName, value: ListFile['value']): stores.configEdits.ListEdit => {
  const empty = {
    plans: { plans: [], customers: [] },
    models: { services: [], models: [], rollouts: [] },
  };
  return (lists) => {
    const next = { ...(lists ?? empty), [name]: value };
    return shared.outcome.makeOk({ plans: next.plans, models: next.models });
  };
};

const printApplied = async (
  configuration: Configuration,
  options: ListOptions,
): Promise<number> => {
  if (options.json === true) {
    output.printJson({ generation: configuration.generation });
  } else {
    output.printLine(`applied as generation ${configuration.generation}`);
  }
  return options.wait === true
    ? waitInForce.waitInForce(configuration.generation, options)
    : output.EXIT_CODE.ok;
};

const applyOnBase = async (
  store: Store,
  name: ListName,
  loaded: ListFile,
  options: ListOptions,
): Promise<number> => {
  const current = await stores.configStore.readConfiguration(store);
  if (!current.ok) {
    return printStoreError(current.error);
  }
  const baseGeneration = options.base ?? loaded.base ?? current.value?.generation;
  const base =
    baseGeneration === undefined
      ? shared.outcome.makeOk(null)
      : await stores.configStore.readGeneration(store, baseGeneration);
  const baseConfiguration = base.ok ? base.value : null;
  if (hasListChanged(name, baseConfiguration, current.value)) {
    return printConflict(name, baseConfiguration, current.value, loaded.value);
  }
  const result = await stores.configEdits.editOnce(
    store,
    replaceList(name, loaded.value),
    current.value?.generation ?? 0,
  );
  if (result.ok) {
    return printApplied(result.value, options);
  }
  const { error } = result;
  if (error.kind === 'conflict') {
    return printConflict(name, baseConfiguration, error.current, loaded.value);
  }
  if (error.kind === 'rejected') {
    output.printError(error.reason);
    return output.EXIT_CODE.failed;
  }
  return printStoreError(error);
};

const applyList = async (
  store: Store,
  name: ListName,
  file: string,
  options: ListOptions,
): Promise<number> => {
  const loaded = loadListFile(file, name);
  return loaded === null ? output.EXIT_CODE.failed : applyOnBase(store, name, loaded, options);
};

type Action = (store: Store, name: ListName, file: string, options: ListOptions) => Promise<number>;

const ACTIONS: ReadonlyMap<string, Action> = new Map<string, Action>([
  ['get', (store, name, _, options) => getList(store, name, options)],
  ['diff', diffList],
  ['apply', applyList],
]);

/** Runs an action of `plans` or `models` and returns the exit code. */
export const runList = async (
  name: ListName,
  action: string,
  file: string | undefined,
  options: ListOptions,
): Promise<number> => {
  const run = ACTIONS.get(action);
  if (run === undefined || (file === undefined && action !== 'get')) {
    output.printError(`usage: jayrock ${name} get | apply FILE | diff FILE`);
    return output.EXIT_CODE.usage;
  }
  const store = target.openStore(options);
  if (!store.ok) {
    output.printError(store.error);
    return output.EXIT_CODE.usage;
  }
  const exitCode = await run(store.value, name, file ?? '', options);
  await store.value.close();
  return exitCode;
};

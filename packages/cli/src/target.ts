import * as stores from '@jayrock/stores';
import * as shared from '@jayrock/shared';
import * as undici from 'undici';

/** Options that say which platform and routers a command talks to. */
export interface TargetOptions {
  readonly settings?: string;
  readonly store?: string;
  readonly routers?: string;
  readonly json?: boolean;
}

type TargetOutcome<T> = shared.outcome.Outcome<T, string>;

const ROUTER_TIMEOUT_MS = 2_000;

const loadSettings = (file: string): TargetOutcome<shared.settings.Settings> => {
  const loaded = shared.jsonc.loadJsonc(file, shared.settings.settingsSchema);
  return loaded.ok
    ? loaded
    : shared.outcome.makeFailed(loaded.error.map(shared.jsonc.formatProblem).join('\n'));
};

const findStoreAddress = (options: TargetOptions): TargetOutcome<string> => {
  if (options.store !== undefined) {
    return shared.outcome.makeOk(options.store);
  }
  if (options.settings === undefined) {
    return shared.outcome.makeFailed('name the key-value service by --store or --settings');
  }
  const settings = loadSettings(options.settings);
  if (!settings.ok) {
    return settings;
  }
  return settings.value.platform.kind === 'service'
    ? shared.outcome.makeOk(settings.value.platform.keyValueAddress)
    : shared.outcome.makeFailed(
        'this site keeps its lists in files: edit them, the router reads them within a second',
      );
};

/** Opens the key-value service that the options name. */
export const openStore = (
  options: TargetOptions,
): TargetOutcome<stores.keyValueStore.KeyValueStore> => {
  const address = findStoreAddress(options);
  return address.ok
    ? shared.outcome.makeOk(stores.etcdStore.openEtcdStore(address.value))
    : address;
};

/** Lists the status addresses of the routers that the options name. */
export const listRouters = (options: TargetOptions): TargetOutcome<readonly string[]> => {
  if (options.routers !== undefined) {
    return shared.outcome.makeOk(options.routers.split(','));
  }
  if (options.settings === undefined) {
    return shared.outcome.makeFailed('name routers by --routers or --settings');
  }
  const settings = loadSettings(options.settings);
  return settings.ok ? shared.outcome.makeOk([settings.value.status]) : settings;
};

/** Reads a page of a router's status listener, or null when it does not answer. */
export const fetchPage = async <T>(address: string, path: string): Promise<T | null> => {
  try {
    const response = await undici.request(`http://${address}${path}`, {
      signal: AbortSignal.timeout(ROUTER_TIMEOUT_MS),
    });
    return (await response.body.json()) as T;
  } catch {
    return null;
  }
};

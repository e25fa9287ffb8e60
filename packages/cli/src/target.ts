import * as stores from '@jayrock/stores';
import * as platform from '@jayrock/platform';
import * as shared from '@jayrock/shared';
import * as undici from 'undici';

/** Options that select the key-value service and the routers of a command. */
export interface TargetOptions {
  readonly settings?: string;
  readonly store?: string;
  readonly routers?: string;
  readonly json?: boolean;
}

type TargetOutcome<T> = shared.outcome.Outcome<T, string>;

/** Timeout of a request to a router's status listener, in milliseconds. */
const ROUTER_TIMEOUT_MS = 2_000;

const loadSettings = (file: string): TargetOutcome<shared.settings.Settings> => {
  const loaded = shared.jsonc.loadJsonc(file, platform.deploymentSettings.settingsSchema);
  return loaded.ok
    ? loaded
    : shared.outcome.makeFailed(loaded.error.map(shared.jsonc.formatProblem).join('\n'));
};

const findStoreAddress = (options: TargetOptions): TargetOutcome<string> => {
  if (options.store !== undefined) {
    return shared.outcome.makeOk(options.store);
  }
  if (options.settings === undefined) {
    return shared.outcome.makeFailed('give the key-value service by --store or --settings');
  }
  const settings = loadSettings(options.settings);
  if (!settings.ok) {
    return settings;
  }
  return settings.value.platform.kind === 'service'
    ? shared.outcome.makeOk(settings.value.platform.keyValueAddress)
    : shared.outcome.makeFailed(
        'the lists of this site are files: edit them, and the router reads them within a second',
      );
};

/** Opens the key-value service given by the options, or fails with a message. */
export const openStore = (
  options: TargetOptions,
): TargetOutcome<stores.keyValueStore.KeyValueStore> => {
  const address = findStoreAddress(options);
  return address.ok
    ? shared.outcome.makeOk(stores.etcdStore.openEtcdStore(address.value))
    : address;
};

/** Lists the status addresses of the routers given by the options, or fails with a message. */
export const listRouters = (options: TargetOptions): TargetOutcome<readonly string[]> => {
  if (options.routers !== undefined) {
    return shared.outcome.makeOk(options.routers.split(','));
  }
  if (options.settings === undefined) {
    return shared.outcome.makeFailed('give routers by --routers or --settings');
  }
  const settings = loadSettings(options.settings);
  return settings.ok ? shared.outcome.makeOk([settings.value.status]) : settings;
};

/** Fetches a JSON page of a router's status listener; returns null on an error or timeout. */
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

import * as path from 'node:path';
import * as stores from '@jayrock/stores';
import * as shared from '@jayrock/shared';
import * as undici from 'undici';
import * as embeddedLists from './embeddedLists.js';

/** Clients of the platform's services that one router uses. */
export interface Platform {
  readonly store: stores.keyValueStore.KeyValueStore;
  readonly hostList: stores.hostList.HostList;
  readonly rating: stores.ratingService.RatingService;
  readonly close: () => Promise<void>;
}

type OpenResult = shared.outcome.Outcome<Platform, readonly shared.jsonc.FileProblem[]>;

const openRating = (address: string | undefined): stores.ratingService.RatingService =>
  address === undefined
    ? stores.ratingService.NO_RATING_SERVICE
    : stores.ratingService.openRatingService(address);

type Embedded = Extract<shared.settings.PlatformSettings, { kind: 'embedded' }>;

const openEmbedded = async (settings: Embedded, baseDir: string): Promise<OpenResult> => {
  const store = stores.memoryStore.openMemoryStore();
  const files = {
    plansFile: path.resolve(baseDir, settings.plansFile),
    modelsFile: path.resolve(baseDir, settings.modelsFile),
  };
  const loaded = await embeddedLists.loadIntoStore(store, files);
  if (!loaded.ok) {
    return loaded;
  }
  const stopWatching = embeddedLists.watchFiles(store, files);
  const hosts = settings.upstreams.map((upstream) => ({ ...upstream, state: 'live' as const }));
  return shared.outcome.makeOk({
    store,
    hostList: stores.hostList.makeStaticHostList(hosts),
    rating: openRating(settings.ratingAddress),
    close: async () => stopWatching(),
  });
};

/** Settings of the platforms whose services are called with this project's own protocols. */
export type OwnPlatform = Extract<
  shared.settings.PlatformSettings,
  { kind: 'embedded' | 'service' }
>;

type Service = Extract<shared.settings.PlatformSettings, { kind: 'service' }>;

const openService = async (settings: Service, localAddress: string): Promise<OpenResult> => {
  const store = stores.etcdStore.openEtcdStore(settings.keyValueAddress, localAddress);
  const agent = new undici.Agent({ localAddress });
  return shared.outcome.makeOk({
    store,
    hostList: stores.hostList.openHostList(settings.hostListAddress, agent),
    rating: openRating(settings.ratingAddress),
    close: async () => {
      await Promise.all([store.close(), agent.destroy()]);
    },
  });
};

/** Opens the platform given by the settings; relative paths are resolved against `baseDir`. */
export const openPlatform = (
  settings: OwnPlatform,
  baseDir: string,
  localAddress: string,
): Promise<OpenResult> =>
  settings.kind === 'embedded'
    ? openEmbedded(settings, baseDir)
    : openService(settings, localAddress);

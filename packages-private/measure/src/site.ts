import * as path from 'node:path';
import * as url from 'node:url';
import * as shared from '@jayrock/shared';
import * as standIns from '@jayrock/stand-ins';

/** The stand-ins of an example site. */
export interface SiteStandIns {
  readonly engines: readonly standIns.engine.Engine[];
  readonly plainServices: readonly standIns.plainService.PlainService[];
  readonly rating: standIns.control.StandIn;
  /** Number of runs of plain calls over all servers, by request id. */
  readonly runCounts: ReadonlyMap<string, number>;
  readonly close: () => Promise<void>;
}

/** One of the two example sites. */
export type SiteName = 'ledgerline' | 'cremona';

const ROOT = path.resolve(path.dirname(url.fileURLToPath(import.meta.url)), '../../../..');

/** Returns the folder of an example site. */
export const getSiteDir = (site: SiteName): string => path.join(ROOT, 'examples', site);

/** Loads the settings of a small site; throws if they are invalid. */
export const loadSmallSite = (site: SiteName): shared.settings.Settings => {
  const loaded = shared.jsonc.loadJsonc(
    path.join(getSiteDir(site), 'small-site.jsonc'),
    shared.settings.settingsSchema,
  );
  if (!loaded.ok) {
    throw new Error(loaded.error.map(shared.jsonc.formatProblem).join('\n'));
  }
  return loaded.value;
};

/** Loads the models list of a site; throws if it is invalid. */
export const loadModels = (site: SiteName): shared.lists.ModelsList => {
  const loaded = shared.jsonc.loadJsonc(
    path.join(getSiteDir(site), 'models.jsonc'),
    shared.lists.modelsListSchema,
  );
  if (!loaded.ok) {
    throw new Error(loaded.error.map(shared.jsonc.formatProblem).join('\n'));
  }
  return loaded.value;
};

/** Loads the plans list of a site; throws if it is invalid. */
export const loadPlans = (site: SiteName): shared.lists.PlansList => {
  const loaded = shared.jsonc.loadJsonc(
    path.join(getSiteDir(site), 'plans.jsonc'),
    shared.lists.plansListSchema,
  );
  if (!loaded.ok) {
    throw new Error(loaded.error.map(shared.jsonc.formatProblem).join('\n'));
  }
  return loaded.value;
};

/** Lists every version of a models list as `model@version`. */
export const listVersions = (models: shared.lists.ModelsList): readonly string[] =>
  models.models.flatMap((model) =>
    model.versions.map((version) => `${model.name}@${version.name}`),
  );

/** Makes a rule: only the most expensive model answers hard prompts well, every model easy ones. */
export const rateByDifficulty =
  (models: shared.lists.ModelsList): standIns.ratingServer.QualityRule =>
  (versionId, prompt) => {
    const prices = models.models.map((model) => model.costPerThousandTokensMicros);
    const model = models.models.find((item) => versionId.startsWith(`${item.name}@`));
    const isLargest = model?.costPerThousandTokensMicros === Math.max(...prices);
    return isLargest || !prompt.includes('[hard]') ? 0.95 : 0.2;
  };

type Upstreams = Extract<shared.settings.PlatformSettings, { kind: 'embedded' }>['upstreams'];

const getPort = (address: string): number => Number(address.split(':')[1]);

/** Engines of a site differ in speed, like servers bought over several years. */
const ENGINE_MS_PER_TOKEN = [5, 5, 6, 7, 8, 10] as const;
const ENGINE_SLOTS = 16;

/** Starts the stand-ins that the settings of a site name. */
export const startSite = async (
  site: SiteName,
  upstreams: Upstreams,
  ratingPort: number,
): Promise<SiteStandIns> => {
  const models = loadModels(site);
  const loaded = listVersions(models);
  const runCounts = new Map<string, number>();
  const isPlain = (service: string): boolean =>
    models.services.some((item) => item.name === service && item.kind === 'plain');
  const engines = await Promise.all(
    upstreams
      .filter((upstream) => !isPlain(upstream.service))
      .map((upstream, index) =>
        standIns.engine.startEngine({
          id: upstream.id,
          port: getPort(upstream.address),
          slots: ENGINE_SLOTS,
          loaded,
          msPerToken: ENGINE_MS_PER_TOKEN[index % ENGINE_MS_PER_TOKEN.length] ?? 5,
          msPerThousandPromptTokens: 40,
        }),
      ),
  );
  const plainServices = await Promise.all(
    upstreams
      .filter((upstream) => isPlain(upstream.service))
      .map((upstream) =>
        standIns.plainService.startPlainService({
          id: upstream.id,
          port: getPort(upstream.address),
          workMs: 5,
          runCounts,
        }),
      ),
  );
  const rating = await standIns.ratingServer.startRatingServer(
    rateByDifficulty(models),
    50,
    ratingPort,
  );
  return {
    engines,
    plainServices,
    rating,
    runCounts,
    close: async () => {
      await Promise.all([...engines, ...plainServices, rating].map((item) => item.close()));
    },
  };
};

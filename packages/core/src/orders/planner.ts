import type * as configIndex from '../configIndex.js';
import type * as upstreamState from '../upstreamState.js';
import type * as versionId from '../versionId.js';

/** Input of the plan of which engine loads which version. */
export interface PlanQuery {
  readonly config: configIndex.ConfigIndex;
  /** Live engines of the zone. */
  readonly engines: readonly upstreamState.UpstreamState[];
  /** Demand for each model, in tokens a second. */
  readonly demand: ReadonlyMap<string, number>;
}

/** Current and target placement of a version on the engines of a zone. */
export interface VersionNeed {
  readonly id: versionId.VersionId;
  /** Number of engines on which it should be loaded. */
  readonly targetCount: number;
  /** Engines that have it loaded. */
  readonly holders: readonly upstreamState.UpstreamState[];
}

/** Assumed generation rate of one slot of an engine, in tokens a second. */
const TOKENS_PER_SLOT = 20;
/** Share of an engine's capacity that planned demand may fill. */
const TARGET_SHARE = 0.7;
/** Minimum number of engines of a served version, so that it survives the loss of one host. */
const MIN_HOLDERS = 2;

const isServed = (config: configIndex.ConfigIndex, info: configIndex.VersionInfo): boolean => {
  const rollout = config.openRollouts.get(info.model);
  return (
    info.state === 'stable' ||
    (info.state === 'candidate' && rollout?.to === info.version && rollout.state !== 'halted')
  );
};

/** Returns the share of a model's demand that a version is expected to get. */
const getShare = (config: configIndex.ConfigIndex, info: configIndex.VersionInfo): number => {
  const rollout = config.openRollouts.get(info.model);
  if (rollout === undefined) {
    return 1;
  }
  const candidateShare = (rollout.steps[rollout.step] ?? 0) / 100;
  return rollout.to === info.version ? candidateShare : 1 - candidateShare;
};

const computeCapacity = (engine: upstreamState.UpstreamState): number =>
  engine.slots * TOKENS_PER_SLOT * TARGET_SHARE;

const makeNeed = (query: PlanQuery, info: configIndex.VersionInfo): VersionNeed => {
  const engines = query.engines.filter((engine) => engine.host.service === info.service);
  const demand = (query.demand.get(info.model) ?? 0) * getShare(query.config, info);
  const capacityPerEngine =
    engines.reduce((sum, engine) => sum + computeCapacity(engine), 0) / Math.max(1, engines.length);
  const countForDemand = capacityPerEngine > 0 ? Math.ceil(demand / capacityPerEngine) : 0;
  const target = isServed(query.config, info) ? Math.max(MIN_HOLDERS, countForDemand) : 0;
  return {
    id: info.id,
    targetCount: Math.min(target, engines.length),
    holders: engines.filter((engine) => engine.loaded.includes(info.id)),
  };
};

/** Lists the current and target placement of every version of the configuration. */
export const listNeeds = (query: PlanQuery): readonly VersionNeed[] =>
  Array.from(query.config.versions.values()).map((info) => makeNeed(query, info));

const compareForLoading = (
  a: upstreamState.UpstreamState,
  b: upstreamState.UpstreamState,
): number =>
  a.loaded.length - b.loaded.length || a.inFlight - b.inFlight || (a.host.id < b.host.id ? -1 : 1);

/** Picks the engine that should load a version next. */
export const pickEngineToLoad = (
  query: PlanQuery,
  need: VersionNeed,
): upstreamState.UpstreamState | undefined => {
  const service = query.config.versions.get(need.id)?.service;
  return query.engines
    .filter((engine) => engine.host.service === service && !engine.loaded.includes(need.id))
    .toSorted(compareForLoading)
    .at(0);
};

/** Picks the engine that should unload a version next. */
export const pickEngineToUnload = (need: VersionNeed): upstreamState.UpstreamState | undefined =>
  need.holders.toSorted((a, b) => compareForLoading(b, a)).at(0);

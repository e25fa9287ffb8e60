import * as shared from '@jayrock/shared';
import * as versionId from './versionId.js';

/** A version of the models list together with the fields of its model. */
export interface VersionInfo {
  readonly id: versionId.VersionId;
  readonly model: string;
  readonly version: string;
  readonly service: string;
  readonly state: 'stable' | 'candidate' | 'withdrawn';
  readonly adapters: readonly string[];
  readonly costPerThousandTokensMicros: number;
}

/** An adopted configuration with its lookup indexes. */
export interface ConfigIndex {
  readonly generation: number;
  readonly source: shared.lists.Configuration;
  readonly customers: ReadonlyMap<string, shared.lists.Customer>;
  /** Customers by the hash of their key. */
  readonly customersByKeyHash: ReadonlyMap<string, shared.lists.Customer>;
  readonly plans: ReadonlyMap<string, shared.lists.Plan>;
  readonly models: ReadonlyMap<string, shared.lists.Model>;
  readonly versions: ReadonlyMap<versionId.VersionId, VersionInfo>;
  readonly services: ReadonlyMap<string, shared.lists.Service>;
  /**
   * Roll-outs whose versions are compared, by model: open ones, and finished ones that can still be
   * rolled back.
   */
  readonly comparedRollouts: ReadonlyMap<string, shared.lists.Rollout>;
  /** Roll-outs that are not finished, by model. */
  readonly openRollouts: ReadonlyMap<string, shared.lists.Rollout>;
}

const makeVersionInfos = (model: shared.lists.Model): readonly VersionInfo[] =>
  model.versions.map((version) => ({
    id: versionId.makeVersionId(model.name, version.name),
    model: model.name,
    version: version.name,
    service: model.service,
    state: version.state,
    adapters: version.adapters,
    costPerThousandTokensMicros: model.costPerThousandTokensMicros,
  }));

const indexByName = <T extends { readonly name: string }>(
  items: readonly T[],
): ReadonlyMap<string, T> => new Map(items.map((item) => [item.name, item]));

/** Builds the indexes of a configuration. */
export const makeConfigIndex = (source: shared.lists.Configuration): ConfigIndex => {
  const versions = source.models.models.flatMap(makeVersionInfos);
  const open = source.models.rollouts.filter((rollout) => rollout.state !== 'finished');
  const isStable = (rollout: shared.lists.Rollout): boolean =>
    versions.some(
      (version) =>
        version.model === rollout.model &&
        version.version === rollout.from &&
        version.state === 'stable',
    );
  // The list is in order of time, so the latest roll-out of a model wins in the map below.
  const compared = source.models.rollouts.filter(
    (rollout) => rollout.state !== 'finished' || isStable(rollout),
  );
  return {
    generation: source.generation,
    comparedRollouts: new Map(compared.map((rollout) => [rollout.model, rollout])),
    source,
    customers: indexByName(source.plans.customers),
    customersByKeyHash: new Map(source.plans.customers.map((item) => [item.keyHash, item])),
    plans: indexByName(source.plans.plans),
    models: indexByName(source.models.models),
    versions: new Map(versions.map((version) => [version.id, version])),
    services: indexByName(source.models.services),
    openRollouts: new Map(open.map((rollout) => [rollout.model, rollout])),
  };
};

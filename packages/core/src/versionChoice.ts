import * as shared from '@jayrock/shared';
import type * as configIndex from './configIndex.js';
import * as rollouts from './rollouts.js';
import type * as routerState from './routerState.js';
import * as versionId from './versionId.js';

/** The version of a model chosen for a request. */
export interface VersionChoice {
  readonly info: configIndex.VersionInfo;
  /** True when the session's pinned version could not be kept. */
  readonly hasMoved: boolean;
}

/** Input of the choice of a version. */
export interface VersionQuery {
  readonly model: string;
  readonly adapter: string | null;
  /** Session id, or request id without a session; its hash places it on the ramp. */
  readonly rampKey: string;
  readonly pinnedVersion: string | undefined;
  readonly nowMs: number;
}

const hasUpstream = (current: routerState.RouterState, id: versionId.VersionId): boolean => {
  const candidates = current.candidates.get(id);
  return candidates !== undefined && candidates.local.length + candidates.remote.length > 0;
};

const hasAdapter = (info: configIndex.VersionInfo, adapter: string | null): boolean =>
  adapter === null || info.adapters.includes(adapter);

/** Returns whether a version may receive new work. */
export const isUsable = (
  current: routerState.RouterState,
  info: configIndex.VersionInfo,
  adapter: string | null,
): boolean =>
  info.state !== 'withdrawn' &&
  !current.blockedVersions.has(info.id) &&
  hasAdapter(info, adapter) &&
  hasUpstream(current, info.id);

const findVersion = (
  current: routerState.RouterState,
  model: string,
  version: string | undefined,
): configIndex.VersionInfo | undefined =>
  version === undefined
    ? undefined
    : current.config?.versions.get(versionId.makeVersionId(model, version));

const findRampVersion = (
  current: routerState.RouterState,
  query: VersionQuery,
): configIndex.VersionInfo | undefined => {
  const rollout = current.config?.openRollouts.get(query.model);
  if (rollout === undefined) {
    return undefined;
  }
  const bucket = shared.hash.hashToFraction(`${query.model}|${query.rampKey}`) * 100;
  const isOpen = rollouts.isOpenToSessions(current, rollout, query.nowMs);
  const share = rollout.steps[rollout.step] ?? 0;
  const version = isOpen && bucket < share ? rollout.to : rollout.from;
  return findVersion(current, query.model, version);
};

/**
 * Lists the versions to fall back on, in order, when the preferred one cannot be used: stable ones,
 * then the candidate of an open roll-out, which is better than no answer if no stable one is usable.
 */
const listFallbacks = (
  current: routerState.RouterState,
  query: VersionQuery,
): readonly configIndex.VersionInfo[] => {
  const model = current.config?.models.get(query.model);
  const rollout = current.config?.openRollouts.get(query.model);
  const stable = (model?.versions ?? [])
    .filter((version) => version.state === 'stable')
    .toSorted((a, b) => Number(b.name === rollout?.from) - Number(a.name === rollout?.from))
    .map((version) => version.name);
  const candidate = rollout === undefined || rollout.state === 'halted' ? [] : [rollout.to];
  return [...stable, ...candidate]
    .map((version) => findVersion(current, query.model, version))
    .filter((info) => info !== undefined);
};

/**
 * Picks a version of a model: the pinned one while it is usable, else the one of the ramp, else a
 * fallback. Returns null if none is usable.
 */
export const pickVersion = (
  current: routerState.RouterState,
  query: VersionQuery,
): VersionChoice | null => {
  const pinned = findVersion(current, query.model, query.pinnedVersion);
  if (pinned !== undefined && isUsable(current, pinned, query.adapter)) {
    return { info: pinned, hasMoved: false };
  }
  const rampVersion = findRampVersion(current, query);
  const preferred = rampVersion === undefined ? [] : [rampVersion];
  const chosen = [...preferred, ...listFallbacks(current, query)].find((info) =>
    isUsable(current, info, query.adapter),
  );
  return chosen === undefined
    ? null
    : { info: chosen, hasMoved: query.pinnedVersion !== undefined };
};

import type * as immutable from 'immutable';
import * as canaryEvidence from './canaryEvidence.js';
import * as canaryShare from './canaryShare.js';
import * as canaryState from './canaryState.js';

/**
 * State of a version of a service: in use without a bound, under the bound of the order in force or of an earlier order
 * that was neither completed nor rolled back, or not in use.
 */
export type VersionRole = 'serving' | 'ordered' | 'superseded' | 'withdrawn';

/** Returns the role of a version. */
export const getRole = (canary: canaryState.Canary, version: string | undefined): VersionRole => {
  if (version === undefined) {
    return 'serving';
  }
  if (version === canary.order.to) {
    return canary.isReturn ? 'serving' : 'ordered';
  }
  const earlier = canary.superseded.find(({ order }) => order.to === version);
  if (earlier !== undefined) {
    return earlier.isBad ? 'withdrawn' : 'superseded';
  }
  return canary.withdrawn.includes(version) ? 'withdrawn' : 'serving';
};

/** Returns the version whose order bounds the requests on a version; null for versions in use without a bound. */
export const getOwner = (
  canary: canaryState.Canary,
  version: string | undefined,
): string | null => {
  const role = getRole(canary, version);
  return version === undefined || role === 'serving' || role === 'withdrawn' ? null : version;
};

/** Returns whether requests may go on on a version. */
export const isInUse = (canary: canaryState.Canary, version: string): boolean => {
  const uses: Readonly<Record<VersionRole, () => boolean>> = {
    serving: () => true,
    ordered: () => canary.stage === 'running' && !canary.isBad,
    superseded: () => true,
    withdrawn: () => false,
  };
  return uses[getRole(canary, version)]();
};

/** Lists a canary and those of the earlier orders whose versions are still in use. */
export const listCanaries = (canary: canaryState.Canary): readonly canaryState.Canary[] => [
  canary,
  ...canary.superseded,
];

/** Changes a canary, or the one of an earlier order that it holds. */
export const replaceCanary = (
  canary: canaryState.Canary,
  changed: canaryState.Canary,
): canaryState.Canary =>
  changed.order.to === canary.order.to
    ? changed
    : {
        ...canary,
        superseded: canary.superseded.map((earlier) =>
          earlier.order.to === changed.order.to ? changed : earlier,
        ),
      };

/** Lists the canaries for which an answer of a version is evidence, as the tested version or as one of its predecessors. */
export const listTested = (
  canary: canaryState.Canary,
  version: string,
): readonly { readonly canary: canaryState.Canary; readonly isNew: boolean }[] => {
  const tested = listCanaries(canary).filter(
    ({ stage, isReturn }) => stage === 'running' && !isReturn,
  );
  const role = getRole(canary, version);
  if (role === 'withdrawn') {
    return [];
  }
  return role === 'serving'
    ? tested.map((item) => ({ canary: item, isNew: false }))
    : tested
        .filter(({ order }) => order.to === version)
        .map((item) => ({ canary: item, isNew: true }));
};

/** Epoch of the evidence that an order takes over from an earlier one for its version. */
const EARLIER_EPOCH = -1;

/** Sums the evidence of an earlier order, whose epochs are not those of the order that follows. */
const joinEpochs = (
  rows: immutable.Map<string, canaryState.SourcedRow>,
): immutable.Map<string, canaryState.SourcedRow> => {
  const sources = Array.from(new Set(rows.valueSeq().map(({ source }) => source)));
  return rows.clear().withMutations((joined) =>
    sources.forEach((source) => {
      const own = rows.valueSeq().filter((sourced) => sourced.source === source);
      const earlier = own.map(({ row }) => ({ ...row, epoch: EARLIER_EPOCH })).toArray();
      canaryEvidence
        .mergeRows(earlier)
        .forEach((row) => joined.set(canaryState.makeRowKey(source, row), { source, row }));
    }),
  );
};

/** Takes over what is known of a version from an earlier order for it that has not ended. */
const takeOver = (
  canary: canaryState.Canary,
  earlier: canaryState.Canary | undefined,
): canaryState.Canary =>
  earlier === undefined || canary.isReturn
    ? canary
    : {
        ...canary,
        isBad: earlier.isBad,
        rows: joinEpochs(earlier.rows),
        callers: earlier.callers,
        offset: earlier.offset,
        sessionFloor: canaryShare.getTrafficShare(earlier, canary.startedAtMs, true),
      };

/** Most earlier orders of a service that are remembered; the versions of older ones are withdrawn. */
const MAX_SUPERSEDED = 4;

/** Sets the earlier orders of a canary without those for its own version and for versions that serve without a bound. */
const withSuperseded = (
  canary: canaryState.Canary,
  earlier: readonly canaryState.Canary[],
): canaryState.Canary => {
  const others = earlier.filter(
    ({ order }) => order.to !== canary.order.to && !canary.serving.includes(order.to),
  );
  const withdrawn = others.slice(MAX_SUPERSEDED).map(({ order }) => order.to);
  return {
    ...canary,
    superseded: others.slice(0, MAX_SUPERSEDED),
    withdrawn: Array.from(new Set([...canary.withdrawn, ...withdrawn])).filter(
      (version) => version !== canary.order.to,
    ),
  };
};

/**
 * Makes the canary of an order that follows another one of its service. A version whose order has not ended stays under
 * the bound of that order, and its evidence goes on.
 */
export const adoptOrder = (
  previous: canaryState.Canary | undefined,
  next: canaryState.Canary,
): canaryState.Canary => {
  if (previous === undefined) {
    return next;
  }
  const isCompleted = previous.stage === 'completed';
  const serving = isCompleted ? [previous.order.to] : previous.serving;
  const isOpen = previous.stage === 'running' && !previous.isReturn;
  const earlier = isCompleted
    ? []
    : [
        ...(isOpen ? [canaryShare.holdSessions(previous, next.startedAtMs)] : []),
        ...previous.superseded,
      ].map((item) => ({ ...item, superseded: [] }));
  const { to } = next.order;
  const followed: canaryState.Canary = {
    ...next,
    serving,
    isReturn: serving.includes(to),
    offset: earlier.reduce(
      (end, item) => Math.max(end, item.offset + canaryShare.getWidth(item)),
      0,
    ),
    withdrawn: canaryState.listWithdrawn({ ...previous, to: previous.order.to }, next.order),
  };
  return withSuperseded(
    takeOver(
      followed,
      isOpen && previous.order.to === to ? previous : earlier.find(({ order }) => order.to === to),
    ),
    earlier,
  );
};

/** Version of an earlier order that has not ended, as a record or a peer tells of it. */
export interface SupersededVersion {
  readonly to: string;
  readonly revision: number;
  readonly periodMs: number;
  /** Time since the earlier order, in milliseconds. */
  readonly elapsedMs: number;
  /** Share of the sessions that stay on the version, from 0 to 1; null if it follows from the earlier order's age. */
  readonly sessionShare: number | null;
  /** Start of the hashes of the version, from 0 to 1. */
  readonly offset: number;
}

/** What the record of an order, or of the one before it, tells of the versions of its service. */
export interface KnownVersions {
  readonly withdrawn: readonly string[];
  /** Versions that served without a bound when the order came. */
  readonly serving: readonly string[];
  readonly superseded: readonly SupersededVersion[];
  /** Start of the hashes of the ordered version, from 0 to 1; null if it is not told. */
  readonly offset: number | null;
}

/** Makes the canary of an earlier order that this router learned of after the one that follows it. */
const makeSuperseded = (
  canary: canaryState.Canary,
  { to, revision, periodMs, elapsedMs, sessionShare, offset }: SupersededVersion,
  nowMs: number,
): canaryState.Canary => {
  const { service } = canary.order;
  const earlier: canaryState.Canary = {
    ...canaryState.makeCanary(
      { service, to, periodMs, revision },
      'running',
      nowMs - elapsedMs,
      canary.exposure,
      nowMs,
    ),
    offset,
  };
  return sessionShare === null
    ? canaryShare.holdSessions(earlier, canary.startedAtMs)
    : { ...earlier, sessionShare };
};

/** Merges what a record or a peer tells of the versions of a service with what this router knows. */
export const mergeVersions = (
  canary: canaryState.Canary,
  told: KnownVersions,
  nowMs: number,
): canaryState.Canary => {
  const serving = Array.from(new Set([...canary.serving, ...told.serving]));
  const known = new Map(canary.superseded.map((earlier) => [earlier.order.to, earlier]));
  told.superseded.forEach((version) => {
    const earlier = known.get(version.to);
    if (earlier === undefined) {
      known.set(version.to, makeSuperseded(canary, version, nowMs));
    } else if (earlier !== undefined && version.sessionShare !== null) {
      const { sessionShare, offset } = version;
      known.set(version.to, { ...earlier, sessionShare, offset });
    }
  });
  const merged: canaryState.Canary = {
    ...canary,
    serving,
    isReturn: serving.includes(canary.order.to),
    offset: told.offset ?? canary.offset,
    withdrawn: Array.from(new Set([...canary.withdrawn, ...told.withdrawn])),
  };
  // The latest order comes first.
  return withSuperseded(
    merged,
    canary.stage === 'completed'
      ? []
      : Array.from(known.values()).toSorted((a, b) => b.order.revision - a.order.revision),
  );
};

import * as immutable from 'immutable';
import type * as events from './events.js';
import type * as versionId from './versionId.js';

/** Cumulative good and bad ratings. */
export interface Counts {
  readonly good: number;
  readonly bad: number;
}

/** Ratings of one version, by customer. */
export type VersionCounts = immutable.Map<string, Counts>;

/** Ratings of versions in roll-out, merged over routers. */
export interface RatingsState {
  /** Counters of this router, by version. */
  readonly own: immutable.Map<versionId.VersionId, VersionCounts>;
  /** Last counters of each other source; the last writer of a source wins. */
  readonly sources: immutable.Map<string, readonly events.CustomerCounters[]>;
  /** Sum over own and other sources. */
  readonly totals: immutable.Map<versionId.VersionId, VersionCounts>;
}

const NO_COUNTS: Counts = { good: 0, bad: 0 };

/** Ratings before the first one. */
export const EMPTY_RATINGS: RatingsState = {
  own: immutable.Map(),
  sources: immutable.Map(),
  totals: immutable.Map(),
};

type CountsByVersion = immutable.Map<versionId.VersionId, VersionCounts>;

const addCounts = (
  table: CountsByVersion,
  counters: events.CustomerCounters,
  sign: 1 | -1,
): CountsByVersion =>
  table.update(counters.versionId, immutable.Map<string, Counts>(), (customers) =>
    customers.update(counters.customer, NO_COUNTS, (known) => ({
      good: known.good + sign * counters.good,
      bad: known.bad + sign * counters.bad,
    })),
  );

/** Adds one rating by a customer. */
export const addRating = (
  ratings: RatingsState,
  id: versionId.VersionId,
  customer: string,
  isGood: boolean,
): RatingsState => {
  const counters = { versionId: id, customer, good: isGood ? 1 : 0, bad: isGood ? 0 : 1 };
  return {
    ...ratings,
    own: addCounts(ratings.own, counters, 1),
    totals: addCounts(ratings.totals, counters, 1),
  };
};

/** Replaces what another source last told. */
export const mergeSource = (
  ratings: RatingsState,
  source: string,
  counters: readonly events.CustomerCounters[],
): RatingsState => {
  const previous = ratings.sources.get(source, []);
  const without = previous.reduce((table, row) => addCounts(table, row, -1), ratings.totals);
  return {
    ...ratings,
    sources: ratings.sources.set(source, counters),
    totals: counters.reduce((table, row) => addCounts(table, row, 1), without),
  };
};

const listCounters = (table: CountsByVersion): readonly events.CustomerCounters[] =>
  table
    .entrySeq()
    .flatMap(([id, customers]) =>
      customers.entrySeq().map(([customer, counts]) => ({ versionId: id, customer, ...counts })),
    )
    .toArray();

/** Lists this router's counters in a form that peers can merge. */
export const listOwnCounters = (ratings: RatingsState): readonly events.CustomerCounters[] =>
  listCounters(ratings.own);

/** Source name of another zone's sums. */
const ZONE_SOURCE = 'zone:';

/** Lists the sums over this router's zone, in a form that other zones can merge. */
export const listZoneCounters = (ratings: RatingsState): readonly events.CustomerCounters[] => {
  const rows = ratings.sources
    .filter((_, source) => !source.startsWith(ZONE_SOURCE))
    .valueSeq()
    .flatMap((counters) => counters)
    .toArray();
  const own = listOwnCounters(ratings);
  const summed = [...own, ...rows].reduce(
    (table, row) => addCounts(table, row, 1),
    immutable.Map<versionId.VersionId, VersionCounts>(),
  );
  return listCounters(summed);
};

/** Returns the merged counts of a version. */
export const getVersionCounts = (ratings: RatingsState, id: versionId.VersionId): VersionCounts =>
  ratings.totals.get(id, immutable.Map());

/** Sums counts over customers. */
export const sumCounts = (customers: VersionCounts): Counts =>
  customers.reduce(
    (sum, counts) => ({ good: sum.good + counts.good, bad: sum.bad + counts.bad }),
    NO_COUNTS,
  );

/** Drops counters of versions that no roll-out names any more. */
export const forgetVersions = (
  ratings: RatingsState,
  isWatched: (id: versionId.VersionId) => boolean,
): RatingsState => ({
  own: ratings.own.filter((_, id) => isWatched(id)),
  sources: ratings.sources.map((rows) => rows.filter((row) => isWatched(row.versionId))),
  totals: ratings.totals.filter((_, id) => isWatched(id)),
});

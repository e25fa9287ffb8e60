import * as immutable from 'immutable';
import type * as events from './events.js';
import type * as versionId from './versionId.js';

/** Cumulative numbers of good and bad ratings. */
export interface Counts {
  readonly good: number;
  readonly bad: number;
}

/** Ratings of one version in one period of time, by customer. */
export type CustomerCounts = immutable.Map<string, Counts>;

/** Ratings of one version, by epoch. */
export type VersionCounts = immutable.Map<number, CustomerCounts>;

/** Ratings of several versions. */
type CountsTable = immutable.Map<versionId.VersionId, VersionCounts>;

type Rows = readonly events.CustomerCounters[];

/** Ratings of versions in roll-out, merged across routers. */
export interface RatingsState {
  /** Counters of this router. */
  readonly own: CountsTable;
  /** Latest rows received from each other source, by epoch; the last write for a source and epoch wins. */
  readonly sources: immutable.Map<string, immutable.Map<number, Rows>>;
  /** Sum of the own counters and those of all other sources. */
  readonly totals: CountsTable;
}

/** Length of one epoch, in milliseconds. */
export const EPOCH_MS = 10_000;
/** Epochs kept separately; older ratings are folded into one sum. */
const MAX_EPOCHS = 30;
/** Epoch number under which the folded sum is stored. */
export const OLDEST_EPOCH = 0;
/** Epochs reported to other routers: the current and the previous one. */
const REPORTED_EPOCHS = 2;
/** Prefix of the source names of other zones' sums. */
const ZONE_SOURCE = 'zone:';

const NO_COUNTS: Counts = { good: 0, bad: 0 };

/** State without ratings. */
export const EMPTY_RATINGS: RatingsState = {
  own: immutable.Map(),
  sources: immutable.Map(),
  totals: immutable.Map(),
};

/** Returns the number of the epoch that contains a time in milliseconds, 1 or greater. */
export const findEpoch = (nowMs: number): number => Math.floor(nowMs / EPOCH_MS) + 1;

const addCounts = (
  customers: CustomerCounts,
  customer: string,
  counts: Counts,
  sign: 1 | -1,
): CustomerCounts =>
  customers.update(customer, NO_COUNTS, (sum) => ({
    good: sum.good + sign * counts.good,
    bad: sum.bad + sign * counts.bad,
  }));

const addRow = (table: CountsTable, row: events.CustomerCounters, sign: 1 | -1): CountsTable =>
  table.update(row.versionId, immutable.Map(), (epochs) =>
    epochs.update(row.epoch, immutable.Map(), (customers) =>
      addCounts(customers, row.customer, row, sign),
    ),
  );

const addRows = (table: CountsTable, rows: Rows, sign: 1 | -1): CountsTable =>
  rows.reduce((next, row) => addRow(next, row, sign), table);

/** Counts one rating by a customer in the current epoch. */
export const addRating = (
  ratings: RatingsState,
  id: versionId.VersionId,
  customer: string,
  isGood: boolean,
  nowMs: number,
): RatingsState => {
  const row = {
    versionId: id,
    epoch: findEpoch(nowMs),
    customer,
    good: Number(isGood),
    bad: Number(!isGood),
  };
  return {
    ...ratings,
    own: addRow(ratings.own, row, 1),
    totals: addRow(ratings.totals, row, 1),
  };
};

const replaceEpoch = (
  ratings: RatingsState,
  source: string,
  epoch: number,
  rows: Rows,
): RatingsState => {
  const epochs = ratings.sources.get(source, immutable.Map<number, Rows>());
  const withoutOld = addRows(ratings.totals, epochs.get(epoch, []), -1);
  return {
    ...ratings,
    sources: ratings.sources.set(source, epochs.set(epoch, rows)),
    totals: addRows(withoutOld, rows, 1),
  };
};

/** Replaces the rows of another source in every epoch that its new rows contain. */
export const mergeSource = (ratings: RatingsState, source: string, rows: Rows): RatingsState =>
  immutable
    .List(rows)
    .groupBy((row) => row.epoch)
    .reduce((next, group, epoch) => replaceEpoch(next, source, epoch, group.toArray()), ratings);

const foldOld = (epochs: VersionCounts, firstKept: number): VersionCounts => {
  const old = epochs.filter((_, epoch) => epoch < firstKept);
  if (old.size <= 1) {
    return epochs;
  }
  const folded = old
    .valueSeq()
    .reduce<CustomerCounts>(
      (sum, customers) =>
        customers.reduce((next, counts, customer) => addCounts(next, customer, counts, 1), sum),
      immutable.Map(),
    );
  return epochs.filter((_, epoch) => epoch >= firstKept).set(OLDEST_EPOCH, folded);
};

/** Folds old epochs into one sum, which bounds their number; rows of folded epochs are final. */
export const foldOldEpochs = (ratings: RatingsState, nowMs: number): RatingsState => {
  const firstKept = findEpoch(nowMs) - MAX_EPOCHS;
  return {
    own: ratings.own.map((epochs) => foldOld(epochs, firstKept)),
    sources: ratings.sources
      .map((epochs) => epochs.filter((_, epoch) => epoch >= firstKept))
      .filter((epochs) => epochs.size > 0),
    totals: ratings.totals.map((epochs) => foldOld(epochs, firstKept)),
  };
};

const listRows = (table: CountsTable, fromEpoch: number): Rows =>
  table
    .entrySeq()
    .flatMap(([id, epochs]) =>
      epochs
        .filter((_, epoch) => epoch >= fromEpoch)
        .entrySeq()
        .flatMap(([epoch, customers]) =>
          customers
            .entrySeq()
            .map(([customer, counts]) => ({ versionId: id, epoch, customer, ...counts })),
        ),
    )
    .toArray();

const findFirstReported = (nowMs: number): number => findEpoch(nowMs) - REPORTED_EPOCHS + 1;

/** Lists this router's counters of the epochs that are reported. */
export const listOwnCounters = (ratings: RatingsState, nowMs: number): Rows =>
  listRows(ratings.own, findFirstReported(nowMs));

/** Lists the sums of this router's zone over the epochs that are reported, to be sent to other zones. */
export const listZoneCounters = (ratings: RatingsState, nowMs: number): Rows => {
  const firstReported = findFirstReported(nowMs);
  const reported = ratings.sources
    .filter((_, source) => !source.startsWith(ZONE_SOURCE))
    .valueSeq()
    .flatMap((epochs) => epochs.valueSeq().flatMap((rows) => rows))
    .filter((row) => row.epoch >= firstReported)
    .toArray();
  const own = listOwnCounters(ratings, nowMs);
  return listRows(addRows(immutable.Map(), [...own, ...reported], 1), firstReported);
};

/** Returns the merged counts of a version, by epoch. */
export const getVersionCounts = (ratings: RatingsState, id: versionId.VersionId): VersionCounts =>
  ratings.totals.get(id, immutable.Map());

/** Sums counts over customers. */
export const sumCustomers = (customers: CustomerCounts): Counts =>
  customers.reduce(
    (sum, counts) => ({ good: sum.good + counts.good, bad: sum.bad + counts.bad }),
    NO_COUNTS,
  );

/** Sums counts over epochs and customers. */
export const sumCounts = (epochs: VersionCounts): Counts =>
  epochs
    .valueSeq()
    .map(sumCustomers)
    .reduce(
      (sum, counts) => ({ good: sum.good + counts.good, bad: sum.bad + counts.bad }),
      NO_COUNTS,
    );

/** Sums counts by customer over the epochs from `fromEpoch` on. */
export const sumSince = (epochs: VersionCounts, fromEpoch: number): CustomerCounts =>
  epochs
    .filter((_, epoch) => epoch >= fromEpoch)
    .valueSeq()
    .reduce<CustomerCounts>(
      (sum, customers) =>
        customers.reduce((next, counts, customer) => addCounts(next, customer, counts, 1), sum),
      immutable.Map(),
    );

/** Drops the counters of versions that are not part of a compared roll-out. */
export const forgetVersions = (
  ratings: RatingsState,
  isCompared: (id: versionId.VersionId) => boolean,
): RatingsState => ({
  own: ratings.own.filter((_, id) => isCompared(id)),
  sources: ratings.sources.map((epochs) =>
    epochs.map((rows) => rows.filter((row) => isCompared(row.versionId))),
  ),
  totals: ratings.totals.filter((_, id) => isCompared(id)),
});

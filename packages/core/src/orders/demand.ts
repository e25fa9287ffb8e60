import * as immutable from 'immutable';

/** Exponentially decaying rate of the work requested from one model, in tokens a second. */
export interface DemandRate {
  readonly rate: number;
  readonly atMs: number;
}

/** Demand for one model, as exchanged between routers. */
export interface DemandRow {
  readonly model: string;
  /** Tokens a second. */
  readonly rate: number;
}

/** Demand at this router and demand reported by the other routers of its zone. */
export interface DemandState {
  /** Demand at this router, by model. */
  readonly own: immutable.Map<string, DemandRate>;
  /** Latest reports, by router id. */
  readonly reported: immutable.Map<
    string,
    { readonly rows: readonly DemandRow[]; readonly atMs: number }
  >;
}

/** Time constant over which demand is averaged, in milliseconds. */
const AVERAGE_MS = 30_000;
/** Age at which a report of another router expires, in milliseconds. */
const REPORT_TTL_MS = 15_000;
const MS_PER_SECOND = 1_000;

/** State without demand. */
export const EMPTY_DEMAND: DemandState = { own: immutable.Map(), reported: immutable.Map() };

const decayRate = (entry: DemandRate, nowMs: number): number =>
  entry.rate * Math.exp(-(nowMs - entry.atMs) / AVERAGE_MS);

/** Adds work requested from a model, in tokens. */
export const addDemand = (
  demand: DemandState,
  model: string,
  cost: number,
  nowMs: number,
): DemandState => {
  const entry = demand.own.get(model, { rate: 0, atMs: nowMs });
  const rate = decayRate(entry, nowMs) + (cost * MS_PER_SECOND) / AVERAGE_MS;
  return { ...demand, own: demand.own.set(model, { rate, atMs: nowMs }) };
};

/** Lists this router's demand by model, as of `nowMs`. */
export const listDemand = (demand: DemandState, nowMs: number): readonly DemandRow[] =>
  demand.own
    .entrySeq()
    .map(([model, entry]) => ({ model, rate: decayRate(entry, nowMs) }))
    .toArray();

/** Replaces the last report of another router and drops expired reports. */
export const mergeDemand = (
  demand: DemandState,
  source: string,
  rows: readonly DemandRow[],
  nowMs: number,
): DemandState => ({
  ...demand,
  reported: demand.reported
    .filter((report) => nowMs - report.atMs < REPORT_TTL_MS)
    .set(source, { rows, atMs: nowMs }),
});

/** Sums the demand of a zone by model, in tokens a second. */
export const sumDemand = (demand: DemandState, nowMs: number): ReadonlyMap<string, number> => {
  const reported = demand.reported
    .valueSeq()
    .filter((report) => nowMs - report.atMs < REPORT_TTL_MS)
    .flatMap((report) => report.rows)
    .toArray();
  return [...listDemand(demand, nowMs), ...reported].reduce(
    (sums, row) => new Map(sums).set(row.model, (sums.get(row.model) ?? 0) + row.rate),
    new Map<string, number>(),
  );
};

/** Drops the own demand for models that are no longer listed. */
export const forgetModels = (
  demand: DemandState,
  isListed: (model: string) => boolean,
): DemandState => ({ ...demand, own: demand.own.filter((_, model) => isListed(model)) });

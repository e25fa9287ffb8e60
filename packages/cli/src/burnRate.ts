import * as hdr from 'hdr-histogram-js';
import type * as shared from '@jayrock/shared';

type LevelBucket = shared.serviceLevel.LevelBucket;
type LevelReport = shared.serviceLevel.LevelReport;

/** Service levels of one plan and model, merged over routers; histograms are in milliseconds. */
export interface MergedLevel {
  readonly plan: string;
  readonly model: string;
  readonly targets: shared.lists.Targets;
  readonly buckets: readonly LevelBucket[];
  readonly firstToken: hdr.Histogram;
  readonly interToken: hdr.Histogram;
}

/** Service-level objective that a target is set for. */
export type Objective = 'firstToken' | 'interToken' | 'availability';

/**
 * A short and a long window; an alert requires both. The long one prevents alerts on brief bursts,
 * and the short one ends an alert soon after its cause is gone.
 */
export interface WindowPair {
  readonly name: string;
  readonly shortMs: number;
  readonly longMs: number;
  /** Burn rate at which the pair alerts, if both windows reach it. */
  readonly threshold: number;
}

const MINUTE_MS = 60_000;

/** Window pairs of the report: one for pages and one for tickets. */
export const WINDOW_PAIRS: readonly WindowPair[] = [
  { name: 'page', shortMs: 5 * MINUTE_MS, longMs: 60 * MINUTE_MS, threshold: 14.4 },
  { name: 'ticket', shortMs: 30 * MINUTE_MS, longMs: 360 * MINUTE_MS, threshold: 6 },
];

const mergeBuckets = (a: LevelBucket, b: LevelBucket): LevelBucket => ({
  startMs: a.startMs,
  total: a.total + b.total,
  slowFirstToken: a.slowFirstToken + b.slowFirstToken,
  slowInterToken: a.slowInterToken + b.slowInterToken,
  errors: a.errors + b.errors,
  truncated: a.truncated + b.truncated,
});

const mergeBucketsByStart = (buckets: readonly LevelBucket[]): readonly LevelBucket[] => {
  const merged = new Map<number, LevelBucket>();
  buckets.forEach((bucket) => {
    const present = merged.get(bucket.startMs);
    merged.set(bucket.startMs, present === undefined ? bucket : mergeBuckets(present, bucket));
  });
  return Array.from(merged.values()).toSorted((a, b) => a.startMs - b.startMs);
};

const mergeHistograms = (encoded: readonly string[]): hdr.Histogram => {
  const merged = hdr.build();
  encoded.forEach((text) => merged.add(hdr.decodeFromCompressedBase64(text)));
  return merged;
};

/** Merges the reports of several routers by plan and model. */
export const mergeReports = (reports: readonly LevelReport[]): readonly MergedLevel[] => {
  const groups = new Map<string, LevelReport[]>();
  reports.forEach((report) => {
    const key = `${report.plan}|${report.model}`;
    groups.set(key, [...(groups.get(key) ?? []), report]);
  });
  return Array.from(groups.values()).map((group) => ({
    plan: group[0]?.plan ?? '',
    model: group[0]?.model ?? '',
    targets: group[0]?.targets as shared.lists.Targets,
    buckets: mergeBucketsByStart(group.flatMap((report) => report.buckets)),
    firstToken: mergeHistograms(group.map((report) => report.firstToken)),
    interToken: mergeHistograms(group.map((report) => report.interToken)),
  }));
};

const BAD_COUNTS: Readonly<Record<Objective, (bucket: LevelBucket) => number>> = {
  firstToken: (bucket) => bucket.slowFirstToken,
  interToken: (bucket) => bucket.slowInterToken,
  availability: (bucket) => bucket.errors,
};

const getErrorBudget = (targets: shared.lists.Targets, objective: Objective): number =>
  1 - (objective === 'availability' ? targets.availability : targets.latencyShare);

/** Computes the burn rate over buckets: the share of bad requests divided by the error budget. */
export const computeBurnRate = (
  level: Pick<MergedLevel, 'targets'>,
  objective: Objective,
  buckets: readonly LevelBucket[],
): number => {
  const total = buckets.reduce((sum, bucket) => sum + bucket.total, 0);
  const bad = buckets.reduce((sum, bucket) => sum + BAD_COUNTS[objective](bucket), 0);
  return total === 0 ? 0 : bad / total / getErrorBudget(level.targets, objective);
};

/** Burn rates of one objective over a pair of windows. */
export interface BurnRateRow {
  readonly objective: Objective;
  readonly pair: string;
  readonly short: number;
  readonly long: number;
  readonly isAlerting: boolean;
}

const OBJECTIVES: readonly Objective[] = ['firstToken', 'interToken', 'availability'];

const makeRow = (
  level: MergedLevel,
  objective: Objective,
  pair: WindowPair,
  nowMs: number,
): BurnRateRow => {
  const listRecent = (spanMs: number): readonly LevelBucket[] =>
    level.buckets.filter((bucket) => bucket.startMs >= nowMs - spanMs);
  const short = computeBurnRate(level, objective, listRecent(pair.shortMs));
  const long = computeBurnRate(level, objective, listRecent(pair.longMs));
  const isAlerting = short >= pair.threshold && long >= pair.threshold;
  return { objective, pair: pair.name, short, long, isAlerting };
};

/** Lists the burn rates of every objective over every pair of windows. */
export const listBurnRates = (level: MergedLevel, nowMs: number): readonly BurnRateRow[] =>
  OBJECTIVES.flatMap((objective) =>
    WINDOW_PAIRS.map((pair) => makeRow(level, objective, pair, nowMs)),
  );

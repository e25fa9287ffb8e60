import type * as lists from './lists.js';

/** Counts of one plan and model in one span of time. */
export interface LevelBucket {
  readonly startMs: number;
  readonly total: number;
  readonly slowFirstToken: number;
  readonly slowInterToken: number;
  readonly errors: number;
  readonly truncated: number;
}

/** Service levels of one plan and model, in a form that routers' reports can be merged from. */
export interface LevelReport {
  readonly plan: string;
  readonly model: string;
  readonly targets: lists.Targets;
  readonly buckets: readonly LevelBucket[];
  /** Encoded histograms, in milliseconds. */
  readonly firstToken: string;
  readonly interToken: string;
}

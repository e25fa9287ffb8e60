import type * as lists from './lists.js';

/** Request counts of one plan and model in one time interval. */
export interface LevelBucket {
  readonly startMs: number;
  readonly total: number;
  readonly slowFirstToken: number;
  readonly slowInterToken: number;
  readonly errors: number;
  readonly truncated: number;
}

/** Service levels of one plan and model at one router; reports of several routers can be merged. */
export interface LevelReport {
  readonly plan: string;
  readonly model: string;
  readonly targets: lists.Targets;
  readonly buckets: readonly LevelBucket[];
  /** Compressed HDR histograms in base64, in milliseconds. */
  readonly firstToken: string;
  readonly interToken: string;
}

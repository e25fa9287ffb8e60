/** Sends to one service by this router, in time buckets, oldest first. */
export interface SendWindow {
  readonly buckets: readonly SendBucket[];
}

/** First and repeated sends within one time bucket. */
export interface SendBucket {
  readonly startsAtMs: number;
  readonly firstSends: number;
  readonly repeatSends: number;
}

/** Limit on the repeated sends of all routers together. */
export interface RepeatRule {
  /** Repeated sends allowed per request in the window. */
  readonly share: number;
  /** Repeated sends allowed in addition, for the whole fleet. */
  readonly slack: number;
  /** Length of the sliding window, in milliseconds. */
  readonly windowMs: number;
}

/** Length of one bucket, in milliseconds. */
const BUCKET_MS = 500;
/** Share of the limit that is used, since the windows of the routers are not aligned. */
const SAFETY_SHARE = 0.8;

/** A window without sends. */
export const EMPTY_WINDOW: SendWindow = { buckets: [] };

const computeBucketStart = (nowMs: number): number => Math.floor(nowMs / BUCKET_MS) * BUCKET_MS;

/** Records one send, and drops the buckets that have left the window. */
export const recordSend = (
  window: SendWindow,
  isRepeat: boolean,
  rule: RepeatRule,
  nowMs: number,
): SendWindow => {
  const startsAtMs = computeBucketStart(nowMs);
  const kept = window.buckets.filter((bucket) => bucket.startsAtMs > nowMs - rule.windowMs);
  const last = kept.at(-1);
  const isCurrent = last?.startsAtMs === startsAtMs;
  const base =
    isCurrent && last !== undefined ? last : { startsAtMs, firstSends: 0, repeatSends: 0 };
  const next = {
    ...base,
    firstSends: base.firstSends + Number(!isRepeat),
    repeatSends: base.repeatSends + Number(isRepeat),
  };
  return { buckets: [...(isCurrent ? kept.slice(0, -1) : kept), next] };
};

/** Takes a send out of the window again, that was recorded at a time in milliseconds but reached no upstream. */
export const withdrawSend = (
  window: SendWindow,
  isRepeat: boolean,
  recordedAtMs: number,
): SendWindow => {
  const startsAtMs = computeBucketStart(recordedAtMs);
  return {
    buckets: window.buckets.map((bucket) =>
      bucket.startsAtMs === startsAtMs
        ? {
            ...bucket,
            firstSends: Math.max(0, bucket.firstSends - Number(!isRepeat)),
            repeatSends: Math.max(0, bucket.repeatSends - Number(isRepeat)),
          }
        : bucket,
    ),
  };
};

/** Returns whether one more repeated send fits this router's part of the fleet's limit. */
export const hasRepeatBudget = (
  window: SendWindow,
  rule: RepeatRule,
  routers: number,
  nowMs: number,
): boolean => {
  const recent = window.buckets.filter((bucket) => bucket.startsAtMs > nowMs - rule.windowMs);
  const firstSends = recent.reduce((sum, bucket) => sum + bucket.firstSends, 0);
  const repeatSends = recent.reduce((sum, bucket) => sum + bucket.repeatSends, 0);
  const allowed = SAFETY_SHARE * (firstSends * rule.share + rule.slack / Math.max(1, routers));
  return repeatSends + 1 <= allowed;
};

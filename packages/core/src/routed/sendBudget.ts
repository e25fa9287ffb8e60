/** Sends of one service by this router in short spans, oldest first. */
export interface SendWindow {
  readonly buckets: readonly SendBucket[];
}

/** First and further sends in one span. */
export interface SendBucket {
  readonly startsAtMs: number;
  readonly firsts: number;
  readonly repeats: number;
}

/** How many further sends all routers together may make. */
export interface RepeatRule {
  /** Further sends allowed for each request in the window. */
  readonly share: number;
  /** Further sends allowed on top by the whole fleet. */
  readonly slack: number;
  readonly windowMs: number;
}

/** Length of one span, in milliseconds. */
const BUCKET_MS = 500;
/** Part of the allowance that is used, since other routers' windows slide differently. */
const SAFETY_SHARE = 0.8;

/** A window without sends. */
export const EMPTY_WINDOW: SendWindow = { buckets: [] };

const computeBucketStart = (nowMs: number): number => Math.floor(nowMs / BUCKET_MS) * BUCKET_MS;

/** Counts one send. */
export const recordSend = (
  window: SendWindow,
  isRepeat: boolean,
  rule: RepeatRule,
  nowMs: number,
): SendWindow => {
  const startsAtMs = computeBucketStart(nowMs);
  const kept = window.buckets.filter((span) => span.startsAtMs > nowMs - rule.windowMs);
  const last = kept.at(-1);
  const isCurrent = last?.startsAtMs === startsAtMs;
  const base = isCurrent && last !== undefined ? last : { startsAtMs, firsts: 0, repeats: 0 };
  const next = {
    ...base,
    firsts: base.firsts + Number(!isRepeat),
    repeats: base.repeats + Number(isRepeat),
  };
  return { buckets: [...(isCurrent ? kept.slice(0, -1) : kept), next] };
};

/** Tells whether one more repeat fits this router's part of the fleet's allowance. */
export const hasRepeatBudget = (
  window: SendWindow,
  rule: RepeatRule,
  routers: number,
  nowMs: number,
): boolean => {
  const recent = window.buckets.filter((span) => span.startsAtMs > nowMs - rule.windowMs);
  const firsts = recent.reduce((sum, span) => sum + span.firsts, 0);
  const repeats = recent.reduce((sum, span) => sum + span.repeats, 0);
  const allowed = SAFETY_SHARE * (firsts * rule.share + rule.slack / Math.max(1, routers));
  return repeats + 1 <= allowed;
};

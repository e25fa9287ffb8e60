import * as canaryEvidence from './canaryEvidence.js';
import type * as canaryState from './canaryState.js';

// The next four constants divide the exposure share over the period. A fault may show only under a load that the
// version has not yet had, so evidence cannot limit the exposure before the end; only the schedule and the count of
// requests do. The constants leave headroom for a load near the end that is 50 % above the average.

/** Share of the requests on the version before the ramp, relative to the exposure share. */
const CANARY_PART = 0.45;
/**
 * Part of the period in which no session runs on the version, so that sessions in progress keep theirs. No router sees
 * all requests of a session, so none can tell a new one from one in progress.
 */
const SESSION_START_PART = 0.5;
/**
 * Share of the sessions on the version from then on until the ramp, relative to the exposure share. It leaves headroom
 * for a load that grows in the second half.
 */
const SESSION_PART = 0.68;
/** Part of the period in which the share ramps up to all sessions, relative to the exposure share. */
const RAMP_PART = 0.1;
/** Part of the period that remains when all sessions are on the version, relative to the exposure share. */
const TAIL_PART = 0.4;
/** Part of the slack that is spent early, so that a service with few requests has answers to judge the version by. */
const EARLY_SLACK_PART = 0.6;
/** Part of the period in which that slack is spent. */
const EARLY_PERIOD_PART = 0.4;
/** Largest share of the sessions on the version before the ramp; the previous versions need answers as well. */
const MAX_EARLY_SHARE = 0.5;
/** Answers that an estimate of the period's requests needs. */
const MIN_POOLED_ANSWERS = 8;
/** Part of the slack that the ramp may use; the rest covers requests that are not counted yet. */
const RAMP_SLACK_PART = 0.7;
/** Remaining time at which the ramp is complete whatever the load, in milliseconds. */
const FORCED_RAMP_MS = 600;

/** Computes the share of the requests that a version gets until its period ends, whatever comes, from 0 to 1. */
export const computeBaseShare = ({ exposure }: canaryState.Canary): number =>
  exposure.share * CANARY_PART;

/** Computes the elapsed part of the period, from 0; above 1 after its end. */
export const computeProgress = (canary: canaryState.Canary, nowMs: number): number =>
  (nowMs - canary.startedAtMs) / Math.max(1, canary.order.periodMs);

/** Computes the share of the sessions that spends the early part of the slack, from 0. */
const computeEarlyShare = (
  canary: canaryState.Canary,
  pooled: canaryState.PooledCounts,
): number => {
  const elapsedMs = pooled.atMs - canary.startedAtMs;
  if (pooled.answers < MIN_POOLED_ANSWERS || elapsedMs < canaryEvidence.EPOCH_MS) {
    return 0;
  }
  const slack = canary.exposure.slack * EARLY_SLACK_PART;
  const planned = computeBaseShare(canary) * pooled.answers;
  if (pooled.newAnswers - planned >= slack) {
    return 0;
  }
  const earlyRequests = (pooled.answers / elapsedMs) * canary.order.periodMs * EARLY_PERIOD_PART;
  return slack / Math.max(1, earlyRequests);
};

/** Computes the share of the sessions on the version before the ramp, from 0 to 1. */
const computeCanaryShare = (canary: canaryState.Canary): number => {
  const base = computeBaseShare(canary);
  const early = canary.pooled === null ? 0 : computeEarlyShare(canary, canary.pooled);
  return Math.max(base, Math.min(MAX_EARLY_SHARE, base + early));
};

/**
 * Computes the part of the period that may remain when all sessions are on the version: that of the schedule, or less
 * if the current load would use up the limit before the end.
 */
const computeTailPart = (canary: canaryState.Canary): number => {
  const { share, slack } = canary.exposure;
  const scheduled = share * TAIL_PART;
  const { pooled } = canary;
  if (pooled === null || pooled.perSecond === 0) {
    return scheduled;
  }
  const left = share * pooled.answers + slack * RAMP_SLACK_PART - pooled.newAnswers;
  const affordableMs = (Math.max(0, left) / (pooled.perSecond * (1 - share))) * 1_000;
  const tailMs = affordableMs - (share * RAMP_PART * canary.order.periodMs) / 2;
  return Math.min(scheduled, Math.max(tailMs, FORCED_RAMP_MS) / canary.order.periodMs);
};

/**
 * Computes the share of the sessions on the version before the ramp, from 0 to 1. It depends on the time alone, so that
 * all routers decide alike. Sessions get no part of the early share, which falls again.
 */
const computeSessionShare = (canary: canaryState.Canary, nowMs: number): number =>
  computeProgress(canary, nowMs) < SESSION_START_PART
    ? Math.min(canary.sessionFloor, canary.exposure.share * SESSION_PART)
    : Math.min(1, canary.exposure.share * SESSION_PART);

/** Computes the share of the requests on a version whose order was replaced or removed: until its period ends, as before. */
const computeSupersededShare = (canary: canaryState.Canary, nowMs: number): number =>
  computeProgress(canary, nowMs) < 1 ? computeBaseShare(canary) : 0;

/** Returns the part of the hashes that a version whose order was replaced keeps for itself, from 0 to 1. */
export const getWidth = (canary: canaryState.Canary): number =>
  Math.max(canary.sessionShare ?? 0, computeBaseShare(canary));

/** Returns the share of the requests, or of the sessions, that run on the version, from 0 to 1. */
export const getTrafficShare = (
  canary: canaryState.Canary,
  nowMs: number,
  isSession = false,
): number => {
  // The previous versions are stopped once the outcome is known, whatever this router found.
  if (canary.stage === 'completed') {
    return 1;
  }
  if (canary.isBad || canary.stage === 'rolledBack') {
    return 0;
  }
  if (canary.sessionShare !== null) {
    return isSession ? canary.sessionShare : computeSupersededShare(canary, nowMs);
  }
  const canaryShare = isSession ? computeSessionShare(canary, nowMs) : computeCanaryShare(canary);
  const remainingRamp = 1 - computeTailPart(canary) - computeProgress(canary, nowMs);
  const rampProgress = 1 - remainingRamp / (canary.exposure.share * RAMP_PART);
  return Math.min(1, Math.max(canaryShare, canaryShare + (1 - canaryShare) * rampProgress));
};

/** Keeps a version where it is at a moment: its sessions stay, and its share of the other requests no longer rises. */
export const holdSessions = (canary: canaryState.Canary, atMs: number): canaryState.Canary =>
  canary.sessionShare === null
    ? { ...canary, sessionShare: getTrafficShare(canary, atMs, true) }
    : canary;

/** Returns whether the share has begun to rise to all requests. */
export const isRamping = (canary: canaryState.Canary, nowMs: number): boolean =>
  getTrafficShare(canary, nowMs) > computeCanaryShare(canary);

import type * as requestState from '../requestState.js';
import type * as routerState from '../routerState.js';
import type * as canaryEvidence from './canaryEvidence.js';
import * as canaryState from './canaryState.js';
import type * as routedRetry from './routedRetry.js';
import type * as routedState from './routedState.js';
import * as versionRoles from './versionRoles.js';
import * as versionShare from './versionShare.js';

/**
 * What an answer says about the version that gave it, whether or not its request is sent again: a failure is the
 * upstream's own, a rejection may as well be due to the request.
 */
export type AnswerClass = 'success' | 'rejection' | 'failure';

const FIRST_REJECTION_STATUS = 300;
const FIRST_FAILURE_STATUS = 500;

/** Classifies an answer by its HTTP status. */
export const classifyStatus = (status: number): AnswerClass => {
  if (status >= FIRST_FAILURE_STATUS) {
    return 'failure';
  }
  return status >= FIRST_REJECTION_STATUS ? 'rejection' : 'success';
};

/** Records evidence on the version of an attempt with each running canary of its service that it concerns. */
const updateTested = (
  current: routerState.RouterState,
  { request, attempt }: routedRetry.RoutedRequestAttempt,
  change: (canary: canaryState.Canary, isNew: boolean) => canaryState.Canary,
): routerState.RouterState => {
  const canary = current.routed.canaries.get(request.service);
  const version = current.upstreams.get(attempt.upstreamId)?.host.version;
  if (canary === undefined || version === undefined) {
    return current;
  }
  const changed = versionRoles
    .listTested(canary, version)
    .reduce(
      (next, tested) => versionRoles.replaceCanary(next, change(tested.canary, tested.isNew)),
      canary,
    );
  return changed === canary
    ? current
    : {
        ...current,
        routed: {
          ...current.routed,
          canaries: current.routed.canaries.set(request.service, changed),
        },
      };
};

const makeKind = ({ route, model }: routedState.RoutedState): string =>
  `${route.name}|${model ?? ''}`;

/** Records the time of an answer, or a failure if `elapsedMs` is null, as evidence on its version. */
export const recordEvidence = (
  current: routerState.RouterState,
  target: routedRetry.RoutedRequestAttempt,
  elapsedMs: number | null,
  nowMs: number,
  measure: canaryEvidence.TimedMeasure = 'answer',
): routerState.RouterState => {
  const kind = makeKind(target.routed);
  return updateTested(current, target, (canary, isNew) =>
    canaryState.recordAnswer(
      canary,
      current.self.routerId,
      { kind, measure, isNew, elapsedMs },
      nowMs,
    ),
  );
};

/** Returns the key that keeps the requests of a caller on one version; null if each request is on its own. */
const getCallerKey = (
  request: requestState.RequestState,
  routed: routedState.RoutedState,
): string | null => {
  const key = versionShare.getSessionKey(request, routed);
  return key === request.id ? null : key;
};

/** Counts a caller of an attempt, and whether it was left without a good answer, as evidence on the version. */
const recordCaller = (
  current: routerState.RouterState,
  target: routedRetry.RoutedRequestAttempt,
  isRejected: boolean,
  nowMs: number,
): routerState.RouterState => {
  const { request, routed } = target;
  // Sessions are moved to the version later than other requests, so the two are not comparable.
  const kind = `${makeKind(routed)}${routed.call.session === null ? '' : '|session'}`;
  const caller = getCallerKey(request, routed);
  return updateTested(current, target, (canary, isNew) =>
    canaryState.recordCaller(
      canary,
      current.self.routerId,
      { kind, isNew, caller, isRejected },
      nowMs,
    ),
  );
};

/**
 * Records the head of an answer as evidence on its version. Whether it rejects the request is counted beside its time,
 * by callers: a caller's mistakes are no fault of the version that its hash selects.
 */
export const recordHead = (
  current: routerState.RouterState,
  target: routedRetry.RoutedRequestAttempt,
  status: number,
  nowMs: number,
): routerState.RouterState => {
  const answerClass = classifyStatus(status);
  const elapsedMs = nowMs - target.attempt.startedAtMs;
  const withTime = recordEvidence(
    current,
    target,
    answerClass === 'failure' ? null : elapsedMs,
    nowMs,
  );
  return recordCaller(withTime, target, answerClass === 'rejection', nowMs);
};

/**
 * Records that a request ends while upstreams owe it an answer, as evidence on their versions. Attempts that are younger
 * than `minAgeMs` say nothing. It is counted like a rejection: under load, requests of all versions end so.
 */
export const recordUnanswered = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  minAgeMs: number,
  nowMs: number,
): routerState.RouterState => {
  const { routed } = request;
  return routed === null
    ? current
    : request.attempts
        .filter(({ headAtMs, startedAtMs }) => headAtMs === null && nowMs - startedAtMs >= minAgeMs)
        .reduce(
          (next, attempt) => recordCaller(next, { request, routed, attempt }, true, nowMs),
          current,
        );
};

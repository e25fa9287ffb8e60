import type * as requestState from '../requestState.js';
import type * as routerState from '../routerState.js';
import type * as canaryEvidence from './canaryEvidence.js';
import * as canaryState from './canaryState.js';
import type * as routedRetry from './routedRetry.js';
import type * as routedState from './routedState.js';
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

/** Returns the running canary of an attempt's service, and whether the attempt is on its version; null if there is none. */
const findCanary = (
  current: routerState.RouterState,
  { request, attempt }: routedRetry.RoutedRequestAttempt,
): { readonly canary: canaryState.Canary; readonly isNew: boolean } | null => {
  const canary = current.routed.canaries.get(request.service);
  const version = current.upstreams.get(attempt.upstreamId)?.host.version;
  return canary === undefined || canary.stage !== 'running' || version === undefined
    ? null
    : { canary, isNew: version === canary.order.to };
};

const withCanary = (
  current: routerState.RouterState,
  canary: canaryState.Canary,
): routerState.RouterState => ({
  ...current,
  routed: {
    ...current.routed,
    canaries: current.routed.canaries.set(canary.order.service, canary),
  },
});

const makeKind = ({ route, model }: routedState.RoutedState): string =>
  `${route.name}|${model ?? ''}`;

/** Records the time of an answer, or a failure if `elapsedMs` is null, as evidence for the canary of its service. */
export const recordEvidence = (
  current: routerState.RouterState,
  target: routedRetry.RoutedRequestAttempt,
  elapsedMs: number | null,
  nowMs: number,
  measure: canaryEvidence.TimedMeasure = 'answer',
): routerState.RouterState => {
  const found = findCanary(current, target);
  if (found === null) {
    return current;
  }
  const answer = { kind: makeKind(target.routed), measure, isNew: found.isNew, elapsedMs };
  return withCanary(
    current,
    canaryState.recordAnswer(found.canary, current.self.routerId, answer, nowMs),
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

/**
 * Records the head of an answer as evidence for the canary of its service. Whether it rejects the request is counted
 * beside its time, by callers: a caller's mistakes are no fault of the version that its hash selects.
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
  const found = findCanary(withTime, target);
  if (found === null) {
    return withTime;
  }
  const { request, routed } = target;
  return withCanary(
    withTime,
    canaryState.recordCaller(
      found.canary,
      current.self.routerId,
      {
        // Sessions are moved to the version later than other requests, so the two are not comparable.
        kind: `${makeKind(routed)}${routed.call.session === null ? '' : '|session'}`,
        isNew: found.isNew,
        caller: getCallerKey(request, routed),
        isRejected: answerClass === 'rejection',
      },
      nowMs,
    ),
  );
};

import type * as effects from '../effects.js';
import type * as requestState from '../requestState.js';
import type * as routerState from '../routerState.js';
import * as prefixCache from './prefixCache.js';
import * as routedContext from './routedContext.js';
import * as sendBudget from './sendBudget.js';

/** Time to the head after which an upstream counts as silent, as a multiple of the target latency. */
const HEAD_TIMEOUT_FACTOR = 2.5;
/** The same as a multiple of the usual time to the head: retries must not add load to a saturated pool. */
const SATURATED_TIMEOUT_FACTOR = 6;
/** Time between events after which a stream counts as silent, as a multiple of the route's gap target. */
const GAP_TIMEOUT_FACTOR = 2.2;
/** Gap target of a route that sets none, in milliseconds. */
const DEFAULT_GAP_MS = 1_000;

/**
 * Share of the time within which a caller wants the head, or the next event, for which an upstream may be silent without a
 * probe; the rest is left for the probe and for an answer elsewhere.
 */
const PATIENCE_SHARE = 0.5;

/** Estimates the prompt tokens that an upstream must prefill for a request; 0 if it is not routed. */
export const estimatePrefill = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  upstreamId: string,
  nowMs: number,
): number =>
  request.routed === null
    ? 0
    : prefixCache.estimateUncachedTokens(
        current.routed.cachedParts,
        upstreamId,
        request.routed.model,
        request.routed.call,
        nowMs,
      );

/** Makes the parameters of a send to an upstream, or null for a request that is not routed. */
export const makeSend = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  nowMs: number,
): effects.RoutedSend | null => {
  const { routed } = request;
  if (routed === null) {
    return null;
  }
  const { route, call } = routed;
  const saturation = routedContext.getSaturation(current.routed, request.service);
  const timeoutFactor = Math.max(HEAD_TIMEOUT_FACTOR, saturation * SATURATED_TIMEOUT_FACTOR);
  return {
    model: call.model === routed.model ? null : routed.model,
    priority: routed.priority,
    organisation: route.isPublic ? null : request.customer,
    timeLeftMs: Math.max(1, Math.floor(request.deadlineAtMs - nowMs)),
    headTimeoutMs: request.isRepeatable ? route.targetLatencyMs * timeoutFactor : Infinity,
    gapTimeoutMs: (route.gapTargetMs ?? DEFAULT_GAP_MS) * GAP_TIMEOUT_FACTOR,
    patience: {
      headMs: route.targetLatencyMs * PATIENCE_SHARE,
      gapMs: (route.gapTargetMs ?? DEFAULT_GAP_MS) * PATIENCE_SHARE,
    },
    isStream: route.kind === 'streaming',
  };
};

const setSendWindow = (
  current: routerState.RouterState,
  service: string,
  window: sendBudget.SendWindow,
): routerState.RouterState => ({
  ...current,
  routed: { ...current.routed, sendWindows: current.routed.sendWindows.set(service, window) },
});

/** Records a send in the service's window, which limits the fleet's repeated sends. */
export const recordSend = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  nowMs: number,
): routerState.RouterState => {
  if (request.routed === null) {
    return current;
  }
  const window = sendBudget.recordSend(
    routedContext.getSendWindow(current.routed, request.service),
    request.sentCount > 0,
    current.routed.settings.repeats,
    nowMs,
  );
  return setSendWindow(current, request.service, window);
};

/** Takes an attempt of which nothing was sent out of the service's window; its request still counts it as sent. */
export const withdrawSend = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  attempt: requestState.Attempt,
): routerState.RouterState =>
  setSendWindow(
    current,
    request.service,
    sendBudget.withdrawSend(
      routedContext.getSendWindow(current.routed, request.service),
      request.sentCount > 1,
      attempt.startedAtMs,
    ),
  );

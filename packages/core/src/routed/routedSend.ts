import type * as effects from '../effects.js';
import type * as requestState from '../requestState.js';
import type * as routerState from '../routerState.js';
import * as prefixCache from './prefixCache.js';
import * as routedContext from './routedContext.js';
import * as sendBudget from './sendBudget.js';

/** Multiple of the target latency after which an unanswered upstream counts as silent. */
const HEAD_TIMEOUT_FACTOR = 2.5;
/** Multiple of the usual wait that is left to an upstream, so that a crowded pool is not sent more. */
const SATURATED_TIMEOUT_FACTOR = 6;
/** Multiple of the longest pause wanted after which a stream counts as silent. */
const GAP_TIMEOUT_FACTOR = 2.2;
/** Longest pause assumed of a stream whose route names none, in milliseconds. */
const DEFAULT_GAP_MS = 1_000;

/** Estimates the prompt tokens that an upstream will read for a request. */
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

/** Describes what a send tells the upstream; null for requests that are not routed. */
export const makeSend = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  nowMs: number,
): effects.RoutedSend | null => {
  const { routed: relay } = request;
  if (relay === null) {
    return null;
  }
  const { route, call } = relay;
  const crowding = routedContext.getSaturation(current.routed, request.service);
  const patience = Math.max(HEAD_TIMEOUT_FACTOR, crowding * SATURATED_TIMEOUT_FACTOR);
  return {
    model: call.model === relay.model ? null : relay.model,
    rank: relay.rank,
    organisation: route.isPublic ? null : request.customer,
    timeLeftMs: Math.max(1, Math.floor(request.deadlineAtMs - nowMs)),
    headTimeoutMs: request.isRepeatable ? route.targetLatencyMs * patience : Infinity,
    gapTimeoutMs: (route.gapTargetMs ?? DEFAULT_GAP_MS) * GAP_TIMEOUT_FACTOR,
    isStream: route.kind === 'streaming',
  };
};

/** Counts a send against the fleet's budget of further sends. */
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
  const windows = current.routed.sendWindows.set(request.service, window);
  return { ...current, routed: { ...current.routed, sendWindows: windows } };
};

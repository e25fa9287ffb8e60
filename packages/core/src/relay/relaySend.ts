import type * as effects from '../effects.js';
import type * as requestState from '../requestState.js';
import type * as routerState from '../routerState.js';
import * as prefixMemory from './prefixMemory.js';
import * as relayContext from './relayContext.js';
import * as sendBudget from './sendBudget.js';

/** Multiple of the target latency after which an unanswered upstream counts as silent. */
const HEAD_TIMEOUT_SHARE = 2.5;
/** Multiple of the usual wait that is left to an upstream, so that a crowded pool is not sent more. */
const CROWDED_TIMEOUT_SHARE = 6;
/** Multiple of the longest pause wanted after which a stream counts as silent. */
const GAP_TIMEOUT_SHARE = 2.2;
/** Longest pause assumed of a stream whose route names none, in milliseconds. */
const DEFAULT_GAP_MS = 1_000;

/** Estimates the prompt tokens that an upstream will read for a request. */
export const estimatePrefill = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  upstreamId: string,
  nowMs: number,
): number =>
  request.relay === null
    ? 0
    : prefixMemory.estimateMissingTokens(
        current.relay.parts,
        upstreamId,
        request.relay.model,
        request.relay.call,
        nowMs,
      );

/** Describes what a send tells the upstream; null for requests that are not routed. */
export const makeSend = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  nowMs: number,
): effects.RelaySend | null => {
  const { relay } = request;
  if (relay === null) {
    return null;
  }
  const { route, call } = relay;
  const crowding = relayContext.getCrowding(current.relay, request.service);
  const patience = Math.max(HEAD_TIMEOUT_SHARE, crowding * CROWDED_TIMEOUT_SHARE);
  return {
    model: call.model === relay.model ? null : relay.model,
    rank: relay.rank,
    organisation: route.isPublic ? null : request.customer,
    timeLeftMs: Math.max(1, Math.floor(request.deadlineAtMs - nowMs)),
    headTimeoutMs: request.isRepeatable ? route.targetLatencyMs * patience : Infinity,
    gapTimeoutMs: (route.gapTargetMs ?? DEFAULT_GAP_MS) * GAP_TIMEOUT_SHARE,
    isStream: route.kind === 'streaming',
  };
};

/** Counts a send against the fleet's budget of further sends. */
export const countSend = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  nowMs: number,
): routerState.RouterState => {
  if (request.relay === null) {
    return current;
  }
  const window = sendBudget.countSend(
    relayContext.getWindow(current.relay, request.service),
    request.sentCount > 0,
    current.relay.settings.repeats,
    nowMs,
  );
  const windows = current.relay.windows.set(request.service, window);
  return { ...current, relay: { ...current.relay, windows } };
};

import * as routerState from '../routerState.js';
import * as upstreamRest from './upstreamRest.js';

/**
 * Estimates the time until an upstream of a version or routed service takes requests again, in milliseconds; null if
 * one of them does not rest.
 */
export const estimateRestMs = (
  current: routerState.RouterState,
  versionId: string,
  nowMs: number,
): number | null => {
  const usable = routerState
    .listCandidates(current, versionId)
    .filter((upstream) => upstream.isReachable);
  return usable.length === 0 || usable.some(({ rest }) => !upstreamRest.isResting(rest, nowMs))
    ? null
    : Math.min(...usable.map(({ rest }) => rest.untilMs)) - nowMs;
};

import * as immutable from 'immutable';
import type * as routedState from './routedState.js';

/** Time for which a prompt part is expected to stay in an engine's prefix cache, in milliseconds. */
const CACHE_TTL_MS = 60_000;
/** Number of recorded parts of one upstream from which those not used for half of the time above are dropped. */
const MAX_PARTS = 500;

/** Time of last use in milliseconds, by model and part. */
type UpstreamParts = immutable.Map<string, number>;

/** Recorded parts by upstream. */
export type CachedParts = immutable.Map<string, UpstreamParts>;

const makeKey = (model: string | null, partId: string): string => `${model ?? ''}|${partId}`;

/** Estimates how many prompt tokens are not in an upstream's prefix cache. */
export const estimateUncachedTokens = (
  parts: CachedParts,
  upstreamId: string,
  model: string | null,
  call: routedState.RoutedCall,
  nowMs: number,
): number => {
  const known = call.parts.length === 0 ? undefined : parts.get(upstreamId);
  if (known === undefined) {
    return call.tokensIn;
  }
  let cachedTokens = 0;
  for (const part of call.parts) {
    const usedAtMs = known.get(makeKey(model, part.id));
    if (usedAtMs === undefined || nowMs - usedAtMs > CACHE_TTL_MS) {
      break;
    }
    cachedTokens += part.tokens;
  }
  return Math.max(0, call.tokensIn - cachedTokens);
};

/** Records that an upstream has the parts of a prompt in its prefix cache. */
export const recordParts = (
  parts: CachedParts,
  upstreamId: string,
  model: string | null,
  call: routedState.RoutedCall,
  nowMs: number,
): CachedParts => {
  if (call.parts.length === 0) {
    return parts;
  }
  const known: UpstreamParts = parts.get(upstreamId) ?? immutable.Map();
  const retained =
    known.size < MAX_PARTS
      ? known
      : known.filter((usedAtMs) => nowMs - usedAtMs < CACHE_TTL_MS / 2);
  return parts.set(
    upstreamId,
    retained.withMutations((next) => {
      call.parts.forEach((part) => next.set(makeKey(model, part.id), nowMs));
    }),
  );
};

/** Removes an upstream's recorded parts. */
export const forgetUpstream = (parts: CachedParts, upstreamId: string): CachedParts =>
  parts.remove(upstreamId);

/** Counts the prompt tokens that other requests may share: those of all parts but the last. */
export const countSharedTokens = (call: routedState.RoutedCall): number =>
  call.parts.slice(0, -1).reduce((sum, part) => sum + part.tokens, 0);

/** Returns the id of the last part that other requests may share, or null if there is none. */
export const getSharedPartId = (call: routedState.RoutedCall): string | null =>
  call.parts.at(-2)?.id ?? null;

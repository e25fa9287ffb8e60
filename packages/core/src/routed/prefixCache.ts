import type * as immutable from 'immutable';
import type * as routedState from './routedState.js';

/** Time for which a part of a prompt is expected to stay on an engine, in milliseconds. */
const CACHE_TTL_MS = 60_000;
/** Parts remembered before the oldest are dropped. */
const MAX_PARTS = 20_000;

type Parts = immutable.Map<string, number>;

const makeKey = (upstreamId: string, model: string | null, partId: string): string =>
  `${upstreamId}|${model ?? ''}|${partId}`;

/** Estimates the prompt tokens that an upstream would have to read. */
export const estimateUncachedTokens = (
  parts: Parts,
  upstreamId: string,
  model: string | null,
  call: routedState.RoutedCall,
  nowMs: number,
): number => {
  let kept = 0;
  for (const part of call.parts) {
    const usedAtMs = parts.get(makeKey(upstreamId, model, part.id));
    if (usedAtMs === undefined || nowMs - usedAtMs > CACHE_TTL_MS) {
      break;
    }
    kept += part.tokens;
  }
  return Math.max(0, call.tokensIn - kept);
};

/** Records that an upstream has read a prompt. */
export const recordParts = (
  parts: Parts,
  upstreamId: string,
  model: string | null,
  call: routedState.RoutedCall,
  nowMs: number,
): Parts => {
  const kept =
    parts.size < MAX_PARTS
      ? parts
      : parts.filter((usedAtMs) => nowMs - usedAtMs < CACHE_TTL_MS / 2);
  return kept.withMutations((next) => {
    call.parts.forEach((part) => next.set(makeKey(upstreamId, model, part.id), nowMs));
  });
};

/** Forgets what an upstream held. */
export const forgetUpstream = (parts: Parts, upstreamId: string): Parts =>
  parts.filterNot((_, key) => key.startsWith(`${upstreamId}|`));

/** Tokens of a prompt that other requests may share: all parts but the last. */
export const countSharedTokens = (call: routedState.RoutedCall): number =>
  call.parts.slice(0, -1).reduce((sum, part) => sum + part.tokens, 0);

/** Identifies what a request is about: the last part that others may share. */
export const getSharedPartId = (call: routedState.RoutedCall): string | null =>
  call.parts.at(-2)?.id ?? null;

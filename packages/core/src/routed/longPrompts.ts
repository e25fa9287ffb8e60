import * as shared from '@jayrock/shared';
import type * as upstreamState from '../upstreamState.js';
import * as routedContext from './routedContext.js';

/** Share of the upstreams of each zone and version that are preferred for long prompts. */
const LONG_SHARE = 0.4;
/** Prefill time above which a prompt noticeably delays other requests on the same engine, in milliseconds. */
const LONG_PREFILL_MS = 150;

/**
 * Returns whether the prefill of a prompt takes long enough to delay other requests on the same engine. `unitMs`
 * is the model's typical time per unit of work in milliseconds, or null while it is unknown.
 */
export const isLongPrompt = (tokens: number, unitMs: number | null): boolean =>
  unitMs !== null && (tokens / routedContext.TOKENS_PER_UNIT) * unitMs > LONG_PREFILL_MS;

/** Empty set, for services that no route table lists; they have no preference for long prompts. */
export const NO_LONG_PROMPT_HOSTS: ReadonlySet<string> = new Set();

/**
 * Lists the upstreams that all routers prefer for long prompts. Routers cannot learn of each other's prompts in
 * time, so the set is derived from the host list alone. Short prompts on the other upstreams are spared the
 * head-of-line blocking.
 */
export const listLongPromptHosts = (
  upstreams: readonly upstreamState.UpstreamState[],
): ReadonlySet<string> => {
  const groups = new Map<string, string[]>();
  upstreams.forEach(({ host }) => {
    const group = `${host.zone}|${host.version ?? ''}`;
    groups.set(group, [...(groups.get(group) ?? []), host.id]);
  });
  return new Set(
    Array.from(groups).flatMap(([group, ids]) =>
      shared.rendezvous.pickRendezvous(
        `long prompts|${group}`,
        ids,
        Math.round(ids.length * LONG_SHARE),
      ),
    ),
  );
};

import * as shared from '@jayrock/shared';
import type * as upstreamState from '../upstreamState.js';
import * as routedContext from './routedContext.js';

/** Part of the upstreams of a zone and version that take long prompts first. */
const LONG_SHARE = 0.4;
/** Time to read a prompt from which it holds up what runs beside it, in milliseconds. */
const LONG_PREFILL_MS = 150;

/**
 * Tells whether an engine will be busy with a prompt for so long that other callers notice; `unitMs` is the
 * typical time of the model for one unit, or null while it is not known.
 */
export const isLongPrompt = (tokens: number, unitMs: number | null): boolean =>
  unitMs !== null && (tokens / routedContext.TOKENS_PER_UNIT) * unitMs > LONG_PREFILL_MS;

/** No upstream takes long prompts first. */
export const NO_LONG_PROMPT_HOSTS: ReadonlySet<string> = new Set();

/**
 * Lists the upstreams that all routers give long prompts first. Routers cannot see each other's prompts in
 * time, so they agree on where the long ones go: the short ones elsewhere do not wait behind them.
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

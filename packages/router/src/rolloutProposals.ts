import type * as core from '@jayrock/core';
import * as stores from '@jayrock/stores';
import type * as pino from 'pino';

type Proposal = core.effects.EffectOf<'proposeRollout'>;

/** Delay before a change is retried after a store error, in milliseconds. */
const RETRY_MS = 1_000;
/** Largest number of times that one change is tried. */
const MAX_TRIES = 60;

const makeEdit = (proposal: Proposal): stores.configEdits.ListEdit =>
  stores.configEdits.makeRolloutEdit(proposal.change, {
    model: proposal.model,
    version: proposal.to,
    ...(proposal.change === 'advance' ? { fromStep: proposal.fromStep } : {}),
  });

/**
 * Makes a function that writes the roll-out changes proposed by the reducer. Only store errors are retried;
 * a rejected change is dropped, since another router may have written it first.
 */
export const makeProposer = (
  store: stores.keyValueStore.KeyValueStore,
  log: pino.Logger,
): ((proposal: Proposal) => void) => {
  const propose = async (proposal: Proposal, tries: number): Promise<void> => {
    const result = await stores.configEdits.editWithRetry(store, makeEdit(proposal));
    if (result.ok) {
      log.info({ ...proposal, generation: result.value.generation }, 'roll-out changed');
    } else if (result.error.kind === 'store' && tries > 1) {
      setTimeout(() => {
        propose(proposal, tries - 1).catch(() => undefined);
      }, RETRY_MS).unref();
    }
  };
  return (proposal) => {
    propose(proposal, MAX_TRIES).catch((error: unknown) =>
      log.error({ error }, 'roll-out change failed'),
    );
  };
};

import * as crypto from 'node:crypto';
import * as shared from '@jayrock/shared';
import * as configStore from './configStore.js';
import type * as keyValueStore from './keyValueStore.js';
import * as rolloutEdits from './rolloutEdits.js';

const SIGNING_KEY_BYTES = 32;
/** Maximum number of attempts to apply an edit that conflicts with concurrent edits. */
const MAX_ATTEMPTS = 5;

/** Plans list and models list without a generation. */
export interface Lists {
  readonly plans: shared.lists.PlansList;
  readonly models: shared.lists.ModelsList;
}

/** Why an edit was not applied. */
export type EditError =
  configStore.ConfigError | { readonly kind: 'rejected'; readonly reason: string };

type EditOutcome = shared.outcome.Outcome<shared.lists.Configuration, EditError>;

/** Computes the edited lists, or fails with a reason; null stands for a missing configuration. */
export type ListEdit = (lists: Lists | null) => shared.outcome.Outcome<Lists, string>;

/** Creates an edit that fails if there is no configuration yet. */
export const makeListEdit =
  (change: (lists: Lists) => shared.outcome.Outcome<Lists, string>): ListEdit =>
  (lists) =>
    lists === null ? shared.outcome.makeFailed('there is no configuration yet') : change(lists);

/** Creates the list edit for a roll-out action. */
export const makeRolloutEdit = (
  action: rolloutEdits.RolloutAction,
  target: rolloutEdits.RolloutTarget,
): ListEdit =>
  makeListEdit((lists) => {
    const models = rolloutEdits.editRollout(lists.models, action, target);
    return models.ok ? shared.outcome.makeOk({ plans: lists.plans, models: models.value }) : models;
  });

interface EditBase {
  readonly head: configStore.VersionedHead;
  readonly configuration: shared.lists.Configuration | null;
}

const readBase = async (
  store: keyValueStore.KeyValueStore,
): Promise<shared.outcome.Outcome<EditBase, configStore.ConfigError>> => {
  const head = await configStore.readHead(store);
  if (!head.ok) {
    return head;
  }
  if (head.value.head === null) {
    return shared.outcome.makeOk({ head: head.value, configuration: null });
  }
  const configuration = await configStore.fetchConfiguration(store, head.value.head);
  return configuration.ok
    ? shared.outcome.makeOk({ head: head.value, configuration: configuration.value })
    : configuration;
};

/**
 * Reads the lists, applies an edit and writes the result as the next generation.
 * Fails with a conflict if the generation is not the expected one or a concurrent edit came first.
 */
export const editOnce = async (
  store: keyValueStore.KeyValueStore,
  edit: ListEdit,
  expectedGeneration?: number,
): Promise<EditOutcome> => {
  const base = await readBase(store);
  if (!base.ok) {
    return base;
  }
  const { configuration, head } = base.value;
  const generation = configuration?.generation ?? 0;
  if (expectedGeneration !== undefined && expectedGeneration !== generation) {
    return shared.outcome.makeFailed({ kind: 'conflict', current: configuration });
  }
  const edited = edit(configuration);
  if (!edited.ok) {
    return shared.outcome.makeFailed({ kind: 'rejected', reason: edited.error });
  }
  return configStore.writeConfiguration(
    store,
    {
      generation: generation + 1,
      signingKey:
        configuration?.signingKey ?? crypto.randomBytes(SIGNING_KEY_BYTES).toString('hex'),
      plans: edited.value.plans,
      models: edited.value.models,
    },
    head,
  );
};

/** Applies an edit and retries it on conflicts; only for edits that do not replace a whole list. */
export const editWithRetry = async (
  store: keyValueStore.KeyValueStore,
  edit: ListEdit,
  attemptsLeft = MAX_ATTEMPTS,
): Promise<EditOutcome> => {
  const result = await editOnce(store, edit);
  const shouldRetry = !result.ok && result.error.kind === 'conflict' && attemptsLeft > 1;
  return shouldRetry ? editWithRetry(store, edit, attemptsLeft - 1) : result;
};

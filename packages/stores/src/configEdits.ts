import * as crypto from 'node:crypto';
import * as shared from '@jayrock/shared';
import * as configStore from './configStore.js';
import type * as keyValueStore from './keyValueStore.js';
import * as rolloutEdits from './rolloutEdits.js';

const SIGNING_KEY_BYTES = 32;
/** Times an edit is made again on top of another one that came first. */
const MAX_ATTEMPTS = 5;

/** Both lists without their generation. */
export interface Lists {
  readonly plans: shared.lists.PlansList;
  readonly models: shared.lists.ModelsList;
}

/** Why an edit was not made. */
export type EditError =
  configStore.ConfigError | { readonly kind: 'rejected'; readonly reason: string };

type EditOutcome = shared.outcome.Outcome<shared.lists.Configuration, EditError>;

/** Changes both lists, or says why it will not. */
export type ListEdit = (lists: Lists | null) => shared.outcome.Outcome<Lists, string>;

/** Makes an edit that needs lists to be there. */
export const makeListEdit =
  (change: (lists: Lists) => shared.outcome.Outcome<Lists, string>): ListEdit =>
  (lists) =>
    lists === null ? shared.outcome.makeFailed('there is no configuration yet') : change(lists);

/** Makes the edit that an action on a roll-out means for the lists. */
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
  const fetched = await configStore.fetchConfiguration(store, head.value.head);
  return fetched.ok
    ? shared.outcome.makeOk({ head: head.value, configuration: fetched.value })
    : fetched;
};

/** Reads the lists, edits them and writes them as the next generation, once. */
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

/** Makes an edit again on top of whatever came first; for edits that do not replace a list. */
export const editWithRetry = async (
  store: keyValueStore.KeyValueStore,
  edit: ListEdit,
  attemptsLeft = MAX_ATTEMPTS,
): Promise<EditOutcome> => {
  const result = await editOnce(store, edit);
  const shouldRetry = !result.ok && result.error.kind === 'conflict' && attemptsLeft > 1;
  return shouldRetry ? editWithRetry(store, edit, attemptsLeft - 1) : result;
};

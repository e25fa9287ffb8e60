import test from 'ava';
import * as shared from '@jayrock/shared';
import * as standIns from '@jayrock/stand-ins';
import * as stores from '@jayrock/stores';
import * as socketSite from './socketSite.js';

/** Time within which an edit is in force, in milliseconds. */
const IN_FORCE_MS = 5_000;

const makeModels = (cost: number): shared.lists.ModelsList => {
  const models = socketSite.makeModels();
  return {
    ...models,
    models: models.models.map((model) => ({ ...model, costPerThousandTokensMicros: cost })),
  };
};

test.failing(
  'an edit of the lists is in force after the store went back to a copy with an older generation',
  async (t) => {
    const site = await socketSite.startSite('127.0.40.30');
    t.teardown(site.close);
    const { store } = site.running.platform;
    const copy = await store.get(stores.configStore.HEAD_KEY, 'configuration');
    await site.setModels(makeModels(11));
    await site.setModels(makeModels(12));
    const latest = await store.get(stores.configStore.HEAD_KEY, 'configuration');
    if (!copy.ok || !latest.ok || copy.value === null || latest.value === null) {
      throw new Error('expected heads');
    }
    const { key, value } = copy.value;
    const restored = await store.commit(
      { checks: [{ key, revision: latest.value.revision }], puts: [{ key, value }] },
      'configuration',
    );
    t.true(restored.ok && restored.value.isCommitted);
    const cost = 13;
    const edited = await stores.configEdits.editOnce(
      store,
      stores.configEdits.makeListEdit(({ plans }) =>
        shared.outcome.makeOk({ plans, models: makeModels(cost) }),
      ),
    );
    t.true(edited.ok);
    await standIns.control.wait(IN_FORCE_MS);
    const models = site.running.runtime.getState().config?.source.models.models ?? [];
    t.deepEqual(
      models.map((model) => model.costPerThousandTokensMicros),
      models.map(() => cost),
    );
  },
);

import * as shared from '@jayrock/shared';

type Models = shared.lists.ModelsList;
type EditOutcome = shared.outcome.Outcome<Models, string>;

/** Actions of operators and routers on a roll-out. */
export type RolloutAction =
  'start' | 'advance' | 'pause' | 'resume' | 'finish' | 'halt' | 'withdraw';

/** Model and version that an action applies to. */
export interface RolloutTarget {
  readonly model: string;
  /** Candidate version, or the version to withdraw. */
  readonly version: string;
  /** Expected current step of an `advance`; the action fails at any other step. */
  readonly fromStep?: number;
  readonly steps?: readonly number[];
}

const findModel = (models: Models, name: string): shared.lists.Model | undefined =>
  models.models.find((model) => model.name === name);

const replaceModel = (
  models: Models,
  name: string,
  change: (model: shared.lists.Model) => shared.lists.Model,
): Models => ({
  ...models,
  models: models.models.map((model) => (model.name === name ? change(model) : model)),
});

const setVersionState = (
  models: Models,
  target: RolloutTarget,
  state: shared.lists.Version['state'],
): Models =>
  replaceModel(models, target.model, (model) => ({
    ...model,
    versions: model.versions.map((version) =>
      version.name === target.version ? { ...version, state } : version,
    ),
  }));

/** Moves the version to the front, because new sessions get a model's first stable version. */
const moveVersionFirst = (models: Models, target: RolloutTarget): Models =>
  replaceModel(models, target.model, (model) => ({
    ...model,
    versions: model.versions.toSorted(
      (a, b) => Number(b.name === target.version) - Number(a.name === target.version),
    ),
  }));

const findRollout = (models: Models, target: RolloutTarget): shared.lists.Rollout | undefined =>
  models.rollouts.find(
    (rollout) =>
      rollout.model === target.model &&
      rollout.to === target.version &&
      rollout.state !== 'finished',
  );

const replaceRollout = (
  models: Models,
  target: RolloutTarget,
  change: Partial<shared.lists.Rollout>,
): EditOutcome => {
  const current = findRollout(models, target);
  if (current === undefined) {
    return shared.outcome.makeFailed(`no open roll-out of ${target.model} to ${target.version}`);
  }
  const rollouts = models.rollouts.map((rollout) =>
    rollout === current ? { ...rollout, ...change } : rollout,
  );
  return shared.outcome.makeOk({ ...models, rollouts });
};

const finishRollout = (models: Models, target: RolloutTarget): EditOutcome => {
  const edited = replaceRollout(models, target, { state: 'finished' });
  return edited.ok
    ? shared.outcome.makeOk(
        moveVersionFirst(setVersionState(edited.value, target, 'stable'), target),
      )
    : edited;
};

const advanceRollout = (models: Models, target: RolloutTarget): EditOutcome => {
  const current = findRollout(models, target);
  if (current === undefined || current.state !== 'running') {
    return shared.outcome.makeFailed(`no running roll-out of ${target.model} to ${target.version}`);
  }
  if (target.fromStep !== undefined && target.fromStep !== current.step) {
    return shared.outcome.makeFailed(`the roll-out is at step ${current.step} already`);
  }
  return current.step + 1 < current.steps.length
    ? replaceRollout(models, target, { step: current.step + 1 })
    : finishRollout(models, target);
};

const startRollout = (models: Models, target: RolloutTarget): EditOutcome => {
  const model = findModel(models, target.model);
  const stable = model?.versions.find(
    (version) => version.state === 'stable' && version.name !== target.version,
  );
  if (model === undefined || stable === undefined) {
    return shared.outcome.makeFailed(`${target.model} has no stable version to roll out from`);
  }
  if (!model.versions.some((version) => version.name === target.version)) {
    return shared.outcome.makeFailed(`${target.model} has no version ${target.version}`);
  }
  const otherRollouts = models.rollouts.filter(
    (rollout) => rollout.model !== target.model || rollout.state === 'finished',
  );
  const rollout: shared.lists.Rollout = {
    model: target.model,
    from: stable.name,
    to: target.version,
    steps: target.steps ?? [1, 5, 10, 25, 50, 100],
    step: 0,
    state: 'running',
  };
  const candidate = setVersionState(models, target, 'candidate');
  return shared.outcome.makeOk({ ...candidate, rollouts: [...otherRollouts, rollout] });
};

/** A finished roll-out can still be halted while its former version is there to return to. */
const haltRollout = (models: Models, target: RolloutTarget): EditOutcome => {
  const current = models.rollouts.findLast(
    (rollout) => rollout.model === target.model && rollout.to === target.version,
  );
  if (current === undefined || current.state === 'halted') {
    return shared.outcome.makeFailed(`no roll-out of ${target.model} to ${target.version}`);
  }
  const rollouts = models.rollouts.map((rollout) =>
    rollout === current ? { ...rollout, state: 'halted' as const } : rollout,
  );
  return shared.outcome.makeOk(setVersionState({ ...models, rollouts }, target, 'withdrawn'));
};

const withdrawVersion = (models: Models, target: RolloutTarget): EditOutcome => {
  const model = findModel(models, target.model);
  if (!model?.versions.some((version) => version.name === target.version)) {
    return shared.outcome.makeFailed(`${target.model} has no version ${target.version}`);
  }
  const halted = replaceRollout(models, target, { state: 'halted' });
  return shared.outcome.makeOk(
    setVersionState(halted.ok ? halted.value : models, target, 'withdrawn'),
  );
};

const ACTIONS: Readonly<
  Record<RolloutAction, (models: Models, target: RolloutTarget) => EditOutcome>
> = {
  start: startRollout,
  advance: advanceRollout,
  pause: (models, target) => replaceRollout(models, target, { state: 'paused' }),
  resume: (models, target) => replaceRollout(models, target, { state: 'running' }),
  finish: finishRollout,
  halt: haltRollout,
  withdraw: withdrawVersion,
};

/** Applies a roll-out action to the models list, or fails with a reason. */
export const editRollout = (
  models: Models,
  action: RolloutAction,
  target: RolloutTarget,
): EditOutcome => ACTIONS[action](models, target);

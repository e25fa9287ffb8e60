import * as stores from '@jayrock/stores';
import * as output from '../output.js';
import * as target from '../target.js';
import * as waitInForce from './waitInForce.js';

/** Options of `rollout`. */
export interface RolloutOptions extends target.TargetOptions {
  readonly steps?: string;
  readonly wait?: boolean;
}

const ACTIONS: ReadonlySet<string> = new Set([
  'start',
  'advance',
  'pause',
  'resume',
  'finish',
  'withdraw',
]);

const printRollouts = async (
  store: stores.keyValueStore.KeyValueStore,
  options: RolloutOptions,
): Promise<number> => {
  const found = await stores.configStore.readConfiguration(store);
  if (!found.ok) {
    output.printError('the key-value service does not answer');
    return output.EXIT_CODE.unreachable;
  }
  const rollouts = found.value?.models.rollouts ?? [];
  if (options.json === true) {
    output.printJson(rollouts);
    return output.EXIT_CODE.ok;
  }
  output.printLine(
    output.renderTable(
      ['model', 'from', 'to', 'state', 'step', 'share'],
      rollouts.map((rollout) => [
        rollout.model,
        rollout.from,
        rollout.to,
        rollout.state,
        `${rollout.step + 1} of ${rollout.steps.length}`,
        `${rollout.steps[rollout.step] ?? 0} %`,
      ]),
    ),
  );
  return output.EXIT_CODE.ok;
};

const parseSteps = (text: string | undefined): readonly number[] | undefined =>
  text === undefined ? undefined : String(text).split(',').map(Number);

const printProblem = (error: stores.configEdits.EditError): number => {
  if (error.kind === 'rejected') {
    output.printError(error.reason);
    return output.EXIT_CODE.failed;
  }
  if (error.kind === 'invalid') {
    output.printError(error.problems.join('\n'));
    return output.EXIT_CODE.failed;
  }
  output.printError(
    error.kind === 'conflict'
      ? 'too many conflicts with concurrent changes; nothing was applied'
      : 'the key-value service does not answer',
  );
  return error.kind === 'conflict' ? output.EXIT_CODE.conflict : output.EXIT_CODE.unreachable;
};

const changeRollout = async (
  store: stores.keyValueStore.KeyValueStore,
  action: stores.rolloutEdits.RolloutAction,
  model: string,
  version: string,
  options: RolloutOptions,
): Promise<number> => {
  const steps = parseSteps(options.steps);
  const edit = stores.configEdits.makeRolloutEdit(action, {
    model,
    version,
    ...(steps === undefined ? {} : { steps }),
  });
  const result = await stores.configEdits.editWithRetry(store, edit);
  if (!result.ok) {
    return printProblem(result.error);
  }
  const { generation } = result.value;
  output.printLine(
    options.json === true
      ? JSON.stringify({ generation })
      : `${action} of ${model}@${version} applied as generation ${generation}`,
  );
  return options.wait === true ? waitInForce.waitInForce(generation, options) : output.EXIT_CODE.ok;
};

/** Runs an action of `rollout` and returns the exit code. */
export const runRollout = async (
  action: string,
  model: string | undefined,
  version: string | undefined,
  options: RolloutOptions,
): Promise<number> => {
  const isChange = ACTIONS.has(action) && model !== undefined && version !== undefined;
  if (action !== 'status' && !isChange) {
    output.printError(
      'usage: jayrock rollout status | start|advance|pause|resume|finish|withdraw MODEL VERSION',
    );
    return output.EXIT_CODE.usage;
  }
  const store = target.openStore(options);
  if (!store.ok) {
    output.printError(store.error);
    return output.EXIT_CODE.usage;
  }
  const exitCode = isChange
    ? await changeRollout(
        store.value,
        action as stores.rolloutEdits.RolloutAction,
        model,
        version,
        options,
      )
    : await printRollouts(store.value, options);
  await store.value.close();
  return exitCode;
};

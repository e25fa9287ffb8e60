#!/usr/bin/env node
import * as path from 'node:path';
import * as cac from 'cac';
import * as shared from '@jayrock/shared';
import * as embeddedLists from './embeddedLists.js';
import * as startRelay from './relay/startRelay.js';
import * as startRouter from './startRouter.js';

const EXIT_INVALID = 2;

const failWith = (problems: readonly shared.jsonc.FileProblem[]): void => {
  problems.forEach((problem) => process.stderr.write(`${shared.jsonc.formatProblem(problem)}\n`));
  process.exitCode = EXIT_INVALID;
};

const checkLists = (
  settings: shared.settings.Settings,
  baseDir: string,
): readonly shared.jsonc.FileProblem[] => {
  if (settings.platform.kind !== 'embedded') {
    return [];
  }
  const lists = embeddedLists.loadLists({
    plansFile: path.resolve(baseDir, settings.platform.plansFile),
    modelsFile: path.resolve(baseDir, settings.platform.modelsFile),
  });
  return lists.ok ? [] : lists.error;
};

const serve = async (settings: shared.settings.Settings, baseDir: string): Promise<void> => {
  const started =
    settings.platform.kind === 'managed'
      ? shared.outcome.makeOk(await startRelay.startRelay(settings, settings.platform))
      : await startRouter.startRouter(settings, settings.platform, baseDir);
  if (!started.ok) {
    failWith(started.error);
    return;
  }
  const running = started.value;
  const stop = (): void => {
    running.stop().then(
      () => process.exit(0),
      () => process.exit(1),
    );
  };
  process.once('SIGTERM', stop);
  process.once('SIGINT', stop);
};

const run = async (file: string, isCheck: boolean): Promise<void> => {
  const settings = shared.jsonc.loadJsonc(file, shared.settings.settingsSchema);
  if (!settings.ok) {
    failWith(settings.error);
    return;
  }
  const baseDir = path.dirname(path.resolve(file));
  const problems = checkLists(settings.value, baseDir);
  if (problems.length > 0) {
    failWith(problems);
    return;
  }
  if (isCheck) {
    process.stdout.write(`${file}: valid\n`);
    return;
  }
  await serve(settings.value, baseDir);
};

const cli = cac.cac('jayrockd');
cli
  .command('', 'Run the router')
  .option('--settings <file>', 'Settings of this router, in JSON with comments')
  .option('--check', 'Check the settings and the lists they name, then exit')
  .action((options: { readonly settings?: string; readonly check?: boolean }) => {
    if (options.settings === undefined) {
      cli.outputHelp();
      process.exitCode = EXIT_INVALID;
      return undefined;
    }
    return run(options.settings, options.check === true);
  });
cli.help();
cli.version('0.1.0');
cli.parse();

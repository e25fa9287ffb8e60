#!/usr/bin/env node
import './earlySignals.js';
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as cac from 'cac';
import * as platform from '@jayrock/platform';
import * as shared from '@jayrock/shared';
import * as embeddedLists from './embeddedLists.js';
import * as startRoutedRouter from './routed/startRoutedRouter.js';
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
  if (settings.platform.kind === 'routes') {
    const file = path.resolve(baseDir, settings.platform.routesFile);
    const table = shared.jsonc.loadJsonc(file, shared.routeTable.routeFileSchema);
    return table.ok ? [] : table.error;
  }
  if (settings.platform.kind !== 'embedded') {
    return [];
  }
  const lists = embeddedLists.loadLists({
    plansFile: path.resolve(baseDir, settings.platform.plansFile),
    modelsFile: path.resolve(baseDir, settings.platform.modelsFile),
  });
  return lists.ok ? [] : lists.error;
};

/** Interval at which the settings file is checked for changes, in milliseconds. */
const SETTINGS_POLL_MS = 1_000;

/** A running router on any kind of platform. */
interface RunningRouter {
  readonly stop: () => Promise<void>;
  readonly reload: (settings: shared.settings.Settings) => void;
}

/** Applies changed settings if they are valid; otherwise prints the problems and keeps the current ones. */
const replaceSettings = (running: RunningRouter | null, file: string): void => {
  const changed = shared.jsonc.loadJsonc(file, platform.deploymentSettings.settingsSchema);
  if (changed.ok) {
    running?.reload(changed.value);
  } else {
    changed.error.forEach((problem) =>
      process.stderr.write(`${shared.jsonc.formatProblem(problem)}\n`),
    );
  }
};

/** Starts a router; `handleRouter` gets it as soon as it may have read requests, so that a stop answers them. */
const start = async (
  settings: shared.settings.Settings,
  baseDir: string,
  handleRouter: (router: RunningRouter) => void,
): Promise<readonly shared.jsonc.FileProblem[]> => {
  if (settings.platform.kind === 'managed' || settings.platform.kind === 'routes') {
    const opened = startRoutedRouter.openRoutedRouter(settings, settings.platform, baseDir);
    handleRouter(opened.router);
    await opened.started;
    return [];
  }
  const started = await startRouter.startRouter(settings, settings.platform, baseDir);
  if (!started.ok) {
    return started.error;
  }
  handleRouter(started.value);
  return [];
};

const serve = async (
  settings: shared.settings.Settings,
  file: string,
  baseDir: string,
): Promise<void> => {
  let running: RunningRouter | null = null;
  let isStopping = false;
  const stop = (): void => {
    if (running === null) {
      process.exit(0);
    }
    if (isStopping) {
      return;
    }
    isStopping = true;
    running.stop().then(
      () => process.exit(0),
      () => process.exit(1),
    );
  };
  // Registered before the start, since a signal may arrive while the router is starting, and for good, since a signal
  // without a listener ends the process at once.
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
  process.on('SIGHUP', () => replaceSettings(running, file));
  fs.watchFile(file, { interval: SETTINGS_POLL_MS, persistent: false }, () =>
    replaceSettings(running, file),
  );
  const problems = await start(settings, baseDir, (router) => {
    running = router;
  });
  if (problems.length > 0) {
    fs.unwatchFile(file);
    failWith(problems);
  }
};

const run = async (file: string, isCheckOnly: boolean): Promise<void> => {
  const settings = shared.jsonc.loadJsonc(file, platform.deploymentSettings.settingsSchema);
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
  if (isCheckOnly) {
    process.stdout.write(`${file}: valid\n`);
    return;
  }
  await serve(settings.value, file, baseDir);
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

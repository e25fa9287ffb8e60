#!/usr/bin/env node
import * as cac from 'cac';
import * as check from './commands/check.js';
import * as ledger from './commands/ledger.js';
import * as lists from './commands/lists.js';
import * as rollout from './commands/rollout.js';
import * as slo from './commands/slo.js';
import * as status from './commands/status.js';
import * as output from './output.js';

const cli = cac.cac('jayrock');

const finish = async (exitCode: number | Promise<number>): Promise<void> => {
  process.exitCode = await exitCode;
};

cli
  .option('--settings <file>', 'Settings file of a router, to take addresses from')
  .option('--store <address>', 'IP:PORT of the key-value service')
  .option('--routers <addresses>', 'IP:PORT of routers’ status listeners, separated by commas')
  .option('--json', 'Print JSON');

cli
  .command('check [...files]', 'Check settings and lists; report problems by file, line and field')
  .example('jayrock check examples/ledgerline/*.jsonc')
  .action((files: string[], options: { readonly json?: boolean }) => {
    if (files.length === 0) {
      output.printError('usage: jayrock check FILE…');
      return finish(output.EXIT_CODE.usage);
    }
    return finish(check.runCheck(files, options.json === true));
  });

(['plans', 'models'] as const).forEach((name) => {
  cli
    .command(`${name} <action> [file]`, `get | apply FILE | diff FILE: the ${name} list`)
    .option(
      '--base <generation>',
      'Generation the file is based on; default: the generation comment in the file',
    )
    .option('--wait', 'Wait until the change is in force on the given routers')
    .example(`jayrock ${name} get --store 10.0.0.1:2379 > ${name}.jsonc`)
    .example(`jayrock ${name} apply ${name}.jsonc --store 10.0.0.1:2379`)
    .action((action: string, file: string | undefined, options: lists.ListOptions) =>
      finish(lists.runList(name, action, file, options)),
    );
});

cli
  .command(
    'rollout <action> [model] [version]',
    'status | start | advance | pause | resume | finish | withdraw',
  )
  .option('--steps <shares>', 'Shares of sessions in per cent, separated by commas')
  .option('--wait', 'Wait until the change is in force on the given routers')
  .example('jayrock rollout start clerk-small v4 --steps 1,10,50,100 --store 10.0.0.1:2379')
  .action(
    (
      action: string,
      model: string | undefined,
      version: string | undefined,
      options: rollout.RolloutOptions,
    ) => finish(rollout.runRollout(action, model, version, options)),
  );

cli
  .command('status', 'Show generation, members, load and alarms of the given routers')
  .action((options) => finish(status.runStatus(options)));

cli
  .command('slo', 'Show service levels and the burn rates of their error budgets')
  .option('--html <file>', 'Write an HTML page with charts instead')
  .action((options: slo.SloOptions) => finish(slo.runSlo(options)));

cli
  .command('ledger', 'Show billed requests, deduplicated by request id')
  .option('--customer <name>', 'Show only this customer')
  .option('--entries', 'Print the entries')
  .action((options: ledger.LedgerOptions) => finish(ledger.runLedger(options)));

cli.help();
cli.version('0.1.0');

try {
  cli.parse();
  const isHelpOrVersion = cli.options.help === true || cli.options.version === true;
  if (cli.matchedCommand === undefined && !isHelpOrVersion) {
    cli.outputHelp();
    process.exitCode = output.EXIT_CODE.usage;
  }
} catch (error) {
  output.printError(error instanceof Error ? error.message : String(error));
  process.exitCode = output.EXIT_CODE.usage;
}

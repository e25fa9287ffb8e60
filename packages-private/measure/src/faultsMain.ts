import * as childProcess from 'node:child_process';
import * as path from 'node:path';
import * as url from 'node:url';
import * as util from 'node:util';
import * as cac from 'cac';
import * as stores from '@jayrock/stores';
import * as shared from '@jayrock/shared';
import * as standIns from '@jayrock/stand-ins';
import * as client from './client.js';
import * as fleets from './faults/fleet.js';
import * as faultReport from './faults/faultReport.js';
import * as load from './faults/load.js';

const ZONES = ['mid-a', 'mid-b', 'mid-c', 'mid-d'] as const;
const ROUTER_COUNT = 9;
/** Time of undisturbed load before and after a fault, in milliseconds. */
const MARGIN_MS = 3_000;
/** Time for the routers to write the ledger after the load, in milliseconds. */
const LEDGER_FLUSH_MS = 6_000;
const INTERVAL_MS = 15;

const { wait } = standIns.control;

type Fault = (fleet: fleets.Fleet, durationMs: number) => Promise<void>;

const restartHosts = async (
  fleet: fleets.Fleet,
  hosts: readonly fleets.EntryHost[],
): Promise<void> => {
  await wait(3_000);
  await Promise.all(hosts.map((host) => fleet.startHost(host)));
};

const killHosts =
  (count: number): Fault =>
  async (fleet) => {
    const hosts = fleet.hosts.slice(2, 2 + count);
    hosts.forEach((host) => fleets.killHost(host));
    await restartHosts(fleet, hosts);
  };

const waitExit = async (host: fleets.EntryHost): Promise<void> => {
  if (host.process !== null) {
    await wait(50);
    await waitExit(host);
  }
};

const replaceAll: Fault = async (fleet) => {
  await fleet.hosts.reduce(async (before, host) => {
    await before;
    fleets.killHost(host, 'SIGTERM');
    await waitExit(host);
    await fleet.startHost(host);
  }, Promise.resolve());
};

const withFaults =
  (
    pick: (fleet: fleets.Fleet) => readonly standIns.control.StandIn[],
    change: Partial<standIns.control.Faults>,
  ): Fault =>
  async (fleet, durationMs) => {
    const targets = pick(fleet);
    targets.forEach((target) => Object.assign(target.faults, change));
    await wait(durationMs);
    targets.forEach((target) => Object.assign(target.faults, standIns.control.makeFaults()));
  };

const cutZone: Fault = async (fleet, durationMs) => {
  fleets.cutZone(fleet, 'mid-b');
  await wait(durationMs);
  fleets.cutZone(fleet, null);
};

const silenceEngines: Fault = async (fleet) => {
  fleet.engines.slice(0, 2).forEach((engine) => engine.silenceConnections());
  await wait(6_000);
};

const execFile = util.promisify(childProcess.execFile);

const CLI = path.resolve(
  path.dirname(url.fileURLToPath(import.meta.url)),
  '../../../../packages/cli/dist/src/main.js',
);
/** Time after which a withdrawn version must get no new request, in milliseconds. */
const WITHDRAW_LIMIT_MS = 3_000;

const countStarts = (fleet: fleets.Fleet, versionId: string): number =>
  fleet.engines.reduce((sum, engine) => sum + (engine.starts.get(versionId) ?? 0), 0);

const withdrawVersion: Fault = async (fleet, durationMs) => {
  const command = ['rollout', 'withdraw', 'clerk-small', 'v3', '--store', fleet.store.address];
  const before = countStarts(fleet, 'clerk-small@v3');
  // The stand-ins run in this process: a synchronous call would block the store that the command
  // needs.
  await execFile(process.execPath, [CLI, ...command]);
  await wait(WITHDRAW_LIMIT_MS);
  const atLimit = countStarts(fleet, 'clerk-small@v3');
  await wait(durationMs);
  const late = countStarts(fleet, 'clerk-small@v3') - atLimit;
  process.stderr.write(
    `version withdrawn: ${before} starts before, ${atLimit - before} within 3 s, ${late} later\n`,
  );
};

const sendPoison: Fault = async (fleet) => {
  const sends = Array.from({ length: 6 }, (_, index) => index);
  await sends.reduce(async (before, index) => {
    await before;
    await client.sendCall({
      address: fleet.hosts[index]?.callers ?? '',
      customer: 'harbour-market',
      path: '/v1/chat/completions',
      body: {
        model: 'clerk-small',
        stream: true,
        messages: [{ role: 'user', content: standIns.engine.POISON_TEXT }],
      },
    });
    await wait(1_000);
  }, Promise.resolve());
};

const pauseHost: Fault = async (fleet, durationMs) => {
  const host = fleet.hosts[3];
  host?.process?.kill('SIGSTOP');
  await wait(Math.min(durationMs, 8_000));
  host?.process?.kill('SIGCONT');
  await wait(2_000);
};

const raceOperators: Fault = async (fleet) => {
  const operatorStores = ['first', 'second'].map(() =>
    stores.etcdStore.openEtcdStore(fleet.store.address),
  );
  const edits = ['north', 'south'].map((name) =>
    stores.configEdits.makeListEdit(({ plans, models }) => {
      const keyHash = shared.hash.hashDigest(name);
      const customers = [...plans.customers, { name, plan: 'counter', keyHash, weight: 1 }];
      return shared.outcome.makeOk({ models, plans: { ...plans, customers } });
    }),
  );
  const outcomes = await Promise.all(
    operatorStores.map((store, index) =>
      stores.configEdits.editOnce(store, edits[index] ?? (() => shared.outcome.makeFailed('')), 1),
    ),
  );
  const applied = outcomes.filter((outcome) => outcome.ok).length;
  const conflicts = outcomes.filter(
    (outcome) => !outcome.ok && outcome.error.kind === 'conflict',
  ).length;
  process.stderr.write(`two operators: ${applied} applied, ${conflicts} got a conflict\n`);
  await Promise.all(operatorStores.map((store) => store.close()));
  await wait(3_000);
};

const listStores = (fleet: fleets.Fleet): readonly standIns.control.StandIn[] => [fleet.store];

const FAULTS: Readonly<Record<string, Fault>> = {
  none: async () => wait(5_000),
  'kill one router': killHosts(1),
  'kill two routers': killHosts(2),
  'replace all nine': replaceAll,
  'key-value service down': withFaults(listStores, { isDown: true }),
  'key-value service slow': withFaults(listStores, { delayMs: 800 }),
  'key-value answers lost': withFaults(listStores, { dropsAnswers: true }),
  'half of the engines fail': withFaults((fleet) => fleet.engines.slice(0, 3), { isDown: true }),
  'zone cut off': cutZone,
  'connections silent': silenceEngines,
  'poison request': sendPoison,
  'router paused': pauseHost,
  'two operators': raceOperators,
  'version withdrawn': withdrawVersion,
};

/** Runs faults in a seeded order until the time is over, without those that edit the lists. */
const runInRandomOrder =
  (seed: string): Fault =>
  async (fleet, durationMs) => {
    const untilMs = Date.now() + durationMs;
    const names = Object.keys(FAULTS).filter(
      (name) => name !== 'two operators' && name !== 'version withdrawn',
    );
    const runRound = async (round: number): Promise<void> => {
      if (Date.now() >= untilMs) {
        return;
      }
      const index = shared.hash.hashText(`${seed}|${round}`) % names.length;
      const name = names[index] ?? 'none';
      process.stderr.write(`  ${name}\n`);
      await FAULTS[name]?.(fleet, 6_000);
      await runRound(round + 1);
    };
    await runRound(0);
  };

const runOnFleet = async (
  name: string,
  fault: Fault,
  durationMs: number,
  fleet: fleets.Fleet,
): Promise<faultReport.FaultReport> => {
  await wait(MARGIN_MS);
  const runningLoad = load.startLoad(fleet, { intervalMs: INTERVAL_MS, seed: name });
  await wait(MARGIN_MS);
  await fault(fleet, durationMs);
  await wait(MARGIN_MS);
  const results = await runningLoad.stop();
  await wait(LEDGER_FLUSH_MS);
  const poisonCount = fleet.engines.reduce((sum, engine) => sum + engine.getPoisonCount(), 0);
  if (poisonCount > 0) {
    process.stderr.write(`${name}: ${poisonCount} engine crashes by the poison request\n`);
  }
  return faultReport.evaluateRun(name, fleet, results);
};

const runFault = async (
  name: string,
  fault: Fault,
  durationMs: number,
  logDir: string | undefined,
): Promise<faultReport.FaultReport> => {
  const fleet = await fleets.startFleet({
    count: ROUTER_COUNT,
    basePort: 21_000,
    engineCount: 6,
    plainCount: 4,
    zones: ZONES,
    ...(logDir === undefined ? {} : { logDir }),
  });
  try {
    return await runOnFleet(name, fault, durationMs, fleet);
  } finally {
    await fleet.stop();
  }
};

const HEADINGS = [
  'fault',
  'requests',
  'served',
  'sent again',
  'refused',
  'lost',
  'duplicated',
  'double billed',
  'false not run',
  'wrong answers',
  'longest gap ms',
] as const;

const printRow = (cells: readonly (string | number)[]): void => {
  process.stdout.write(
    `${cells.map((cell, index) => String(cell).padEnd(index === 0 ? 26 : 15)).join('')}\n`,
  );
};

const printReport = (report: faultReport.FaultReport): void => {
  printRow([
    report.fault,
    report.requests,
    report.served,
    report.sentAgain,
    report.refused,
    report.lost,
    report.duplicated,
    report.doubleBilled,
    report.falseNotRun,
    report.wrongAnswers,
    report.longestGapMs,
  ]);
  if (report.refused > 0) {
    process.stdout.write(`    refused: ${JSON.stringify(report.refusalCodes)}\n`);
  }
};

interface Options {
  readonly only?: string;
  readonly duration: number;
  readonly seed: string;
  readonly json?: boolean;
  readonly logs?: string;
}

const run = async (options: Options): Promise<void> => {
  const all: readonly (readonly [string, Fault])[] = [
    ...Object.entries(FAULTS),
    ['all in random order', runInRandomOrder(options.seed)],
  ];
  const selected = all.filter(([name]) => options.only === undefined || name === options.only);
  if (options.json !== true) {
    printRow(HEADINGS);
  }
  await selected.reduce(async (before, [name, fault]) => {
    await before;
    const isLong = name === 'all in random order';
    const durationMs = options.duration * 1_000 * (isLong ? 5 : 1);
    const report = await runFault(name, fault, durationMs, options.logs);
    if (options.json === true) {
      process.stdout.write(`${JSON.stringify(report)}\n`);
    } else {
      printReport(report);
    }
  }, Promise.resolve());
};

const cli = cac.cac('faults');
cli
  .command('', 'Run the experiments with faults on nine router processes')
  .option('--only <fault>', 'Run one fault')
  .option('--duration <seconds>', 'Length of outages; the random order runs five times as long', {
    default: 12,
  })
  .option('--seed <text>', 'Seed of the random order', { default: 'one' })
  .option('--logs <folder>', 'Keep the routers’ logs in a folder')
  .option('--json', 'Print one JSON object for each fault')
  .action((options: Options) => run(options).then(() => process.exit(0)));
cli.help();
cli.parse();

import * as cac from 'cac';
import * as falseAlarms from './policy/falseAlarms.js';
import * as scenarios from './policy/scenarios.js';
import * as stats from './policy/stats.js';

const SEEDS = [1, 2, 3, 4, 5] as const;

interface Row {
  readonly scenario: string;
  readonly site: string;
  readonly policy: string;
  readonly target: string;
  readonly figures: Readonly<Record<string, readonly number[]>>;
}

const collect = (runs: readonly scenarios.Figures[]): Readonly<Record<string, readonly number[]>> =>
  Object.fromEntries(
    Object.keys(runs[0] ?? {}).map((name) => [name, runs.map((run) => run[name] ?? NaN)]),
  );

const measureScenario = (scenario: scenarios.Scenario): readonly Row[] => {
  const naive = SEEDS.map((seed) => scenario.run(scenario.policies[0]?.policy as never, seed));
  return scenario.policies.map(({ name, policy }) => {
    const own = name === 'naive' ? naive : SEEDS.map((seed) => scenario.run(policy, seed));
    const compared = own.map((figures, index) => ({
      ...figures,
      ...scenario.compare(naive[index] ?? {}, figures),
    }));
    return {
      scenario: scenario.name,
      site: scenario.site,
      policy: name,
      target: scenario.target,
      figures: collect(compared),
    };
  });
};

const formatValue = (value: number): string =>
  Math.abs(value) >= 100 ? value.toFixed(0) : value.toFixed(3);

const formatSpread = (values: readonly number[]): string => {
  const median = formatValue(stats.findPercentile(values, 0.5));
  return `${median} [${formatValue(Math.min(...values))}..${formatValue(Math.max(...values))}]`;
};

const printRow = (row: Row): void => {
  const cells = Object.entries(row.figures).map(
    ([name, values]) => `${name} ${formatSpread(values)}`,
  );
  process.stdout.write(`  ${row.policy.padEnd(6)} ${cells.join('   ')}\n`);
};

interface Options {
  readonly json?: boolean;
  readonly only?: string;
}

const run = (options: Options): void => {
  scenarios.SCENARIOS.filter(
    (scenario) => options.only === undefined || scenario.name.includes(options.only),
  ).forEach((scenario) => {
    const rows = measureScenario(scenario);
    if (options.json === true) {
      rows.forEach((row) => process.stdout.write(`${JSON.stringify(row)}\n`));
      return;
    }
    process.stdout.write(`${scenario.site}: ${scenario.name}   (target: ${scenario.target})\n`);
    rows.forEach(printRow);
  });
};

const RAMPS = 1_000;

const runFalseAlarms = (options: Options): void => {
  if (options.only !== undefined && !'false alarms'.includes(options.only)) {
    return;
  }
  const found = falseAlarms.countFalseAlarms(RAMPS, 1);
  process.stdout.write(
    options.json === true
      ? `${JSON.stringify({ scenario: 'false alarms', ...found })}\n`
      : `false alarms on a good version: ${found.alarms} in ${found.ramps} ramps   (target: under 1 in 1,000)\n`,
  );
};

const cli = cac.cac('measure');
cli
  .command('', 'Measure every policy against its baseline in virtual time, over five seeds')
  .option('--json', 'Print one JSON object for each row')
  .option('--only <text>', 'Run the scenarios whose name contains a text')
  .action((options: Options) => {
    run(options);
    runFalseAlarms(options);
  });
cli.help();
cli.parse();

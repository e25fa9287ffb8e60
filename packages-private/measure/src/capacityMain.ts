import * as cac from 'cac';
import * as stores from '@jayrock/stores';
import * as shared from '@jayrock/shared';
import * as standIns from '@jayrock/stand-ins';
import * as client from './client.js';
import * as fleets from './faults/fleet.js';
import * as stats from './policy/stats.js';
import * as site from './site.js';

/** Number of routers and zones of a fleet. */
interface Layout {
  readonly routers: number;
  readonly zones: number;
}

/** The zones of the last layout are as large as those at the target scale. */
const LAYOUTS: readonly Layout[] = [
  { routers: 3, zones: 3 },
  { routers: 9, zones: 4 },
  { routers: 30, zones: 10 },
  { routers: 60, zones: 3 },
];

const WARM_UP_MS = 15_000;
const SAMPLE_MS = 10_000;
const CHANGE_TIMEOUT_MS = 20_000;
const POLL_MS = 50;
const CLAIMS_PER_SECOND = 200;
const CLAIM_SECONDS = 10;
const { wait } = standIns.control;

interface Usage {
  readonly cpuMs: number;
  readonly rssBytes: number;
  readonly peerBytes: number;
  readonly generation: number;
  readonly members: number;
}

const printLine = (text: string): void => {
  process.stdout.write(`${text}\n`);
};

const readUsage = async (fleet: fleets.Fleet): Promise<readonly Usage[]> =>
  (await Promise.all(fleet.hosts.map((host) => fleets.readStatus(host.status)))).filter(
    (page) => page !== null,
  ) as unknown as readonly Usage[];

const sumField = (pages: readonly Usage[], field: keyof Usage): number =>
  pages.reduce((sum, page) => sum + page[field], 0);

const startLayout = (layout: Layout): Promise<fleets.Fleet> =>
  fleets.startFleet({
    count: layout.routers,
    basePort: 23_000,
    engineCount: 6,
    plainCount: 4,
    zones: Array.from({ length: layout.zones }, (_, index) => `zone-${index}`),
  });

/** Changes the weight of every customer and returns the new generation; 0 if the edit fails. */
const changeWeight = async (fleet: fleets.Fleet): Promise<number> => {
  const store = stores.memoryStore.openMemoryStore(fleet.store.table);
  const edit = stores.configEdits.makeListEdit(({ plans, models }) => {
    const customers = plans.customers.map((customer) => ({
      ...customer,
      weight: customer.weight + 1,
    }));
    return shared.outcome.makeOk({ models, plans: { ...plans, customers } });
  });
  const result = await stores.configEdits.editWithRetry(store, edit);
  return result.ok ? result.value.generation : 0;
};

/** Returns the time until every router uses a generation, in milliseconds; Infinity on timeout. */
const waitInForce = async (
  fleet: fleets.Fleet,
  generation: number,
  startedMs: number,
): Promise<number> => {
  const pages = await readUsage(fleet);
  const elapsedMs = performance.now() - startedMs;
  const isEverywhere =
    pages.length === fleet.hosts.length && pages.every((page) => page.generation >= generation);
  if (isEverywhere || elapsedMs > CHANGE_TIMEOUT_MS) {
    return isEverywhere ? elapsedMs : Infinity;
  }
  await wait(POLL_MS);
  return waitInForce(fleet, generation, startedMs);
};

const formatCallRates = (
  before: standIns.keyValueServer.CallCounts,
  after: standIns.keyValueServer.CallCounts,
): string =>
  Object.entries(after)
    .map(([path, count]) => {
      const rate = ((count - (before[path] ?? 0)) * 1_000) / SAMPLE_MS;
      return `${path.replace('/v3/', '')} ${rate.toFixed(1)}`;
    })
    .join(', ');

const measureLayout = async (layout: Layout): Promise<void> => {
  const fleet = await startLayout(layout);
  await wait(WARM_UP_MS);
  const before = await readUsage(fleet);
  const callsBefore = fleet.store.getCounts();
  await wait(SAMPLE_MS);
  const after = await readUsage(fleet);
  const calls = formatCallRates(callsBefore, fleet.store.getCounts());
  const count = fleet.hosts.length;
  const seconds = SAMPLE_MS / 1_000;
  const cpu = (sumField(after, 'cpuMs') - sumField(before, 'cpuMs')) / count / seconds / 10;
  const bytes = (sumField(after, 'peerBytes') - sumField(before, 'peerBytes')) / count / seconds;
  const startedMs = performance.now();
  const generation = await changeWeight(fleet);
  const inForceMs = await waitInForce(fleet, generation, startedMs);
  printLine(
    `${String(count).padStart(3)} routers in ${String(layout.zones).padStart(2)} zones: ` +
      `control CPU ${cpu.toFixed(2)} % of a core, RSS ${(sumField(after, 'rssBytes') / count / 1_048_576).toFixed(0)} MB, ` +
      `peer bodies ${(bytes / 1_024).toFixed(1)} KB/s sent and received by its own calls, members seen ${Math.min(...after.map((page) => page.members))}, ` +
      `key-value calls a second: ${calls}; a change in force everywhere in ${inForceMs.toFixed(0)} ms`,
  );
  await fleet.stop();
};

const measureClaims = async (): Promise<void> => {
  const fleet = await startLayout({ routers: 9, zones: 4 });
  await wait(5_000);
  const customers = site.loadPlans('ledgerline').customers.map((customer) => customer.name);
  const send = (path: string, index: number): Promise<client.CallResult> =>
    client.sendCall({
      address: fleet.hosts[index % fleet.hosts.length]?.callers ?? '',
      customer: customers[index % customers.length] ?? '',
      path: `/services/numbering-core/${path}`,
      body: { index },
    });
  const sendAll = async (path: string): Promise<readonly client.CallResult[]> => {
    const sent: Promise<client.CallResult>[] = [];
    const total = CLAIMS_PER_SECOND * CLAIM_SECONDS;
    const startedMs = performance.now();
    const fill = async (): Promise<void> => {
      const due = Math.min(total, ((performance.now() - startedMs) * CLAIMS_PER_SECOND) / 1_000);
      while (sent.length < due) {
        sent.push(send(path, sent.length));
      }
      if (sent.length < total) {
        await wait(2);
        await fill();
      }
    };
    await fill();
    return Promise.all(sent);
  };
  const plain = await sendAll('gaps');
  const segmentsBefore = fleet.store.table.list('claims/').length;
  const claimed = await sendAll('blocks');
  await wait(1_000);
  const writes = fleet.store.table.list('claims/').length - segmentsBefore;
  const findP99 = (results: readonly client.CallResult[]): number =>
    stats.findPercentile(
      results.map((result) => result.elapsedMs),
      0.99,
    );
  const granted = claimed.filter((result) => result.isWhole).length;
  printLine(
    `claims: ${granted} of ${claimed.length} granted at ${CLAIMS_PER_SECOND} a second with ${writes} writes ` +
      `(${(granted / writes).toFixed(1)} claims a write, answers recorded in the same writes), ` +
      `p99 ${findP99(claimed)} ms against ${findP99(plain)} ms without a claim`,
  );
  await fleet.stop();
};

const cli = cac.cac('capacity');
cli
  .command('', 'Measure the slopes behind docs/CAPACITY.md')
  .option('--only <part>', 'slopes or claims')
  .action(async (options: { readonly only?: string }) => {
    if (options.only !== 'claims') {
      await LAYOUTS.reduce(
        (before, layout) => before.then(() => measureLayout(layout)),
        Promise.resolve(),
      );
    }
    if (options.only !== 'slopes') {
      await measureClaims();
    }
    process.exit(0);
  });
cli.help();
cli.parse();

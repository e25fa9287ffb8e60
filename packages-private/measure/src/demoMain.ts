import * as hdr from 'hdr-histogram-js';
import * as router from '@jayrock/router';
import * as shared from '@jayrock/shared';
import * as client from './client.js';
import * as site from './site.js';

/** Duration of each site's load, in milliseconds. */
const LOAD_MS = 5_000;
/** Time between two requests of a site, in milliseconds. */
const INTERVAL_MS = 12;
/** Share of requests that call a plain service. */
const CALL_SHARE = 0.2;
/** Share of chat requests that need the most expensive model. */
const HARD_SHARE = 0.3;

const PROMPTS: Readonly<Record<site.SiteName, { readonly easy: string; readonly hard: string }>> = {
  ledgerline: {
    easy: 'Explain the gap between receipt 10441 and 10443.',
    hard: '[hard] Reconcile the books of the three former groups for the inspectors. len=120',
  },
  cremona: {
    easy: 'What is the name of the part that holds the pendulum?',
    hard: '[hard] Diagnose a repair history of forty years, ticking uneven. len=160',
  },
};

const CALLS: Readonly<Record<site.SiteName, readonly string[]>> = {
  ledgerline: ['/services/numbering-core/blocks', '/services/numbering-core/gaps'],
  cremona: ['/services/banco-clienti/spring-orders', '/services/banco-clienti/parts'],
};

const pick = <T>(items: readonly T[], index: number): T => items[index % items.length] as T;

const makeCall = (
  name: site.SiteName,
  address: string,
  customers: readonly string[],
  index: number,
): client.Call => {
  const customer = pick(customers, index);
  const fraction = shared.hash.hashToFraction(`${name}|${index}`);
  if (fraction < CALL_SHARE) {
    return { address, customer, path: pick(CALLS[name], index), body: { item: index } };
  }
  const isHard = fraction > 1 - HARD_SHARE * (1 - CALL_SHARE);
  const prompt = PROMPTS[name][isHard ? 'hard' : 'easy'];
  const messages = [
    { role: 'system', content: isHard ? 'You reconcile and diagnose.' : 'You answer in one line.' },
    { role: 'user', content: `${prompt} (${index})` },
  ];
  const body = { model: 'auto', stream: index % 3 !== 0, max_tokens: 400, messages };
  return { address, customer, path: '/v1/chat/completions', body };
};

const sendLoad = async (
  name: site.SiteName,
  address: string,
): Promise<readonly client.CallResult[]> => {
  const customers = site.loadPlans(name).customers.map((customer) => customer.name);
  const sent: Promise<client.CallResult>[] = [];
  const startedAtMs = Date.now();
  await new Promise<void>((resolve) => {
    const timer = setInterval(() => {
      sent.push(client.sendCall(makeCall(name, address, customers, sent.length)));
      if (Date.now() - startedAtMs >= LOAD_MS) {
        clearInterval(timer);
        resolve();
      }
    }, INTERVAL_MS);
  });
  return Promise.all(sent);
};

const readLedger = async (
  running: router.startRouter.RunningRouter,
): Promise<readonly shared.ledgerEntry.LedgerEntry[]> => {
  const found = await running.platform.store.list('ledger/', 'ledger');
  return found.ok
    ? found.value.flatMap((entry) => JSON.parse(entry.value) as shared.ledgerEntry.LedgerEntry[])
    : [];
};

interface Check {
  readonly name: string;
  readonly holds: boolean;
}

const isChat = (entry: shared.ledgerEntry.LedgerEntry): boolean => entry.tokensOut > 0;

const computeLargestCost = (
  entries: readonly shared.ledgerEntry.LedgerEntry[],
  models: shared.lists.ModelsList,
): number => {
  const price = Math.max(...models.models.map((model) => model.costPerThousandTokensMicros));
  return entries
    .filter(isChat)
    .reduce((sum, entry) => sum + ((entry.tokensIn + entry.tokensOut) * price) / 1_000, 0);
};

const makeChecks = (
  results: readonly client.CallResult[],
  folded: ReadonlyMap<string, shared.ledgerEntry.LedgerEntry>,
  runs: ReadonlyMap<string, number>,
): readonly Check[] => {
  const answered = results.filter((result) => result.isWhole);
  return [
    { name: 'some requests were answered', holds: answered.length > 0 },
    {
      name: 'one entry for each answered request',
      holds:
        folded.size === answered.length && answered.every((result) => folded.has(result.requestId)),
    },
    {
      name: 'every other request was refused with a code',
      holds: results.every((result) => result.isWhole || result.code !== null),
    },
    { name: 'no call ran twice', holds: Array.from(runs.values()).every((count) => count === 1) },
  ];
};

const printLine = (text: string): void => {
  process.stdout.write(`${text}\n`);
};

const printReport = (
  name: site.SiteName,
  results: readonly client.CallResult[],
  folded: ReadonlyMap<string, shared.ledgerEntry.LedgerEntry>,
): void => {
  const entries = Array.from(folded.values());
  const refused = results.filter((result) => !result.isWhole);
  const latency = hdr.build();
  results
    .filter((result) => result.isWhole)
    .forEach((result) => latency.recordValue(result.firstByteMs));
  const chatCost = entries.filter(isChat).reduce((sum, entry) => sum + entry.costMicros, 0);
  const largestCost = computeLargestCost(entries, site.loadModels(name));
  const counts = entries.reduce<Readonly<Record<string, number>>>((sum, entry) => {
    const key = `${entry.model}@${entry.version}`;
    return { ...sum, [key]: (sum[key] ?? 0) + 1 };
  }, {});
  printLine(`\n${name}`);
  printLine(`  requests            ${results.length}`);
  printLine(
    `  refused             ${refused.length} ${JSON.stringify(Array.from(new Set(refused.map((result) => result.code))))}`,
  );
  printLine(
    `  cost of chat        ${chatCost} micros, ${(chatCost / largestCost).toFixed(2)} of always-largest`,
  );
  printLine(
    `  first byte (ms)     p50 ${latency.getValueAtPercentile(50)}  p95 ${latency.getValueAtPercentile(95)}  p99 ${latency.getValueAtPercentile(99)}`,
  );
  printLine(`  ledger, folded      ${folded.size} entries`);
  Object.entries(counts).forEach(([key, count]) => printLine(`    ${key.padEnd(26)} ${count}`));
};

const runSite = async (name: site.SiteName): Promise<boolean> => {
  const settings = site.loadSmallSite(name);
  if (settings.platform.kind !== 'embedded') {
    throw new Error(`${name}: expected the embedded platform`);
  }
  const ratingPort = Number(settings.platform.ratingAddress?.split(':')[1] ?? 0);
  const siteStandIns = await site.startSite(name, settings.platform.upstreams, ratingPort);
  const started = await router.startRouter.startRouter(
    { ...settings, logLevel: 'warn' },
    settings.platform,
    site.getSiteDir(name),
  );
  if (!started.ok) {
    throw new Error(started.error.map(shared.jsonc.formatProblem).join('\n'));
  }
  const results = await sendLoad(name, settings.callers);
  await started.value.stop();
  const folded = shared.ledgerEntry.foldLedger(await readLedger(started.value));
  printReport(name, results, folded);
  const checks = makeChecks(results, folded, siteStandIns.runCounts);
  checks.forEach((check) => printLine(`  ${check.holds ? 'holds ' : 'BROKEN'} ${check.name}`));
  await siteStandIns.close();
  return checks.every((check) => check.holds);
};

const outcomes = [await runSite('ledgerline'), await runSite('cremona')];
const isConsistent = outcomes.every((holds) => holds);
printLine(isConsistent ? '\nconsistent' : '\nNOT consistent');
process.exit(isConsistent ? 0 : 1);

import * as shared from '@jayrock/shared';
import * as output from '../output.js';
import * as target from '../target.js';

/** Options of `ledger`. */
export interface LedgerOptions extends target.TargetOptions {
  readonly customer?: string;
  readonly entries?: boolean;
}

type Entry = shared.ledgerEntry.LedgerEntry;

interface LedgerTotal {
  readonly customer: string;
  readonly model: string;
  readonly requests: number;
  readonly tokens: number;
  readonly costMicros: number;
}

const addEntry = (
  totals: ReadonlyMap<string, LedgerTotal>,
  entry: Entry,
): ReadonlyMap<string, LedgerTotal> => {
  const key = `${entry.customer}|${entry.model}`;
  const previous = totals.get(key);
  const next: LedgerTotal = {
    customer: entry.customer,
    model: entry.model,
    requests: (previous?.requests ?? 0) + 1,
    tokens: (previous?.tokens ?? 0) + entry.tokensIn + entry.tokensOut,
    costMicros: (previous?.costMicros ?? 0) + entry.costMicros,
  };
  return new Map(totals).set(key, next);
};

const printTotals = (entries: readonly Entry[]): void => {
  const totals = entries.reduce(addEntry, new Map<string, LedgerTotal>());
  const rows = Array.from(totals.values()).toSorted((a, b) =>
    `${a.customer}|${a.model}` < `${b.customer}|${b.model}` ? -1 : 1,
  );
  output.printLine(
    output.renderTable(
      ['customer', 'model', 'requests', 'tokens', 'cost (micros)'],
      rows.map((row) => [row.customer, row.model, row.requests, row.tokens, row.costMicros]),
    ),
  );
};

/** Prints the ledger, deduplicated by request id, and returns the exit code. */
export const runLedger = async (options: LedgerOptions): Promise<number> => {
  const store = target.openStore(options);
  if (!store.ok) {
    output.printError(store.error);
    return output.EXIT_CODE.usage;
  }
  const found = await store.value.list('ledger/', 'other');
  await store.value.close();
  if (!found.ok) {
    output.printError('the key-value service does not answer');
    return output.EXIT_CODE.unreachable;
  }
  const entries = found.value.flatMap((row) => JSON.parse(row.value) as Entry[]);
  const billed = Array.from(shared.ledgerEntry.foldLedger(entries).values()).filter(
    (entry) => options.customer === undefined || entry.customer === options.customer,
  );
  if (options.json === true || options.entries === true) {
    output.printJson(billed);
  } else {
    printTotals(billed);
  }
  return output.EXIT_CODE.ok;
};

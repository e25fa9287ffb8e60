import * as fs from 'node:fs';
import type * as shared from '@jayrock/shared';
import * as burnRate from '../burnRate.js';
import * as output from '../output.js';
import * as target from '../target.js';

/** Options of `slo`. */
export interface SloOptions extends target.TargetOptions {
  readonly html?: string;
}

const sumBuckets = (
  level: burnRate.MergedLevel,
  getCount: (bucket: shared.serviceLevel.LevelBucket) => number,
): number => level.buckets.reduce((sum, bucket) => sum + getCount(bucket), 0);

const printLevels = (levels: readonly burnRate.MergedLevel[], nowMs: number): void => {
  output.printLine(
    output.renderTable(
      [
        'plan',
        'model',
        'requests',
        'errors',
        'truncated',
        'first token p50/p95/p99 ms',
        'between tokens p95 ms',
      ],
      levels.map((level) => [
        level.plan,
        level.model,
        sumBuckets(level, (bucket) => bucket.total),
        sumBuckets(level, (bucket) => bucket.errors),
        sumBuckets(level, (bucket) => bucket.truncated),
        [50, 95, 99]
          .map((percentile) => level.firstToken.getValueAtPercentile(percentile))
          .join(' / '),
        level.interToken.getValueAtPercentile(95),
      ]),
    ),
  );
  output.printLine(
    output.renderTable(
      ['plan', 'model', 'objective', 'windows', 'short burn', 'long burn', 'alert'],
      levels.flatMap((level) =>
        burnRate
          .listBurnRates(level, nowMs)
          .map((row) => [
            level.plan,
            level.model,
            row.objective,
            row.pair,
            row.short.toFixed(2),
            row.long.toFixed(2),
            row.isAlerting ? 'YES' : '',
          ]),
      ),
    ),
  );
};

/** Prints service levels and burn rates merged over the given routers; returns the exit code. */
export const runSlo = async (options: SloOptions): Promise<number> => {
  const routers = target.listRouters(options);
  if (!routers.ok) {
    output.printError(routers.error);
    return output.EXIT_CODE.usage;
  }
  const pages = await Promise.all(
    routers.value.map((address) =>
      target.fetchPage<readonly shared.serviceLevel.LevelReport[]>(address, '/slo'),
    ),
  );
  const levels = burnRate.mergeReports(pages.flatMap((page) => page ?? []));
  const nowMs = Date.now();
  if (options.html !== undefined) {
    // The chart library is large, so it is loaded only when a page is written.
    const burnRatePage = await import('../burnRatePage.js');
    fs.writeFileSync(options.html, await burnRatePage.renderBurnRatePage(levels, nowMs));
    output.printLine(`written to ${options.html}`);
  } else if (options.json === true) {
    output.printJson(
      levels.map((level) => ({
        plan: level.plan,
        model: level.model,
        burn: burnRate.listBurnRates(level, nowMs),
      })),
    );
  } else {
    printLevels(levels, nowMs);
  }
  return pages.every((page) => page !== null) ? output.EXIT_CODE.ok : output.EXIT_CODE.unreachable;
};

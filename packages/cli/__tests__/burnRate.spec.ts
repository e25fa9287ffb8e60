import test from 'ava';
import * as hdr from 'hdr-histogram-js';
import type * as shared from '@jayrock/shared';
import * as burnRate from '../src/burnRate.js';

const TARGETS = { firstTokenMs: 360, interTokenMs: 25, latencyShare: 0.95, availability: 0.99 };
const MINUTE_MS = 60_000;
const NOW_MS = 1_000 * MINUTE_MS;

const encodeValues = (values: readonly number[]): string => {
  const histogram = hdr.build();
  values.forEach((value) => histogram.recordValue(value));
  return hdr.encodeIntoCompressedBase64(histogram);
};

const makeReport = (
  buckets: readonly Partial<shared.serviceLevel.LevelBucket>[],
  values: readonly number[] = [],
): shared.serviceLevel.LevelReport => ({
  plan: 'group',
  model: 'small',
  targets: TARGETS,
  buckets: buckets.map((bucket) => ({
    startMs: NOW_MS - MINUTE_MS,
    total: 100,
    slowFirstToken: 0,
    slowInterToken: 0,
    errors: 0,
    truncated: 0,
    ...bucket,
  })),
  firstToken: encodeValues(values),
  interToken: encodeValues([]),
});

const mergeOne = (...reports: readonly shared.serviceLevel.LevelReport[]): burnRate.MergedLevel => {
  const [level] = burnRate.mergeReports(reports);
  if (level === undefined) {
    throw new Error('mergeReports returned no level');
  }
  return level;
};

const findRow = (
  level: burnRate.MergedLevel,
  objective: burnRate.Objective,
  pair: string,
): burnRate.BurnRateRow => {
  const row = burnRate
    .listBurnRates(level, NOW_MS)
    .find((listed) => listed.objective === objective && listed.pair === pair);
  if (row === undefined) {
    throw new Error('listBurnRates returned no such row');
  }
  return row;
};

test('errors that use up the budget exactly give a burn rate of 1', (t) => {
  const level = mergeOne(makeReport([{ errors: 1 }]));
  t.is(Math.round(findRow(level, 'availability', 'page').short * 1_000), 1_000);
});

test('an earlier burst outside the short window does not alert', (t) => {
  const level = mergeOne(
    makeReport([{ startMs: NOW_MS - 40 * MINUTE_MS, errors: 100 }, { errors: 0 }]),
  );
  const row = findRow(level, 'availability', 'page');
  t.is(row.short, 0);
  t.true(row.long > 14.4);
  t.false(row.isAlerting);
});

test('a burst that raises the burn rate of both windows alerts', (t) => {
  const level = mergeOne(makeReport([{ errors: 50 }]));
  t.true(findRow(level, 'availability', 'page').isAlerting);
});

test('reports of several routers are merged by bucket and by histogram', (t) => {
  const level = mergeOne(
    makeReport([{ slowFirstToken: 10 }], [100, 100]),
    makeReport([{ slowFirstToken: 0 }], [300, 300]),
  );
  t.is(level.buckets.length, 1);
  t.is(level.buckets[0]?.total, 200);
  t.is(level.firstToken.totalCount, 4);
  t.is(Math.round(findRow(level, 'firstToken', 'page').short * 10) / 10, 1);
});

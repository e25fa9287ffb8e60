import test from 'ava';
import * as fc from 'fast-check';
import * as immutable from 'immutable';
import * as core from '../src/index.js';

const makeCounts = (
  rows: readonly (readonly [string, number, number])[],
  epoch = 1,
): core.ratings.VersionCounts =>
  immutable.Map([
    [epoch, immutable.Map(rows.map(([customer, good, bad]) => [customer, { good, bad }]))],
  ]);

const STABLE = makeCounts([
  ['a', 270, 30],
  ['b', 270, 30],
]);

const compare = (candidate: core.ratings.VersionCounts): core.sequentialTest.Verdict =>
  core.sequentialTest.compareVersions({ stable: STABLE, candidate, firstEpoch: 1, stepEpoch: 1 });

test('a candidate is found worse after a clear drop in the ratings of several customers', (t) => {
  t.is(
    compare(
      makeCounts([
        ['a', 30, 25],
        ['b', 30, 25],
        ['c', 30, 25],
      ]),
    ),
    'worse',
  );
});

test('a candidate as good as the stable version passes', (t) => {
  t.is(
    compare(
      makeCounts([
        ['a', 60, 6],
        ['b', 60, 6],
      ]),
    ),
    'notWorse',
  );
});

test('the ratings of a single customer never decide the test', (t) => {
  fc.assert(
    fc.property(fc.nat(5_000), fc.nat(5_000), (good, bad) => {
      t.is(compare(makeCounts([['a', good, bad]])), 'undecided');
    }),
    { seed: 20_261_204, numRuns: 300 },
  );
});

test('a late drop is found after many good ratings', (t) => {
  const good = makeCounts([
    ['a', 900, 100],
    ['b', 900, 100],
  ]);
  const late = makeCounts(
    [
      ['a', 40, 40],
      ['b', 40, 40],
      ['c', 40, 40],
    ],
    9,
  );
  t.is(compare(good.merge(late)), 'worse');
});

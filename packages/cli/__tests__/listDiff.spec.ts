import test from 'ava';
import * as listDiff from '../src/listDiff.js';

test('reordered items are not a difference', (t) => {
  const a = {
    customers: [
      { name: 'x', weight: 1 },
      { name: 'y', weight: 2 },
    ],
  };
  const b = {
    customers: [
      { name: 'y', weight: 2 },
      { name: 'x', weight: 1 },
    ],
  };
  t.deepEqual(listDiff.diffLists(a, b), []);
});

test('a change is listed with its item and both values, and an added item with its value', (t) => {
  const a = { customers: [{ name: 'x', weight: 1 }] };
  const b = {
    customers: [
      { name: 'x', weight: 3 },
      { name: 'z', weight: 1 },
    ],
  };
  t.deepEqual(listDiff.diffLists(a, b), [
    '~ customers.x.weight: 1 -> 3',
    '+ customers.z: {"name":"z","weight":1}',
  ]);
});

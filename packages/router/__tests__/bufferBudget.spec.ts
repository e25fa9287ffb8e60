import test from 'ava';
import * as bufferBudget from '../src/upstreams/bufferBudget.js';

test('the largest answer is dropped when all together hold too much', (t) => {
  const budget = bufferBudget.makeBufferBudget(1_000);
  const dropped: string[] = [];
  const open = (name: string): bufferBudget.BufferShare => budget.open(() => dropped.push(name));
  const endless = open('endless');
  const sound = open('sound');
  endless.resize(700);
  sound.resize(200);
  t.deepEqual(dropped, []);
  sound.resize(400);
  t.deepEqual(dropped, ['endless']);
  t.is(budget.countBytes(), 400);
  endless.resize(900);
  endless.release();
  t.is(budget.countBytes(), 400);
  sound.release();
  t.is(budget.countBytes(), 0);
});

test('forty answers without end never hold more than the budget', (t) => {
  const budget = bufferBudget.makeBufferBudget(100_000);
  let drops = 0;
  const shares = Array.from({ length: 40 }, () =>
    budget.open(() => {
      drops += 1;
    }),
  );
  for (let bytes = 1_000; bytes <= 100_000; bytes += 1_000) {
    shares.forEach((share) => {
      share.resize(bytes);
      t.true(budget.countBytes() <= 100_000);
    });
  }
  t.is(drops, 39);
});

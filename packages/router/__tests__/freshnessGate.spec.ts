import test from 'ava';
import * as pino from 'pino';
import * as freshnessGate from '../src/routed/freshnessGate.js';

const MAX_AGE_MS = 1_600;

interface Source {
  readonly gate: freshnessGate.FreshnessGate;
  readonly countCalls: () => number;
}

const makeGate = (ages: readonly number[], isAnswered: boolean): Source => {
  let calls = 0;
  const gate = freshnessGate.makeFreshnessGate({
    clock: { getAgeMs: () => ages[Math.min(calls, ages.length - 1)] ?? 0 },
    refresh: async () => {
      calls += 1;
      return isAnswered;
    },
    log: pino.pino({ level: 'silent' }),
  });
  return { gate, countCalls: () => calls };
};

test('what was confirmed recently is used at once', (t) => {
  const { gate, countCalls } = makeGate([MAX_AGE_MS], true);
  t.is(gate.confirm(MAX_AGE_MS), null);
  t.is(countCalls(), 0);
});

test('the source is asked before what is too old is used', async (t) => {
  const { gate, countCalls } = makeGate([MAX_AGE_MS + 1, 0], true);
  await gate.confirm(MAX_AGE_MS);
  t.is(countCalls(), 1);
  t.is(gate.confirm(MAX_AGE_MS), null);
});

test('a router that is cut off from its source goes on with what it knows', async (t) => {
  const { gate } = makeGate([Infinity], false);
  await t.notThrowsAsync(gate.confirm(MAX_AGE_MS) ?? Promise.reject());
});

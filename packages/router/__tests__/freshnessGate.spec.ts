import test from 'ava';
import * as pino from 'pino';
import * as freshnessGate from '../src/routed/freshnessGate.js';

const MAX_AGE_MS = 1_600;

interface Source {
  readonly gate: freshnessGate.FreshnessGate;
  readonly countCalls: () => number;
}

/** Makes a gate before a source of some age, which has another age once it was asked. */
const makeGate = (ageMs: number, refreshedAgeMs: number): Source => {
  let calls = 0;
  const gate = freshnessGate.makeFreshnessGate({
    clock: { getAgeMs: () => (calls === 0 ? ageMs : refreshedAgeMs) },
    refresh: async () => {
      calls += 1;
    },
    log: pino.pino({ level: 'silent' }),
  });
  return { gate, countCalls: () => calls };
};

test('what was confirmed recently is used at once', (t) => {
  const { gate, countCalls } = makeGate(MAX_AGE_MS, 0);
  t.is(gate.confirm(MAX_AGE_MS), null);
  t.is(countCalls(), 0);
});

test('the source is asked before what is too old is used', async (t) => {
  const { gate, countCalls } = makeGate(MAX_AGE_MS + 1, 0);
  await gate.confirm(MAX_AGE_MS);
  t.is(countCalls(), 1);
  t.is(gate.confirm(MAX_AGE_MS), null);
});

test('a router that is cut off from its source goes on with what it knows, and asks seldom', async (t) => {
  const { gate, countCalls } = makeGate(Infinity, Infinity);
  await Promise.all([gate.confirm(MAX_AGE_MS), gate.confirm(MAX_AGE_MS)]);
  t.is(gate.confirm(MAX_AGE_MS), null);
  t.is(countCalls(), 1);
});

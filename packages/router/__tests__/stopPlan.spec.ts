import test from 'ava';
import * as fc from 'fast-check';
import * as stopPlan from '../src/routed/stopPlan.js';

const SEED = 58;

// A wait for the load balancer that was longer than the grace period cut off all requests in flight.
test('the steps of a planned stop follow each other within any grace period', (t) => {
  fc.assert(
    fc.property(fc.double({ min: 100, max: 120_000, noNaN: true }), (graceMs) => {
      const plan = stopPlan.makeStopPlan(graceMs);
      return (
        plan.startMs > 0 &&
        plan.startMs < plan.removalMs &&
        plan.removalMs < plan.answerMs - plan.maxLeadMs &&
        plan.answerMs < plan.writeMs &&
        plan.writeMs < graceMs
      );
    }),
    { seed: SEED },
  );
  t.pass();
});

test('a grace period that the load balancer outlasts is told, and others are not', (t) => {
  t.true(stopPlan.isTooShort(2_500));
  t.false(stopPlan.isTooShort(7_500));
});

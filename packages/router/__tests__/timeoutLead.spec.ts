import test from 'ava';
import * as timeoutLead from '../src/routed/timeoutLead.js';

test('a time-out is set ahead by two turns of the event loop, at most by a tenth and by 250 ms', (t) => {
  t.is(timeoutLead.computeTimeoutLeadMs(2_000, 5), 10);
  t.is(timeoutLead.computeTimeoutLeadMs(2_000, 400), 200);
  t.is(timeoutLead.computeTimeoutLeadMs(200, 400), 20);
  t.is(timeoutLead.computeTimeoutLeadMs(20_000, 400), 250);
});

test('the lead of an end is two turns of the event loop, at most what its caller allows', (t) => {
  t.is(timeoutLead.computeLeadMs(5, 700), 10);
  t.is(timeoutLead.computeLeadMs(450, 700), 700);
});

import test from 'ava';
import * as fc from 'fast-check';
import * as eventSplitter from '../src/routed/eventSplitter.js';
import * as freshnessClock from '../src/routed/freshnessClock.js';

test('events are the same however the bytes were cut', (t) => {
  fc.assert(
    fc.property(
      fc.array(
        fc.string({ maxLength: 20 }).map((text) => text.replaceAll(/[\r\n]/g, ' ')),
        {
          maxLength: 12,
        },
      ),
      fc.array(fc.integer({ min: 1, max: 30 }), { maxLength: 40 }),
      fc.constantFrom('\n', '\r\n'),
      (texts, sizes, end) => {
        const whole = texts
          .map((text, index) => `id: ${index + 1}${end}data: ${text}${end}${end}`)
          .join('');
        const bytes = Buffer.from(whole);
        const splitter = eventSplitter.makeEventSplitter();
        const events: eventSplitter.StreamEvent[] = [];
        let offset = 0;
        for (const size of [...sizes, bytes.length]) {
          events.push(...splitter.push(bytes.subarray(offset, offset + size)));
          offset = Math.min(bytes.length, offset + size);
        }
        const joined = Buffer.concat(events.map((event) => event.bytes)).toString('utf8');
        return (
          joined === whole &&
          splitter.countBufferedBytes() === 0 &&
          events.every((event, index) => event.id === index + 1)
        );
      },
    ),
    { seed: 3 },
  );
  t.pass();
});

test('an event that never ends is not held without bound', (t) => {
  const splitter = eventSplitter.makeEventSplitter();
  t.throws(() => splitter.push(Buffer.alloc(2 ** 20 + 1, 'a')), { instanceOf: RangeError });
});

const makeClock = (): {
  readonly clock: freshnessClock.FreshnessClock;
  readonly pass: (monotonicMs: number, wallMs: number) => void;
} => {
  let now = { monotonicMs: 0, wallMs: 1_000_000 };
  return {
    clock: freshnessClock.makeFreshnessClock(() => now),
    pass: (monotonicMs, wallMs) => {
      now = { monotonicMs: now.monotonicMs + monotonicMs, wallMs: now.wallMs + wallMs };
    },
  };
};

test('a view is infinitely old before its first confirmation', (t) => {
  t.is(makeClock().clock.getAgeMs(), Infinity);
});

test('a suspension counts, a step back does not make a view younger', (t) => {
  const { clock, pass } = makeClock();
  clock.confirm(clock.takeReading());
  pass(100, 100);
  t.is(clock.getAgeMs(), 100);
  pass(0, 8_000);
  t.is(clock.getAgeMs(), 8_100);
  clock.confirm(clock.takeReading());
  pass(300, -60_000);
  t.is(clock.getAgeMs(), 300);
});

test('a confirmation never speaks of a moment after the answer', (t) => {
  fc.assert(
    fc.property(fc.nat(5_000), fc.nat(5_000), (tookMs, waitMs) => {
      const { clock, pass } = makeClock();
      const reading = clock.takeReading();
      pass(tookMs, tookMs);
      clock.confirm(reading, waitMs);
      return clock.getAgeMs() >= 0 && clock.getAgeMs() === Math.max(0, tookMs - waitMs);
    }),
    { seed: 9 },
  );
  t.pass();
});

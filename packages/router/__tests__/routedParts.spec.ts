import test from 'ava';
import * as fc from 'fast-check';
import * as eventSplitter from '../src/routed/eventSplitter.js';
import * as freshnessClock from '../src/routed/freshnessClock.js';

test('events do not depend on how the byte stream is split into chunks', (t) => {
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

test('an event without an end fails at the size limit instead of filling memory', (t) => {
  const splitter = eventSplitter.makeEventSplitter();
  t.throws(() => splitter.push(Buffer.alloc(2 ** 20 + 1, 'a')), { instanceOf: RangeError });
});

const makeClock = (): {
  readonly clock: freshnessClock.FreshnessClock;
  readonly advance: (monotonicMs: number, wallMs: number) => void;
} => {
  let now = { monotonicMs: 0, wallMs: 1_000_000 };
  return {
    clock: freshnessClock.makeFreshnessClock(() => now),
    advance: (monotonicMs, wallMs) => {
      now = { monotonicMs: now.monotonicMs + monotonicMs, wallMs: now.wallMs + wallMs };
    },
  };
};

test('the age is infinite before the first confirmation', (t) => {
  t.is(makeClock().clock.getAgeMs(), Infinity);
});

test('a suspension of the machine adds to the age, and setting the wall clock back does not reduce it', (t) => {
  const { clock, advance } = makeClock();
  clock.confirm(clock.takeReading());
  advance(100, 100);
  t.is(clock.getAgeMs(), 100);
  advance(0, 8_000);
  t.is(clock.getAgeMs(), 8_100);
  clock.confirm(clock.takeReading());
  advance(300, -60_000);
  t.is(clock.getAgeMs(), 300);
});

test('a confirmation is never dated after the time of the answer', (t) => {
  fc.assert(
    fc.property(fc.nat(5_000), fc.nat(5_000), (callMs, waitMs) => {
      const { clock, advance } = makeClock();
      const reading = clock.takeReading();
      advance(callMs, callMs);
      clock.confirm(reading, waitMs);
      return clock.getAgeMs() >= 0 && clock.getAgeMs() === Math.max(0, callMs - waitMs);
    }),
    { seed: 9 },
  );
  t.pass();
});

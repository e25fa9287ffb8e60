import test from 'ava';
import * as fc from 'fast-check';
import * as answerReader from '../src/upstreams/answerReader.js';

const makeEvent = (text: string): string =>
  `data: ${JSON.stringify({ choices: [{ delta: { content: text } }] })}\n\n`;

const readAll = (chunks: readonly Uint8Array[]): answerReader.ReadResult => {
  const reader = answerReader.makeAnswerReader();
  return chunks.reduce<answerReader.ReadResult>(
    (sum, chunk) => {
      const decoded = reader.read(chunk);
      return { ...decoded, events: [...sum.events, ...decoded.events] };
    },
    { events: [], hasEnded: false, isGarbage: false },
  );
};

const split = (bytes: Uint8Array, offsets: readonly number[]): readonly Uint8Array[] => {
  const bounds = [
    0,
    ...offsets.map((offset) => offset % (bytes.length + 1)),
    bytes.length,
  ].toSorted((a, b) => a - b);
  return bounds.slice(1).map((end, index) => bytes.slice(bounds[index], end));
};

test('a stream decodes to the same events wherever it is split into chunks', (t) => {
  fc.assert(
    fc.property(
      fc.array(fc.string({ unit: 'grapheme' }), { maxLength: 8 }),
      fc.array(fc.nat(10_000), { maxLength: 12 }),
      (words, offsets) => {
        const text = `${words.map(makeEvent).join('')}data: [DONE]\n\n`;
        const bytes = new TextEncoder().encode(text);
        const decoded = readAll(split(bytes, offsets));
        t.true(decoded.hasEnded);
        t.false(decoded.isGarbage);
        t.is(decoded.events.length, words.length);
      },
    ),
    { seed: 20_261_204, numRuns: 300 },
  );
});

test('arbitrary bytes never throw, and only the end mark ends an answer', (t) => {
  fc.assert(
    fc.property(fc.array(fc.uint8Array({ maxLength: 200 }), { maxLength: 6 }), (chunks) => {
      t.false(readAll(chunks).hasEnded);
    }),
    { seed: 20_261_204, numRuns: 300 },
  );
});

test('bytes without end that complete no event are garbage, so that they do not fill memory', (t) => {
  const reader = answerReader.makeAnswerReader();
  const bytes = Buffer.alloc(65_536, 'x');
  let chunks = 0;
  while (chunks < 64 && !reader.read(bytes).isGarbage) {
    chunks += 1;
  }
  t.true(chunks < 64);
});

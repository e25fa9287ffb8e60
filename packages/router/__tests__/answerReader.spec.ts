import test from 'ava';
import * as fc from 'fast-check';
import * as answerReader from '../src/upstreams/answerReader.js';

const makeEvent = (text: string): string =>
  `data: ${JSON.stringify({ choices: [{ delta: { content: text } }] })}\n\n`;

const readAll = (pieces: readonly Uint8Array[]): answerReader.ReadResult => {
  const reader = answerReader.makeAnswerReader();
  return pieces.reduce<answerReader.ReadResult>(
    (sum, piece) => {
      const found = reader.read(piece);
      return { ...found, events: [...sum.events, ...found.events] };
    },
    { events: [], hasEnded: false, isGarbage: false },
  );
};

const cut = (bytes: Uint8Array, places: readonly number[]): readonly Uint8Array[] => {
  const bounds = [0, ...places.map((place) => place % (bytes.length + 1)), bytes.length].toSorted(
    (a, b) => a - b,
  );
  return bounds.slice(1).map((end, index) => bytes.slice(bounds[index], end));
};

test('an answer reads the same however it is cut into pieces', (t) => {
  fc.assert(
    fc.property(
      fc.array(fc.string({ unit: 'grapheme' }), { maxLength: 8 }),
      fc.array(fc.nat(10_000), { maxLength: 12 }),
      (words, places) => {
        const text = `${words.map(makeEvent).join('')}data: [DONE]\n\n`;
        const bytes = new TextEncoder().encode(text);
        const found = readAll(cut(bytes, places));
        t.true(found.hasEnded);
        t.false(found.isGarbage);
        t.is(found.events.length, words.length);
      },
    ),
    { seed: 20_261_204, numRuns: 300 },
  );
});

test('no bytes make the reader fail, and none but the mark end an answer', (t) => {
  fc.assert(
    fc.property(fc.array(fc.uint8Array({ maxLength: 200 }), { maxLength: 6 }), (pieces) => {
      t.false(readAll(pieces).hasEnded);
    }),
    { seed: 20_261_204, numRuns: 300 },
  );
});

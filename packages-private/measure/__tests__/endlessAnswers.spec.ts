import test from 'ava';
import * as standIns from '@jayrock/stand-ins';
import * as routedSite from './routedSite.js';

const PARTS = ['head', 'body', 'refusal'] as const;

PARTS.forEach((part, index) => {
  test.serial(
    `an upstream that sends bytes without end in a ${part} is closed, and another one answers`,
    async (t) => {
      const site = await routedSite.startRoutedSite(`127.0.23.${index + 1}`);
      t.teardown(() => site.close());
      const [endless, sound] = site.upstreams;
      if (endless === undefined || sound === undefined) {
        throw new Error('expected two upstreams');
      }
      endless.behaviour = { kind: 'endless', part };
      sound.behaviour = { kind: 'answer', status: 200, body: 'whole' };
      const ids = Array.from({ length: 6 }, (_, call) => `q${call}`);
      const responses = await Promise.all(ids.map((id) => site.call({ path: '/read/', id })));
      t.deepEqual(
        responses.map(({ status, body }) => `${status} ${body}`),
        ids.map(() => '200 whole'),
      );
      t.true(endless.arrived.length > 0);
      await standIns.control.waitUntil(() => endless.countOpen() === 0);
    },
  );
});

/** Bytes of one answer that are no body and may be read, with what sockets and pipes hold on the way. */
const MAX_EXTRA_BYTES = 4_194_304;
/** The same for a body, of which a router may hold 16 MiB at most. */
const MAX_BODY_BYTES = 20_971_520;
/** Time within which a connection that sends too much is closed, in milliseconds. */
const CLOSED_MS = 1_000;
const CALLS = 6;

const BOUNDS: Readonly<Record<Exclude<standIns.routedUpstream.EndlessPart, 'refusal'>, number>> = {
  head: MAX_EXTRA_BYTES,
  statusLine: MAX_EXTRA_BYTES,
  headerName: MAX_EXTRA_BYTES,
  headerValue: MAX_EXTRA_BYTES,
  informational: MAX_EXTRA_BYTES,
  chunkExtension: MAX_EXTRA_BYTES,
  chunkLength: MAX_EXTRA_BYTES,
  trailers: MAX_EXTRA_BYTES,
  afterAnswer: MAX_EXTRA_BYTES,
  raw: MAX_EXTRA_BYTES,
  body: MAX_BODY_BYTES,
  unframed: MAX_BODY_BYTES,
  smallPieces: MAX_BODY_BYTES,
  event: MAX_BODY_BYTES,
};

// An upstream that never ends an answer took memory, processor time and the time of the caller.
Object.entries(BOUNDS).forEach(([part, maxBytes], index) => {
  test.serial(
    `little is read of an answer without end (${part}), and another one is given`,
    async (t) => {
      const site = await routedSite.startRoutedSite(`127.0.96.${index + 1}`);
      t.teardown(() => site.close());
      const [endless, sound] = site.upstreams;
      if (endless === undefined || sound === undefined) {
        throw new Error('expected two upstreams');
      }
      endless.behaviour = { kind: 'endless', part: part as standIns.routedUpstream.EndlessPart };
      sound.behaviour = { kind: 'answer', status: 200, body: 'whole' };
      const startedAtMs = performance.now();
      const responses = await Promise.all(
        Array.from({ length: CALLS }, (_, call) => site.call({ path: '/read/', id: `q${call}` })),
      );
      t.deepEqual(
        responses.map(({ status, body }) => `${status} ${body}`),
        responses.map(() => '200 whole'),
      );
      const reached = endless.arrived.length;
      t.true(reached > 0);
      await standIns.control.waitUntil(() => endless.countOpen() === 0);
      const bytes = endless.countSentBytes();
      t.log(`${(bytes / reached / 1_048_576).toFixed(2)} MiB an answer, ${reached} answers`);
      t.true(bytes <= reached * maxBytes, `${bytes} bytes for ${reached} answers`);
      t.true(performance.now() - startedAtMs < CLOSED_MS);
    },
  );
});

test.serial('a stream without an end of its event ends, and others go on', async (t) => {
  const site = await routedSite.startRoutedSite('127.0.96.40');
  t.teardown(() => site.close());
  const [endless, sound] = site.upstreams;
  if (endless === undefined || sound === undefined) {
    throw new Error('expected two upstreams');
  }
  endless.behaviour = { kind: 'endless', part: 'event' };
  sound.behaviour = { kind: 'stream', events: 5 };
  const responses = await Promise.all(
    Array.from({ length: CALLS }, (_, call) => site.call({ path: '/talk/', id: `q${call}` })),
  );
  t.true(endless.arrived.length > 0);
  t.deepEqual(
    responses.map(({ status, body }) => `${status} ${body}`),
    responses.map(() => `200 ${standIns.routedUpstream.renderStream(5)}`),
  );
  await standIns.control.waitUntil(() => endless.countOpen() === 0);
  t.true(endless.countSentBytes() <= endless.arrived.length * MAX_EXTRA_BYTES);
});

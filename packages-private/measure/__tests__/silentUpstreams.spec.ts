import test from 'ava';
import * as platform from '@jayrock/platform';
import * as standIns from '@jayrock/stand-ins';
import * as routedSite from './routedSite.js';

/** Time for which a sound upstream is silent before it goes on, in milliseconds. */
const SILENCE_MS = 1_000;

/** Answers after a silence. */
const ANSWER_LATE: standIns.routedUpstream.Behaviour = {
  kind: 'raw',
  write: (socket, _, stamps) => {
    setTimeout(
      () => socket.write(`HTTP/1.1 200 OK\r\n${stamps}content-length: 2\r\n\r\nok`),
      SILENCE_MS,
    );
  },
};

test.serial('the answer of an upstream that was silent for a second is delivered', async (t) => {
  const site = await routedSite.startRoutedSite('127.0.46.1', 2);
  t.teardown(() => site.close());
  site.upstreams.forEach((upstream) => {
    upstream.behaviour = ANSWER_LATE;
  });
  const ids = ['s-0', 's-1', 's-2', 's-3'];
  const responses = await Promise.all(
    ids.map((id) => site.call({ path: '/issue/', id, method: 'POST' })),
  );
  t.deepEqual(
    responses.map(({ status, body }) => ({ status, body })),
    ids.map(() => ({ status: 200, body: 'ok' })),
  );
  t.deepEqual(
    ids.map(
      (id) =>
        site.upstreams.flatMap(({ received }) => received).filter((item) => item.id === id).length,
    ),
    ids.map(() => 1),
  );
});

test.serial('a stream that pauses for a second goes on and arrives whole', async (t) => {
  const site = await routedSite.startRoutedSite('127.0.46.2', 1);
  t.teardown(() => site.close());
  site.upstreams.forEach((upstream) => {
    upstream.behaviour = { kind: 'stream', events: 4, pauseMs: SILENCE_MS };
  });
  const response = await site.call({
    path: '/talk/',
    id: 'paused',
    headers: { [platform.wire.HEADERS.deadlineMs]: '15000' },
  });
  t.is(response.status, 200);
  t.true(response.isWhole);
  t.is(response.body.split('data:').length - 1, 4);
});

import * as http from 'node:http';
import type * as ava from 'ava';
import test from 'ava';
import * as platform from '@jayrock/platform';
import * as shared from '@jayrock/shared';
import * as standIns from '@jayrock/stand-ins';
import * as routedSite from './routedSite.js';
import * as threadCaller from './threadCaller.js';

const H = platform.wire.HEADERS;

const startSite = async (
  t: ava.ExecutionContext,
  ip: string,
  upstreamCount = 2,
): Promise<routedSite.RoutedSite> => {
  const site = await routedSite.startRoutedSite(ip, upstreamCount);
  t.teardown(() => site.close());
  return site;
};

const setBehaviour = (
  site: routedSite.RoutedSite,
  behaviour: standIns.routedUpstream.Behaviour,
): void =>
  site.upstreams.forEach((upstream) => {
    upstream.behaviour = behaviour;
  });

const sendStream = (site: routedSite.RoutedSite, id: string): Promise<routedSite.CallResponse> =>
  site.call({
    path: '/talk/',
    id,
    method: 'POST',
    body: 'b',
    headers: { [H.deadlineMs]: '15000' },
  });

const countSends = (site: routedSite.RoutedSite, id: string): number =>
  site.upstreams.flatMap(({ received }) => received).filter((request) => request.id === id).length;

const waitForSend = (site: routedSite.RoutedSite, id: string): Promise<void> =>
  standIns.control.waitUntil(() => countSends(site, id) > 0);

/** Time after which a router has taken up the changed entry of an upstream, in milliseconds. */
const REGISTERED_MS = 500;

test.serial('a stream whose upstream is silent again and again is completed', async (t) => {
  const site = await startSite(t, '127.0.124.1');
  // The gap target of this route is 300 ms.
  setBehaviour(site, { kind: 'stream', events: 12, pauseMs: 900 });
  const response = await sendStream(site, 'q1');
  t.is(response.body, standIns.routedUpstream.renderStream(12));
  t.true(response.isWhole);
});

test.serial(
  'a stream whose upstream is silent is completed although no other upstream has capacity',
  async (t) => {
    const site = await startSite(t, '127.0.124.2');
    site.upstreams.forEach((_, index) => site.registerUpstream(index, { slots: 1, sequence: 2 }));
    await standIns.control.wait(400);
    setBehaviour(site, { kind: 'stream', events: 300 });
    const [first] = site.upstreams;
    if (first !== undefined) {
      first.behaviour = { kind: 'stream', events: 6, pauseMs: 900 };
    }
    const busy = [sendStream(site, 'q1'), sendStream(site, 'q2')];
    const responses = await Promise.all(busy);
    t.deepEqual(
      responses.map(({ isWhole }) => isWhole),
      [true, true],
    );
  },
);

test.serial(
  'a stream on an upstream that accepts no new connections is completed there',
  async (t) => {
    const site = await startSite(t, '127.0.124.4');
    setBehaviour(site, { kind: 'stream', events: 6, pauseMs: 500 });
    const stream = sendStream(site, 'q1');
    await waitForSend(site, 'q1');
    site.upstreams.forEach((upstream) => upstream.refuseConnections());
    const response = await stream;
    t.true(response.isWhole);
    t.is(countSends(site, 'q1'), 1);
  },
);

test.serial('streams that end with their connection are complete', async (t) => {
  const site = await startSite(t, '127.0.124.5');
  setBehaviour(site, { kind: 'stream', events: 12, isUnframed: true });
  const ids = Array.from({ length: 30 }, (_, index) => `q${index}`);
  // Slots for all of them: a request that waits for one may be refused after half of its target latency.
  site.upstreams.forEach((_, index) => site.registerUpstream(index, { slots: ids.length }));
  await standIns.control.wait(REGISTERED_MS);
  const responses = await Promise.all(ids.map((id) => sendStream(site, id)));
  responses.forEach((response, index) => {
    t.true(response.isWhole);
    t.is(response.body, standIns.routedUpstream.renderStream(12));
    t.is(countSends(site, `q${index}`), 1);
  });
});

test.serial(
  'streams that end with their connection are complete after a blocked turn',
  async (t) => {
    const site = await startSite(t, '127.0.124.6');
    setBehaviour(site, { kind: 'stream', events: 12, isUnframed: true });
    const ids = Array.from({ length: 12 }, (_, index) => `q${index}`);
    const streams = Promise.all(ids.map((id) => sendStream(site, id)));
    await standIns.control.wait(30);
    threadCaller.blockEventLoop(300);
    await standIns.control.wait(20);
    threadCaller.blockEventLoop(300);
    (await streams).forEach((response, index) => {
      t.true(response.isWhole);
      t.is(countSends(site, `q${index}`), 1);
    });
  },
);

test.serial('a stream whose caller reads slowly is completed by its first upstream', async (t) => {
  const site = await startSite(t, '127.0.124.7');
  setBehaviour(site, { kind: 'stream', events: 60, extraBytes: 200_000 });
  const agent = new http.Agent({ keepAlive: true });
  t.teardown(() => agent.destroy());
  const { host, port } = shared.settings.parseAddress(site.callers);
  const request = http.request({
    host,
    port,
    agent,
    path: '/talk/',
    method: 'POST',
    headers: {
      host: routedSite.HOST,
      [H.requestId]: 'q1',
      [H.deadlineMs]: '15000',
      [H.key]: routedSite.KEY,
    },
  });
  request.end('b');
  const response = await new Promise<http.IncomingMessage>((resolve) => {
    request.once('response', resolve);
  });
  await standIns.control.wait(2_000);
  let bytes = 0;
  response.on('data', (chunk: Buffer) => {
    bytes += chunk.length;
  });
  const isWhole = await new Promise<boolean>((resolve) => {
    response.once('end', () => resolve(true));
    response.once('error', () => resolve(false));
  });
  t.true(isWhole);
  t.true(bytes > 60 * 200_000);
  t.is(countSends(site, 'q1'), 1);
});

test.serial(
  'a started stream does not look complete when another upstream rejects its rest',
  async (t) => {
    const site = await startSite(t, '127.0.124.8', 3);
    setBehaviour(site, { kind: 'stream', events: 12, cutAfter: 5 });
    const call = sendStream(site, 'q1');
    await waitForSend(site, 'q1');
    site.upstreams
      .filter((one) => one.received.every(({ id }) => id !== 'q1'))
      .forEach((one) => {
        one.behaviour = { kind: 'answer', status: 400, body: 'no such event' };
      });
    const response = await call;
    t.false(response.body.includes('no such event'));
    t.false(response.isWhole);
  },
);

import * as net from 'node:net';
import type * as ava from 'ava';
import test from 'ava';
import * as platform from '@jayrock/platform';
import * as shared from '@jayrock/shared';
import * as standIns from '@jayrock/stand-ins';
import * as routedSite from './routedSite.js';

const H = platform.wire.HEADERS;
const ANSWER: standIns.routedUpstream.Behaviour = { kind: 'answer', status: 200, body: 'answered' };

const startSite = async (t: ava.ExecutionContext, ip: string): Promise<routedSite.RoutedSite> => {
  const site = await routedSite.startRoutedSite(ip, 1);
  t.teardown(site.close);
  return site;
};

const renderRequest = (id: string): string =>
  [
    'GET /read/ HTTP/1.1',
    `host: ${routedSite.HOST}`,
    `${H.requestId}: ${id}`,
    `${H.key}: ${routedSite.KEY}`,
    '',
    '',
  ].join('\r\n');

/** Sends bytes on one connection; `received` resolves to all that came back when the connection has closed. */
const openCaller = (
  address: string,
): { readonly socket: net.Socket; readonly received: Promise<string> } => {
  const socket = net.connect(shared.settings.parseAddress(address));
  const received = new Promise<string>((resolve) => {
    let text = '';
    socket.on('data', (bytes: Buffer) => {
      text += bytes.toString('latin1');
    });
    socket.on('error', () => undefined);
    socket.once('close', () => resolve(text));
  });
  return { socket, received };
};

const countAnswers = (text: string): number => text.split('HTTP/1.1 200 ').length - 1;

const listArrived = (site: routedSite.RoutedSite): readonly string[] =>
  site.upstreams.flatMap(({ arrived }) => arrived);

test.serial(
  'requests that a stopping router reads from one connection all get answers',
  async (t) => {
    const site = await startSite(t, '127.0.48.1');
    const caller = openCaller(site.callers);
    const stopped = site.running.stop();
    await standIns.control.wait(100);
    caller.socket.write(['p-0', 'p-1', 'p-2'].map(renderRequest).join(''));
    const text = await caller.received;
    t.deepEqual(
      listArrived(site).filter((id) => id.startsWith('p-')).length,
      countAnswers(text),
      text,
    );
    t.is(countAnswers(text), 3, text);
    await stopped;
  },
);

test.serial(
  'requests in flight on one connection all get answers when the router stops',
  async (t) => {
    const site = await startSite(t, '127.0.48.2');
    site.upstreams.forEach((upstream) => {
      upstream.behaviour = { kind: 'hang' };
    });
    const caller = openCaller(site.callers);
    caller.socket.write(['q-0', 'q-1', 'q-2'].map(renderRequest).join(''));
    await standIns.control.waitUntil(() => listArrived(site).includes('q-2'));
    const stopped = site.running.stop();
    await standIns.control.wait(100);
    site.upstreams.forEach(({ answerHeld }) => answerHeld(ANSWER));
    const text = await caller.received;
    t.is(countAnswers(text), 3, text);
    await stopped;
  },
);

test.serial(
  'a request that follows the announced last answer of a connection reaches no upstream',
  async (t) => {
    const site = await startSite(t, '127.0.48.3');
    site.upstreams.forEach((upstream) => {
      upstream.behaviour = { kind: 'stream', events: 300 };
    });
    const stopped = site.running.stop();
    const caller = openCaller(site.callers);
    caller.socket.write(renderRequest('stream').replace('/read/', '/talk/'));
    const hasHead = new Promise((resolve) => {
      caller.socket.once('data', resolve);
    });
    await hasHead;
    caller.socket.write(renderRequest('late'));
    const text = await caller.received;
    t.true(text.endsWith('0\r\n\r\n'));
    t.is(countAnswers(text), 1);
    t.false(listArrived(site).includes('late'));
    await stopped;
  },
);

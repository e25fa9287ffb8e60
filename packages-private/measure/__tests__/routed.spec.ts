import * as fs from 'node:fs';
import * as net from 'node:net';
import test from 'ava';
import * as platform from '@jayrock/platform';
import * as shared from '@jayrock/shared';
import * as standIns from '@jayrock/stand-ins';
import * as routedSite from './routedSite.js';

const H = platform.wire.HEADERS;

const listReceived = (
  site: routedSite.RoutedSite,
  id: string,
): readonly standIns.routedUpstream.ReceivedRequest[] =>
  site.upstreams.flatMap((upstream) => upstream.received.filter((one) => one.id === id));

const setBehaviour = (
  site: routedSite.RoutedSite,
  behaviour: standIns.routedUpstream.Behaviour,
): void =>
  site.upstreams.forEach((upstream) => {
    upstream.behaviour = behaviour;
  });

test('method, path, query, body and headers arrive unchanged, the router’s own are set', async (t) => {
  const site = await routedSite.startRoutedSite('127.0.20.1');
  const got = await site.call({
    path: '/issue/a%20b?x=1&y=%2F',
    id: 'q1',
    method: 'POST',
    body: 'four tickets',
    headers: {
      'x-own': 'kept',
      connection: 'x-hop, keep-alive',
      'x-hop': 'dropped',
      [H.organisation]: 'forged',
      [H.hold]: 'forged',
      [H.kvFrom]: 'forged',
    },
  });
  t.is(got.status, 200);
  t.is(got.headers[H.stamp]?.slice(0, 9), 'stamp-of-');
  const [received, ...more] = listReceived(site, 'q1');
  t.is(more.length, 0);
  t.is(received?.method, 'POST');
  t.is(received?.url, '/issue/a%20b?x=1&y=%2F');
  t.is(received?.body, 'four tickets');
  t.is(received?.headers['x-own'], 'kept');
  t.is(received?.headers['x-hop'], undefined);
  t.is(received?.headers[H.organisation], 'ada');
  t.is(received?.headers[H.key], undefined);
  t.is(received?.headers[H.hold], undefined);
  t.is(received?.headers[H.kvFrom], undefined);
  t.true(Number(received?.headers[H.deadlineMs]) <= 1_500);
  t.regex(String(received?.headers[H.expectedUpstream]), /^u-[01]$/);
  await site.close();
});

test('unknown paths, keys and bodies over the limit are refused and reach no upstream', async (t) => {
  const site = await routedSite.startRoutedSite('127.0.20.2');
  t.is((await site.call({ path: '/nowhere/', id: 'q1' })).status, 404);
  t.is((await site.call({ path: '/read/', id: 'q2', key: 'unknown' })).status, 401);
  t.is((await site.call({ path: '/read/', id: 'q3', key: null })).status, 401);
  const large = { path: '/issue/', id: 'q4', method: 'POST', body: 'x'.repeat(20_000) };
  t.is((await site.call(large)).status, 413);
  t.is(['q1', 'q2', 'q3', 'q4'].flatMap((id) => listReceived(site, id)).length, 0);
  await site.close();
});

test('a safe request whose upstream fails, resets or sends another answer runs elsewhere', async (t) => {
  const site = await routedSite.startRoutedSite('127.0.20.3', 3);
  const faults: readonly standIns.routedUpstream.Behaviour[] = [
    { kind: 'answer', status: 500, body: 'failed' },
    { kind: 'reset' },
    { kind: 'foreign' },
    { kind: 'short' },
    { kind: 'unsigned' },
    { kind: 'turnAway', status: 503 },
  ];
  for (const [index, fault] of faults.entries()) {
    setBehaviour(site, { kind: 'answer', status: 200, body: 'good' });
    const first = site.upstreams[0];
    if (first !== undefined) {
      first.behaviour = fault;
    }
    // eslint-disable-next-line no-await-in-loop -- one fault after the other
    const got = await site.call({ path: '/read/', id: `q${index}` });
    t.is(got.status, 200, fault.kind);
    t.is(got.body, 'good', fault.kind);
  }
  await site.close();
});

test('work that may not be repeated runs once, and is never said not to have run', async (t) => {
  const site = await routedSite.startRoutedSite('127.0.20.4', 3);
  const faults: readonly standIns.routedUpstream.Behaviour[] = [
    { kind: 'reset' },
    { kind: 'foreign' },
    { kind: 'short' },
    { kind: 'unsigned' },
  ];
  for (const [index, fault] of faults.entries()) {
    setBehaviour(site, fault);
    // eslint-disable-next-line no-await-in-loop -- one fault after the other
    const got = await site.call({ path: '/issue/', id: `q${index}`, method: 'POST', body: 'b' });
    t.is(got.status, 502, fault.kind);
    t.is(got.headers[H.stamp], undefined, fault.kind);
    t.is(listReceived(site, `q${index}`).length, 1, fault.kind);
  }
  await site.close();
});

test('a request that crashes its upstreams is held back after the third, others are served', async (t) => {
  const site = await routedSite.startRoutedSite('127.0.20.20', 4);
  const sendPoison = (id: string): Promise<routedSite.CallResponse> =>
    site.call({ path: '/issue/', id, method: 'POST', body: 'poison' });
  setBehaviour(site, { kind: 'crash' });
  for (const id of ['q1', 'q2', 'q3']) {
    // eslint-disable-next-line no-await-in-loop -- each crash follows the one before
    t.is((await sendPoison(id)).status, 502);
    // eslint-disable-next-line no-await-in-loop -- the crash is looked into meanwhile
    await standIns.control.wait(100);
  }
  t.is((await sendPoison('q4')).status, 503);
  t.is(listReceived(site, 'q4').length, 0);
  setBehaviour(site, { kind: 'answer', status: 200, body: 'served' });
  const other = { path: '/issue/', id: 'q5', method: 'POST', body: 'harmless' };
  t.is((await site.call(other)).status, 200);
  await site.close();
});

test('an answer without a length is whole when its connection ends, not when it is reset', async (t) => {
  const site = await routedSite.startRoutedSite('127.0.20.16');
  const call = { path: '/issue/', method: 'POST', body: 'b' };
  setBehaviour(site, { kind: 'unframed', cut: 'no' });
  const whole = await site.call({ ...call, id: 'q1' });
  t.is(whole.status, 200);
  t.is(whole.body, 'first part, second part');
  setBehaviour(site, { kind: 'unframed', cut: 'later' });
  t.is((await site.call({ ...call, id: 'q2' })).status, 502);
  t.is(listReceived(site, 'q2').length, 1);
  setBehaviour(site, { kind: 'unframed', cut: 'atOnce' });
  t.is((await site.call({ ...call, id: 'q3' })).status, 502);
  t.is(listReceived(site, 'q3').length, 1);
  await site.close();
});

test('work that every upstream turned away is refused as not run, with a time to come back', async (t) => {
  const site = await routedSite.startRoutedSite('127.0.20.5');
  setBehaviour(site, { kind: 'turnAway', status: 503 });
  const got = await site.call({ path: '/issue/', id: 'q1', method: 'POST', body: 'b' });
  t.is(got.status, 503);
  t.true(Number(got.headers[H.retryAfter]) > 0);
  t.is(listReceived(site, 'q1').length, 2);
  await site.close();
});

test('a stream that breaks off within an event goes on elsewhere without gap or double', async (t) => {
  const site = await routedSite.startRoutedSite('127.0.20.6');
  setBehaviour(site, { kind: 'stream', events: 12 });
  const [first] = site.upstreams;
  if (first !== undefined) {
    first.behaviour = { kind: 'stream', events: 12, cutAfter: 5 };
  }
  const ids = ['q1', 'q2', 'q3', 'q4'];
  const got = await Promise.all(
    ids.map((id) => site.call({ path: '/talk/', id, method: 'POST', body: 'b' })),
  );
  got.forEach((one) => {
    t.true(one.isWhole);
    t.is(one.body, standIns.routedUpstream.renderStream(12));
  });
  const resumed = ids.flatMap((id) => listReceived(site, id).slice(1));
  t.true(resumed.length > 0);
  resumed.forEach((one) => t.is(one.headers[H.lastEventId], '5'));
  await site.close();
});

test('a stream that cannot go on is cut off, so that it does not look complete', async (t) => {
  const site = await routedSite.startRoutedSite('127.0.20.7');
  setBehaviour(site, { kind: 'stream', events: 12, cutAfter: 5 });
  const got = await site.call({ path: '/talk/', id: 'q1', method: 'POST', body: 'b' });
  t.false(got.isWhole);
  t.is(listReceived(site, 'q1').length, 3);
  await site.close();
});

test('a failure of an upstream never ends a stream that has begun as if it were whole', async (t) => {
  const site = await routedSite.startRoutedSite('127.0.20.17', 3);
  setBehaviour(site, { kind: 'stream', events: 12, cutAfter: 5 });
  const call = site.call({ path: '/talk/', id: 'q1', method: 'POST', body: 'b' });
  await standIns.control.waitUntil(() => listReceived(site, 'q1').length === 1);
  const busy = site.upstreams.find((one) => one.received.some(({ id }) => id === 'q1'));
  site.upstreams
    .filter((one) => one !== busy)
    .forEach((one) => {
      one.behaviour = { kind: 'answer', status: 500, body: 'failed' };
    });
  const got = await call;
  t.is(got.status, 200);
  t.false(got.isWhole);
  await site.close();
});

test('a doubtful answer of the small model is replaced before the caller sees any of it', async (t) => {
  const site = await routedSite.startRoutedSite('127.0.20.8', 1);
  const [upstream] = site.upstreams;
  setBehaviour(site, { kind: 'stream', events: 4 });
  const headers = { [H.model]: '*', [H.tokens]: '1000,20' };
  const call = { path: '/sized/', method: 'POST', body: 'b', headers };
  if (upstream !== undefined) {
    upstream.confidence = 5;
  }
  const doubted = await site.call({ ...call, id: 'q1' });
  t.is(doubted.body, standIns.routedUpstream.renderStream(4));
  t.deepEqual(
    listReceived(site, 'q1').map((one) => one.headers[H.model]),
    ['small', 'large'],
  );
  if (upstream !== undefined) {
    upstream.confidence = 95;
  }
  await site.call({ ...call, id: 'q2' });
  t.deepEqual(
    listReceived(site, 'q2').map((one) => one.headers[H.model]),
    ['small'],
  );
  await site.close();
});

test('a caller that leaves cancels the work upstream', async (t) => {
  const site = await routedSite.startRoutedSite('127.0.20.9', 1);
  setBehaviour(site, { kind: 'hang' });
  await site.sendAndDisconnect({ path: '/read/', id: 'q1' }, 100);
  await standIns.control.waitUntil(() => site.upstreams[0]?.cancelled.includes('q1') === true);
  t.is(listReceived(site, 'q1').length, 1);
  await site.close();
});

test('a request still unanswered at its route’s timeout gets a final answer', async (t) => {
  const site = await routedSite.startRoutedSite('127.0.20.10', 1);
  setBehaviour(site, { kind: 'hang' });
  const got = await site.call({ path: '/brief/', id: 'q1' });
  t.is(got.status, 504);
  await site.close();
});

test('a withdrawn key, a removed route and a leaving upstream take effect from the store', async (t) => {
  const site = await routedSite.startRoutedSite('127.0.20.11');
  site.store.put(
    platform.wire.KEYS.configuration,
    routedSite.makeConfiguration(5, { tenants: [{ name: 'ada', keys: ['key-of-ben'] }] }),
  );
  site.registerUpstream(0, { state: 'draining' });
  let status = 200;
  while (status === 200) {
    // eslint-disable-next-line no-await-in-loop -- asks until the change is in force
    ({ status } = await site.call({ path: '/read/', id: 'old-key' }));
  }
  t.is(status, 401);
  site.store.put(platform.wire.KEYS.configuration, 'not a configuration');
  site.store.remove(`${platform.wire.KEYS.upstreams}u-9`);
  await standIns.control.wait(100);
  const before = site.upstreams[0]?.received.length;
  for (let index = 0; index < 8; index += 1) {
    // eslint-disable-next-line no-await-in-loop -- one request after the other
    const got = await site.call({ path: '/read/', id: `q${index}`, key: 'key-of-ben' });
    t.is(got.status, 200);
  }
  t.is(site.upstreams[0]?.received.length, before);
  await site.close();
});

test('changes are found after the store has dropped its history', async (t) => {
  const site = await routedSite.startRoutedSite('127.0.20.12');
  site.store.put(
    platform.wire.KEYS.configuration,
    routedSite.makeConfiguration(7, { tenants: [{ name: 'ada', keys: ['newer'] }] }),
  );
  site.store.compact();
  let status = 401;
  while (status === 401) {
    // eslint-disable-next-line no-await-in-loop -- asks until the change is in force
    ({ status } = await site.call({ path: '/read/', id: 'q', key: 'newer' }));
  }
  t.is(status, 200);
  await site.close();
});

test('keys are refused once the store has been silent for too long, public routes go on', async (t) => {
  const site = await routedSite.startRoutedSite('127.0.20.13', 1, { revocationMs: 1_000 });
  site.store.faults.isSilent = true;
  await standIns.control.wait(1_000);
  const refused = await site.call({ path: '/read/', id: 'q1' });
  t.is(refused.status, 503);
  t.is(listReceived(site, 'q1').length, 0);
  t.is((await site.call({ path: '/open/', id: 'q2' })).status, 200);
  await site.close();
});

test('a planned stop tells the balancer first and finishes every stream', async (t) => {
  const site = await routedSite.startRoutedSite('127.0.20.14');
  setBehaviour(site, { kind: 'stream', events: 200 });
  // The caller waits far longer than the streams take, also on a busy machine.
  const makeCall = (id: string): routedSite.Call => ({
    path: '/talk/',
    id,
    method: 'POST',
    body: 'b',
    headers: { [H.deadlineMs]: '20000' },
  });
  const streams = ['q1', 'q2'].map((id) => site.call(makeCall(id)));
  await standIns.control.waitUntil(() => listReceived(site, 'q2').length === 1);
  const stopped = site.running.stop();
  const { host, port } = shared.settings.parseAddress(site.ready);
  t.is((await fetch(`http://${host}:${port}/readyz`)).status, 503);
  const late = await site.call(makeCall('q3'));
  t.is(late.headers.connection, 'close');
  t.is(late.body, standIns.routedUpstream.renderStream(200));
  (await Promise.all(streams)).forEach((one) =>
    t.is(one.body, standIns.routedUpstream.renderStream(200)),
  );
  await stopped;
  await site.close();
});

test('a request hidden in another one’s body reaches no upstream on its own', async (t) => {
  const site = await routedSite.startRoutedSite('127.0.20.15', 1);
  const hidden = `GET /read/ HTTP/1.1\r\nHost: ${routedSite.HOST}\r\n${H.requestId}: hidden\r\n\r\n`;
  const raw =
    `POST /issue/ HTTP/1.1\r\nHost: ${routedSite.HOST}\r\n${H.requestId}: outer\r\n` +
    `${H.key}: ${routedSite.KEY}\r\nContent-Length: ${hidden.length}\r\n` +
    `Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n${hidden}`;
  const { host, port } = shared.settings.parseAddress(site.callers);
  const answer = await new Promise<string>((resolve) => {
    const socket = net.connect({ host, port }, () => socket.write(raw));
    const chunks: Buffer[] = [];
    socket.on('data', (chunk) => chunks.push(chunk));
    socket.once('close', () => resolve(Buffer.concat(chunks).toString('utf8')));
    socket.once('error', () => undefined);
  });
  t.regex(answer, /^HTTP\/1\.1 400 /);
  t.is(listReceived(site, 'hidden').length, 0);
  await site.close();
});

test('names of the platform’s wire stand only in its adapter', (t) => {
  const root = new URL('../../../../', import.meta.url);
  const names = [
    ...Object.values(platform.wire.HEADERS).filter((name) => name.startsWith('x-')),
    ...Object.values(platform.wire.KEYS).filter((key) => key !== 'servers/'),
    ...Object.values(platform.wire.STORE_PATHS),
  ].filter((name) => name !== 'x-request-id');
  const files = ['packages', 'packages-private'].flatMap((folder) =>
    fs
      .readdirSync(new URL(folder, root), { recursive: true, encoding: 'utf8' })
      .filter((file) => file.endsWith('.ts') && !/node_modules|dist/.test(file))
      .map((file) => `${folder}/${file}`),
  );
  t.true(files.length > 100);
  const found = files.flatMap((file) => {
    const text = fs.readFileSync(new URL(file, root), 'utf8').toLowerCase();
    return names.filter((name) => text.includes(`'${name}`)).map((name) => `${file}: ${name}`);
  });
  t.deepEqual(found, []);
});

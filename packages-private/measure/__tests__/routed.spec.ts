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
  site.upstreams.flatMap((upstream) => upstream.received.filter((request) => request.id === id));

const setBehaviour = (
  site: routedSite.RoutedSite,
  behaviour: standIns.routedUpstream.Behaviour,
): void =>
  site.upstreams.forEach((upstream) => {
    upstream.behaviour = behaviour;
  });

test('method, path, query, body and headers arrive unchanged, except headers that only the router may set', async (t) => {
  const site = await routedSite.startRoutedSite('127.0.20.1');
  const response = await site.call({
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
  t.is(response.status, 200);
  t.is(response.headers[H.stamp]?.slice(0, 9), 'stamp-of-');
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

test('unknown paths, unknown keys and bodies over the limit are refused and reach no upstream', async (t) => {
  const site = await routedSite.startRoutedSite('127.0.20.2');
  t.is((await site.call({ path: '/nowhere/', id: 'q1' })).status, 404);
  t.is((await site.call({ path: '/read/', id: 'q2', key: 'unknown' })).status, 401);
  t.is((await site.call({ path: '/read/', id: 'q3', key: null })).status, 401);
  const large = { path: '/issue/', id: 'q4', method: 'POST', body: 'x'.repeat(20_000) };
  t.is((await site.call(large)).status, 413);
  t.is(['q1', 'q2', 'q3', 'q4'].flatMap((id) => listReceived(site, id)).length, 0);
  await site.close();
});

test('a safe request is retried on another upstream after a failure, a reset or an invalid answer', async (t) => {
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
    const response = await site.call({ path: '/read/', id: `q${index}` });
    t.is(response.status, 200, fault.kind);
    t.is(response.body, 'good', fault.kind);
  }
  await site.close();
});

test('a non-idempotent request is sent once, and its failure is not reported as not run', async (t) => {
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
    const response = await site.call({
      path: '/issue/',
      id: `q${index}`,
      method: 'POST',
      body: 'b',
    });
    t.is(response.status, 502, fault.kind);
    t.is(response.headers[H.stamp], undefined, fault.kind);
    t.is(listReceived(site, `q${index}`).length, 1, fault.kind);
  }
  await site.close();
});

test('a request that crashes its upstreams is quarantined after three crashes, others are served', async (t) => {
  const site = await routedSite.startRoutedSite('127.0.20.20', 4);
  const sendPoison = (id: string): Promise<routedSite.CallResponse> =>
    site.call({ path: '/issue/', id, method: 'POST', body: 'poison' });
  setBehaviour(site, { kind: 'crash' });
  for (const id of ['q1', 'q2', 'q3']) {
    // eslint-disable-next-line no-await-in-loop -- each crash follows the one before
    t.is((await sendPoison(id)).status, 502);
    // eslint-disable-next-line no-await-in-loop -- the router checks the crash meanwhile
    await standIns.control.wait(100);
  }
  t.is((await sendPoison('q4')).status, 503);
  t.is(listReceived(site, 'q4').length, 0);
  setBehaviour(site, { kind: 'answer', status: 200, body: 'served' });
  const other = { path: '/issue/', id: 'q5', method: 'POST', body: 'harmless' };
  t.is((await site.call(other)).status, 200);
  await site.close();
});

test('an answer without a length is complete when its connection closes, not when it is reset', async (t) => {
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

test('a request that every upstream refused as not run gets 503 with a retry-after time', async (t) => {
  const site = await routedSite.startRoutedSite('127.0.20.5');
  setBehaviour(site, { kind: 'turnAway', status: 503 });
  const response = await site.call({ path: '/issue/', id: 'q1', method: 'POST', body: 'b' });
  t.is(response.status, 503);
  t.true(Number(response.headers[H.retryAfter]) > 0);
  t.is(listReceived(site, 'q1').length, 2);
  await site.close();
});

test('a stream that breaks within an event is resumed elsewhere without lost or repeated events', async (t) => {
  const site = await routedSite.startRoutedSite('127.0.20.6');
  setBehaviour(site, { kind: 'stream', events: 12 });
  const [first] = site.upstreams;
  if (first !== undefined) {
    first.behaviour = { kind: 'stream', events: 12, cutAfter: 5 };
  }
  const ids = ['q1', 'q2', 'q3', 'q4'];
  const responses = await Promise.all(
    ids.map((id) => site.call({ path: '/talk/', id, method: 'POST', body: 'b' })),
  );
  responses.forEach((response) => {
    t.true(response.isWhole);
    t.is(response.body, standIns.routedUpstream.renderStream(12));
  });
  const resumed = ids.flatMap((id) => listReceived(site, id).slice(1));
  t.true(resumed.length > 0);
  resumed.forEach((request) => t.is(request.headers[H.lastEventId], '5'));
  await site.close();
});

test('a stream that cannot be resumed ends with a broken connection and does not look complete', async (t) => {
  const site = await routedSite.startRoutedSite('127.0.20.7');
  setBehaviour(site, { kind: 'stream', events: 12, cutAfter: 5 });
  const response = await site.call({ path: '/talk/', id: 'q1', method: 'POST', body: 'b' });
  t.false(response.isWhole);
  t.is(listReceived(site, 'q1').length, 3);
  await site.close();
});

test('a started stream does not look complete when resuming it on other upstreams fails', async (t) => {
  const site = await routedSite.startRoutedSite('127.0.20.17', 3);
  setBehaviour(site, { kind: 'stream', events: 12, cutAfter: 5 });
  const call = site.call({ path: '/talk/', id: 'q1', method: 'POST', body: 'b' });
  await standIns.control.waitUntil(() => listReceived(site, 'q1').length === 1);
  const busy = site.upstreams.find((upstream) => upstream.received.some(({ id }) => id === 'q1'));
  site.upstreams
    .filter((one) => one !== busy)
    .forEach((one) => {
      one.behaviour = { kind: 'answer', status: 500, body: 'failed' };
    });
  const response = await call;
  t.is(response.status, 200);
  t.false(response.isWhole);
  await site.close();
});

test('an answer of the small model with low confidence is replaced before any of it is forwarded', async (t) => {
  const site = await routedSite.startRoutedSite('127.0.20.8', 1);
  const [upstream] = site.upstreams;
  setBehaviour(site, { kind: 'stream', events: 4 });
  const headers = { [H.model]: '*', [H.tokens]: '1000,20' };
  const call = { path: '/sized/', method: 'POST', body: 'b', headers };
  if (upstream !== undefined) {
    upstream.confidence = 5;
  }
  const replaced = await site.call({ ...call, id: 'q1' });
  t.is(replaced.body, standIns.routedUpstream.renderStream(4));
  t.deepEqual(
    listReceived(site, 'q1').map((request) => request.headers[H.model]),
    ['small', 'large'],
  );
  if (upstream !== undefined) {
    upstream.confidence = 95;
  }
  await site.call({ ...call, id: 'q2' });
  t.deepEqual(
    listReceived(site, 'q2').map((request) => request.headers[H.model]),
    ['small'],
  );
  await site.close();
});

test('a request whose caller disconnects is cancelled on its upstream', async (t) => {
  const site = await routedSite.startRoutedSite('127.0.20.9', 1);
  setBehaviour(site, { kind: 'hang' });
  await site.sendAndDisconnect({ path: '/read/', id: 'q1' });
  await standIns.control.waitUntil(() => site.upstreams[0]?.cancelled.includes('q1') === true);
  t.is(listReceived(site, 'q1').length, 1);
  await site.close();
});

test('pipelined requests of one connection are all answered, in their order', async (t) => {
  const site = await routedSite.startRoutedSite('127.0.20.30');
  const socket = net.connect(shared.settings.parseAddress(site.callers));
  const ids = ['q1', 'q2', 'q3'];
  const head = `host: ${routedSite.HOST}\r\n${H.key}: ${routedSite.KEY}\r\n`;
  socket.write(
    ids.map((id) => `GET /read/ HTTP/1.1\r\n${head}${H.requestId}: ${id}\r\n\r\n`).join(''),
  );
  let text = '';
  socket.on('data', (bytes) => {
    text += bytes.toString('latin1');
  });
  const listAnswered = (): readonly string[] =>
    Array.from(text.matchAll(new RegExp(`${H.requestId}: (q\\d)`, 'g')), ([, id]) => id ?? '');
  await standIns.control.waitUntil(() => listAnswered().length === ids.length);
  t.deepEqual(listAnswered(), ids);
  socket.destroy();
  await site.close();
});

test('a request without an answer at the timeout of its route gets 504', async (t) => {
  const site = await routedSite.startRoutedSite('127.0.20.10', 1);
  setBehaviour(site, { kind: 'hang' });
  const response = await site.call({ path: '/brief/', id: 'q1' });
  t.is(response.status, 504);
  await site.close();
});

test('a withdrawn key and a draining upstream take effect, and invalid entries of the store do not', async (t) => {
  const site = await routedSite.startRoutedSite('127.0.20.11');
  site.store.put(
    platform.wire.KEYS.configuration,
    routedSite.makeConfiguration(5, { tenants: [{ name: 'ada', keys: ['key-of-ben'] }] }),
  );
  site.registerUpstream(0, { state: 'draining' });
  let status = 200;
  while (status === 200) {
    // eslint-disable-next-line no-await-in-loop -- polls until the change is in force
    ({ status } = await site.call({ path: '/read/', id: 'old-key' }));
  }
  t.is(status, 401);
  site.store.put(platform.wire.KEYS.configuration, 'not a configuration');
  site.store.remove(`${platform.wire.KEYS.upstreams}u-9`);
  await standIns.control.wait(100);
  const before = site.upstreams[0]?.received.length;
  for (let index = 0; index < 8; index += 1) {
    // eslint-disable-next-line no-await-in-loop -- one request after the other
    const response = await site.call({ path: '/read/', id: `q${index}`, key: 'key-of-ben' });
    t.is(response.status, 200);
  }
  t.is(site.upstreams[0]?.received.length, before);
  await site.close();
});

test('changes take effect although the store has compacted its history', async (t) => {
  const site = await routedSite.startRoutedSite('127.0.20.12');
  site.store.put(
    platform.wire.KEYS.configuration,
    routedSite.makeConfiguration(7, { tenants: [{ name: 'ada', keys: ['newer'] }] }),
  );
  site.store.compact();
  let status = 401;
  while (status === 401) {
    // eslint-disable-next-line no-await-in-loop -- polls until the change is in force
    ({ status } = await site.call({ path: '/read/', id: 'q', key: 'newer' }));
  }
  t.is(status, 200);
  await site.close();
});

test('requests with keys are refused once the store is silent for too long, public routes keep working', async (t) => {
  const site = await routedSite.startRoutedSite('127.0.20.13', 1, { revocationMs: 1_000 });
  site.store.faults.isSilent = true;
  await standIns.control.wait(1_000);
  const refused = await site.call({ path: '/read/', id: 'q1' });
  t.is(refused.status, 503);
  t.is(listReceived(site, 'q1').length, 0);
  t.is((await site.call({ path: '/open/', id: 'q2' })).status, 200);
  await site.close();
});

test('a planned stop fails the readiness check first and completes every stream', async (t) => {
  const site = await routedSite.startRoutedSite('127.0.20.14');
  setBehaviour(site, { kind: 'stream', events: 200 });
  // The deadline is far longer than the streams take, even on a busy machine.
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
  (await Promise.all(streams)).forEach((response) =>
    t.is(response.body, standIns.routedUpstream.renderStream(200)),
  );
  await stopped;
  await site.close();
});

test('a request smuggled in the body of another request reaches no upstream', async (t) => {
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

test('wire names of the platform are written only in its adapter', (t) => {
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

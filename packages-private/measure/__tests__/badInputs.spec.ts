import * as net from 'node:net';
import test from 'ava';
import * as shared from '@jayrock/shared';
import * as undici from 'undici';
import * as socketSite from './socketSite.js';

let site: socketSite.SocketSite;

test.before(async () => {
  site = await socketSite.startSite('127.0.3.1');
});

test.after.always(async () => {
  await site.close();
});

const sendRaw = async (
  path: string,
  body: string,
  headers: Readonly<Record<string, string>> = {},
): Promise<{
  readonly status: number;
  readonly type: string;
  readonly problem: Record<string, unknown>;
}> => {
  const response = await undici.request(`http://${site.address}${path}`, {
    method: 'POST',
    headers: {
      'content-type': 'application/json',
      authorization: 'Bearer demo-ada',
      ...headers,
    },
    body,
  });
  return {
    status: response.statusCode,
    type: String(response.headers['content-type']),
    problem: (await response.body.json()) as Record<string, unknown>,
  };
};

interface RefusedCase {
  readonly title: string;
  readonly path?: string;
  readonly body: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly status: number;
  readonly code: string;
}

const CHAT = '/v1/chat/completions';

const REFUSED: readonly RefusedCase[] = [
  { title: 'broken JSON', body: '{"model": "small",', status: 400, code: 'badRequest' },
  { title: 'a body without messages', body: '{"model":"small"}', status: 400, code: 'badRequest' },
  {
    title: 'an unknown model',
    body: JSON.stringify(socketSite.makeChat('x', { model: 'none' })),
    status: 404,
    code: 'modelUnknown',
  },
  {
    title: 'a model outside the plan',
    body: JSON.stringify(socketSite.makeChat('x', { model: 'hidden' })),
    status: 403,
    code: 'modelNotAllowed',
  },
  {
    title: 'an adapter outside the plan',
    body: JSON.stringify(socketSite.makeChat('x', { adapter: 'secret' })),
    status: 403,
    code: 'adapterNotAllowed',
  },
  {
    title: 'an oversized body',
    body: JSON.stringify(socketSite.makeChat('x'.repeat(30_000))),
    status: 413,
    code: 'bodyTooLarge',
  },
  {
    title: 'a wrong key',
    body: JSON.stringify(socketSite.makeChat('x')),
    headers: { authorization: 'Bearer nobody' },
    status: 401,
    code: 'unauthorized',
  },
  {
    title: 'an idempotency key that is not time-ordered',
    body: JSON.stringify(socketSite.makeChat('x')),
    headers: { 'idempotency-key': '9b2f0e6e-5c1a-4a52-8f1e-0d6a1c2b3d4e' },
    status: 400,
    code: 'badIdempotencyKey',
  },
  { title: 'an unknown path', path: '/v2/chat', body: '{}', status: 404, code: 'notFound' },
  {
    title: 'an unknown service',
    path: '/services/none/issue',
    body: '{}',
    status: 404,
    code: 'notFound',
  },
];

REFUSED.forEach((refused) => {
  test(`${refused.title} is refused as not run`, async (t) => {
    const answer = await sendRaw(refused.path ?? CHAT, refused.body, refused.headers);
    t.is(answer.status, refused.status);
    t.is(answer.type, 'application/problem+json');
    t.is(answer.problem.code, refused.code);
    t.true(answer.problem.notRun);
  });
});

test('slow headers close their connection and do not affect other requests', async (t) => {
  const { host, port } = shared.settings.parseAddress(site.address);
  const socket = net.connect(port, host);
  socket.write('POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n');
  const closed = new Promise<void>((resolve) => {
    socket.once('close', () => resolve());
    socket.on('error', () => undefined);
    socket.resume();
  });
  const other = await site.send(socketSite.makeChat('while the slow one waits'));
  t.true(other.isWhole);
  await closed;
  t.pass();
});

test('the list of models contains only those that the plan allows', async (t) => {
  const response = await undici.request(`http://${site.address}/v1/models`, {
    headers: { authorization: 'Bearer demo-ada' },
  });
  const list = (await response.body.json()) as { data: { id: string }[] };
  t.deepEqual(
    list.data.map((item) => item.id),
    ['small', 'large'],
  );
});

test('a peer call without a valid signature is rejected with 401', async (t) => {
  const response = await undici.request(`http://${site.peers}/rpc`, {
    method: 'POST',
    headers: { 'content-type': 'application/json', 'x-jayrock-signature': `${Date.now()}.wrong` },
    body: '{"jsonrpc":"2.0","id":1,"method":"getConfig","params":{"above":0}}',
  });
  await response.body.dump();
  t.is(response.statusCode, 401);
});

import * as workerThreads from 'node:worker_threads';
import test from 'ava';
import * as rpcClient from '../src/peers/rpcClient.js';

/** Peer in a thread of its own; it takes the given time for each reply, in milliseconds. */
const PEER = `
const { parentPort, workerData } = require('node:worker_threads');
const server = require('node:http').createServer((request, response) => {
  let text = '';
  request.on('data', (bytes) => { text += bytes; });
  request.on('end', () => setTimeout(() => {
    const { id } = JSON.parse(text);
    response.end(JSON.stringify(workerData.reply ?? { jsonrpc: '2.0', id, result: { isAlive: true } }));
  }, workerData.delayMs));
});
server.listen(0, '127.0.0.1', () => parentPort.postMessage(server.address().port));
`;

const startPeer = async (
  workerData: object,
): Promise<{ readonly worker: workerThreads.Worker; readonly address: string }> => {
  const worker = new workerThreads.Worker(PEER, { eval: true, workerData });
  const port = await new Promise((resolve) => {
    worker.once('message', resolve);
  });
  return { worker, address: `127.0.0.1:${Number(port)}` };
};

const PARAMS = { address: '127.0.0.1:1' };

test('a reply that arrived while the event loop was busy is not taken for a time-out', async (t) => {
  const { worker, address } = await startPeer({ delayMs: 100 });
  const client = rpcClient.makeRpcClient('secret', '127.0.0.1');
  t.teardown(() => Promise.all([client.close(), worker.terminate()]));
  t.deepEqual(await client.call(address, 'probeFor', PARAMS, 5_000), { isAlive: true });
  const call = client.call(address, 'probeFor', PARAMS, 300);
  // The call is sent in this time, and the reply comes while the loop is busy.
  await new Promise((resolve) => {
    setTimeout(resolve, 30);
  });
  // After an immediate, timers that are due run before the next poll.
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
  const endAtMs = performance.now() + 600;
  while (performance.now() < endAtMs);
  t.deepEqual(await call, { isAlive: true });
});

test('a peer that does not reply in time, or to another call, is given up', async (t) => {
  const silent = await startPeer({ delayMs: 5_000 });
  const confused = await startPeer({ delayMs: 0, reply: { jsonrpc: '2.0', id: 99, result: {} } });
  const client = rpcClient.makeRpcClient('secret', '127.0.0.1');
  t.teardown(() =>
    Promise.all([client.close(), silent.worker.terminate(), confused.worker.terminate()]),
  );
  const startedAtMs = performance.now();
  t.is(await client.call(silent.address, 'probeFor', PARAMS, 300), null);
  t.is(await client.call(confused.address, 'probeFor', PARAMS, 300), null);
  t.true(performance.now() - startedAtMs < 2_500);
});

import * as net from 'node:net';
import test from 'ava';
import * as shared from '@jayrock/shared';
import * as inputBarrier from '../src/eventLoop/inputBarrier.js';

const blockLoop = (durationMs: number): void => {
  const endMs = performance.now() + durationMs;
  while (performance.now() < endMs);
};

/** Opens a connection on loopback and returns both of its ends. */
const openPair = async (): Promise<readonly [net.Socket, net.Socket, net.Server]> => {
  const server = net.createServer();
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const accepted = new Promise<net.Socket>((resolve) => {
    server.once('connection', resolve);
  });
  const { port } = server.address() as net.AddressInfo;
  const near = net.connect(port, '127.0.0.1');
  return [near, await accepted, server];
};

test.serial(
  'a close that had arrived is read before work that was started for the bytes before it',
  async (t) => {
    const barrier = inputBarrier.makeInputBarrier();
    const [near, far, server] = await openPair();
    const order: string[] = [];
    far.once('data', () => barrier.run(() => order.push('work')));
    far.once('end', () => order.push('close'));
    near.end('request');
    blockLoop(20);
    await shared.delay.wait(50);
    t.deepEqual(order, ['close', 'work']);
    server.close();
  },
);

test.serial('long work does not keep input unread: each slice is followed by a poll', async (t) => {
  const barrier = inputBarrier.makeInputBarrier();
  const [near, far, server] = await openPair();
  const order: string[] = [];
  far.once('data', () => order.push('input'));
  for (let index = 0; index < 3; index += 1) {
    barrier.run(() => {
      order.push(`work ${index}`);
      near.write('more');
      blockLoop(30);
    });
  }
  await shared.delay.wait(150);
  t.deepEqual(order, ['work 0', 'input', 'work 1', 'work 2']);
  near.destroy();
  server.close();
});

test.serial(
  'work waits while connections are accepted, and runs after 50 ms although more are accepted',
  async (t) => {
    const barrier = inputBarrier.makeInputBarrier();
    const startedAtMs = performance.now();
    let ranAfterMs = 0;
    barrier.run(() => {
      ranAfterMs = performance.now() - startedAtMs;
    });
    while (ranAfterMs === 0) {
      barrier.recordConnection();
      // eslint-disable-next-line no-await-in-loop -- one connection a turn
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
    t.true(ranAfterMs >= 50);
    t.true(ranAfterMs < 100);
  },
);

test.serial('due work runs after the next poll, ahead of work and of what it starts', async (t) => {
  const barrier = inputBarrier.makeInputBarrier();
  const [near, far, server] = await openPair();
  const order: string[] = [];
  for (let index = 0; index < 2; index += 1) {
    barrier.run(() => {
      blockLoop(30);
      order.push(`work ${index}`);
    });
  }
  far.once('end', () => order.push('close'));
  near.end();
  barrier.runDue(() => {
    order.push('due');
    barrier.run(() => order.push('started'));
  });
  barrier.runDue(() => order.push('due'));
  await shared.delay.wait(150);
  t.deepEqual(order, ['close', 'due', 'due', 'work 0', 'work 1', 'started']);
  server.close();
});

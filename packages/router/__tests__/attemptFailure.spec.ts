import * as net from 'node:net';
import test from 'ava';
import * as attemptFailure from '../src/upstreams/attemptFailure.js';

test.serial(
  'a probe of an upstream that accepts connections succeeds although the event loop was blocked',
  async (t) => {
    const server = net.createServer();
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    t.teardown(() => server.close());
    const { port } = server.address() as net.AddressInfo;
    // Work that follows an immediate ends in the timers of the next turn, before it polls.
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
    const probed = attemptFailure.probeUpstream(`127.0.0.1:${port}`);
    const endAtMs = performance.now() + 400;
    while (performance.now() < endAtMs);
    t.true(await probed);
  },
);

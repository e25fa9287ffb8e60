import * as http from 'node:http';
import type * as net from 'node:net';
import test from 'ava';
import * as stores from '@jayrock/stores';
import * as inputBarrier from '../src/eventLoop/inputBarrier.js';
import * as rpcClient from '../src/peers/rpcClient.js';
import * as connectionPools from '../src/upstreams/connectionPools.js';

const LOCAL_ADDRESS = '127.0.3.40';

interface Listener {
  readonly address: string;
  readonly sources: readonly (string | undefined)[];
  readonly close: () => void;
}

/** Starts a server that records the source address of each request. */
const startListener = async (): Promise<Listener> => {
  const sources: (string | undefined)[] = [];
  const server = http.createServer((request, response) => {
    sources.push(request.socket.remoteAddress);
    response.setHeader('content-type', 'application/json');
    response.end('{}');
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', () => resolve());
  });
  const { port } = server.address() as net.AddressInfo;
  return {
    address: `127.0.0.1:${port}`,
    sources,
    close: () => {
      server.closeAllConnections();
      server.close();
    },
  };
};

test('connections to peers, upstreams and the store are bound to the local address', async (t) => {
  const listener = await startListener();
  const client = rpcClient.makeRpcClient('a-secret-of-the-tests', LOCAL_ADDRESS);
  await client.call(listener.address, 'getSession', { session: 'x' });
  const pools = connectionPools.makeConnectionPools(LOCAL_ADDRESS, inputBarrier.makeInputBarrier());
  const response = await pools.get(listener.address).request({ method: 'GET', path: '/' });
  await response.body.dump();
  const store = stores.etcdStore.openEtcdStore(listener.address, LOCAL_ADDRESS);
  await store.get('key', 'other');
  await Promise.all([client.close(), pools.close(), store.close()]);
  listener.close();
  t.deepEqual(listener.sources, [LOCAL_ADDRESS, LOCAL_ADDRESS, LOCAL_ADDRESS]);
});

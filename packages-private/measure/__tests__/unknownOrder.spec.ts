import * as http from 'node:http';
import type * as net from 'node:net';
import type * as ava from 'ava';
import test from 'ava';
import * as platform from '@jayrock/platform';
import * as shared from '@jayrock/shared';
import * as standIns from '@jayrock/stand-ins';
import * as routedSite from './routedSite.js';

const K = platform.wire.KEYS;
const H = platform.wire.HEADERS;
const SESSION_COUNT = 40;
const PERIOD_S = 30;
/** Time after which a router has read all prefixes and waits for changes, in milliseconds. */
const SETTLE_MS = 1_000;

/** A way to the store on which the calls that tell of keys with a prefix can be held. */
interface StoreWay {
  readonly address: string;
  /** Holds the calls that tell of such keys unanswered from now on, also those that wait. */
  readonly hold: (prefix: string) => void;
  readonly close: () => void;
}

const startStoreWay = async (storeAddress: string): Promise<StoreWay> => {
  const target = shared.settings.parseAddress(storeAddress);
  let heldPrefix: string | null = null;
  const isHeld = (url = ''): boolean => {
    const prefix = new URL(url, 'http://store').searchParams.get('prefix');
    return (
      heldPrefix !== null &&
      prefix !== null &&
      (prefix.startsWith(heldPrefix) || heldPrefix.startsWith(prefix))
    );
  };
  const server = http.createServer((incoming, response) => {
    const { method, url, headers } = incoming;
    const outgoing = http.request({ ...target, method, path: url, headers }, (answer) => {
      const chunks: Buffer[] = [];
      answer.on('data', (chunk: Buffer) => chunks.push(chunk));
      answer.once('end', () => {
        if (!isHeld(url)) {
          response.writeHead(answer.statusCode ?? 500, answer.headers);
          response.end(Buffer.concat(chunks));
        }
      });
    });
    outgoing.on('error', () => response.destroy());
    response.once('close', () => outgoing.destroy());
    incoming.pipe(outgoing);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return {
    address: `127.0.0.1:${(server.address() as net.AddressInfo).port}`,
    hold: (prefix) => {
      heldPrefix = prefix;
    },
    close: () => {
      server.closeAllConnections();
      server.close();
    },
  };
};

/** Starts a site with one upstream of the old version and one of the new, which is not registered yet. */
const startSite = async (t: ava.ExecutionContext, ip: string) => {
  const store = await standIns.platformStore.startPlatformStore();
  const way = await startStoreWay(store.address);
  const [old, next] = await Promise.all(
    ['u-old', 'u-new'].map((id) => standIns.routedUpstream.startRoutedUpstream(id)),
  );
  if (old === undefined || next === undefined) {
    throw new Error('no upstreams');
  }
  store.put(K.configuration, routedSite.makeConfiguration(1));
  routedSite.writeUpstreamEntry(store, old, { slots: 64 });
  const router = await routedSite.startSiteRouter(ip, way.address);
  await routedSite.waitUntilReady(router);
  const agent = new http.Agent({ keepAlive: true });
  t.teardown(async () => {
    agent.destroy();
    await router.running.close();
    way.close();
    await Promise.all([old.close(), next.close(), store.close()]);
  });
  const callSessions = (name: string): Promise<readonly routedSite.CallResponse[]> =>
    Promise.all(
      Array.from({ length: SESSION_COUNT }, (_, index) =>
        routedSite.sendCall(
          router.callers,
          { path: '/read/', id: `${name}-${index}`, headers: { [H.session]: `s${index}` } },
          agent,
        ),
      ),
    );
  return { store, way, old, next, callSessions };
};

const ORDER = { service: 'desk', to: 'v2', period_s: PERIOD_S };

test('no session is moved to a new version whose upstreams are listed in time and whose order is not heard of', async (t) => {
  const { store, way, old, next, callSessions } = await startSite(t, '127.0.44.10');
  await standIns.control.wait(SETTLE_MS);
  await callSessions('before');
  t.is(old.received.length, SESSION_COUNT);
  way.hold(K.operator);
  store.put(`${K.rolloutOrders}desk`, ORDER);
  routedSite.writeUpstreamEntry(store, next, { version: 'v2', slots: 64 });
  await standIns.control.wait(SETTLE_MS);
  await callSessions('after');
  t.is(next.received.length, 0);
});

test('no session is moved to a new version whose upstreams are listed after its order', async (t) => {
  const { store, old, next, callSessions } = await startSite(t, '127.0.44.20');
  await standIns.control.wait(SETTLE_MS);
  await callSessions('before');
  t.is(old.received.length, SESSION_COUNT);
  store.put(`${K.rolloutOrders}desk`, ORDER);
  routedSite.writeUpstreamEntry(store, next, { version: 'v2', slots: 64 });
  await standIns.control.wait(SETTLE_MS);
  await callSessions('after');
  t.is(next.received.length, 0);
});

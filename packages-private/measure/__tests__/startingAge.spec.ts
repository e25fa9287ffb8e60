import * as http from 'node:http';
import test from 'ava';
import * as platform from '@jayrock/platform';
import * as standIns from '@jayrock/stand-ins';
import * as routedSite from './routedSite.js';

const K = platform.wire.KEYS;
const H = platform.wire.HEADERS;
const SESSION_COUNT = 40;
const PERIOD_S = 30;
const ORDER = { service: 'desk', to: 'v2', period_s: PERIOD_S };
const RECORD_KEY = 'jayrock/trials/desk';
const HOUR_MS = 3_600_000;
/** Time after which a router knows an order and its record, in milliseconds. */
const SETTLE_MS = 1_000;

test('a router that starts in a roll-out knows its age from its peers before it serves', async (t) => {
  const store = await standIns.platformStore.startPlatformStore();
  const [old, next] = await Promise.all(
    ['u-old', 'u-new'].map((id) => standIns.routedUpstream.startRoutedUpstream(id)),
  );
  if (old === undefined || next === undefined) {
    t.fail();
    return;
  }
  store.put(K.configuration, routedSite.makeConfiguration(1));
  routedSite.writeUpstreamEntry(store, old, { slots: 64 });
  const witness = await routedSite.startSiteRouter('127.0.71.10', store.address);
  await routedSite.waitUntilReady(witness);
  store.put(`${K.rolloutOrders}desk`, ORDER);
  await standIns.control.wait(SETTLE_MS);
  const record = JSON.parse(store.get(RECORD_KEY) ?? '{}') as { readonly startedAtMs: number };
  store.put(RECORD_KEY, { ...record, startedAtMs: record.startedAtMs - HOUR_MS });
  routedSite.writeUpstreamEntry(store, next, { version: 'v2', slots: 64 });
  await standIns.control.wait(SETTLE_MS);
  const starting = await routedSite.startSiteRouter('127.0.71.11', store.address);
  const agent = new http.Agent({ keepAlive: true });
  t.teardown(async () => {
    agent.destroy();
    await Promise.all([witness.running.close(), starting.running.close()]);
    await Promise.all([old.close(), next.close(), store.close()]);
  });
  await Promise.all(
    Array.from({ length: SESSION_COUNT }, (_, index) =>
      routedSite.sendCall(
        starting.callers,
        { path: '/read/', id: `call-${index}`, headers: { [H.session]: `s${index}` } },
        agent,
      ),
    ),
  );
  t.is(old.received.length, SESSION_COUNT);
  t.is(next.received.length, 0);
});

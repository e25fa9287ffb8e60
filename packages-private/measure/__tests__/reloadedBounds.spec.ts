import test from 'ava';
import * as shared from '@jayrock/shared';
import * as platform from '@jayrock/platform';
import * as standIns from '@jayrock/stand-ins';
import * as routedSite from './routedSite.js';
import * as routerSettings from './routerSettings.js';

const H = platform.wire.HEADERS;
/** Grace period of the changed settings, in milliseconds; that of the fixture is longer. */
const GRACE_MS = 4_000;
/** A route whose requests wait for longer than a stop takes. */
const LONG_ROUTE = {
  name: 'long',
  host: routedSite.HOST,
  prefix: '/long/',
  kind: 'unsafe',
  timeout_ms: 20_000,
  target_latency_ms: 8_000,
  priority: 1,
  service: 'desk',
  max_attempts: 2,
  public: false,
  resumable: false,
};

test.serial('a stop keeps the grace period of reloaded settings', async (t) => {
  const ip = '127.0.49.3';
  const site = await routedSite.startRoutedSite(ip, 1);
  t.teardown(site.close);
  site.store.put(
    platform.wire.KEYS.configuration,
    routedSite.makeConfiguration(2, { routes: [LONG_ROUTE] }),
  );
  await standIns.control.waitUntil(async () => {
    const { status } = await site.call({ path: '/long/', id: 'first' });
    return status === 200;
  });
  site.upstreams.forEach((upstream) => {
    upstream.behaviour = { kind: 'hang' };
  });
  site.running.reload(
    shared.settings.settingsSchema.parse(
      routerSettings.makeRouterSettings(ip, {
        kind: 'managed',
        storeAddress: site.store.address,
        bounds: { graceMs: GRACE_MS },
      }),
    ),
  );
  const answer = site.call({ path: '/long/', id: 'held', headers: { [H.deadlineMs]: '20000' } });
  await standIns.control.waitUntil(() => site.upstreams.some(({ countOpen }) => countOpen() > 0));
  const startedAtMs = performance.now();
  const stopped = site.running.stop();
  t.is((await answer).status, 504);
  t.true(performance.now() - startedAtMs < GRACE_MS);
  await stopped;
});

import * as http from 'node:http';
import type * as ava from 'ava';
import test from 'ava';
import * as platform from '@jayrock/platform';
import * as standIns from '@jayrock/stand-ins';
import * as routedSite from './routedSite.js';

const K = platform.wire.KEYS;

const POLL_PAUSE_MS = 20;
/** Time within which changes are in force after the store is back, in milliseconds. */
const IN_FORCE_MS = 2_000;
/** Time within which what operator and upstreams had written is written again, in milliseconds. */
const REWRITE_MS = 1_500;
/** Time after which a router has noticed that the store is down, in milliseconds. */
const OUTAGE_MS = 300;
/** Time after which every poll for changes has ended, in milliseconds. */
const POLL_MS = 1_700;
const REGISTRATIONS = `jayrock/routers/`;

const startSite = async (
  t: ava.ExecutionContext,
  ip: string,
  bounds: object = {},
): Promise<routedSite.RoutedSite> => {
  const site = await routedSite.startRoutedSite(ip, 2, bounds);
  t.teardown(site.close);
  return site;
};

const writeConfiguration = (
  { store }: routedSite.RoutedSite,
  version: number,
  change: object = {},
): void => store.put(K.configuration, routedSite.makeConfiguration(version, change));

const stopStore = async ({ store }: routedSite.RoutedSite): Promise<void> => {
  Object.assign(store.faults, { isBusy: true });
  await standIns.control.wait(OUTAGE_MS);
};

let callCount = 0;
const getStatus = async (
  send: (call: routedSite.Call) => Promise<routedSite.CallResponse>,
  path: string,
): Promise<number> => {
  callCount += 1;
  const { status } = await send({ path, id: `call-${callCount}` });
  return status;
};

/** Waits until a condition holds, but no longer than a time in milliseconds; returns whether it does. */
const waitAtMost = async (
  timeoutMs: number,
  isDone: () => boolean | Promise<boolean>,
): Promise<boolean> => {
  const endMs = performance.now() + timeoutMs;
  // eslint-disable-next-line no-await-in-loop -- each poll follows a pause
  while (!(await isDone())) {
    if (performance.now() > endMs) {
      return false;
    }
    // eslint-disable-next-line no-await-in-loop -- each poll follows a pause
    await standIns.control.wait(POLL_PAUSE_MS);
  }
  return true;
};

const NEW_ROUTE = {
  routes: [routedSite.makeRoute('read', 'safe'), routedSite.makeRoute('added', 'safe')],
};

test('a change is in force although its revision was given out before the store went back to a copy', async (t) => {
  const site = await startSite(t, '127.0.41.10');
  site.store.saveCopy();
  for (let index = 0; index < 20; index += 1) {
    site.registerUpstream(0, { sequence: index });
  }
  // The next polls wait for changes after these.
  await standIns.control.wait(POLL_MS);
  await stopStore(site);
  site.store.restore();
  writeConfiguration(site, 2, NEW_ROUTE);
  for (let index = 0; index < 40; index += 1) {
    site.registerUpstream(0, { sequence: index });
  }
  site.store.faults.isBusy = false;
  t.true(
    await waitAtMost(IN_FORCE_MS, async () => (await getStatus(site.call, '/added/')) === 200),
  );
});

test('a key whose withdrawal the copy lacks is refused by a router that starts before it is written again', async (t) => {
  const site = await startSite(t, '127.0.41.20');
  site.store.saveCopy();
  writeConfiguration(site, 2, { tenants: [] });
  await waitAtMost(IN_FORCE_MS, async () => (await getStatus(site.call, '/read/')) === 401);
  await stopStore(site);
  site.store.restore();
  site.store.faults.isBusy = false;
  t.is(await getStatus(site.call, '/read/'), 401);
  // The copy has the registrations of the routers that ran when it was made.
  await waitAtMost(IN_FORCE_MS, () => site.store.countKeys(REGISTRATIONS) > 0);
  const late = await routedSite.startSiteRouter('127.0.41.21', site.store.address);
  const agent = new http.Agent();
  t.teardown(async () => {
    agent.destroy();
    await late.running.close();
  });
  const statuses: number[] = [];
  await waitAtMost(REWRITE_MS, async () => {
    statuses.push(
      await getStatus((call) => routedSite.sendCall(late.callers, call, agent), '/read/'),
    );
    return false;
  });
  t.false(statuses.includes(200), JSON.stringify(statuses));
});

test('a read of the copy does not confirm keys that may have been withdrawn', async (t) => {
  const revocationMs = 1_000;
  const site = await startSite(t, '127.0.41.30', { revocationMs });
  site.store.saveCopy();
  site.store.faults.isBusy = true;
  // No poll is open any more, so the router does not see this version, and the copy lacks it.
  await standIns.control.wait(POLL_MS);
  writeConfiguration(site, 2, { tenants: [] });
  await standIns.control.wait(revocationMs);
  site.store.restore();
  site.store.faults.isBusy = false;
  const statuses: number[] = [];
  await waitAtMost(REWRITE_MS, async () => {
    statuses.push(await getStatus(site.call, '/read/'));
    return false;
  });
  t.false(statuses.includes(200), JSON.stringify(statuses));
  writeConfiguration(site, 2, { tenants: [] });
  t.true(await waitAtMost(IN_FORCE_MS, async () => (await getStatus(site.call, '/read/')) === 401));
});

test('an upstream that was leaving gets no requests when the copy lists it as ready', async (t) => {
  const site = await startSite(t, '127.0.41.40');
  site.store.saveCopy();
  site.registerUpstream(0, { state: 'draining' });
  await standIns.control.wait(OUTAGE_MS * 2);
  await stopStore(site);
  site.store.restore();
  site.store.faults.isBusy = false;
  const before = site.upstreams[0]?.received.length;
  await waitAtMost(REWRITE_MS, async () => (await getStatus(site.call, '/read/')) !== 200);
  t.is(site.upstreams[0]?.received.length, before);
});

test('a roll-out that has ended stays ended when its order and its record are lost', async (t) => {
  const site = await startSite(t, '127.0.41.50');
  const order = { service: 'desk', to: 'v1', period_s: 2 };
  const getState = (): unknown =>
    JSON.parse(site.store.get(`${K.rolloutStatus}desk`) ?? '{}').state;
  site.store.saveCopy();
  site.store.put(`${K.rolloutOrders}desk`, order);
  t.true(await waitAtMost(4_000, () => getState() === 'completed'));
  await stopStore(site);
  site.store.restore();
  site.store.faults.isBusy = false;
  await standIns.control.wait(REWRITE_MS);
  site.store.put(`${K.rolloutOrders}desk`, order);
  const states: unknown[] = [];
  t.true(
    await waitAtMost(1_000, () => {
      states.push(getState());
      return getState() === 'completed';
    }),
  );
  t.false(states.includes('running'));
});

test('a router registers again at once when its registration is lost', async (t) => {
  const site = await startSite(t, '127.0.41.60');
  site.store.saveCopy();
  await waitAtMost(IN_FORCE_MS, () => site.store.countKeys(REGISTRATIONS) === 1);
  await stopStore(site);
  site.store.restore();
  site.store.faults.isBusy = false;
  t.true(await waitAtMost(IN_FORCE_MS, () => site.store.countKeys(REGISTRATIONS) === 1));
});

import type * as ava from 'ava';
import test from 'ava';
import * as platform from '@jayrock/platform';
import * as standIns from '@jayrock/stand-ins';
import * as routedSite from './routedSite.js';
import * as threadCaller from './threadCaller.js';

const H = platform.wire.HEADERS;
/** Time after the stop signal from which a request may be cut off by no stop, in milliseconds. */
const LATE_MS = 3_000;
/** Time for which the event loop is blocked while the signal arrives, in milliseconds. */
const BLOCKED_MS = 600;
/** Time in which a request would have reached an upstream, in milliseconds. */
const SETTLED_MS = 200;

const startSite = async (t: ava.ExecutionContext, ip: string): Promise<routedSite.RoutedSite> => {
  const site = await routedSite.startRoutedSite(ip);
  site.upstreams.forEach((upstream) => {
    upstream.behaviour = { kind: 'hang' };
  });
  t.teardown(site.close);
  return site;
};

/** Sends a stream request to hanging upstreams; returns whether it reached one. */
const hasReachedUpstream = async (site: routedSite.RoutedSite): Promise<boolean> => {
  site
    .call({ path: '/talk/', id: 'late', headers: { [H.deadlineMs]: '20000' } })
    .catch(() => undefined);
  await standIns.control.wait(SETTLED_MS);
  return site.upstreams.some((upstream) => upstream.arrived.includes('late'));
};

test.serial(
  'a request that arrives late after the stop signal is refused as not run, not cut off',
  async (t) => {
    const site = await startSite(t, '127.0.31.1');
    site.running.stop().catch(() => undefined);
    // The listener is still open then.
    await standIns.control.wait(LATE_MS - 2 * SETTLED_MS);
    const response = site.call({ path: '/talk/', id: 'late' });
    await standIns.control.wait(SETTLED_MS);
    t.true(site.upstreams.every((upstream) => !upstream.arrived.includes('late')));
    const { status, headers } = await response;
    t.is(status, 503);
    t.is(headers.connection, 'close');
  },
);

test.serial(
  'a stop signal that lay unread does not lengthen the time in which requests are taken',
  async (t) => {
    const site = await startSite(t, '127.0.31.2');
    threadCaller.blockEventLoop(BLOCKED_MS);
    site.running.stop().catch(() => undefined);
    await standIns.control.wait(LATE_MS - BLOCKED_MS + SETTLED_MS / 2);
    t.false(await hasReachedUpstream(site));
  },
);

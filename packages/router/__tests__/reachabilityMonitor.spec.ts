import test from 'ava';
import type * as core from '@jayrock/core';
import * as shared from '@jayrock/shared';
import * as reachabilityMonitor from '../src/routed/reachabilityMonitor.js';
import type * as routerRuntime from '../src/routerRuntime.js';

/** Time that a probe takes to fail, in milliseconds. */
const PROBE_MS = 100;
/** Time without bytes after which an upstream with attempts has been probed, in milliseconds. */
const PROBED_MS = 700;

/** Makes a runtime that records the events of reachability. */
const makeRuntime = (
  events: core.events.UnstampedEvent[],
): Pick<routerRuntime.Runtime, 'dispatch'> => ({
  dispatch: (event) => {
    events.push(event);
  },
});

test('requests that start on an unreachable upstream do not make it count as reachable', async (t) => {
  const events: core.events.UnstampedEvent[] = [];
  const monitor = reachabilityMonitor.startReachabilityMonitor(
    makeRuntime(events) as routerRuntime.Runtime,
    {
      probe: async () => {
        await shared.delay.wait(PROBE_MS);
        return { result: 'unknown', hasChanged: false };
      },
      isRelayed: () => false,
      isCutOff: () => false,
    },
    () => undefined,
  );
  t.teardown(() => monitor.stop());
  monitor.recordStart('u-0', '127.0.0.1:1');
  await shared.delay.wait(PROBED_MS);
  monitor.recordEnd('u-0');
  const starts = setInterval(() => {
    monitor.recordStart('u-0', '127.0.0.1:1');
    monitor.recordEnd('u-0');
  }, 20);
  t.teardown(() => clearInterval(starts));
  await shared.delay.wait(PROBED_MS * 2);
  t.deepEqual(
    events.map((event) => event.type === 'reachabilityObserved' && event.isReachable),
    [false],
  );
});

import test from 'ava';
import type * as core from '@jayrock/core';
import * as shared from '@jayrock/shared';
import * as inputBarrier from '../src/eventLoop/inputBarrier.js';
import * as routedRunners from '../src/routed/routedRunners.js';

/** Time after which the request's time-out is due, in milliseconds. */
const TIMEOUT_MS = 50;
/** Time for which a request may be held past its time-out, in milliseconds. */
const HELD_MARGIN_MS = 250;
/** Requests that were read before the time-out is due, and the time that the start of each takes, in milliseconds. */
const WAITING = 40;
const START_MS = 25;

const blockLoop = (durationMs: number): void => {
  const endMs = performance.now() + durationMs;
  while (performance.now() < endMs);
};

/** Makes runners that have a barrier and record the events that they dispatch. */
const makeRunners = (
  barrier: inputBarrier.InputBarrier,
  events: core.events.UnstampedEvent[],
): ReturnType<typeof routedRunners.makeRoutedRunners> =>
  routedRunners.makeRoutedRunners({
    barrier,
    pending: new Map(),
    loop: { getRecentTurnMs: () => START_MS },
    runtime: { dispatch: (event: core.events.UnstampedEvent) => events.push(event) },
  } as unknown as routedRunners.RoutedRunnerContext);

// Time-outs waited behind all requests that had been read and not been started.
test.serial(
  'a time-out that is due does not wait for the requests that wait to be started',
  async (t) => {
    const barrier = inputBarrier.makeInputBarrier();
    const events: core.events.UnstampedEvent[] = [];
    const startedAtMs = performance.now();
    makeRunners(barrier, events).armTimer?.({
      type: 'armTimer',
      timer: { kind: 'routedTimeout', requestId: 'a', deadlineAtMs: 0 },
      delayMs: TIMEOUT_MS,
    });
    let firedAfterMs = Infinity;
    Array.from({ length: WAITING }, () => barrier.run(() => blockLoop(START_MS)));
    while (firedAfterMs === Infinity) {
      // eslint-disable-next-line no-await-in-loop -- each check follows a pause
      await shared.delay.wait(5);
      firedAfterMs = events.length > 0 ? performance.now() - startedAtMs : Infinity;
    }
    barrier.stop();
    t.true(firedAfterMs <= TIMEOUT_MS + HELD_MARGIN_MS, `${Math.round(firedAfterMs)} ms`);
  },
);

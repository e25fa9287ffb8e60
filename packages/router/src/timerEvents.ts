import type * as core from '@jayrock/core';
import type * as inputBarrier from './eventLoop/inputBarrier.js';
import type * as routerRuntime from './routerRuntime.js';

/** Whether a timer ends the wait of a request; the others start attempts, which wait like those of other requests. */
const IS_TIMEOUT: Readonly<Record<core.events.Timer['kind'], boolean>> = {
  queueDeadline: true,
  waitReview: true,
  routedTimeout: true,
  hedge: false,
  retry: false,
};

/**
 * Dispatches a timer that fired after the input that had arrived was read: an answer in time prevents its effect.
 * `countUnsent` counts the request's attempts of which nothing has been sent by then.
 */
export const dispatchTimer = (
  barrier: inputBarrier.InputBarrier,
  runtime: routerRuntime.Runtime,
  timer: core.events.Timer,
  countUnsent: () => number = () => 0,
): void => {
  const dispatch = (): void =>
    runtime.dispatch({ type: 'timerFired', timer, unsentCount: countUnsent() });
  if (IS_TIMEOUT[timer.kind]) {
    barrier.runDue(dispatch);
  } else {
    barrier.run(dispatch);
  }
};

import type * as core from '@jayrock/core';
import type * as inputBarrier from './eventLoop/inputBarrier.js';
import type * as routerRuntime from './routerRuntime.js';

/** Whether a timer ends the wait of a request; the others start attempts, which wait like those of other requests. */
const IS_TIMEOUT: Readonly<Record<core.events.Timer['kind'], boolean>> = {
  queueDeadline: true,
  routedTimeout: true,
  hedge: false,
  retry: false,
};

/** Dispatches a timer that fired after the input that had arrived was read: an answer in time prevents its effect. */
export const dispatchTimer = (
  barrier: inputBarrier.InputBarrier,
  runtime: routerRuntime.Runtime,
  timer: core.events.Timer,
): void => {
  const dispatch = (): void => runtime.dispatch({ type: 'timerFired', timer });
  if (IS_TIMEOUT[timer.kind]) {
    barrier.runDue(dispatch);
  } else {
    barrier.run(dispatch);
  }
};

import type * as inputBarrier from '../eventLoop/inputBarrier.js';

/** Notices that nothing has arrived for a time. */
export interface Watchdog {
  readonly reset: (timeoutMs: number) => void;
  readonly stop: () => void;
}

/**
 * Starts a timer that calls back unless it is reset or stopped within the timeout last given; input that had arrived by
 * then is read first, since it may do so.
 */
export const startWatchdog = (
  barrier: inputBarrier.InputBarrier,
  timeoutMs: number,
  onTimeout: () => void,
): Watchdog => {
  let timer: NodeJS.Timeout | null = null;
  const stop = (): void => {
    if (timer !== null) {
      clearTimeout(timer);
      timer = null;
    }
  };
  const reset = (nextMs: number): void => {
    stop();
    const started = setTimeout(
      () =>
        barrier.runDue(() => {
          if (timer === started) {
            timer = null;
            onTimeout();
          }
        }),
      nextMs,
    );
    timer = started;
  };
  reset(timeoutMs);
  return { reset, stop };
};

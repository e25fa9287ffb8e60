/** Returns a promise that resolves after a delay in milliseconds. */
export const wait = (delayMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });

/**
 * Makes a signal that aborts after a time in milliseconds, once input that had arrived by then has been read: when the
 * event loop was busy, timers that are due run before the next poll for I/O.
 */
export const makeTimeoutSignal = (timeoutMs: number): AbortSignal => {
  const controller = new AbortController();
  setTimeout(
    () => setImmediate(() => controller.abort(new Error(`no answer within ${timeoutMs} ms`))),
    timeoutMs,
  ).unref();
  return controller.signal;
};

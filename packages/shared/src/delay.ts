/** Returns a promise that resolves after a delay in milliseconds. */
export const wait = (delayMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });

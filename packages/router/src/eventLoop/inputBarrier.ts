/** Runs work after the input that had already arrived has been read. */
export interface InputBarrier {
  /**
   * Runs the work after a poll for I/O that begins after this call, so that it sees every close and every message
   * that had arrived before. Work started by such work runs at once.
   */
  readonly run: (work: () => void) => void;
  /**
   * Runs work that ends a wait, such as a time-out, after such a poll: ahead of the work that waits, and all of it.
   * Work that it starts waits like other work.
   */
  readonly runDue: (work: () => void) => void;
  /** Records that a connection was accepted: more may wait, and their input is read in later turns. */
  readonly recordConnection: () => void;
  readonly stop: () => void;
}

type Work = () => void;

/** Time for which work runs before the next poll, in milliseconds. */
const SLICE_MS = 20;
/** Longest time for which work waits while connections are accepted, in milliseconds. */
const MAX_ACCEPT_MS = 50;

/** Runs work from the front of a list, at least one piece of it, until the time is over, and removes what ran. */
const runUntil = (list: Work[], endAtMs: number): void => {
  let count = 0;
  try {
    while (count < list.length && (count === 0 || performance.now() < endAtMs)) {
      count += 1;
      list[count - 1]?.();
    }
  } finally {
    list.splice(0, count);
  }
};

/**
 * Creates a barrier. The event loop reads sockets in an order of its own, and one message of each a turn, so a
 * request is read before the close that followed it; it also accepts one connection a turn, so turns without work
 * empty the queue of connections.
 */
export const makeInputBarrier = (): InputBarrier => {
  let arrived: Work[] = [];
  let ready: Work[] = [];
  let dueArrived: Work[] = [];
  let dueReady: Work[] = [];
  let immediate: NodeJS.Immediate | null = null;
  let isRunning = false;
  let hasAccepted = false;
  let waitingSinceMs = 0;

  /** Runs ready work until the slice ends; the rest waits for another poll. */
  const runSlice = (): void => {
    isRunning = true;
    try {
      runUntil(ready, performance.now() + SLICE_MS);
    } finally {
      isRunning = false;
    }
  };
  const handlePolled = (): void => {
    immediate = null;
    const isAccepting = hasAccepted && performance.now() - waitingSinceMs < MAX_ACCEPT_MS;
    hasAccepted = false;
    try {
      runUntil(dueReady, Infinity);
      if (!isAccepting) {
        waitingSinceMs = performance.now();
        runSlice();
      }
    } finally {
      ready.push(...arrived);
      arrived = [];
      dueReady.push(...dueArrived);
      dueArrived = [];
      if (ready.length + dueReady.length > 0) {
        immediate = setImmediate(handlePolled);
      }
    }
  };
  const waitForPoll = (): void => {
    if (immediate === null) {
      waitingSinceMs = performance.now();
      immediate = setImmediate(handlePolled);
    }
  };
  return {
    run: (work) => {
      if (isRunning) {
        work();
        return;
      }
      waitForPoll();
      arrived.push(work);
    },
    runDue: (work) => {
      waitForPoll();
      dueArrived.push(work);
    },
    recordConnection: () => {
      hasAccepted = true;
    },
    stop: () => {
      if (immediate !== null) {
        clearImmediate(immediate);
        immediate = null;
      }
      arrived = [];
      ready = [];
      dueArrived = [];
      dueReady = [];
    },
  };
};

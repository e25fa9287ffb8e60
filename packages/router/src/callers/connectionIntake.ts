import type * as http from 'node:http';
import type * as net from 'node:net';
import type * as pino from 'pino';
import type * as loopMonitor from '../eventLoop/loopMonitor.js';

/** Takes up the connections that a server accepts. */
export interface ConnectionIntake {
  /** Hands the connections of a server to its own handling once the queue of connections is empty. */
  readonly guard: (server: http.Server, handlers: IntakeHandlers) => void;
  /** Time since connections were last taken up after their callers may have left, in milliseconds. */
  readonly getTimeSinceOverdueMs: () => number;
  /** Returns whether no accepted connection waits. */
  readonly isEmpty: () => boolean;
  readonly stop: () => void;
}

/** What is done with a server's connections. */
export interface IntakeHandlers {
  readonly handleAccepted: () => void;
  readonly handleTaken: (taken: TakenConnection) => void;
}

/** Times between which input arrived, on the monotonic clock, in milliseconds. */
export interface ArrivalInterval {
  readonly earliestMs: number;
  readonly latestMs: number;
}

/** A connection that is about to be read. */
export interface TakenConnection {
  readonly socket: net.Socket;
  /** Times between which the connection is taken to have arrived. */
  readonly arrival: ArrivalInterval;
}

/** Connections that were accepted in turns that follow each other. */
interface AcceptRun {
  /** Earliest time at which one of them can have arrived, in milliseconds. */
  readonly startedAtMs: number;
  lastAcceptedAtMs: number;
  count: number;
}

/** A connection that is accepted and not read yet. */
interface HeldConnection {
  readonly socket: net.Socket;
  readonly run: AcceptRun;
  /** Number of the run's connections before this one. */
  readonly rank: number;
  readonly acceptedAtMs: number;
  /** Starts to read the connection. */
  readonly take: (arrival: ArrivalInterval) => void;
}

/** Longest time for which connections are accepted before those that are held are read, in milliseconds. */
const MAX_HOLD_MS = 250;
/** Time for which held connections are taken up before the next poll, in milliseconds. */
const SLICE_MS = 20;
/** Wait from which connections are reported as late, in milliseconds. */
const LATE_MS = 250;
/** Wait after which callers of requests that may be repeated leave a connection that is not read, in milliseconds. */
const MAX_UNREAD_MS = 1_000;
/** Time by which a connection can have arrived before or after its estimated arrival, in milliseconds. */
const ARRIVAL_MARGIN_MS = 500;

/**
 * Estimates when a connection of a run arrived, in milliseconds: they wait in the order of their arrival, which is taken
 * to be spread evenly over the run.
 */
export const estimateArrivalMs = (run: Readonly<AcceptRun>, rank: number): number =>
  run.startedAtMs + ((rank + 0.5) / run.count) * (run.lastAcceptedAtMs - run.startedAtMs);

/** Limits when a held connection arrived: not before its run, nor after it was accepted. */
const estimateArrival = ({ run, rank, acceptedAtMs }: HeldConnection): ArrivalInterval => {
  const estimatedAtMs = Math.min(acceptedAtMs, estimateArrivalMs(run, rank));
  return {
    earliestMs: Math.max(run.startedAtMs, estimatedAtMs - ARRIVAL_MARGIN_MS),
    latestMs: Math.min(acceptedAtMs, estimatedAtMs + ARRIVAL_MARGIN_MS),
  };
};

/**
 * Creates an intake. The event loop accepts one connection a turn, so that after a long turn the others wait for as many
 * turns as there are connections before them. Once a run is late, connections are therefore accepted without being read until
 * a turn accepts none; those accepted in turns that follow each other can all have arrived since the first of these turns.
 */
export const makeConnectionIntake = (
  loop: loopMonitor.LoopMonitor,
  log: pino.Logger,
): ConnectionIntake => {
  let held: HeldConnection[] = [];
  /** Connections that are taken up next, in the order of their arrival. */
  let ready: HeldConnection[] = [];
  let immediate: NodeJS.Immediate | null = null;
  let lastTurn = -Infinity;
  let run: AcceptRun = { startedAtMs: 0, lastAcceptedAtMs: 0, count: 0 };
  let holdingSinceMs = 0;
  let hasAccepted = false;
  let overdueAtMs = -Infinity;

  const takeConnection = (connection: HeldConnection): void =>
    connection.take(estimateArrival(connection));
  const releaseHeld = (nowMs: number): void => {
    const [first] = held;
    const waitedMs = first === undefined ? 0 : nowMs - first.run.startedAtMs;
    if (waitedMs > LATE_MS) {
      log.warn({ count: held.length, waitedMs: Math.round(waitedMs) }, 'connections taken up late');
    }
    if (first !== undefined && nowMs - estimateArrivalMs(first.run, first.rank) > MAX_UNREAD_MS) {
      overdueAtMs = nowMs;
    }
    ready.push(...held);
    held = [];
  };
  const takeSlice = (nowMs: number): void => {
    let count = 0;
    while (count < ready.length && (count === 0 || performance.now() < nowMs + SLICE_MS)) {
      const next = ready[count];
      if (next !== undefined) {
        takeConnection(next);
      }
      count += 1;
    }
    ready.splice(0, count);
  };
  const handlePolled = (): void => {
    immediate = null;
    const nowMs = performance.now();
    const isAccepting = hasAccepted && nowMs - holdingSinceMs < MAX_HOLD_MS;
    hasAccepted = false;
    if (!isAccepting) {
      releaseHeld(nowMs);
      takeSlice(nowMs);
      holdingSinceMs = performance.now();
    }
    if (held.length + ready.length > 0) {
      immediate = setImmediate(handlePolled);
    }
  };
  const hold = (socket: net.Socket, take: HeldConnection['take']): void => {
    const turn = loop.getTurn();
    const nowMs = performance.now();
    const isFirst = turn - lastTurn > 1 || loop.hasWaited();
    lastTurn = turn;
    if (isFirst) {
      run = { startedAtMs: nowMs - loop.getInputAgeMs(), lastAcceptedAtMs: nowMs, count: 0 };
    }
    const connection: HeldConnection = { socket, run, rank: run.count, acceptedAtMs: nowMs, take };
    run.count += 1;
    run.lastAcceptedAtMs = nowMs;
    // A run that is not late is read as it comes.
    if (immediate === null && (isFirst || nowMs - run.startedAtMs < LATE_MS)) {
      connection.take({ earliestMs: nowMs - loop.getInputAgeMs(), latestMs: nowMs });
      return;
    }
    hasAccepted = true;
    held.push(connection);
    if (immediate === null) {
      holdingSinceMs = nowMs;
      immediate = setImmediate(handlePolled);
    }
  };
  return {
    guard: (server, { handleAccepted, handleTaken }) => {
      const listeners = server.listeners('connection');
      server.removeAllListeners('connection');
      // Node.js reads this property when it accepts a connection; a paused one is not read before it is resumed.
      Object.assign(server, { pauseOnConnect: true });
      server.on('connection', (socket: net.Socket) => {
        handleAccepted();
        hold(socket, (arrival) => {
          handleTaken({ socket, arrival });
          listeners.forEach((listener) => listener.call(server, socket));
          socket.resume();
        });
      });
    },
    getTimeSinceOverdueMs: () => performance.now() - overdueAtMs,
    isEmpty: () => held.length + ready.length === 0,
    stop: () => {
      if (immediate !== null) {
        clearImmediate(immediate);
        immediate = null;
      }
      [...held, ...ready].forEach(({ socket }) => socket.destroy());
      held = [];
      ready = [];
    },
  };
};

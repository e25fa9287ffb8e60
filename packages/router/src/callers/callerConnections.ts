import type * as http from 'node:http';
import type * as net from 'node:net';
import * as shared from '@jayrock/shared';
import type * as inputBarrier from '../eventLoop/inputBarrier.js';
import type * as loopMonitor from '../eventLoop/loopMonitor.js';
import type * as bufferBudget from '../upstreams/bufferBudget.js';
import type * as connectionIntake from './connectionIntake.js';
import type * as crowdRecord from './crowdRecord.js';
import * as requestQueue from './requestQueue.js';

/** Follows callers' connections, to know when requests arrived and whether their callers still wait. */
export interface CallerConnections {
  /** Follows the connections that a server accepts. */
  readonly follow: (server: http.Server) => void;
  /** Earliest time at which a request that was read can have arrived, on the monotonic clock, in milliseconds. */
  readonly getArrivalMs: (response: http.ServerResponse) => number;
  /** Time by which a request can have arrived later than `getArrivalMs` said when it was read, in milliseconds. */
  readonly getArrivalDoubtMs: (response: http.ServerResponse) => number;
  /** Admits a request that was read, after the input that had arrived with it. */
  readonly admit: (response: http.ServerResponse, handlers: AdmissionHandlers) => void;
  /** Lets each connection end with the answer that it waits for, or with its next one. */
  readonly release: () => void;
  /**
   * Closes the listener, and each connection once nothing that was read on it is unanswered. Run `release` before.
   */
  readonly drain: (server: http.Server) => void;
  /**
   * Resolves when all that was read is answered and the answers are written, or when `isOver` does; in the same turn
   * of the event loop no further input has been read.
   */
  readonly waitAnswered: (isOver: () => boolean) => Promise<void>;
}

/** Bounds on what callers' connections may take. */
export interface ConnectionBounds {
  /** Connections that may be open. */
  readonly maxConnections: number;
  readonly buffers: bufferBudget.BufferBudget;
  readonly crowd: crowdRecord.CrowdRecord;
}

/** What happens to a request that was read. */
export interface AdmissionHandlers {
  /** Starts the request: its caller still waits. */
  readonly start: () => void;
  /** Drops the request: its caller left before it was started, or cannot get its answer on this connection. */
  readonly abandon: () => void;
  /** Called once if the caller leaves after the start and before the response has ended. */
  readonly handleGone: () => void;
}

/** A followed connection. */
interface CallerConnection {
  /** Turn in which the connection was taken up; its first input is read in the next one. */
  readonly takenInTurn: number;
  readonly arrival: connectionIntake.ArrivalInterval;
  isClosed: boolean;
  readonly handlers: Set<() => void>;
  /** Answers to requests whose head was read, until they are written. */
  readonly unwritten: Set<http.ServerResponse>;
  /** Bytes that had been read when the last answer was written; more of them are a part of the next request. */
  answeredBytes: number;
  /** When input was last read, on the monotonic clock, in milliseconds. */
  lastInputAtMs: number;
  /** Hands input to the server's parser. */
  parse: (bytes: Buffer) => void;
  readonly queue: requestQueue.RequestQueue;
}

/** Interval at which a draining server checks for open answers, in milliseconds. */
const DRAIN_POLL_MS = 25;

/** Share of the connections that may be open up to which they are accepted. */
const ACCEPTED_SHARE = 1.25;

/** Creates a record of callers' connections, which is empty at first. */
export const makeCallerConnections = (
  loop: loopMonitor.LoopMonitor,
  barrier: inputBarrier.InputBarrier,
  intake: connectionIntake.ConnectionIntake,
  bounds: ConnectionBounds,
): CallerConnections => {
  const { maxConnections, buffers, crowd } = bounds;
  const connections = new Map<net.Socket, CallerConnection>();
  const arrivals = new WeakMap<http.ServerResponse, connectionIntake.ArrivalInterval>();
  let isReleasing = false;
  let isDraining = false;
  const isIdle = (socket: net.Socket, { unwritten, answeredBytes }: CallerConnection): boolean =>
    unwritten.size === 0 && socket.bytesRead === answeredBytes;
  /** Closes a connection unless the input that has arrived begins a request. */
  const closeIdle = (socket: net.Socket, connection: CallerConnection): void =>
    barrier.run(() => {
      if (isIdle(socket, connection)) {
        socket.destroySoon();
      }
    });
  const isComplete = ({ req }: http.ServerResponse): boolean => req.complete;
  /** Closes the connection without a whole request that has been silent for longest; returns whether there is one. */
  const cutSilent = (): boolean => {
    let silent: net.Socket | null = null;
    let silentSinceMs = Infinity;
    connections.forEach(({ unwritten, lastInputAtMs }, socket) => {
      if (lastInputAtMs < silentSinceMs && !Array.from(unwritten).some(isComplete)) {
        silent = socket;
        silentSinceMs = lastInputAtMs;
      }
    });
    const found = silent as net.Socket | null;
    if (found !== null) {
      connections.delete(found);
      found.destroy();
    }
    return found !== null;
  };
  /** Makes room for a connection, or closes it if all others are being answered. */
  const admitConnection = (socket: net.Socket): void => {
    if (connections.size >= maxConnections) {
      crowd.record('tooManyConnections');
      if (!cutSilent()) {
        socket.destroy();
      }
    }
  };
  const followConnection = ({ socket, arrival }: connectionIntake.TakenConnection): void => {
    admitConnection(socket);
    const connection: CallerConnection = {
      takenInTurn: loop.getTurn(),
      arrival,
      isClosed: false,
      handlers: new Set(),
      unwritten: new Set(),
      answeredBytes: 0,
      lastInputAtMs: performance.now(),
      parse: () => undefined,
      queue: requestQueue.makeRequestQueue(buffers, {
        parse: (bytes) => connection.parse(bytes),
        pause: () => socket.pause(),
        resume: () => socket.resume(),
        cut: () => {
          crowd.record('sentAhead');
          socket.destroy();
        },
      }),
    };
    const close = (): void => {
      connection.isClosed = true;
      connection.handlers.forEach((handleClose) => handleClose());
    };
    // The end of a caller's input is noticed turns before the response's own `close`.
    socket.once('end', close);
    socket.once('close', () => {
      connections.delete(socket);
      connection.queue.close();
      close();
      // Node.js tells only the answer that is being written.
      Array.from(connection.unwritten)
        .filter((response) => response.socket === null)
        .forEach((response) => response.emit('close'));
    });
    connections.set(socket, connection);
  };
  /** Lets the input of a connection pass its queue before the server's parser gets it. */
  const followInput = (socket: net.Socket): void => {
    const connection = connections.get(socket);
    if (connection === undefined) {
      return;
    }
    const parsers = socket.listeners('data');
    socket.removeAllListeners('data');
    connection.parse = (bytes) => parsers.forEach((parse) => parse.call(socket, bytes));
    socket.on('data', (bytes: Buffer) => {
      connection.lastInputAtMs = performance.now();
      connection.queue.addInput(bytes);
    });
  };
  /**
   * Ends a connection with the last answer that it waits for: one before it would cut off those after it. An answer
   * whose head is written has announced whether it is the last.
   */
  const releaseConnection = ({ unwritten, queue }: CallerConnection): void => {
    const responses = Array.from(unwritten);
    const last = responses.at(-1);
    responses
      .filter(({ headersSent }) => !headersSent)
      .forEach((response) => {
        response.shouldKeepAlive = response !== last || queue.countHeldBytes() > 0;
      });
  };
  /** Limits when the input that is read now arrived. */
  const estimateArrival = (socket: net.Socket): connectionIntake.ArrivalInterval => {
    const nowMs = performance.now();
    const earliestMs = nowMs - loop.getInputAgeMs();
    const connection = connections.get(socket);
    // Input that came with its connection waited for both to be read.
    return connection !== undefined && loop.getTurn() - connection.takenInTurn <= 1
      ? { ...connection.arrival, earliestMs: Math.min(earliestMs, connection.arrival.earliestMs) }
      : { earliestMs, latestMs: nowMs };
  };
  const getArrival = (response: http.ServerResponse): connectionIntake.ArrivalInterval =>
    arrivals.get(response) ?? estimateArrival(response.req.socket);
  const followRequest = ({ socket }: http.IncomingMessage, response: http.ServerResponse): void => {
    arrivals.set(response, estimateArrival(socket));
    const connection = connections.get(socket);
    if (connection === undefined) {
      return;
    }
    connection.unwritten.add(response);
    if (isReleasing) {
      releaseConnection(connection);
    }
    response.once('close', () => {
      connection.unwritten.delete(response);
      connection.answeredBytes = socket.bytesRead - connection.queue.countHeldBytes();
      connection.queue.handleAnswered();
      if (isDraining) {
        closeIdle(socket, connection);
      }
    });
  };
  const isAnswered = (): boolean =>
    intake.isEmpty() &&
    Array.from(connections.values()).every(({ unwritten }) => unwritten.size === 0);
  // A pipelined request's response has no socket of its own yet, its request has.
  const isClosed = ({ destroyed, req }: http.ServerResponse): boolean =>
    destroyed || req.socket.destroyed || connections.get(req.socket)?.isClosed === true;
  /** Returns whether an answer before this one has announced that it is the connection's last. */
  const isCutOff = (response: http.ServerResponse): boolean =>
    Array.from(connections.get(response.req.socket)?.unwritten ?? []).some(
      (other) => other !== response && other.headersSent && !other.shouldKeepAlive,
    );
  const watchClose = (response: http.ServerResponse, handleGone: () => void): void => {
    const handlers = connections.get(response.req.socket)?.handlers;
    // The end of the input and the response's `close` may both come; the first one counts.
    const closeOnce = (): void => {
      if (handlers?.delete(closeOnce) !== false && !response.writableFinished) {
        handleGone();
      }
    };
    handlers?.add(closeOnce);
    response.once('close', closeOnce);
  };
  return {
    follow: (server) => {
      // Runs after the server's own listener, which sets up the parser.
      server.on('connection', followInput);
      intake.guard(server, {
        handleAccepted: barrier.recordConnection,
        handleTaken: followConnection,
      });
      // Connections that were accepted and are not taken up yet count too.
      Object.assign(server, { maxConnections: Math.ceil(maxConnections * ACCEPTED_SHARE) });
      const listeners = server.listeners('request');
      server.removeAllListeners('request');
      server.on('request', (request: http.IncomingMessage, response: http.ServerResponse) => {
        followRequest(request, response);
        const start = (): void =>
          listeners.forEach((listener) => listener.call(server, request, response));
        const queue = connections.get(request.socket)?.queue;
        if (queue === undefined) {
          start();
        } else {
          queue.add(start);
        }
      });
      // Node.js takes a connection as idle while the end of its answer is not written yet.
      Object.assign(server, {
        closeIdleConnections: () =>
          connections.forEach((found, socket) => closeIdle(socket, found)),
      });
    },
    getArrivalMs: (response) => getArrival(response).earliestMs,
    getArrivalDoubtMs: (response) => {
      const { earliestMs, latestMs } = getArrival(response);
      return latestMs - earliestMs;
    },
    admit: (response, handlers) =>
      barrier.run(() => {
        if (isClosed(response) || isCutOff(response)) {
          handlers.abandon();
          return;
        }
        watchClose(response, handlers.handleGone);
        handlers.start();
      }),
    release: () => {
      isReleasing = true;
      connections.forEach(releaseConnection);
    },
    drain: (server) => {
      isDraining = true;
      server.close();
    },
    waitAnswered: async (isOver) => {
      do {
        // eslint-disable-next-line no-await-in-loop -- each check follows a pause
        await shared.delay.wait(DRAIN_POLL_MS);
        // eslint-disable-next-line no-await-in-loop -- and what had arrived until then
        await new Promise<void>((resolve) => {
          barrier.run(resolve);
        });
      } while (!isAnswered() && !isOver());
    },
  };
};

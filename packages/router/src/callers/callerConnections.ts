import type * as http from 'node:http';
import type * as net from 'node:net';
import type * as inputBarrier from '../eventLoop/inputBarrier.js';
import type * as loopMonitor from '../eventLoop/loopMonitor.js';

/** Follows callers' connections, to know when requests arrived and whether their callers still wait. */
export interface CallerConnections {
  /** Follows the connections that a server accepts. */
  readonly follow: (server: http.Server) => void;
  /** Earliest time at which the input that is read now can have arrived, on the monotonic clock, in milliseconds. */
  readonly getArrivalMs: (socket: net.Socket) => number;
  /** Admits a request that was read, after the input that had arrived with it. */
  readonly admit: (response: http.ServerResponse, handlers: AdmissionHandlers) => void;
}

/** What happens to a request that was read. */
export interface AdmissionHandlers {
  /** Starts the request: its caller still waits. */
  readonly start: () => void;
  /** Drops the request: its caller left before it was started. */
  readonly abandon: () => void;
  /** Called once if the caller leaves after the start and before the response has ended. */
  readonly handleGone: () => void;
}

/** A followed connection. */
interface CallerConnection {
  readonly acceptedInTurn: number;
  /** Earliest time at which the connection can have arrived, in milliseconds. */
  readonly arrivedAtMs: number;
  isClosed: boolean;
  readonly handlers: Set<() => void>;
}

/** Creates a record of callers' connections, which is empty at first. */
export const makeCallerConnections = (
  loop: loopMonitor.LoopMonitor,
  barrier: inputBarrier.InputBarrier,
): CallerConnections => {
  const connections = new WeakMap<net.Socket, CallerConnection>();
  const acceptConnection = (socket: net.Socket): void => {
    barrier.recordConnection();
    const connection: CallerConnection = {
      acceptedInTurn: loop.getTurn(),
      arrivedAtMs: performance.now() - loop.getInputAgeMs(),
      isClosed: false,
      handlers: new Set(),
    };
    const close = (): void => {
      connection.isClosed = true;
      connection.handlers.forEach((handleClose) => handleClose());
    };
    // The end of a caller's input is noticed turns before the response's own `close`.
    socket.once('end', close);
    socket.once('close', close);
    connections.set(socket, connection);
  };
  // A pipelined request's response has no socket of its own yet, its request has.
  const isClosed = ({ destroyed, req }: http.ServerResponse): boolean =>
    destroyed || req.socket.destroyed || connections.get(req.socket)?.isClosed === true;
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
      server.on('connection', acceptConnection);
    },
    getArrivalMs: (socket) => {
      const arrivedAtMs = performance.now() - loop.getInputAgeMs();
      const connection = connections.get(socket);
      // Input that came with its connection waited for both to be read.
      return connection !== undefined && loop.getTurn() - connection.acceptedInTurn <= 1
        ? Math.min(arrivedAtMs, connection.arrivedAtMs)
        : arrivedAtMs;
    },
    admit: (response, handlers) =>
      barrier.run(() => {
        if (isClosed(response)) {
          handlers.abandon();
          return;
        }
        watchClose(response, handlers.handleGone);
        handlers.start();
      }),
  };
};

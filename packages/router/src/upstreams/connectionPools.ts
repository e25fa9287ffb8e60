import type * as net from 'node:net';
import * as undici from 'undici';
import type * as inputBarrier from '../eventLoop/inputBarrier.js';
import * as relayEnd from '../relays/relayEnd.js';
import * as bufferBudget from './bufferBudget.js';
import * as socketReset from './socketReset.js';

/** Connect timeout, in milliseconds; live upstreams accept within a few milliseconds. */
const CONNECT_TIMEOUT_MS = 400;
/** Time for which an idle connection is kept open, in milliseconds. */
const KEEP_ALIVE_MS = 4_000;
/** Largest number of connections to one upstream. */
const MAX_CONNECTIONS = 1_024;

/** Connection pools, one for each upstream address. */
export interface ConnectionPools {
  readonly get: (address: string) => undici.Pool;
  /** Replaces the pool of an address, because its open connections may be dead. */
  readonly renew: (address: string) => void;
  /**
   * Returns whether the connection of the answer that is just ending was reset. A reset that arrives together with the
   * last bytes of an answer without a length looks like its normal end; only this check distinguishes the two.
   */
  readonly wasReset: () => boolean;
  /**
   * Verifies that the connection of the answer that is just ending was ended by its upstream; null if no peer relays
   * it, so that the end is the upstream's own.
   */
  readonly verifyEnd: () => Promise<boolean> | null;
  /** Lets what has arrived on the connections be read before work starts. */
  readonly barrier: inputBarrier.InputBarrier;
  /** Memory for answers that wait until they can be passed on. */
  readonly buffers: bufferBudget.BufferBudget;
  readonly close: () => Promise<void>;
}

/** Options of a request whose answer may be paused. */
export interface PausableOptions extends undici.Dispatcher.DispatchOptions {
  /**
   * Called before the library handles the end of the connection, when all bytes have been handed on. A paused answer
   * has to be resumed then, since the library fails at the end of one that is paused and has no length.
   */
  readonly onConnectionEnd?: () => void;
  /** Returns the bytes of the answer's body that have been handed on. */
  readonly countBodyBytes?: () => number;
  /** Called when the upstream has sent too much that is no body, such as a head or trailers without end. */
  readonly onExcess?: (bytes: number) => void;
}

/** Bytes of an answer beside its body that are accepted. */
const MAX_EXTRA_BYTES = 262_144;
/** The same for each byte of the body, which may come in small chunks. */
const EXTRA_PER_BODY_BYTE = 8;

type Connector = ReturnType<typeof undici.buildConnector>;

/** Tracks the connection that ends in the current turn of the event loop, if any. */
interface ClosingConnection {
  readonly record: (socket: net.Socket) => void;
  readonly wasReset: () => boolean;
  readonly verifyEnd: () => Promise<boolean> | null;
}

/** Code of an error that the library takes for the end of an answer without a length. */
const RESET_CODE = 'ECONNRESET';
/** Code with which the library fails the answer. */
const BROKEN_CODE = 'EPIPE';

/**
 * Makes the library fail an answer whose connection was reset: it would take the reset for the end of an answer without
 * a length, and would fail itself while such an answer is paused.
 */
const markBroken = (error: NodeJS.ErrnoException): void => {
  if (error.code === RESET_CODE) {
    Object.assign(error, { code: BROKEN_CODE });
  }
};

const makeClosingConnection = (): ClosingConnection => {
  let closing: net.Socket | null = null;
  return {
    record: (socket) => {
      closing = socket;
      queueMicrotask(() => {
        closing = null;
      });
    },
    wasReset: () => closing !== null && socketReset.isReset(closing),
    verifyEnd: () => (closing === null ? null : relayEnd.verifyEnd(closing)),
  };
};

/** Opens connections to upstreams on another path than the router's own. */
export interface ConnectionPaths {
  /** Opens a connection to an address through a peer; returns null if the router uses its own path. */
  readonly openRelayed: (address: string) => Promise<net.Socket> | null;
}

/** Paths of a router that has no peers. */
const OWN_PATHS: ConnectionPaths = { openRelayed: () => null };

/**
 * Wraps the library's connector, so that a close is recorded before the library handles it, and a new connection is
 * used only after the input that had arrived has been read: the request may no longer be wanted.
 */
const makeConnector = (
  closing: ClosingConnection,
  barrier: inputBarrier.InputBarrier,
  paths: ConnectionPaths,
): Connector => {
  const connect = undici.buildConnector({ timeout: CONNECT_TIMEOUT_MS });
  return (options, done) => {
    const finish: undici.buildConnector.Callback = (...result) => {
      const [, socket] = result;
      socket?.on('error', markBroken);
      socket?.on('end', () => closing.record(socket));
      barrier.run(() => done(...result));
    };
    const relayed = paths.openRelayed(`${options.hostname}:${options.port}`);
    if (relayed === null) {
      connect(options, finish);
    } else {
      relayed.then(
        (socket) => finish(null, socket),
        (error: Error) => finish(error, null),
      );
    }
  };
};

/** Opens the client of one connection, which serves one request at a time. */
const openClient = (origin: URL, options: undici.Client.Options): undici.Client => {
  const { connect } = options;
  let current: PausableOptions | null = null;
  let socket: net.Socket | null = null;
  let bytesBefore = 0;
  const client = new undici.Client(origin, {
    ...options,
    connect: (target, done) => {
      if (typeof connect === 'function') {
        connect(target, (...result) => {
          const [, opened] = result;
          socket = opened;
          bytesBefore = 0;
          opened?.on('end', () => current?.onConnectionEnd?.());
          // The parser passes over some of what it reads without a bound and without notice.
          opened?.on('readable', () => {
            const bodyBytes = current?.countBodyBytes?.() ?? Infinity;
            const extraBytes = opened.bytesRead - bytesBefore - bodyBytes;
            if (extraBytes > MAX_EXTRA_BYTES + bodyBytes * EXTRA_PER_BODY_BYTE) {
              current?.onExcess?.(extraBytes);
            }
          });
          done(...result);
        });
      }
    },
  });
  const dispatch = client.dispatch.bind(client);
  client.dispatch = (request, handler) => {
    current = request;
    bytesBefore = socket?.bytesRead ?? 0;
    return dispatch(request, handler);
  };
  return client;
};

const openPool = (address: string, localAddress: string, connect: Connector): undici.Pool =>
  new undici.Pool(`http://${address}`, {
    connections: MAX_CONNECTIONS,
    localAddress,
    connect,
    factory: openClient,
    keepAliveTimeout: KEEP_ALIVE_MS,
    headersTimeout: 0,
    bodyTimeout: 0,
  });

/** Makes an empty set of connection pools. */
export const makeConnectionPools = (
  localAddress: string,
  barrier: inputBarrier.InputBarrier,
  paths: ConnectionPaths = OWN_PATHS,
  buffers: bufferBudget.BufferBudget = bufferBudget.makeBufferBudget(),
): ConnectionPools => {
  const pools = new Map<string, undici.Pool>();
  const closing = makeClosingConnection();
  const connect = makeConnector(closing, barrier, paths);
  const get = (address: string): undici.Pool => {
    const pool = pools.get(address) ?? openPool(address, localAddress, connect);
    pools.set(address, pool);
    return pool;
  };
  return {
    get,
    renew: (address) => {
      const previous = pools.get(address);
      pools.delete(address);
      // Answers in flight on the old connections are still completed.
      previous?.close().catch(() => undefined);
    },
    wasReset: closing.wasReset,
    verifyEnd: closing.verifyEnd,
    barrier,
    buffers,
    close: async () => {
      await Promise.all(Array.from(pools.values()).map((pool) => pool.destroy()));
      pools.clear();
    },
  };
};

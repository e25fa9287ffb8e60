import type * as net from 'node:net';
import * as stream from 'node:stream';
import * as undici from 'undici';

/** Time to open a connection, in milliseconds; live upstreams accept within a few. */
const CONNECT_TIMEOUT_MS = 400;
/** Time an idle connection is kept, in milliseconds. */
const KEEP_ALIVE_MS = 4_000;
/** Connections to one upstream. */
const MAX_CONNECTIONS = 1_024;

/** Connection pools, one for each upstream address. */
export interface ConnectionPools {
  readonly get: (address: string) => undici.Pool;
  /** Opens new connections from now on, because open ones may have gone silent. */
  readonly renew: (address: string) => void;
  /**
   * Tells, while an answer ends, whether its connection was reset. The libraries take a reset for the
   * end of an answer that has no length; only this tells the two apart.
   */
  readonly wasReset: () => boolean;
  readonly close: () => Promise<void>;
}

type Connector = ReturnType<typeof undici.buildConnector>;

/** The connection that ends in the present turn of the event loop, if there is one. */
interface Ending {
  readonly note: (socket: net.Socket, hasFailed: boolean) => void;
  readonly wasReset: () => boolean;
}

/** Empty line that a server ignores before a request. */
const EMPTY_LINE = '\r\n';

/**
 * Tells whether the other side has reset a connection that seems to have ended well. When the reset
 * arrives together with the last bytes, the event loop reports a plain end; a write fails all the same.
 */
const isBroken = (socket: net.Socket): boolean => {
  if (socket.errored === null && !socket.destroyed) {
    // The socket's own method refuses to write after an end.
    stream.Writable.prototype.write.call(socket, EMPTY_LINE, 'latin1');
  }
  return socket.errored !== null;
};

const makeEnding = (): Ending => {
  let ending: { readonly socket: net.Socket; readonly hasFailed: boolean } | null = null;
  return {
    note: (socket, hasFailed) => {
      ending = { socket, hasFailed };
      queueMicrotask(() => {
        ending = null;
      });
    },
    wasReset: () => ending !== null && (ending.hasFailed || isBroken(ending.socket)),
  };
};

/** Wraps the library's connector so that an end is noticed before the library handles it. */
const makeConnector = (ending: Ending): Connector => {
  const connect = undici.buildConnector({ timeout: CONNECT_TIMEOUT_MS });
  return (options, done) =>
    connect(options, (...result) => {
      const [, socket] = result;
      socket?.on('error', () => ending.note(socket, true));
      socket?.on('end', () => ending.note(socket, false));
      done(...result);
    });
};

const openPool = (address: string, localAddress: string, connect: Connector): undici.Pool =>
  new undici.Pool(`http://${address}`, {
    connections: MAX_CONNECTIONS,
    localAddress,
    connect,
    keepAliveTimeout: KEEP_ALIVE_MS,
    headersTimeout: 0,
    bodyTimeout: 0,
  });

/** Makes an empty set of connection pools. */
export const makeConnectionPools = (localAddress: string): ConnectionPools => {
  const pools = new Map<string, undici.Pool>();
  const ending = makeEnding();
  const connect = makeConnector(ending);
  const get = (address: string): undici.Pool => {
    const known = pools.get(address) ?? openPool(address, localAddress, connect);
    pools.set(address, known);
    return known;
  };
  return {
    get,
    renew: (address) => {
      const old = pools.get(address);
      pools.delete(address);
      // Answers under way on the old connections still end there.
      old?.close().catch(() => undefined);
    },
    wasReset: ending.wasReset,
    close: async () => {
      await Promise.all(Array.from(pools.values()).map((pool) => pool.destroy()));
      pools.clear();
    },
  };
};

import * as undici from 'undici';

/** Time to open a connection, in milliseconds; live upstreams accept within a few. */
const CONNECT_TIMEOUT_MS = 400;
/** Time an idle connection is kept, in milliseconds. */
const KEEP_ALIVE_MS = 4_000;
/** Connections to one upstream. */
const MAX_CONNECTIONS = 1_024;

/** Connection pools, one for each upstream address. */
export interface Agents {
  readonly get: (address: string) => undici.Pool;
  /** Opens new connections from now on, because open ones may have gone silent. */
  readonly renew: (address: string) => void;
  /**
   * Tells whether a connection is being reset right now. The library takes an answer that ends with
   * a reset for whole if it ends with its connection; only this tells the two apart.
   */
  readonly isResetting: () => boolean;
  readonly close: () => Promise<void>;
}

type Connector = ReturnType<typeof undici.buildConnector>;

/** Wraps the library's connector so that a reset is noticed before the library handles it. */
const makeConnector = (onReset: () => void): Connector => {
  const connect = undici.buildConnector({ timeout: CONNECT_TIMEOUT_MS });
  return (options, done) =>
    connect(options, (...result) => {
      result[1]?.on('error', onReset);
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
export const makeAgents = (localAddress: string): Agents => {
  const pools = new Map<string, undici.Pool>();
  let isResetting = false;
  const connect = makeConnector(() => {
    isResetting = true;
    queueMicrotask(() => {
      isResetting = false;
    });
  });
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
    isResetting: () => isResetting,
    close: async () => {
      await Promise.all(Array.from(pools.values()).map((pool) => pool.destroy()));
      pools.clear();
    },
  };
};

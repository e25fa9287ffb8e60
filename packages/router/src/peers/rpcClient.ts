import * as shared from '@jayrock/shared';
import * as jsonRpc from 'json-rpc-2.0';
import * as undici from 'undici';
import type * as messages from './messages.js';
import * as signature from './signature.js';

/** Default timeout of a call, in milliseconds. */
export const CALL_TIMEOUT_MS = 500;
/** Connect timeout, in milliseconds. */
const CONNECT_TIMEOUT_MS = 500;
/** Largest number of connections to one peer; waits for changes of the store hold one each. */
const MAX_CONNECTIONS = 8;
/** Time for which an idle connection is kept open, in milliseconds. */
const KEEP_ALIVE_MS = 4_000;

/** JSON-RPC client for calls to other routers. */
export interface RpcClient {
  /** Calls a peer; resolves to null if the call fails or times out. */
  readonly call: <M extends messages.PeerMethod>(
    address: string,
    method: M,
    params: messages.PeerParams<M>,
    timeoutMs?: number,
  ) => Promise<messages.PeerResult<M> | null>;
  /** Returns the bytes of bodies sent and received since the start. */
  readonly countBytes: () => number;
  readonly close: () => Promise<void>;
}

/** Wraps a result, to distinguish a null result from a failed call. */
interface Reply<T> {
  readonly value: T;
}

/** Makes a client that signs its calls with the routers' shared secret. */
export const makeRpcClient = (secret: string, localAddress: string): RpcClient => {
  const agent = new undici.Agent({
    connections: MAX_CONNECTIONS,
    pipelining: 1,
    keepAliveTimeout: KEEP_ALIVE_MS,
    localAddress,
    connect: { timeout: CONNECT_TIMEOUT_MS },
  });
  let bytes = 0;
  const send = async (address: string, body: string, timeoutMs: number): Promise<string> => {
    const response = await undici.request(`http://${address}/rpc`, {
      method: 'POST',
      dispatcher: agent,
      headers: {
        'content-type': 'application/json',
        [signature.SIGNATURE_HEADER]: signature.signMessage(body, secret, Date.now()),
      },
      body,
      signal: shared.delay.makeTimeoutSignal(timeoutMs),
    });
    return response.body.text();
  };
  const request = async (
    address: string,
    method: string,
    params: object,
    timeoutMs: number,
  ): Promise<Reply<unknown> | null> => {
    const client: jsonRpc.JSONRPCClient = new jsonRpc.JSONRPCClient(async (payload) => {
      const body = JSON.stringify(payload);
      const text = await send(address, body, timeoutMs);
      bytes += body.length + text.length;
      client.receive(JSON.parse(text));
      client.rejectAllPendingRequests('the reply belongs to another call');
    });
    try {
      return { value: await client.request(method, params) };
    } catch {
      return null;
    }
  };
  return {
    call: async <M extends messages.PeerMethod>(
      address: string,
      method: M,
      params: messages.PeerParams<M>,
      timeoutMs = CALL_TIMEOUT_MS,
    ) => {
      const reply = await request(address, method, params, timeoutMs);
      return reply === null ? null : (reply.value as messages.PeerResult<M>);
    },
    countBytes: () => bytes,
    close: () => agent.destroy(),
  };
};

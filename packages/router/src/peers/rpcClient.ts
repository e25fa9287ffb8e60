import * as shared from '@jayrock/shared';
import * as jsonRpc from 'json-rpc-2.0';
import * as undici from 'undici';
import * as heartbeat from './heartbeat.js';
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

/** Signs of life that are due in the time after which a peer counts as silent. */
const SIGNS_PER_SILENCE = 2;

/** JSON-RPC client for calls to other routers. */
export interface RpcClient {
  /** Calls a peer; resolves to null if the call fails or times out. */
  readonly call: <M extends messages.PeerMethod>(
    address: string,
    method: M,
    params: messages.PeerParams<M>,
    timeoutMs?: number,
  ) => Promise<messages.PeerResult<M> | null>;
  /**
   * Calls a peer that may hold the call; resolves to null as well if the peer gives no sign of life for a time in
   * milliseconds.
   */
  readonly callHeld: <M extends messages.PeerMethod>(
    address: string,
    method: M,
    params: messages.PeerParams<M>,
    timeoutMs: number,
    silenceMs: number,
  ) => Promise<messages.PeerResult<M> | null>;
  /** Returns whether a peer gives signs of life while it holds a call; false until it has answered such a call. */
  readonly hasHeartbeat: (address: string) => boolean;
  /** Returns the bytes of bodies sent and received since the start. */
  readonly countBytes: () => number;
  readonly close: () => Promise<void>;
}

/** Wraps a result, to distinguish a null result from a failed call. */
interface Reply<T> {
  readonly value: T;
}

/** Sends the body of a call and returns that of its reply. */
type Send = (address: string, body: string, timeoutMs: number) => Promise<string>;

/** Makes a client that signs its calls with the routers' shared secret. */
export const makeRpcClient = (secret: string, localAddress: string): RpcClient => {
  const agent = new undici.Agent({
    connections: MAX_CONNECTIONS,
    pipelining: 1,
    keepAliveTimeout: KEEP_ALIVE_MS,
    localAddress,
    connect: { timeout: CONNECT_TIMEOUT_MS },
  });
  /** Addresses of peers that give signs of life while they hold a call. */
  const withHeartbeat = new Set<string>();
  /** Calls that peers hold, by address. */
  const heldCalls = new Map<string, heartbeat.HeldCalls>();
  let bytes = 0;
  const post = (
    address: string,
    body: string,
    signal: AbortSignal,
    headers: Readonly<Record<string, string>> = {},
  ): Promise<undici.Dispatcher.ResponseData> =>
    undici.request(`http://${address}/rpc`, {
      method: 'POST',
      dispatcher: agent,
      headers: {
        'content-type': 'application/json',
        [signature.SIGNATURE_HEADER]: signature.signMessage(body, secret, Date.now()),
        ...headers,
      },
      body,
      signal,
    });
  const send: Send = async (address, body, timeoutMs) => {
    const response = await post(address, body, shared.delay.makeTimeoutSignal(timeoutMs));
    return response.body.text();
  };
  const sendHeld =
    (silenceMs: number): Send =>
    async (address, body, timeoutMs) => {
      const controller = new AbortController();
      const peer = heldCalls.get(address) ?? heartbeat.makeHeldCalls(silenceMs);
      heldCalls.set(address, peer);
      const held = peer.open(() => controller.abort(new Error('the peer is silent')));
      const timer = setTimeout(() => setImmediate(() => controller.abort()), timeoutMs).unref();
      const interval = String(Math.round(silenceMs / SIGNS_PER_SILENCE));
      try {
        const response = await post(
          address,
          body,
          controller.signal,
          held.asksForSigns ? { [heartbeat.HEARTBEAT_HEADER]: interval } : {},
        );
        held.recordSign();
        if (response.headers[heartbeat.HEARTBEAT_HEADER] !== undefined) {
          withHeartbeat.add(address);
        } else if (held.asksForSigns) {
          withHeartbeat.delete(address);
        }
        const chunks: Buffer[] = [];
        for await (const chunk of response.body) {
          held.recordSign();
          chunks.push(chunk as Buffer);
        }
        return Buffer.concat(chunks).toString('utf8');
      } catch (error) {
        // A process of another build may take over the address.
        withHeartbeat.delete(address);
        throw error;
      } finally {
        clearTimeout(timer);
        held.end();
      }
    };
  const request = async (
    address: string,
    method: string,
    params: object,
    timeoutMs: number,
    sendBody: Send,
  ): Promise<Reply<unknown> | null> => {
    const client: jsonRpc.JSONRPCClient = new jsonRpc.JSONRPCClient(async (payload) => {
      const body = JSON.stringify(payload);
      const text = await sendBody(address, body, timeoutMs);
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
      const reply = await request(address, method, params, timeoutMs, send);
      return reply === null ? null : (reply.value as messages.PeerResult<M>);
    },
    callHeld: async <M extends messages.PeerMethod>(
      address: string,
      method: M,
      params: messages.PeerParams<M>,
      timeoutMs: number,
      silenceMs: number,
    ) => {
      const reply = await request(address, method, params, timeoutMs, sendHeld(silenceMs));
      return reply === null ? null : (reply.value as messages.PeerResult<M>);
    },
    hasHeartbeat: (address) => withHeartbeat.has(address),
    countBytes: () => bytes,
    close: () => agent.destroy(),
  };
};

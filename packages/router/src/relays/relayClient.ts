import * as http from 'node:http';
import type * as net from 'node:net';
import * as shared from '@jayrock/shared';
import type * as rpcClient from '../peers/rpcClient.js';
import * as signature from '../peers/signature.js';
import * as attemptFailure from '../upstreams/attemptFailure.js';
import * as relayEnd from './relayEnd.js';

/** Protocol name with which a connection between routers becomes one to an upstream. */
export const RELAY_PROTOCOL = 'jayrock-relay';
/** Path prefix of a relay; the id of the upstream follows. */
export const RELAY_PREFIX = '/relay/';
/** Header with the id by which the router that opens a relay asks for its end. */
export const RELAY_ID_HEADER = 'x-relay-id';
/**
 * Header with the start time of the process to which a relay is to send, or `unknown`. Only a router that sends it is
 * refused a relay to a process that leaves; probes and routers of older builds, which learn the path by it, are not.
 */
export const RELAY_PROCESS_HEADER = 'x-relay-process';
/** Header of a refusal that says why a relay that could be opened is not. */
export const RELAY_REFUSAL_HEADER = 'x-relay-refusal';
/** Value of that header if the process leaves, as far as the peer knows. */
export const REFUSAL_LEAVING = 'leaving';

/** Time for a connection through a peer to be established, in milliseconds. */
const RELAY_TIMEOUT_MS = 400;

/** What a relay is opened for: to send to a process of known or unknown start time, or to learn whether it stands. */
export type RelayUse =
  { readonly kind: 'send'; readonly bornAtMs: number | null } | { readonly kind: 'probe' };

/** Opens a connection to an upstream through a peer; rejects if that fails, and nothing was sent then. */
export type OpenRelay = (peer: string, upstreamId: string, use?: RelayUse) => Promise<net.Socket>;

/** Use of a relay that names no start time. */
const DEFAULT_USE: RelayUse = { kind: 'send', bornAtMs: null };

/** Names a process by its start time, as the header of a relay does. */
export const nameProcess = (bornAtMs: number | null): string => String(bornAtMs ?? 'unknown');

/** Error of a connection that could not be established, with the code that marks its request as unsent. */
const makeRelayError = (reason: string): Error =>
  Object.assign(new Error(`relay not opened: ${reason}`), { code: 'EHOSTUNREACH' });

/** Error of a relay that a peer refused because the process leaves; the peer and the upstream are sound. */
const makeLeavingError = (): Error =>
  Object.assign(new Error('relay not opened: the upstream leaves'), {
    code: attemptFailure.LEAVING_CODE,
  });

/** Makes the function that opens relays; calls are signed with the routers' shared secret. */
export const makeRelayClient =
  (secret: string, localAddress: string, client: Pick<rpcClient.RpcClient, 'call'>): OpenRelay =>
  (peer, upstreamId, use = DEFAULT_USE) =>
    new Promise((resolve, reject) => {
      const relayId = shared.requestId.makeRequestId();
      const path = `${RELAY_PREFIX}${encodeURIComponent(upstreamId)}`;
      const request = http.request({
        ...shared.settings.parseAddress(peer),
        localAddress,
        agent: false,
        path,
        headers: {
          connection: 'upgrade',
          upgrade: RELAY_PROTOCOL,
          [RELAY_ID_HEADER]: relayId,
          ...(use.kind === 'send' ? { [RELAY_PROCESS_HEADER]: nameProcess(use.bornAtMs) } : {}),
          [signature.SIGNATURE_HEADER]: signature.signMessage(path, secret, Date.now()),
        },
        signal: shared.delay.makeTimeoutSignal(RELAY_TIMEOUT_MS),
      });
      request.once('upgrade', (_, socket, head) => {
        relayEnd.trackRelay(socket, socket.bytesRead - head.length, async () => {
          const reply = await client.call(peer, 'getRelayEnd', { relayId });
          return reply?.bytes ?? null;
        });
        if (head.length > 0) {
          socket.unshift(head);
        }
        resolve(socket);
      });
      request.once('response', (response) => {
        response.resume();
        const isLeaving = response.headers[RELAY_REFUSAL_HEADER] === REFUSAL_LEAVING;
        reject(isLeaving ? makeLeavingError() : makeRelayError(`status ${response.statusCode}`));
      });
      request.once('error', (error) => reject(makeRelayError(error.message)));
      request.end();
    });

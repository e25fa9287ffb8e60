import * as http from 'node:http';
import type * as net from 'node:net';
import * as shared from '@jayrock/shared';
import type * as rpcClient from '../peers/rpcClient.js';
import * as signature from '../peers/signature.js';
import * as relayEnd from './relayEnd.js';

/** Protocol name with which a connection between routers becomes one to an upstream. */
export const RELAY_PROTOCOL = 'jayrock-relay';
/** Path prefix of a relay; the id of the upstream follows. */
export const RELAY_PREFIX = '/relay/';
/** Header with the id by which the router that opens a relay asks for its end. */
export const RELAY_ID_HEADER = 'x-relay-id';

/** Time for a connection through a peer to be established, in milliseconds. */
const RELAY_TIMEOUT_MS = 400;

/** Opens a connection to an upstream through a peer; rejects if that fails, and nothing was sent then. */
export type OpenRelay = (peer: string, upstreamId: string) => Promise<net.Socket>;

/** Error of a connection that could not be established, with the code that marks its request as unsent. */
const makeRelayError = (reason: string): Error =>
  Object.assign(new Error(`relay not opened: ${reason}`), { code: 'EHOSTUNREACH' });

/** Makes the function that opens relays; calls are signed with the routers' shared secret. */
export const makeRelayClient =
  (secret: string, localAddress: string, client: Pick<rpcClient.RpcClient, 'call'>): OpenRelay =>
  (peer, upstreamId) =>
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
        reject(makeRelayError(`status ${response.statusCode}`));
      });
      request.once('error', (error) => reject(makeRelayError(error.message)));
      request.end();
    });

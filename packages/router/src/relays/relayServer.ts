import type * as http from 'node:http';
import * as net from 'node:net';
import * as core from '@jayrock/core';
import * as shared from '@jayrock/shared';
import type * as pino from 'pino';
import * as inputBarrier from '../eventLoop/inputBarrier.js';
import * as signature from '../peers/signature.js';
import type * as routerRuntime from '../routerRuntime.js';
import * as socketReset from '../upstreams/socketReset.js';
import * as relayClient from './relayClient.js';
import type * as relayEnd from './relayEnd.js';

/** Dependencies of the relays that a router offers to its peers. */
export interface RelayContext {
  readonly runtime: routerRuntime.Runtime;
  readonly log: pino.Logger;
  readonly secret: string;
  readonly localAddress: string;
  readonly ends: relayEnd.RelayEnds;
  /** Returns whether this router reaches an address on its own path; it must not relay through yet another peer. */
  readonly hasOwnPath: (address: string) => boolean;
  /** Returns whether this router is stopping, so that it opens no more relays. */
  readonly isLeaving: () => boolean;
}

/** The relays that a router holds for its peers. */
export interface RelayServer {
  /** Returns the number of open relays. */
  readonly countOpen: () => number;
  /**
   * Resolves when all relays have ended and the peers have asked for their ends, or when `isOver` returns true; the peers
   * end those that carry no answer.
   */
  readonly drain: (isOver: () => boolean) => Promise<void>;
  /** Cuts all relays with a reset, which a peer cannot take for the end of an answer. */
  readonly close: () => void;
}

/** Interval at which a stopping router checks its relays, in milliseconds. */
const DRAIN_POLL_MS = 50;

/** Time for a connection to the upstream, in milliseconds; shorter than the peer waits for the relay. */
const CONNECT_TIMEOUT_MS = 300;
/** Largest number of relays at a time, which bounds descriptors and memory. */
const MAX_RELAYS = 512;

const REFUSAL =
  'HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n';
const LEAVING_REFUSAL = REFUSAL.replace(
  '\r\n\r\n',
  `\r\n${relayClient.RELAY_REFUSAL_HEADER}: ${relayClient.REFUSAL_LEAVING}\r\n\r\n`,
);
const ACCEPTANCE = `HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: ${relayClient.RELAY_PROTOCOL}\r\n\r\n`;

/** Passes the bytes of one connection on to another when `run` runs the work, with backpressure. */
const forwardBytes = (
  from: net.Socket,
  to: net.Socket,
  run: inputBarrier.InputBarrier['run'],
): void => {
  from.on('data', (bytes) =>
    run(() => {
      if (to.writable && !to.write(bytes)) {
        from.pause();
      }
    }),
  );
  to.on('drain', () => from.resume());
};

/**
 * Joins a peer's connection with one to an upstream. The peer must be able to tell an answer that ends from one that is
 * reset, and the upstream that the peer left, so both ends are passed on as they came. What the peer sent is passed on
 * after the input that had arrived has been read, unless the peer has given it up.
 */
const joinConnections = (
  peer: net.Socket,
  upstream: net.Socket,
  barrier: inputBarrier.InputBarrier,
  handleEnd: (bytes: number) => void,
): void => {
  [peer, upstream].forEach((socket) => socket.setNoDelay(true));
  forwardBytes(peer, upstream, barrier.run);
  forwardBytes(upstream, peer, (work) => work());
  upstream.once('end', () => {
    if (socketReset.isReset(upstream)) {
      peer.resetAndDestroy();
    } else {
      handleEnd(upstream.bytesRead);
      peer.end();
    }
  });
  upstream.once('error', () => peer.resetAndDestroy());
  upstream.once('close', () => {
    if (!peer.writableEnded) {
      peer.resetAndDestroy();
    }
  });
  peer.once('end', () => upstream.destroy());
  peer.once('error', () => upstream.destroy());
  peer.once('close', () => upstream.destroy());
};

/** Offers relays to upstreams on the peers' listener: to those in the host list, with a valid signature. */
export const serveRelays = (server: http.Server, context: RelayContext): RelayServer => {
  const { runtime, log, secret, localAddress } = context;
  const open = new Set<net.Socket>();
  const barrier = inputBarrier.makeInputBarrier();
  const findHost = (request: http.IncomingMessage): shared.hosts.Host | null => {
    const path = request.url ?? '';
    const signed = String(request.headers[signature.SIGNATURE_HEADER] ?? '');
    if (
      request.headers.upgrade !== relayClient.RELAY_PROTOCOL ||
      !path.startsWith(relayClient.RELAY_PREFIX) ||
      !signature.verifyMessage(path, signed, secret, Date.now())
    ) {
      return null;
    }
    const id = decodeURIComponent(path.slice(relayClient.RELAY_PREFIX.length));
    return runtime.getState().upstreams.get(id)?.host ?? null;
  };
  /** Returns whether a peer wants to send to a process that leaves, as far as this router knows. */
  const isForLeaving = (request: http.IncomingMessage, host: shared.hosts.Host): boolean =>
    host.state === 'leaving' &&
    request.headers[relayClient.RELAY_PROCESS_HEADER] ===
      relayClient.nameProcess(host.bornAtMs ?? null);
  /** Returns whether the operator has evacuated the zone of an upstream; not even a probe connects to it then. */
  const isEvacuated = (host: shared.hosts.Host | null): boolean =>
    host !== null && core.evacuatedZones.isEvacuated(runtime.getState(), host.id);
  server.on('upgrade', (request: http.IncomingMessage, socket: net.Socket, head: Buffer) => {
    socket.on('error', (error) => log.debug({ error }, 'relay broken by its peer'));
    const host = findHost(request);
    const address = host?.address ?? null;
    if (host !== null && isForLeaving(request, host)) {
      log.info({ address }, 'relay refused, the upstream leaves');
      socket.end(LEAVING_REFUSAL);
      return;
    }
    if (isEvacuated(host)) {
      log.info({ address, zone: host?.zone }, 'relay refused, the zone is evacuated');
      // A peer that does not know yet rests the upstream for a while; its probes, and former builds, learn no reason.
      const isSend = request.headers[relayClient.RELAY_PROCESS_HEADER] !== undefined;
      socket.end(isSend ? LEAVING_REFUSAL : REFUSAL);
      return;
    }
    const mayOpen =
      address !== null &&
      open.size < MAX_RELAYS &&
      !context.isLeaving() &&
      context.hasOwnPath(address);
    if (!mayOpen) {
      log.info({ address, open: open.size }, 'relay refused');
      socket.end(REFUSAL);
      return;
    }
    open.add(socket);
    socket.once('close', () => open.delete(socket));
    const upstream = net.connect({
      ...shared.settings.parseAddress(address),
      localAddress,
      timeout: CONNECT_TIMEOUT_MS,
    });
    const refuse = (): void => {
      upstream.destroy();
      socket.end(REFUSAL);
    };
    const refuseLate = (): void => {
      // A connection that was established while the event loop was busy is noticed at its next poll.
      setImmediate(() => {
        if (upstream.connecting) {
          refuse();
        }
      });
    };
    upstream.once('error', refuse);
    upstream.once('timeout', refuseLate);
    socket.once('close', () => upstream.destroy());
    upstream.once('connect', () => {
      if (isEvacuated(host)) {
        refuse();
        return;
      }
      upstream.setTimeout(0);
      upstream.off('error', refuse);
      upstream.off('timeout', refuseLate);
      socket.write(ACCEPTANCE);
      if (head.length > 0) {
        socket.unshift(head);
      }
      const relayId = request.headers[relayClient.RELAY_ID_HEADER];
      joinConnections(socket, upstream, barrier, (bytes) => {
        // Routers of older versions send no id.
        if (typeof relayId === 'string') {
          context.ends.record(relayId, bytes);
        }
      });
    });
  });
  return {
    countOpen: () => open.size,
    drain: async (isOver) => {
      while ((open.size > 0 || context.ends.hasUnasked()) && !isOver()) {
        // eslint-disable-next-line no-await-in-loop -- each check follows a pause
        await shared.delay.wait(DRAIN_POLL_MS);
      }
    },
    close: () => {
      if (open.size > 0) {
        log.info({ open: open.size }, 'relays cut');
      }
      barrier.stop();
      open.forEach((socket) => socket.resetAndDestroy());
    },
  };
};

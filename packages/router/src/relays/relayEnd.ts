import type * as net from 'node:net';

/** Asks the peer of a relay after how many bytes the upstream ended its connection; null if it cannot tell. */
export type AskEnd = () => Promise<number | null>;

/** Ends of the relays that a router has offered. */
export interface RelayEnds {
  /** Records that the upstream has ended its connection after a number of bytes. */
  readonly record: (relayId: string, bytes: number) => void;
  /** Returns the number of bytes after which the upstream ended its connection; null if it has not. */
  readonly find: (relayId: string) => number | null;
  /** Returns whether a peer may still ask for an end that was recorded recently. */
  readonly hasUnasked: () => boolean;
}

/** End of a relay. */
interface RecordedEnd {
  readonly bytes: number;
  readonly recordedAtMs: number;
  isAsked: boolean;
}

/** Time for which the end of a relay is kept for its peer, in milliseconds. */
const KEPT_MS = 10_000;
/** Time in which a peer that needs an end asks for it although it is busy, in milliseconds. */
const MAX_ASK_MS = 1_000;

/** Makes an empty record of ends. */
export const makeRelayEnds = (): RelayEnds => {
  const ends = new Map<string, RecordedEnd>();
  return {
    record: (relayId, bytes) => {
      ends.set(relayId, { bytes, recordedAtMs: performance.now(), isAsked: false });
      setTimeout(() => ends.delete(relayId), KEPT_MS).unref();
    },
    find: (relayId) => {
      const end = ends.get(relayId);
      if (end === undefined) {
        return null;
      }
      end.isAsked = true;
      return end.bytes;
    },
    hasUnasked: () =>
      Array.from(ends.values()).some(
        ({ recordedAtMs, isAsked }) => !isAsked && performance.now() - recordedAtMs < MAX_ASK_MS,
      ),
  };
};

interface RelayedConnection {
  readonly askEnd: AskEnd;
  /** Value of the socket's `bytesRead` before the first byte of the upstream. */
  readonly bytesBefore: number;
}

const relayed = new WeakMap<net.Socket, RelayedConnection>();

/** Registers a connection that a peer relays. */
export const trackRelay = (socket: net.Socket, bytesBefore: number, askEnd: AskEnd): void => {
  relayed.set(socket, { askEnd, bytesBefore });
};

/**
 * Verifies that the end of a relayed connection is the upstream's own, and that all its bytes have arrived: the kernel
 * also ends the connections of a peer that was killed. Returns null for a connection that no peer relays.
 */
export const verifyEnd = (socket: net.Socket): Promise<boolean> | null => {
  const connection = relayed.get(socket);
  if (connection === undefined) {
    return null;
  }
  const bytes = socket.bytesRead - connection.bytesBefore;
  return connection.askEnd().then((endBytes) => endBytes === bytes);
};

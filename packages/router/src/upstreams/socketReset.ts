import type * as net from 'node:net';
import * as stream from 'node:stream';

/** Empty line, which servers ignore before a request line. */
const EMPTY_LINE = '\r\n';

/**
 * Returns whether the peer has reset a connection that seems to have ended normally. If the reset arrives
 * together with the last bytes, the event loop reports a normal end, but a write still fails. It would only be queued
 * behind a request that is still being sent, but a connection that was reset has no peer, which is looked up here first.
 */
export const isReset = (socket: net.Socket): boolean => {
  if (socket.errored === null && !socket.destroyed) {
    if (socket.writableLength > 0) {
      return socket.remoteAddress === undefined;
    }
    // `socket.write` itself rejects writes after an end.
    stream.Writable.prototype.write.call(socket, EMPTY_LINE, 'latin1');
  }
  return socket.errored !== null;
};

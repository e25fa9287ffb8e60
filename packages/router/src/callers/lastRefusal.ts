import type * as http from 'node:http';

/** Bytes of a refused body that are read and dropped, so that its sender comes to read the refusal. */
const MAX_DROPPED_BYTES = 262_144;
/** Time for which the connection stays open after the refusal, in milliseconds. */
const LINGER_MS = 1_000;

/**
 * Writes a refusal of a request whose body is not read to its end, and closes the connection. A close before the input was
 * read would reset the connection and can destroy the refusal on its way, so a part of it is dropped first.
 */
export const writeLastRefusal = (
  request: http.IncomingMessage,
  response: http.ServerResponse,
  status: number,
  headers: Readonly<Record<string, string>>,
  body: string,
): void => {
  response.shouldKeepAlive = false;
  response.writeHead(status, { ...headers, 'content-length': Buffer.byteLength(body) });
  response.write(body);
  let droppedBytes = 0;
  const timer = setTimeout(() => response.end(), LINGER_MS);
  response.once('close', () => clearTimeout(timer));
  request.on('data', (piece: Buffer) => {
    droppedBytes += piece.length;
    if (droppedBytes > MAX_DROPPED_BYTES) {
      request.pause();
    }
  });
  request.once('end', () => response.end());
  request.resume();
};

import * as net from 'node:net';
import * as platform from '@jayrock/platform';

const H = platform.wire.HEADERS;
const HEAD_END = '\r\n\r\n';

/** A stand-in of an upstream whose answers are written as bytes, whatever is still owed on the connection. */
export interface RawUpstream {
  readonly address: string;
  readonly close: () => Promise<void>;
}

/** Answers one request; `stamps` are header lines that name the request and sign the answer. */
export type RawAnswer = (socket: net.Socket, requestId: string, stamps: string) => void;

const readRequestId = (head: string): string => {
  const line = head.split('\r\n').find((text) => text.toLowerCase().startsWith(`${H.requestId}:`));
  return (line ?? '').slice(H.requestId.length + 1).trim();
};

/** Starts a stand-in that takes requests without a body. */
export const startRawUpstream = async (id: string, answer: RawAnswer): Promise<RawUpstream> => {
  const sockets = new Set<net.Socket>();
  const server = net.createServer((socket) => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
    socket.on('error', () => undefined);
    let text = '';
    socket.on('data', (bytes) => {
      const heads = (text + bytes.toString('latin1')).split(HEAD_END);
      text = heads.pop() ?? '';
      heads.forEach((head) => {
        const requestId = readRequestId(head);
        answer(socket, requestId, `${H.requestId}: ${requestId}\r\n${H.stamp}: of-${id}\r\n`);
      });
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as net.AddressInfo;
  return {
    address: `127.0.0.1:${port}`,
    close: async () => {
      sockets.forEach((socket) => socket.destroy());
      await new Promise((resolve) => {
        server.close(resolve);
      });
    },
  };
};

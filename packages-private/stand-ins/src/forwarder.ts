import * as net from 'node:net';

/** A TCP forwarder that can block connections by source address. */
export interface Forwarder {
  readonly address: string;
  /** Blocks only these source addresses from now on and breaks their open connections. */
  readonly block: (sources: ReadonlySet<string>) => void;
  /** Refuses new connections from now on; the open ones break or transfer nothing more. */
  readonly cut: (how: 'break' | 'hang') => void;
  /** Accepts connections again after a cut; those that hang break. */
  readonly restore: () => Promise<void>;
  /** Returns the number of connections that were accepted. */
  readonly countAccepted: () => number;
  readonly close: () => void;
}

/** Starts a forwarder that listens on an address and connects to a target. */
export const startForwarder = (
  from: { readonly host: string; readonly port: number },
  target: { readonly host: string; readonly port: number },
): Promise<Forwarder> => {
  let blockedSources: ReadonlySet<string> = new Set();
  const open = new Map<net.Socket, string>();
  const outgoingBy = new Map<net.Socket, net.Socket>();
  let accepted = 0;
  const server = net.createServer((incoming) => {
    accepted += 1;
    const source = incoming.remoteAddress ?? '';
    if (blockedSources.has(source)) {
      incoming.destroy();
      return;
    }
    const outgoing = net.connect(target);
    open.set(incoming, source);
    outgoingBy.set(incoming, outgoing);
    incoming.pipe(outgoing);
    outgoing.pipe(incoming);
    const close = (): void => {
      open.delete(incoming);
      outgoingBy.delete(incoming);
      incoming.destroy();
      outgoing.destroy();
    };
    [incoming, outgoing].forEach((socket) => socket.on('error', close).on('close', close));
  });
  return new Promise((resolve) => {
    server.listen(from.port, from.host, () =>
      resolve({
        address: `${from.host}:${from.port}`,
        block: (sources) => {
          blockedSources = sources;
          open.forEach((source, socket) => {
            if (sources.has(source)) {
              socket.destroy();
            }
          });
        },
        cut: (how) => {
          server.close();
          open.forEach((_, socket) => {
            if (how === 'break') {
              socket.destroy();
            } else {
              socket.unpipe();
              outgoingBy.get(socket)?.unpipe();
            }
          });
        },
        restore: () => {
          open.forEach((_, socket) => socket.destroy());
          return new Promise((restored) => {
            server.listen(from.port, from.host, () => restored());
          });
        },
        countAccepted: () => accepted,
        close: () => {
          open.forEach((_, socket) => socket.destroy());
          server.close();
        },
      }),
    );
  });
};

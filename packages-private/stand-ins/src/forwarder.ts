import * as net from 'node:net';

/** A TCP forwarder that can block connections by source address. */
export interface Forwarder {
  readonly address: string;
  /** Blocks only these source addresses from now on and breaks their open connections. */
  readonly block: (sources: ReadonlySet<string>) => void;
  readonly close: () => void;
}

/** Starts a forwarder that listens on an address and connects to a target. */
export const startForwarder = (
  from: { readonly host: string; readonly port: number },
  target: { readonly host: string; readonly port: number },
): Promise<Forwarder> => {
  let blockedSources: ReadonlySet<string> = new Set();
  const open = new Map<net.Socket, string>();
  const server = net.createServer((incoming) => {
    const source = incoming.remoteAddress ?? '';
    if (blockedSources.has(source)) {
      incoming.destroy();
      return;
    }
    const outgoing = net.connect(target);
    open.set(incoming, source);
    incoming.pipe(outgoing);
    outgoing.pipe(incoming);
    const close = (): void => {
      open.delete(incoming);
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
        close: () => {
          open.forEach((_, socket) => socket.destroy());
          server.close();
        },
      }),
    );
  });
};

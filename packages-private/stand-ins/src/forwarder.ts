import * as net from 'node:net';

/** Carries connections to a target until it is told to cut some hosts off. */
export interface Forwarder {
  readonly address: string;
  /** Cuts off the hosts with these addresses, open connections included. */
  readonly block: (sources: ReadonlySet<string>) => void;
  readonly close: () => void;
}

/** Starts a forwarder from an address to a target. */
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
    const end = (): void => {
      open.delete(incoming);
      incoming.destroy();
      outgoing.destroy();
    };
    [incoming, outgoing].forEach((socket) => socket.on('error', end).on('close', end));
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

import * as net from 'node:net';
import * as workerThreads from 'node:worker_threads';
import * as shared from '@jayrock/shared';

/** A caller that runs in a thread of its own, so that it sends and leaves while the router's event loop is blocked. */
export interface ThreadCaller {
  /** Opens connections that stay open. */
  readonly connect: (count: number) => Promise<void>;
  /** Sends one request on each open connection, and closes them all after a time in milliseconds. */
  readonly sendAndLeave: (requests: readonly string[], afterMs: number) => void;
  /** Sends one request on each open connection. */
  readonly send: (requests: readonly string[]) => void;
  /** Returns what each connection has received, now or after a time in milliseconds. */
  readonly takeAnswers: (afterMs?: number) => Promise<readonly string[]>;
  /** Closes all open connections. */
  readonly leave: () => void;
  readonly close: () => Promise<void>;
}

type Order =
  | { readonly kind: 'connect'; readonly address: string; readonly count: number }
  | { readonly kind: 'send'; readonly requests: readonly string[]; readonly address: string }
  | { readonly kind: 'report'; readonly afterMs: number }
  | { readonly kind: 'leave'; readonly afterMs: number };

const openSocket = (address: string): net.Socket => {
  const socket = net.connect(shared.settings.parseAddress(address));
  socket.on('error', () => undefined);
  return socket;
};

const serveOrders = (port: workerThreads.MessagePort): void => {
  let sockets: net.Socket[] = [];
  const answers = new WeakMap<net.Socket, string>();
  const followSocket = (socket: net.Socket): net.Socket =>
    socket.on('data', (bytes: Buffer) => {
      answers.set(socket, (answers.get(socket) ?? '') + bytes.toString('latin1'));
    });
  port.on('message', (order: Order) => {
    if (order.kind === 'connect') {
      sockets = Array.from({ length: order.count }, () => followSocket(openSocket(order.address)));
      Promise.all(
        sockets.map(
          (socket) =>
            new Promise((resolve) => {
              socket.once('connect', resolve);
            }),
        ),
      )
        .then(() => port.postMessage('connected'))
        .catch(() => undefined);
    } else if (order.kind === 'send') {
      order.requests.forEach((text, index) => {
        sockets[index] ??= followSocket(openSocket(order.address));
        sockets[index]?.write(text);
      });
    } else if (order.kind === 'report') {
      setTimeout(
        () => port.postMessage(sockets.map((socket) => answers.get(socket) ?? '')),
        order.afterMs,
      );
    } else {
      setTimeout(() => {
        sockets.forEach((socket) => socket.end().destroySoon());
        sockets = [];
      }, order.afterMs);
    }
  });
};

if (workerThreads.parentPort !== null && workerThreads.workerData === 'threadCaller') {
  serveOrders(workerThreads.parentPort);
  workerThreads.parentPort.postMessage('ready');
}

/** Starts a caller of the router at an address; its thread is running when the promise resolves. */
export const startThreadCaller = async (address: string): Promise<ThreadCaller> => {
  const worker = new workerThreads.Worker(new URL(import.meta.url), {
    workerData: 'threadCaller',
  });
  await new Promise((resolve) => {
    worker.once('message', resolve);
  });
  const post = (order: Order): void => worker.postMessage(order);
  return {
    connect: (count) =>
      new Promise((resolve) => {
        worker.once('message', () => resolve());
        post({ kind: 'connect', address, count });
      }),
    sendAndLeave: (requests, afterMs) => {
      post({ kind: 'send', requests, address });
      post({ kind: 'leave', afterMs });
    },
    send: (requests) => post({ kind: 'send', requests, address }),
    takeAnswers: (afterMs = 0) =>
      new Promise((resolve) => {
        worker.once('message', resolve);
        post({ kind: 'report', afterMs });
      }),
    leave: () => post({ kind: 'leave', afterMs: 0 }),
    close: async () => {
      await worker.terminate();
    },
  };
};

/** Blocks this thread's event loop for a time in milliseconds. */
export const blockEventLoop = (durationMs: number): void => {
  const endAtMs = performance.now() + durationMs;
  while (performance.now() < endAtMs);
};

import * as http from 'node:http';
import * as net from 'node:net';
import type * as ava from 'ava';
import test from 'ava';
import * as pino from 'pino';
import * as shared from '@jayrock/shared';
import * as connectionIntake from '../src/callers/connectionIntake.js';
import * as loopMonitor from '../src/eventLoop/loopMonitor.js';

const LOCAL = '127.0.0.1';
/** Length of each turn, in milliseconds. */
const TURN_MS = 30;
/** Time by which a connection may have arrived before its request counts as arrived, in milliseconds. */
const MARGIN_MS = 500;
const SETTLED_MS = 500;

const blockLoop = (durationMs: number): void => {
  const endMs = performance.now() + durationMs;
  while (performance.now() < endMs);
};

/** A listener with an intake, and how long before the time taken for its arrival each connection arrived. */
interface Listener {
  readonly open: () => void;
  readonly listErrors: () => readonly number[];
  /** Returns the longest time for which a connection waited, in milliseconds. */
  readonly getMaxWaitMs: () => number;
}

const startListener = async (t: ava.ExecutionContext): Promise<Listener> => {
  const loop = loopMonitor.startLoopMonitor(() => undefined);
  const intake = connectionIntake.makeConnectionIntake(loop, pino.pino({ level: 'silent' }));
  const opened = new Map<number, number>();
  const taken = new Map<number, { readonly arrivedAtMs: number; readonly takenAtMs: number }>();
  const sockets = new Set<net.Socket>();
  const server = http.createServer();
  intake.guard(server, {
    handleAccepted: () => undefined,
    handleTaken: ({ socket, arrival }) => {
      sockets.add(socket);
      taken.set(socket.remotePort ?? 0, {
        arrivedAtMs: arrival.earliestMs,
        takenAtMs: performance.now(),
      });
    },
  });
  await new Promise<void>((resolve) => {
    server.listen(0, LOCAL, resolve);
  });
  const { port } = server.address() as net.AddressInfo;
  t.teardown(() => {
    intake.stop();
    loop.stop();
    sockets.forEach((socket) => socket.destroy());
    server.close();
  });
  const find = (localPort: number): readonly [number, number] => {
    const found = taken.get(localPort);
    const openedAtMs = opened.get(localPort) ?? NaN;
    return found === undefined
      ? [NaN, NaN]
      : [found.arrivedAtMs - openedAtMs, found.takenAtMs - openedAtMs];
  };
  return {
    open: () => {
      const openedAtMs = performance.now();
      const socket = net.connect(port, LOCAL);
      sockets.add(socket);
      socket.on('error', () => undefined);
      socket.once('connect', () => opened.set(socket.localPort ?? 0, openedAtMs));
    },
    listErrors: () => Array.from(opened.keys(), (localPort) => find(localPort)[0]),
    getMaxWaitMs: () => Math.max(...Array.from(opened.keys(), (localPort) => find(localPort)[1])),
  };
};

/** Runs slow turns, in each of which connections arrive. */
const runTurns = (turns: number, openConnections: () => void): Promise<void> =>
  new Promise((resolve) => {
    let left = turns;
    const runTurn = (): void => {
      blockLoop(TURN_MS);
      openConnections();
      left -= 1;
      if (left === 0) {
        resolve();
      } else {
        setImmediate(runTurn);
      }
    };
    setImmediate(runTurn);
  });

([1, 3] as const).forEach((perTurn) => {
  const declare = perTurn === 3 ? test.serial.failing : test.serial;
  declare(
    `connections that arrive faster than they are taken up count from when they arrived (${perTurn} a turn)`,
    async (t) => {
      const listener = await startListener(t);
      await runTurns(120, () => {
        for (let count = 0; count < perTurn; count += 1) {
          listener.open();
        }
      });
      await shared.delay.wait(SETTLED_MS);
      const errors = listener.listErrors();
      const worstMs = Math.max(...errors);
      t.log(
        `longest wait ${Math.round(listener.getMaxWaitMs())} ms, counted too late by up to ${Math.round(worstMs)} ms`,
      );
      t.is(errors.length, 120 * perTurn);
      t.true(worstMs <= MARGIN_MS, `${worstMs}`);
    },
  );
});

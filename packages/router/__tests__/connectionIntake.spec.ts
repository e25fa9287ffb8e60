import * as http from 'node:http';
import type * as net from 'node:net';
import * as pino from 'pino';
import test from 'ava';
import * as shared from '@jayrock/shared';
import * as connectionIntake from '../src/callers/connectionIntake.js';

interface FakeSocket {
  readonly name: string;
  readonly destroy: () => void;
  readonly resume: () => void;
}

interface TakenFixture {
  readonly name: string;
  /** Longest time for which the connection can have waited, in milliseconds. */
  readonly waitedMs: number;
  /** Shortest time for which the connection can have waited, in milliseconds. */
  readonly leastMs: number;
}

interface IntakeFixture {
  /** Accepts connections in turns that follow each other. */
  readonly accept: (...names: readonly string[]) => void;
  readonly taken: TakenFixture[];
  readonly intake: connectionIntake.ConnectionIntake;
}

/** Makes an intake whose loop read its input after a time in milliseconds. */
const makeFixture = (inputAgeMs: number): IntakeFixture => {
  let turn = 0;
  const taken: TakenFixture[] = [];
  const intake = connectionIntake.makeConnectionIntake(
    {
      takeMaxTurnMs: () => 0,
      getTurnMs: () => 0,
      getRecentTurnMs: () => 0,
      getTurn: () => turn,
      getInputAgeMs: () => inputAgeMs,
      hasWaited: () => false,
      stop: () => undefined,
    },
    pino.pino({ level: 'silent' }),
  );
  const server = http.createServer();
  server.removeAllListeners('connection');
  intake.guard(server, {
    handleAccepted: () => undefined,
    handleTaken: ({ socket, arrival }) =>
      taken.push({
        name: (socket as unknown as FakeSocket).name,
        waitedMs: performance.now() - arrival.earliestMs,
        leastMs: performance.now() - arrival.latestMs,
      }),
  });
  return {
    accept: (...names) =>
      names.forEach((name) => {
        turn += 1;
        const socket: FakeSocket = {
          name,
          destroy: () => undefined,
          resume: () => undefined,
        };
        server.emit('connection', socket as unknown as net.Socket);
      }),
    taken,
    intake,
  };
};

test('connections of a run that is not late are read as they come', (t) => {
  const { accept, taken } = makeFixture(0);
  accept('a', 'b', 'c');
  t.is(taken.length, 3);
});

test('the first connection of a late run is read at once, the others in their order after a turn that accepts none', async (t) => {
  const { accept, taken, intake } = makeFixture(300);
  accept('a', 'b', 'c');
  t.deepEqual(
    taken.map(({ name }) => name),
    ['a'],
  );
  t.false(intake.isEmpty());
  await shared.delay.wait(20);
  t.deepEqual(
    taken.map(({ name }) => name),
    ['a', 'b', 'c'],
  );
  t.true(intake.isEmpty());
});

test('connections of a run that can have waited for half a second count from its start', async (t) => {
  const { accept, taken } = makeFixture(450);
  accept('a', 'b', 'c');
  await shared.delay.wait(20);
  t.true(taken.every(({ waitedMs }) => waitedMs >= 450));
});

test('connections of a long run count from their estimated arrival and half a second', async (t) => {
  const { accept, taken, intake } = makeFixture(2_400);
  t.is(intake.getTimeSinceOverdueMs(), Infinity);
  accept('a', 'b', 'c', 'd', 'e', 'f');
  await shared.delay.wait(20);
  const expected = [2_400, 2_300, 1_900, 1_500, 1_100, 700];
  t.is(taken.length, expected.length);
  taken.forEach(({ name, waitedMs }, index) =>
    t.true(Math.abs(waitedMs - (expected[index] ?? 0)) < 200, `${name} ${waitedMs}`),
  );
  t.true(intake.getTimeSinceOverdueMs() < 1_000);
});

test('connections of a long run arrived at most half a second after their estimated arrival, and before they were accepted', async (t) => {
  const { accept, taken } = makeFixture(2_400);
  accept('a', 'b', 'c', 'd', 'e', 'f');
  await shared.delay.wait(20);
  const expected = [0, 1_300, 900, 500, 100, 0];
  t.is(taken.length, expected.length);
  taken.forEach(({ name, waitedMs, leastMs }, index) => {
    t.true(Math.abs(leastMs - (expected[index] ?? 0)) < 200, `${name} ${leastMs}`);
    t.true(leastMs <= waitedMs, `${name} ${leastMs} ${waitedMs}`);
  });
});

import test from 'ava';
import type * as core from '../src/index.js';
import type * as fixtures from './fixtures.js';
import * as routedFixtures from './routedFixtures.js';

const ROUTERS = 9;
const UPSTREAMS = 4;
const SLOTS = 4;
/** Requests that each upstream lets wait, and those that it can turn away in a second. */
const ROOM = 1;
const MAX_TURN_AWAYS = 5;
const WORK_MS = 100;
const PLAY_MS = 10_000;
const TICK_MS = 200;

/** A server with little room, which falls over when it has to turn away too many requests in a second. */
interface Server {
  readonly id: string;
  readonly countRunning: () => number;
  readonly countWaiting: () => number;
  readonly countFalls: () => number;
  /** Takes a job, now or once it has room, and returns true; or turns it away. */
  readonly take: (start: () => void, nowMs: number) => boolean;
  /** Ends a job; the first that waits starts. */
  readonly finish: () => void;
}

const makeServer = (id: string): Server => {
  const waiting: (() => void)[] = [];
  let running = 0;
  let turnedAway: readonly number[] = [];
  let falls = 0;
  return {
    id,
    countRunning: () => running,
    countWaiting: () => waiting.length,
    countFalls: () => falls,
    take: (start, nowMs) => {
      if (running < SLOTS) {
        running += 1;
        start();
        return true;
      }
      if (waiting.length < ROOM) {
        waiting.push(start);
        return true;
      }
      turnedAway = [...turnedAway.filter((atMs) => nowMs - atMs < 1_000), nowMs];
      if (turnedAway.length > MAX_TURN_AWAYS) {
        falls += 1;
        turnedAway = [];
      }
      return false;
    },
    finish: () => {
      const next = waiting.shift();
      if (next === undefined) {
        running -= 1;
      } else {
        next();
      }
    },
  };
};

interface Job {
  readonly atMs: number;
  readonly run: () => void;
}

/** Counts what servers do and what callers get. */
interface Play {
  readonly falls: number;
  readonly answered: number;
  readonly refused: number;
}

const isServerOf =
  (effect: core.effects.EffectOf<'startAttempt'>) =>
  ({ id }: Server): boolean =>
    id === effect.upstreamId;

/** Plays requests at an interval over routers that know each other, before servers that have little room. */
const simulateFleet = (intervalMs: number, maxTurnAways: number | null): Play => {
  const servers = Array.from({ length: UPSTREAMS }, (_, index) => makeServer(`u${index}`));
  const drivers = Array.from({ length: ROUTERS }, () =>
    routedFixtures.makeRoutedDriver(servers.map(({ id }) => id)),
  );
  const clock = { nowMs: 10, jobs: [] as readonly Job[] };
  let answered = 0;
  let refused = 0;
  const schedule = (delayMs: number, run: () => void): void => {
    clock.jobs = [...clock.jobs, { atMs: clock.nowMs + delayMs, run }];
  };
  const send = (driver: fixtures.Driver, event: core.events.UnstampedEvent): void =>
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- effects cause events in turn
    applyEffects(driver, driver.send(event, clock.nowMs));
  const tellLoad = (driver: fixtures.Driver, server: Server): void => {
    const load = { running: server.countRunning(), waiting: server.countWaiting(), slots: SLOTS };
    const upstreamId = server.id;
    send(driver, { type: 'loadReported', upstreamId, report: { ...load, loaded: [] } });
    const notice = { upstreamId, isLeaving: false, restMs: null, maxTurnAways };
    send(driver, { type: 'noticeObserved', ...notice });
  };
  const serve = (
    driver: fixtures.Driver,
    server: Server,
    effect: core.effects.EffectOf<'startAttempt'>,
  ): void => {
    const { requestId, attemptId } = effect;
    const start = (): void =>
      schedule(WORK_MS, () => {
        server.finish();
        answered += 1;
        tellLoad(driver, server);
        const head = { status: 200, confidence: null };
        send(driver, { type: 'routedHeadArrived', requestId, attemptId, head });
        send(driver, { type: 'routedAttemptEnded', requestId, attemptId, events: 0, streamMs: 0 });
      });
    if (!server.take(start, clock.nowMs)) {
      tellLoad(driver, server);
      const failure = { failure: 'turnedAway', isUnsent: false, isNotRun: true } as const;
      send(driver, routedFixtures.makeFailure(requestId, attemptId, failure));
    }
  };
  const applyEffects = (driver: fixtures.Driver, effects: readonly core.effects.Effect[]): void =>
    effects.forEach((effect) => {
      if (effect.type === 'startAttempt') {
        const server = servers.find(isServerOf(effect));
        if (server !== undefined) {
          schedule(1, () => serve(driver, server, effect));
        }
      } else if (effect.type === 'armTimer') {
        schedule(effect.delayMs, () => send(driver, { type: 'timerFired', timer: effect.timer }));
      } else if (effect.type === 'refuse') {
        refused += 1;
      }
    });
  drivers.forEach((driver, index) => {
    const others = Array.from({ length: ROUTERS }, (_, other) => other).filter(
      (other) => other !== index,
    );
    others.forEach((other) => {
      const id = `peer-${other}`;
      const self = { id, address: `${id}:1`, zone: 'a', status: 'alive', incarnation: 1 } as const;
      const message = { self, updates: [], generation: 0, confirmedAgeMs: 0 };
      driver.send({ type: 'gossipReceived', message }, clock.nowMs);
    });
    servers.forEach((server) => tellLoad(driver, server));
  });
  for (let count = 0; count * intervalMs < PLAY_MS; count += 1) {
    schedule(count * intervalMs, () => {
      const driver = drivers[(count * 7) % ROUTERS];
      if (driver !== undefined) {
        const change = { deadlineMs: 1_000, fingerprint: `f${count}` };
        applyEffects(driver, routedFixtures.sendCall(driver, `c${count}`, change, 0, clock.nowMs));
      }
    });
  }
  for (let atMs = 0; atMs < PLAY_MS; atMs += TICK_MS) {
    schedule(atMs, () => drivers.forEach((driver) => send(driver, { type: 'ticked' })));
  }
  const runNext = (): void => {
    const [first, ...rest] = clock.jobs.toSorted((x, y) => x.atMs - y.atMs);
    clock.jobs = rest;
    clock.nowMs = first?.atMs ?? clock.nowMs;
    first?.run();
  };
  while (clock.jobs.length > 0) {
    runNext();
  }
  return {
    falls: servers.reduce((sum, { countFalls }) => sum + countFalls(), 0),
    answered,
    refused,
  };
};

test('under twice the load that they carry, brittle upstreams fall over no more often than allowed', (t) => {
  const { falls, answered } = simulateFleet(3, MAX_TURN_AWAYS);
  // The users' bound: 2 and a tenth of the number of servers.
  t.true(falls <= 2 + UPSTREAMS / 10, `${falls} falls, ${answered} answered`);
  const most = (PLAY_MS / WORK_MS) * UPSTREAMS * SLOTS;
  t.true(answered > most / 2, `${answered} of ${most}`);
});

test('upstreams that are not brittle get no rest after they turn requests away', (t) => {
  const driver = routedFixtures.makeRoutedDriver(['u1']);
  routedFixtures.sendCall(driver, 'a');
  driver.send(
    routedFixtures.makeFailure('a', 1, { failure: 'turnedAway', isNotRun: true, isUnsent: false }),
  );
  t.is(driver.getState().upstreams.get('u1')?.rest.untilMs, -Infinity);
});

import test from 'ava';
import * as shared from '@jayrock/shared';
import * as core from '../src/index.js';
import * as routedFixtures from './routedFixtures.js';

const PERIOD_MS = 20_000;
const HALF_MS = PERIOD_MS / 2;
/** Interval between the reports of routers to each other, in milliseconds. */
const REPORT_MS = 400;
/** Time by which a router's clock or news may be wrong, in milliseconds. */
const ERROR_MS = 4_000;
/** Sizes of a fleet whose routers all report to each other, and of one in which a few report for all. */
const FLEET_SIZES = [3, 14];
const ORDER = { service: 'desk', to: 'v2', periodMs: PERIOD_MS, revision: 3 };
const SESSIONS = Array.from({ length: 100 }, (_, index) => `s${index}`);

/** A router in a fleet; all times are those since the order. */
interface FleetRouter {
  readonly address: string;
  readonly getState: () => core.routerState.RouterState;
  /** Time on the router's steady clock. */
  readonly getClockMs: (atMs: number) => number;
  readonly send: (event: core.events.UnstampedEvent, atMs: number) => void;
}

/** Time on a steady clock at the order; zero means "never" in the state. */
const CLOCK_START_MS = 1_000_000;

const makeRouter = (
  index: number,
  size: number,
  getStoppedMs: (atMs: number) => number,
): FleetRouter => {
  const others = Array.from({ length: size }, (_, other) => other).filter(
    (other) => other !== index,
  );
  const empty = core.routerState.makeState({
    routerId: `r${index}`,
    zone: 'a',
    address: `r${index}:1`,
    ledgerCapacity: 1_000,
  });
  const members = others.reduce(
    (table, other) =>
      core.memberTable.mergeUpdate(
        table,
        { id: `r${other}`, address: `r${other}:1`, zone: 'a', status: 'alive', incarnation: 0 },
        0,
      ),
    empty.members,
  );
  let state: core.routerState.RouterState = { ...empty, members };
  let count = 0;
  const getClockMs = (atMs: number): number => CLOCK_START_MS + atMs - getStoppedMs(atMs);
  const send = (event: core.events.UnstampedEvent, atMs: number): void => {
    count += 1;
    const random = shared.hash.hashToFraction(`${index}|${count}`);
    const stamped = { ...event, nowMs: getClockMs(atMs), random } as core.events.Event;
    ({ state } = core.reduce.reduce(state, stamped));
  };
  send({ type: 'routesAdopted', table: routedFixtures.makeTable() }, 0);
  ['v1', 'v2'].forEach((version) =>
    send({ type: 'hostChanged', host: routedFixtures.makeHost(`on-${version}`, { version }) }, 0),
  );
  return { address: `r${index}:1`, getState: () => state, getClockMs, send };
};

/** Sends each router's reports to their receivers, as they are on the wire. */
const sendReports = (routers: readonly FleetRouter[], atMs: number): void =>
  routers.forEach((router) => {
    core.canaryReports
      .planReports(router.getState(), router.getClockMs(atMs))
      .forEach(({ address, report }) => {
        const received = JSON.parse(JSON.stringify(report)) as typeof report;
        routers
          .filter((receiver) => receiver.address === address)
          .forEach((receiver) =>
            receiver.send({ type: 'canaryReportReceived', ...received }, atMs),
          );
      });
  });

const sendObserved = (router: FleetRouter, atMs: number, elapsedMs: number): void =>
  router.send({ type: 'canaryObserved', order: ORDER, stage: 'running', elapsedMs }, atMs);

/** Lists the sessions that run on the new version at a router. */
const listMovedSessions = (router: FleetRouter, atMs: number): readonly string[] =>
  SESSIONS.filter((session) => {
    const requestId = `${session}-${atMs}`;
    const call = routedFixtures.makeCall({ path: '/talk/', session, deadlineMs: 60_000 });
    router.send(
      { type: 'routedRequestArrived', requestId, call, tableAgeMs: 0, waitedMs: 0 },
      atMs,
    );
    const attempt = router.getState().requests.get(requestId)?.attempts[0];
    router.send({ type: 'callerGone', requestId }, atMs);
    return attempt?.upstreamId === 'on-v2';
  });

/** How one router of a fleet comes to know the order; its peers see it at once. */
interface Odd {
  /** Time for which the router's steady clock has stood still. */
  readonly getStoppedMs?: (atMs: number) => number;
  /** Times at which the router observes the order, with the elapsed time that it derives from the record. */
  readonly observations: readonly { readonly atMs: number; readonly elapsedMs: number }[];
}

/** Simulates a roll-out; lists the sessions on the new version at the odd router and at a peer. */
const simulateFleet = (
  size: number,
  { getStoppedMs = () => 0, observations }: Odd,
  checkedAtMs: number,
): { readonly odd: readonly string[]; readonly peer: readonly string[] } => {
  const odd = makeRouter(0, size, getStoppedMs);
  const peers = Array.from({ length: size - 1 }, (_, index) =>
    makeRouter(index + 1, size, () => 0),
  );
  peers.forEach((peer) => sendObserved(peer, 0, 0));
  const isRunning = (atMs: number): boolean =>
    getStoppedMs(atMs + 1) === getStoppedMs(atMs) && atMs >= (observations[0]?.atMs ?? 0);
  for (let atMs = 0; atMs < checkedAtMs; atMs += REPORT_MS / 4) {
    observations
      .filter((observation) => observation.atMs === atMs)
      .forEach(({ elapsedMs }) => sendObserved(odd, atMs, elapsedMs));
    const running = isRunning(atMs) ? [odd, ...peers] : peers;
    running.forEach((router) => router.send({ type: 'ticked' }, atMs));
    if (atMs % REPORT_MS === 0) {
      sendReports(running, atMs);
    }
  }
  return {
    odd: listMovedSessions(odd, checkedAtMs),
    peer: listMovedSessions(peers[0] ?? odd, checkedAtMs),
  };
};

const BEFORE_HALF_MS = HALF_MS - 1_000;
const AFTER_HALF_MS = HALF_MS + 1_000;

FLEET_SIZES.forEach((size) => {
  test(`of ${size} routers, one whose steady clock stood still in a roll-out keeps sessions on the version of its peers`, (t) => {
    const odd = {
      getStoppedMs: (atMs: number) => Math.min(ERROR_MS, Math.max(0, atMs - 2_000)),
      observations: [{ atMs: 0, elapsedMs: 0 }],
    };
    const moved = simulateFleet(size, odd, AFTER_HALF_MS);
    t.true(moved.peer.length > 0);
    t.deepEqual(moved.odd, moved.peer);
  });

  test(`of ${size} routers, one that learns of an order late and of its record after it keeps sessions on the version of its peers`, (t) => {
    const observations = [
      { atMs: ERROR_MS, elapsedMs: 0 },
      { atMs: ERROR_MS + 200, elapsedMs: ERROR_MS + 200 },
    ];
    const moved = simulateFleet(size, { observations }, AFTER_HALF_MS);
    t.true(moved.peer.length > 0);
    t.deepEqual(moved.odd, moved.peer);
  });

  test(`of ${size} routers, one that starts in a roll-out with a wall clock behind keeps sessions on the version of its peers`, (t) => {
    const observations = [{ atMs: 6_000, elapsedMs: 6_000 - ERROR_MS }];
    const moved = simulateFleet(size, { observations }, AFTER_HALF_MS);
    t.true(moved.peer.length > 0);
    t.deepEqual(moved.odd, moved.peer);
  });

  test(`of ${size} routers, one that starts in a roll-out with a wall clock ahead moves no session in its first half`, (t) => {
    const observations = [{ atMs: 6_000, elapsedMs: 6_000 + ERROR_MS }];
    t.deepEqual(simulateFleet(size, { observations }, BEFORE_HALF_MS).odd, []);
  });

  test(`of ${size} routers, one that knows a roll-out as its peers do keeps sessions on their version`, (t) => {
    const odd = { observations: [{ atMs: 0, elapsedMs: 0 }] };
    t.deepEqual(simulateFleet(size, odd, BEFORE_HALF_MS), { odd: [], peer: [] });
    const moved = simulateFleet(size, odd, AFTER_HALF_MS);
    t.true(moved.peer.length > 0);
    t.deepEqual(moved.odd, moved.peer);
  });
});

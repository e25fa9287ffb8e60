import test from 'ava';
import * as rolloutFleet from './rolloutFleet.js';
import * as routedFixtures from './routedFixtures.js';

const HALF_MS = rolloutFleet.ORDER.periodMs / 2;
/** Time by which a router's clock or news may be wrong, in milliseconds. */
const ERROR_MS = 4_000;
const SESSIONS = Array.from({ length: 100 }, (_, index) => `s${index}`);

/** Lists the sessions that run on the new version at a router. */
const listMovedSessions = (router: rolloutFleet.FleetRouter, atMs: number): readonly string[] =>
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
  const odd = rolloutFleet.makeRouter(0, size, getStoppedMs);
  const peers = Array.from({ length: size - 1 }, (_, index) =>
    rolloutFleet.makeRouter(index + 1, size, () => 0),
  );
  peers.forEach((peer) => rolloutFleet.sendObserved(peer, 0, 0));
  const isRunning = (atMs: number): boolean =>
    getStoppedMs(atMs + 1) === getStoppedMs(atMs) && atMs >= (observations[0]?.atMs ?? 0);
  for (let atMs = 0; atMs < checkedAtMs; atMs += rolloutFleet.REPORT_MS / 4) {
    observations
      .filter((observation) => observation.atMs === atMs)
      .forEach(({ elapsedMs }) => rolloutFleet.sendObserved(odd, atMs, elapsedMs));
    const running = isRunning(atMs) ? [odd, ...peers] : peers;
    running.forEach((router) => router.send({ type: 'ticked' }, atMs));
    if (atMs % rolloutFleet.REPORT_MS === 0) {
      rolloutFleet.sendReports(running, atMs);
    }
  }
  return {
    odd: listMovedSessions(odd, checkedAtMs),
    peer: listMovedSessions(peers[0] ?? odd, checkedAtMs),
  };
};

const BEFORE_HALF_MS = HALF_MS - 1_000;
const AFTER_HALF_MS = HALF_MS + 1_000;

rolloutFleet.FLEET_SIZES.forEach((size) => {
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

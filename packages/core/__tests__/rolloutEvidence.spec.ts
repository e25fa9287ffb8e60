import test from 'ava';
import * as core from '../src/index.js';
import * as rolloutFleet from './rolloutFleet.js';
import * as routedFixtures from './routedFixtures.js';

const STEP_MS = 100;
/** Number of sessions; not a multiple of the step. */
const SESSION_COUNT = 101;
/** Time from which on a router has stood still, and time after which its peers gave it up, in milliseconds. */
const STOPPED_AT_MS = 3_000;
const DECLARED_DEAD_AT_MS = 7_000;
const RETURNED_AT_MS = 8_000;
/** Time of its last request; until the ramp its session keeps the previous version. */
const LAST_REQUEST_AT_MS = 18_000;

/** Serves a request that takes no time, and returns its upstream; a version that is bad answers it with an error. */
const serveRequest = (
  router: rolloutFleet.FleetRouter,
  session: string | null,
  atMs: number,
  isBad = false,
): string | undefined => {
  const requestId = `${router.id}-${atMs}`;
  const call = routedFixtures.makeCall({ path: '/issue/', session, deadlineMs: 60_000 });
  router.send({ type: 'routedRequestArrived', requestId, call, tableAgeMs: 0, waitedMs: 0 }, atMs);
  const attempt = router.getState().requests.get(requestId)?.attempts[0];
  const attemptId = attempt?.id ?? 0;
  const status = isBad && attempt?.upstreamId === 'on-v2' ? 500 : 200;
  const head = { status, confidence: null };
  router.send({ type: 'routedHeadArrived', requestId, attemptId, head }, atMs);
  router.send({ type: 'routedAttemptEnded', requestId, attemptId, events: 0, streamMs: 0 }, atMs);
  return attempt?.upstreamId;
};

/** Tells a router that a peer was declared dead. */
const sendDeath = (
  router: rolloutFleet.FleetRouter,
  peer: rolloutFleet.FleetRouter,
  atMs: number,
): void => {
  const self = { ...peer.getState().members.self, status: 'dead' as const };
  const message = core.membership.makeGossipMessage(router.getState(), [], atMs);
  router.send({ type: 'gossipReceived', message: { ...message, self } }, atMs);
};

/** Sends the message with which a router probes another, or answers it. */
const sendGossip = (
  from: rolloutFleet.FleetRouter,
  to: rolloutFleet.FleetRouter,
  atMs: number,
): void => {
  const state = from.getState();
  const { updates } = core.memberTable.takeGossipUpdates(state.members, to.address);
  const message = core.membership.makeGossipMessage(state, updates, from.getClockMs(atMs));
  to.send({ type: 'gossipReceived', message }, atMs);
};

/** Makes a fleet; a router that gets the evidence of all comes first. */
const makeFleet = (size: number): readonly rolloutFleet.FleetRouter[] => {
  const routers = Array.from({ length: size }, (_, index) =>
    rolloutFleet.makeRouter(index, size, () => 0),
  );
  const isAggregator = (router: rolloutFleet.FleetRouter): boolean =>
    core.zoneRoles.hasRole(router.getState().members, 'trialEvidence', 2);
  return routers.toSorted((a, b) => Number(isAggregator(b)) - Number(isAggregator(a)));
};

/** Lists the outcomes that a router proposes at its next tick. */
const listProposed = (router: rolloutFleet.FleetRouter, atMs: number): readonly string[] =>
  router
    .send({ type: 'ticked' }, atMs)
    .flatMap((effect) => (effect.type === 'recordCanaryOutcome' ? [effect.stage] : []));

/**
 * Simulates a roll-out in which the first router of a fleet stands still, of a good version or of one that is bad for as long;
 * lists the outcomes that each router proposes.
 */
const simulateRollout = (
  fleet: readonly rolloutFleet.FleetRouter[],
  toMs: number = rolloutFleet.ORDER.periodMs,
  isBadVersion = false,
): readonly (readonly string[])[] => {
  const [stopped, ...others] = fleet;
  if (stopped === undefined) {
    return [];
  }
  fleet.forEach((router) => rolloutFleet.sendObserved(router, 0, 0));
  const outcomes = new Map<string, readonly string[]>();
  for (let atMs = 0; atMs < toMs; atMs += STEP_MS) {
    const isStopped = atMs >= STOPPED_AT_MS && atMs < RETURNED_AT_MS;
    const running = isStopped ? others : fleet;
    if (atMs === DECLARED_DEAD_AT_MS) {
      others.forEach((router) => sendDeath(router, stopped, atMs));
    }
    if (atMs === RETURNED_AT_MS) {
      others.forEach((router) => {
        sendGossip(router, stopped, atMs);
        sendGossip(stopped, router, atMs);
      });
    }
    running.forEach((router) => {
      if (router !== stopped) {
        const session = isBadVersion ? null : `s${atMs % SESSION_COUNT}`;
        serveRequest(router, session, atMs, isBadVersion && isStopped);
      } else if (atMs < LAST_REQUEST_AT_MS) {
        serveRequest(router, isBadVersion ? null : 's0', atMs);
      }
      const proposed = listProposed(router, atMs);
      outcomes.set(router.id, [...(outcomes.get(router.id) ?? []), ...proposed]);
    });
    if (atMs % rolloutFleet.REPORT_MS === 0) {
      rolloutFleet.sendReports(running, atMs);
    }
  }
  return fleet.map(({ id }) => outcomes.get(id) ?? []);
};

/** Counts the answers that a router knows from the time for which the first router stood still. */
const countAnswers = (router: rolloutFleet.FleetRouter | undefined): number => {
  const canary = router?.getState().routed.canaries.get(rolloutFleet.ORDER.service);
  const rows = Array.from(canary?.rows.values() ?? []).map(({ row }) => row);
  const toEpoch = (atMs: number): number => atMs / core.canaryEvidence.EPOCH_MS;
  // Rows of callers are sent only for epochs and kinds with a rejection.
  return core.canaryEvidence.sumRows(
    core.canaryEvidence
      .listAnswerRows(rows)
      .filter(({ epoch }) => epoch >= toEpoch(STOPPED_AT_MS) && epoch < toEpoch(RETURNED_AT_MS)),
  ).answers;
};

/** Sends a peer's report on good answers of both versions, which may arrive late. */
const sendEvidence = (
  router: rolloutFleet.FleetRouter,
  newAnswers: number,
  atMs: number,
  arrivedAtMs = atMs,
): void => {
  const { service, to, revision } = rolloutFleet.ORDER;
  const makeRow = (isNew: boolean, answers: number): core.canaryEvidence.EvidenceRow => ({
    epoch: Math.floor(atMs / core.canaryEvidence.EPOCH_MS),
    kind: 'read|',
    measure: 'answer',
    isNew,
    answers,
    failures: 0,
    logSum: 0,
    logSquareSum: 0,
    timed: answers,
  });
  const rows = [makeRow(false, 200), ...(newAnswers > 0 ? [makeRow(true, newAnswers)] : [])];
  const report = { source: 'peer', service, to, revision, isBad: false, rows, oldRunning: 0 };
  router.send(
    { type: 'canaryReportReceived', ...report, ageMs: atMs, isWitnessed: true },
    arrivedAtMs,
  );
};

rolloutFleet.FLEET_SIZES.forEach((size) => {
  test(`of ${size} routers, one that was declared dead while it stood still rolls no good version back`, (t) => {
    const [stopped = [], ...others] = simulateRollout(makeFleet(size));
    t.true(others.flat().includes('completed'));
    t.false(others.flat().includes('rolledBack'));
    t.false(stopped.includes('rolledBack'));
  });

  test(`of ${size} routers, one that was declared dead while it stood still completes no version that was bad then`, (t) => {
    const outcomes = simulateRollout(makeFleet(size), rolloutFleet.ORDER.periodMs, true);
    t.true(outcomes[1]?.includes('rolledBack'));
    t.false(outcomes.flat().includes('completed'));
  });

  // It takes part in the decision, and a version may be bad only for as long as it stood still.
  test(`of ${size} routers, one that was declared dead while it stood still gets the evidence of that time`, (t) => {
    const fleet = makeFleet(size);
    simulateRollout(fleet, RETURNED_AT_MS + 1_000);
    t.true(countAnswers(fleet[1]) > 0);
    t.is(countAnswers(fleet[0]), countAnswers(fleet[1]));
  });

  test(`of ${size} routers, one that stood still takes no report that waited meanwhile for news of its peers`, (t) => {
    const [router] = makeFleet(size);
    if (router === undefined) {
      t.fail();
      return;
    }
    const { periodMs } = rolloutFleet.ORDER;
    rolloutFleet.sendObserved(router, 0, 0);
    sendEvidence(router, 20, STOPPED_AT_MS);
    sendEvidence(router, 30, STOPPED_AT_MS + rolloutFleet.REPORT_MS, periodMs - 800);
    for (let atMs = periodMs - 800; atMs < periodMs - 300; atMs += STEP_MS) {
      t.deepEqual(listProposed(router, atMs), []);
    }
    sendEvidence(router, 40, periodMs - 400, periodMs - 400);
    t.deepEqual(listProposed(router, periodMs - 400), ['completed']);
  });

  [0, 20].forEach((newAnswers) => {
    test(`of ${size} routers, one that has heard no peer since it stood still leaves the outcome to them (${newAnswers} answers known)`, (t) => {
      const [router, ...others] = makeFleet(size);
      if (router === undefined) {
        t.fail();
        return;
      }
      rolloutFleet.sendObserved(router, 0, 0);
      sendEvidence(router, newAnswers, STOPPED_AT_MS);
      const { periodMs } = rolloutFleet.ORDER;
      for (let atMs = STOPPED_AT_MS; atMs < periodMs - 300; atMs += STEP_MS) {
        const isStopped = atMs > STOPPED_AT_MS && atMs < periodMs - 800;
        t.deepEqual(isStopped ? [] : listProposed(router, atMs), []);
      }
      t.deepEqual(listProposed(router, periodMs - 100), newAnswers === 0 ? [] : ['completed']);
      others.forEach((peer) => sendDeath(router, peer, periodMs));
      // With no peer left that could decide, it does.
      t.deepEqual(
        listProposed(router, periodMs + 1_000),
        newAnswers === 0 ? ['rolledBack'] : ['completed'],
      );
    });
  });
});

/** Requests of a roll-out, few enough for the slack of the exposure to count. */
const FEW_REQUESTS = 125;

['stays a member', 'is declared dead'].forEach((fate) => {
  test(`a router whose peer falls silent and ${fate} stays within the allowed exposure`, (t) => {
    const [router, peer] = makeFleet(2);
    if (router === undefined || peer === undefined) {
      t.fail();
      return;
    }
    const exposure = { share: 0.15, slack: 30 };
    const { settings } = router.getState().routed;
    router.send({ type: 'routedSettingsChanged', settings: { ...settings, exposure } }, 0);
    rolloutFleet.sendObserved(router, 0, 0);
    const { periodMs } = rolloutFleet.ORDER;
    const stepMs = periodMs / FEW_REQUESTS;
    const upstreamIds = Array.from({ length: FEW_REQUESTS }, (_, index) => index * stepMs).map(
      (atMs) => {
        if (atMs % rolloutFleet.REPORT_MS === 0 && atMs < STOPPED_AT_MS) {
          const { service, to, revision } = rolloutFleet.ORDER;
          const report = { source: peer.id, service, to, revision, isBad: false, rows: [] };
          router.send({ type: 'canaryReportReceived', ...report, oldRunning: 0 }, atMs);
        }
        if (atMs > DECLARED_DEAD_AT_MS && fate === 'is declared dead') {
          sendDeath(router, peer, atMs);
        }
        router.send({ type: 'ticked' }, atMs);
        return serveRequest(router, null, atMs);
      },
    );
    const count = upstreamIds.filter((id) => id === 'on-v2').length;
    t.true(count <= exposure.share * FEW_REQUESTS + exposure.slack, `${count}`);
  });
});

test('a member that was declared dead and answers is a member again', (t) => {
  const [router, peer] = [0, 1].map((index) => rolloutFleet.makeRouter(index, 2, () => 0));
  if (router === undefined || peer === undefined) {
    t.fail();
    return;
  }
  sendDeath(router, peer, 1_000);
  t.is(core.memberTable.listActiveMembers(router.getState().members).length, 0);
  sendGossip(router, peer, 2_000);
  sendGossip(peer, router, 2_000);
  t.is(core.memberTable.listActiveMembers(router.getState().members).length, 1);
});

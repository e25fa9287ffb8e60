import * as prand from 'pure-rand';
import * as shared from '@jayrock/shared';
import * as core from '../src/index.js';
import type * as fixtures from './fixtures.js';
import * as routedFixtures from './routedFixtures.js';

/** Limit on the requests that a bad version may receive, as stated by the users. */
export const EXPOSURE = { share: 0.15, slack: 30 };

/** Time at which the order is observed; zero means "never" in the state. */
export const STARTED_AT_MS = 10_000;
const TICK_MS = 100;
/** Time from an arrival to the head of its answer, in milliseconds. */
const ANSWER_MS = 20;

/** A request of a simulated roll-out. */
export interface SimulatedRequest {
  readonly index: number;
  /** Time since the order, in milliseconds. */
  readonly atMs: number;
  /** Version of the upstream on which it runs. */
  readonly version: string;
  readonly path: string;
  readonly session: string | null;
}

/** Requests of a roll-out and how they are answered. */
export interface RolloutLoad {
  readonly seed: number;
  readonly rate: number;
  readonly periodMs: number;
  /** Path and session of a request; `draw` returns a uniform number in [0, 1). */
  readonly makeCall: (
    index: number,
    atMs: number,
    draw: () => number,
  ) => Pick<core.routedState.RoutedCall, 'path' | 'session'>;
  /** HTTP status of the answer; null if there is none before the deadline. */
  readonly getStatus: (request: SimulatedRequest, draw: () => number) => number | null;
}

/** Outcome of a simulated roll-out. */
export interface RolloutOutcome {
  readonly stage: 'completed' | 'rolledBack' | null;
  readonly endedAtMs: number | null;
  /** Requests on the ordered version until the end. */
  readonly exposed: number;
  readonly total: number;
}

/** Makes a router with two upstreams of each version, whose ids begin with their version. */
export const makeRouter = (versions: readonly string[] = ['v1', 'v2']): fixtures.Driver => {
  const driver = routedFixtures.makeRoutedDriver([]);
  const { settings } = driver.getState().routed;
  driver.send({ type: 'routedSettingsChanged', settings: { ...settings, exposure: EXPOSURE } });
  versions.forEach((version) =>
    [1, 2].forEach((index) =>
      driver.send({
        type: 'hostChanged',
        host: routedFixtures.makeHost(`${version}-${index}`, { version, slots: 400 }),
      }),
    ),
  );
  return driver;
};

/** Returns the version of the upstream on which a request runs. */
export const getVersion = (driver: fixtures.Driver, requestId: string): string =>
  driver.getState().requests.get(requestId)?.attempts[0]?.upstreamId.split('-')[0] ?? 'none';

/** Answers a request completely. */
export const answerRequest = (
  driver: fixtures.Driver,
  requestId: string,
  status: number,
  nowMs: number,
): void => {
  const attemptId = driver.getState().requests.get(requestId)?.attempts[0]?.id ?? 0;
  const head = { status, confidence: null };
  driver.send({ type: 'routedHeadArrived', requestId, attemptId, head }, nowMs);
  driver.send({ type: 'routedAttemptEnded', requestId, attemptId, events: 0, streamMs: 0 }, nowMs);
};

/** Time from an arrival to the end of a request that is not answered, in milliseconds. */
const DEADLINE_MS = 600;

/** Ends a request at its deadline, or by its caller, who leaves then. */
const expireRequest = (
  driver: fixtures.Driver,
  requestId: string,
  isCallerGone: boolean,
  nowMs: number,
): void => {
  const deadlineAtMs = driver.getState().requests.get(requestId)?.deadlineAtMs ?? nowMs;
  driver.send(
    isCallerGone
      ? { type: 'callerGone', requestId }
      : { type: 'timerFired', timer: { kind: 'routedTimeout', requestId, deadlineAtMs } },
    nowMs,
  );
};

/** Makes a source of uniform numbers in [0, 1). */
export const makeDraw = (seed: number): (() => number) => {
  const random = prand.xoroshiro128plus(seed);
  return () => prand.unsafeUniformIntDistribution(0, 1_000_000, random) / 1_000_001;
};

/** Lists the outcomes that a router proposes at a tick. */
export const listProposed = (
  driver: fixtures.Driver,
  nowMs: number,
): readonly core.effects.EffectOf<'recordCanaryOutcome'>[] =>
  driver.send({ type: 'ticked' }, nowMs).filter((effect) => effect.type === 'recordCanaryOutcome');

/** Simulates the roll-out of v2 at one router until it proposes an outcome. */
export const simulateRouter = (load: RolloutLoad): RolloutOutcome => {
  const driver = makeRouter();
  const draw = makeDraw(load.seed);
  const order = { service: 'desk', to: 'v2', periodMs: load.periodMs, revision: 3 };
  driver.send({ type: 'canaryObserved', order, stage: 'running', elapsedMs: 0 }, STARTED_AT_MS);
  const unanswered: { requestId: string; endsAtMs: number }[] = [];
  let exposed = 0;
  let index = 0;
  for (let atMs = 0; atMs < load.periodMs; atMs += TICK_MS) {
    for (; index < ((atMs + TICK_MS) * load.rate) / 1_000; index += 1) {
      const requestId = `r-${load.seed}-${index}`;
      const sentAtMs = Math.max(atMs, (index * 1_000) / load.rate);
      const { path, session } = load.makeCall(index, sentAtMs, draw);
      routedFixtures.sendCall(driver, requestId, { path, session }, 0, STARTED_AT_MS + sentAtMs);
      const version = getVersion(driver, requestId);
      exposed += Number(version === 'v2');
      const status = load.getStatus({ index, atMs: sentAtMs, version, path, session }, draw);
      if (status === null) {
        unanswered.push({ requestId, endsAtMs: sentAtMs + DEADLINE_MS });
      } else {
        answerRequest(driver, requestId, status, STARTED_AT_MS + sentAtMs + ANSWER_MS);
      }
    }
    while ((unanswered[0]?.endsAtMs ?? Infinity) <= atMs) {
      const { requestId = '' } = unanswered.shift() ?? {};
      expireRequest(driver, requestId, unanswered.length % 2 === 0, STARTED_AT_MS + atMs);
    }
    const [proposed] = listProposed(driver, STARTED_AT_MS + atMs + TICK_MS);
    if (proposed !== undefined) {
      return { stage: proposed.stage, endedAtMs: atMs + TICK_MS, exposed, total: index };
    }
  }
  return { stage: null, endedAtMs: null, exposed, total: index };
};

/** Records one answer as the reducer does. */
const recordAnswer = (
  canary: core.canaryState.Canary,
  { version, path, session, index }: SimulatedRequest,
  status: number | null,
  nowMs: number,
): core.canaryState.Canary => {
  const isNew = version === 'v2';
  const answerClass = status === null ? null : core.versionEvidence.classifyStatus(status);
  const elapsedMs = answerClass === 'failure' ? null : ANSWER_MS + (index % 7);
  const answered =
    answerClass === null
      ? canary
      : core.canaryState.recordAnswer(canary, 'r1', { kind: path, isNew, elapsedMs }, nowMs);
  return core.canaryState.recordCaller(
    answered,
    'r1',
    {
      kind: session === null ? path : `${path}|session`,
      isNew,
      caller: session,
      isRejected: answerClass === null || answerClass === 'rejection',
    },
    nowMs,
  );
};

/** Simulates the roll-out of v2 by its evidence alone, as routers that hear each other at once would see it. */
export const simulateEvidence = (load: RolloutLoad): RolloutOutcome => {
  const draw = makeDraw(load.seed);
  const order = { service: 'desk', to: 'v2', periodMs: load.periodMs, revision: 3 };
  let canary = core.canaryState.makeCanary(order, 'running', 0, EXPOSURE);
  let exposed = 0;
  let index = 0;
  for (let atMs = 0; atMs < load.periodMs; atMs += TICK_MS) {
    for (; index < ((atMs + TICK_MS) * load.rate) / 1_000; index += 1) {
      const sentAtMs = Math.max(atMs, (index * 1_000) / load.rate);
      const { path, session } = load.makeCall(index, sentAtMs, draw);
      const share = core.canaryShare.getTrafficShare(canary, sentAtMs, session !== null);
      const key = session ?? `r-${load.seed}-${index}`;
      const isNew = shared.hash.hashToFraction(`${order.service}|${key}`) < share;
      const request = { index, atMs: sentAtMs, version: isNew ? 'v2' : 'v1', path, session };
      exposed += Number(isNew);
      canary = recordAnswer(canary, request, load.getStatus(request, draw), sentAtMs);
    }
    const nowMs = atMs + TICK_MS;
    canary = core.canaryState.countPooled(core.canaryState.evaluateCanary(canary), nowMs);
    const stage = core.canaryState.evaluateOutcome(canary, 0, nowMs);
    if (stage !== null) {
      return { stage, endedAtMs: nowMs, exposed, total: index };
    }
  }
  return { stage: null, endedAtMs: null, exposed, total: index };
};

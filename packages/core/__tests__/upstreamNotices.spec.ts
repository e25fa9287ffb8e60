import test from 'ava';
import * as fc from 'fast-check';
import * as core from '../src/index.js';
import * as fixtures from './fixtures.js';
import * as routedFixtures from './routedFixtures.js';

const IDS = ['u1', 'u22', 'u333'] as const;
const STEP_MS = 100;

type Step =
  | { readonly kind: 'call' }
  | { readonly kind: 'leave' | 'remove' | 'restart' | 'relist'; readonly index: number }
  | { readonly kind: 'rest'; readonly index: number; readonly restMs: number };

const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  { weight: 6, arbitrary: fc.constant({ kind: 'call' } as const) },
  fc.record({
    kind: fc.constantFrom('leave', 'remove', 'restart', 'relist'),
    index: fc.nat(IDS.length - 1),
  }),
  fc.record({
    kind: fc.constant('rest' as const),
    index: fc.nat(IDS.length - 1),
    restMs: fc.nat(2_000),
  }),
);

test('no request is sent to a process that said that it leaves, nor to an upstream that rests, whatever its entry shows', (t) => {
  fc.assert(
    fc.property(fc.array(stepArbitrary, { maxLength: 80 }), (steps) => {
      const driver = routedFixtures.makeRoutedDriver(IDS);
      const born = new Map<string, number>(IDS.map((id) => [id, 1]));
      const hasLeft = new Set<string>();
      const restsUntilMs = new Map<string, number>();
      const isListed = new Set<string>(IDS);
      let nowMs = 1_000;
      const send = (event: core.events.UnstampedEvent): readonly core.effects.Effect[] =>
        driver.send(event, nowMs);
      const list = (id: string): void => {
        isListed.add(id);
        send({
          type: 'hostChanged',
          host: routedFixtures.makeHost(id, { bornAtMs: born.get(id) ?? 1 }),
        });
      };
      const run = (step: Step, count: number): readonly core.effects.Effect[] => {
        if (step.kind === 'call') {
          return routedFixtures.sendCall(driver, `call-${count}`, {}, 0, nowMs);
        }
        const id = IDS[step.index] ?? IDS[0];
        if (step.kind === 'leave' && isListed.has(id)) {
          hasLeft.add(`${id}|${born.get(id)}`);
          return send({ type: 'noticeObserved', upstreamId: id, isLeaving: true, restMs: null });
        }
        if (step.kind === 'rest' && isListed.has(id)) {
          restsUntilMs.set(id, Math.max(restsUntilMs.get(id) ?? 0, nowMs + step.restMs));
          const { restMs } = step;
          return send({ type: 'noticeObserved', upstreamId: id, isLeaving: false, restMs });
        }
        if (step.kind === 'remove') {
          isListed.delete(id);
          restsUntilMs.delete(id);
          return send({ type: 'hostRemoved', hostId: id });
        }
        if (step.kind === 'restart') {
          born.set(id, (born.get(id) ?? 1) + 1);
          restsUntilMs.delete(id);
        }
        list(id);
        return [];
      };
      return steps.every((step, count) => {
        nowMs += STEP_MS;
        return run(step, count)
          .filter((effect) => effect.type === 'startAttempt')
          .every(
            ({ upstreamId }) =>
              !hasLeft.has(`${upstreamId}|${born.get(upstreamId)}`) &&
              nowMs >= (restsUntilMs.get(upstreamId) ?? 0),
          );
      });
    }),
    { seed: 7, numRuns: 300 },
  );
  t.pass();
});

test('an upstream gets one request at a time after its pause, until it has answered', (t) => {
  const rest = core.upstreamRest.startRest(core.upstreamRest.NO_REST, 1_000, 0.5, 0);
  t.false(core.upstreamRest.mayReceive(rest, 0, 999));
  t.true(core.upstreamRest.mayReceive(rest, 0, 1_200));
  t.false(core.upstreamRest.mayReceive(rest, 1, 1_200));
  const answered = core.upstreamRest.recordAnswer(rest, 1_200);
  t.true(core.upstreamRest.mayReceive(answered, 5, 1_200));
  // An answer that was under way does not end the pause.
  t.false(core.upstreamRest.mayReceive(core.upstreamRest.recordAnswer(rest, 500), 0, 600));
});

test('a process without a known start time is forgotten, since another one may have its id', (t) => {
  const { bornAtMs, ...host } = routedFixtures.makeHost('u1');
  t.is(bornAtMs, 1);
  const leaving = core.leavingProcesses.addLeaving(core.leavingProcesses.NONE_LEAVING, host, 0);
  t.is(core.leavingProcesses.applyLeaving(leaving, host, 1_000).state, 'leaving');
  t.is(core.leavingProcesses.applyLeaving(leaving, host, 60_000).state, 'live');
});

/** Makes a router to which an upstream has said that it leaves. */
const makeInformedDriver = (host = routedFixtures.makeHost('u1')): fixtures.Driver => {
  const driver = routedFixtures.makeRoutedDriver(IDS);
  driver.send({ type: 'hostChanged', host }, 0);
  driver.send({ type: 'noticeObserved', upstreamId: host.id, isLeaving: true, restMs: null }, 0);
  return driver;
};

/** Tells a router what another one passes on in a probe, as it is written in the message. */
const sendGossip = (
  from: fixtures.Driver,
  to: fixtures.Driver,
  nowMs: number,
  isJoining = false,
): void => {
  const message = core.membership.makeGossipMessage(from.getState(), [], nowMs, isJoining);
  to.send(
    {
      type: 'gossipReceived',
      message: JSON.parse(JSON.stringify(message)) as core.events.GossipMessage,
    },
    nowMs,
  );
};

const getHostState = (driver: fixtures.Driver, id: string): string | undefined =>
  driver.getState().upstreams.get(id)?.host.state;

test('a router that was not told when an upstream said that it leaves hears of it with the next probe', (t) => {
  const other = routedFixtures.makeRoutedDriver(IDS);
  sendGossip(makeInformedDriver(), other, 1_000);
  t.is(getHostState(other, 'u1'), 'leaving');
  t.is(getHostState(other, 'u22'), 'live');
});

test('a router that joins hears of upstreams that said long ago that they leave', (t) => {
  const other = routedFixtures.makeRoutedDriver(IDS);
  sendGossip(makeInformedDriver(), other, 120_000, true);
  t.is(getHostState(other, 'u1'), 'leaving');
});

test('routers do not tell each other for ever of a process without a known start time', (t) => {
  const { bornAtMs, ...host } = routedFixtures.makeHost('u1');
  t.is(bornAtMs, 1);
  const informed = makeInformedDriver(host);
  const other = routedFixtures.makeRoutedDriver(IDS);
  other.send({ type: 'hostChanged', host }, 0);
  sendGossip(informed, other, 29_000);
  t.is(getHostState(other, 'u1'), 'leaving');
  sendGossip(other, informed, 31_000, true);
  // Another process may have the id and address by then.
  [informed, other].forEach((driver) => {
    driver.send({ type: 'hostChanged', host }, 31_000);
    t.is(getHostState(driver, 'u1'), 'live');
  });
});

test('an upstream whose entry was missing when a peer told that it leaves is not live when the entry is back', (t) => {
  const driver = routedFixtures.makeRoutedDriver(IDS);
  driver.send({ type: 'hostRemoved', hostId: 'u1' });
  const news = [{ upstreamId: 'u1', bornAtMs: 1 }];
  driver.send({ type: 'leavingNewsReceived', news }, 0);
  driver.send({ type: 'hostChanged', host: routedFixtures.makeHost('u1') }, 1_000);
  t.is(getHostState(driver, 'u1'), 'leaving');
  driver.send({ type: 'hostChanged', host: routedFixtures.makeHost('u1', { bornAtMs: 2 }) }, 1_000);
  t.is(getHostState(driver, 'u1'), 'live');
});

test('an upstream that leaves before its restart is listed is not live when it is', (t) => {
  const driver = routedFixtures.makeRoutedDriver(IDS);
  const news = [{ upstreamId: 'u1', bornAtMs: 2 }];
  driver.send({ type: 'leavingNewsReceived', news }, 0);
  t.is(getHostState(driver, 'u1'), 'live');
  driver.send({ type: 'hostChanged', host: routedFixtures.makeHost('u1', { bornAtMs: 2 }) }, 1_000);
  t.is(getHostState(driver, 'u1'), 'leaving');
});

test('news of an earlier process of an upstream does not replace what is known of the present one', (t) => {
  const driver = routedFixtures.makeRoutedDriver(IDS);
  const present = routedFixtures.makeHost('u1', { bornAtMs: 2 });
  driver.send({ type: 'hostChanged', host: present }, 0);
  driver.send({ type: 'noticeObserved', upstreamId: 'u1', isLeaving: true, restMs: null }, 0);
  driver.send({ type: 'leavingNewsReceived', news: [{ upstreamId: 'u1', bornAtMs: 1 }] }, 0);
  driver.send({ type: 'hostRemoved', hostId: 'u1' }, 0);
  driver.send({ type: 'hostChanged', host: present }, 1_000);
  t.is(getHostState(driver, 'u1'), 'leaving');
});

test('news of a later process does not bring back the listed one that leaves', (t) => {
  const driver = routedFixtures.makeRoutedDriver(IDS);
  const present = routedFixtures.makeHost('u1', { bornAtMs: 2 });
  driver.send({ type: 'hostChanged', host: present }, 0);
  driver.send({ type: 'noticeObserved', upstreamId: 'u1', isLeaving: true, restMs: null }, 0);
  driver.send({ type: 'leavingNewsReceived', news: [{ upstreamId: 'u1', bornAtMs: 3 }] }, 0);
  driver.send({ type: 'hostRemoved', hostId: 'u1' }, 0);
  driver.send({ type: 'hostChanged', host: present }, 1_000);
  t.is(getHostState(driver, 'u1'), 'leaving');
});

const ANSWER_MS = 20;

/** Answers the attempts among the effects of an event, all equally fast, and returns their upstreams. */
const answerAttempts = (
  driver: fixtures.Driver,
  effects: readonly core.effects.Effect[],
  sentMs: number,
): readonly string[] =>
  fixtures.pickEffects(effects, 'startAttempt').map(({ requestId, attemptId, upstreamId }) => {
    const nowMs = sentMs + ANSWER_MS;
    const head = { status: 200, confidence: null };
    driver.send({ type: 'noticeObserved', upstreamId, isLeaving: false, restMs: null }, nowMs);
    driver.send({ type: 'routedHeadArrived', requestId, attemptId, head }, nowMs);
    driver.send(
      { type: 'routedAttemptEnded', requestId, attemptId, events: 1, streamMs: 0 },
      nowMs,
    );
    return upstreamId;
  });

/** Sends calls one after the other and returns the upstreams that answered them. */
const sendCalls = (driver: fixtures.Driver, name: string, startMs: number): readonly string[] =>
  Array.from({ length: 20 }, (_, index) => startMs + index * ANSWER_MS).flatMap((nowMs) =>
    answerAttempts(
      driver,
      routedFixtures.sendCall(driver, `${name}-${nowMs}`, {}, 0, nowMs),
      nowMs,
    ),
  );

test('an upstream is used after its pause as it was before, whatever load its refusal suggested', (t) => {
  const driver = routedFixtures.makeRoutedDriver(['u1', 'u22']);
  const used = sendCalls(driver, 'before', 0);
  const [attempt] = fixtures.pickEffects(
    routedFixtures.sendCall(driver, 'refused', {}, 0, 1_000),
    'startAttempt',
  );
  const { attemptId = 0, upstreamId = '' } = attempt ?? {};
  driver.send({ type: 'noticeObserved', upstreamId, isLeaving: false, restMs: 2_000 }, 1_000);
  const change = { failure: 'turnedAway', isNotRun: true } as const;
  const refusal = routedFixtures.makeFailure('refused', attemptId, change);
  answerAttempts(driver, driver.send(refusal, 1_000), 1_000);
  t.false(sendCalls(driver, 'within', 2_000).includes(upstreamId));
  const after = sendCalls(driver, 'after', 3_500);
  const count = (ids: readonly string[]): number => ids.filter((id) => id === upstreamId).length;
  t.is(count(after), count(used), `${used.join()} ${after.join()}`);
});

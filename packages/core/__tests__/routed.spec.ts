import test from 'ava';
import * as fc from 'fast-check';
import * as core from '../src/index.js';
import * as fixtures from './fixtures.js';
import * as routedFixtures from './routedFixtures.js';

const listStarts = (effects: readonly core.effects.Effect[]): readonly string[] =>
  fixtures.pickEffects(effects, 'startAttempt').map((effect) => effect.upstreamId);

const findRefusal = (effects: readonly core.effects.Effect[]): string | undefined =>
  fixtures.pickEffects(effects, 'refuse')[0]?.code;

test('a path matches the route with the longest prefix on its host', (t) => {
  const driver = routedFixtures.makeRoutedDriver();
  routedFixtures.sendCall(driver, 'a', { path: '/read/deep/x' });
  t.is(driver.getState().requests.get('a')?.routed?.route.name, 'deep');
  routedFixtures.sendCall(driver, 'b', { path: '/read/deeper' });
  t.is(driver.getState().requests.get('b')?.routed?.route.name, 'read');
});

test('only a recently confirmed table denies a request; with an older one the caller is asked to retry', (t) => {
  const driver = routedFixtures.makeRoutedDriver();
  const { maxDenyAgeMs, maxKeyAgeMs } = core.routedContext.DEFAULT_SETTINGS;
  t.is(findRefusal(routedFixtures.sendCall(driver, 'a', { path: '/x/' })), 'noRoute');
  t.is(findRefusal(routedFixtures.sendCall(driver, 'b', { key: 'x' })), 'unauthorized');
  const outdatedMs = maxDenyAgeMs + 1;
  t.is(
    findRefusal(routedFixtures.sendCall(driver, 'c', { path: '/x/' }, outdatedMs)),
    'viewOutdated',
  );
  t.is(findRefusal(routedFixtures.sendCall(driver, 'd', { key: 'x' }, outdatedMs)), 'viewOutdated');
  t.is(findRefusal(routedFixtures.sendCall(driver, 'e', {}, maxKeyAgeMs + 1)), 'viewOutdated');
  t.is(findRefusal(routedFixtures.sendCall(driver, 'f', {}, maxKeyAgeMs)), undefined);
});

test('a refusal because of an outdated table has a retry-after time within the deadline', (t) => {
  const driver = routedFixtures.makeRoutedDriver();
  const findRetryAfterMs = (path: string, tableAgeMs: number): number | null | undefined =>
    fixtures.pickEffects(
      routedFixtures.sendCall(driver, 'a', { path, deadlineMs: 900 }, tableAgeMs),
      'refuse',
    )[0]?.retryAfterMs;
  const retryAfterMs =
    findRetryAfterMs('/read/', core.routedContext.DEFAULT_SETTINGS.maxKeyAgeMs + 1) ?? 0;
  t.true(retryAfterMs > 0 && retryAfterMs <= 300);
  t.is(findRetryAfterMs('/unknown/', 0), null);
});

test('a withdrawn key is not accepted after the bound, whatever the age of the table', (t) => {
  const boundMs = 5_000;
  const settings = { ...core.routedContext.DEFAULT_SETTINGS, maxKeyAgeMs: boundMs * 0.78 };
  fc.assert(
    fc.property(
      fc.integer({ min: 0, max: 20_000 }),
      fc.integer({ min: 0, max: 20_000 }),
      (confirmedAtMs, sinceMs) => {
        const driver = routedFixtures.makeRoutedDriver();
        driver.send({ type: 'routedSettingsChanged', settings });
        // The key is withdrawn immediately after the confirmation of the table.
        const requestedAtMs = confirmedAtMs + sinceMs;
        const effects = routedFixtures.sendCall(driver, 'a', {}, requestedAtMs - confirmedAtMs);
        return listStarts(effects).length === 0 || sinceMs <= boundMs;
      },
    ),
    { seed: 7 },
  );
  t.pass();
});

test('a non-repeatable request is sent again only if it was provably not executed', (t) => {
  fc.assert(
    fc.property(
      fc.array(
        fc.record({
          failure: fc.constantFrom<core.events.RoutedFailure>(
            'unreachable',
            'broken',
            'silent',
            'garbage',
            'turnedAway',
          ),
          proof: fc.constantFrom('unsent', 'notRun', 'none'),
        }),
        { maxLength: 6 },
      ),
      (failures) => {
        const driver = routedFixtures.makeRoutedDriver();
        let effects = routedFixtures.sendCall(driver, 'a', { path: '/issue/' });
        let mayHaveRun = false;
        for (const [index, { failure, proof }] of failures.entries()) {
          if (listStarts(effects).length === 0) {
            break;
          }
          mayHaveRun ||= proof === 'none';
          effects = driver.send(
            routedFixtures.makeFailure('a', index + 1, {
              failure,
              isUnsent: proof === 'unsent',
              isNotRun: proof !== 'none',
            }),
          );
          if (mayHaveRun && listStarts(effects).length > 0) {
            return false;
          }
          const refusal = fixtures.pickEffects(effects, 'refuse')[0];
          if (mayHaveRun && refusal?.code === 'overloaded') {
            return false;
          }
        }
        return true;
      },
    ),
    { seed: 11 },
  );
  t.pass();
});

test('a request is not sent more often than its route allows', (t) => {
  const driver = routedFixtures.makeRoutedDriver(['u1', 'u2', 'u3', 'u4', 'u5']);
  let effects = routedFixtures.sendCall(driver, 'a');
  let sends = 0;
  while (listStarts(effects).length > 0) {
    sends += 1;
    effects = driver.send(routedFixtures.makeFailure('a', sends));
  }
  t.is(sends, 3);
  t.is(findRefusal(effects), 'upstreamFailed');
});

test('a request that was not executed is refused as not run, with a retry-after time within its deadline', (t) => {
  const driver = routedFixtures.makeRoutedDriver(['u1']);
  routedFixtures.sendCall(driver, 'a', { deadlineMs: 900 });
  const send = (id: number): readonly core.effects.Effect[] =>
    driver.send(routedFixtures.makeFailure('a', id, { failure: 'turnedAway', isNotRun: true }));
  const effects = [...send(1), ...send(2), ...send(3)];
  const later = driver.send(
    { type: 'timerFired', timer: { kind: 'queueDeadline', requestId: 'a' } },
    800,
  );
  const refusal = fixtures.pickEffects([...effects, ...later], 'refuse')[0];
  t.is(refusal?.code, 'overloaded');
  t.true((refusal?.retryAfterMs ?? Infinity) <= 300);
});

test('repeatable requests move away from an unreachable upstream, other requests stay', (t) => {
  const driver = routedFixtures.makeRoutedDriver(['u1', 'u2']);
  const [first = ''] = listStarts(routedFixtures.sendCall(driver, 'a'));
  const unsafe = listStarts(routedFixtures.sendCall(driver, 'b', { path: '/issue/' }));
  const effects = ['u1', 'u2']
    .filter((id) => id === first)
    .flatMap((upstreamId) =>
      driver.send({ type: 'reachabilityObserved', upstreamId, isReachable: false }),
    );
  t.is(unsafe.length, 1);
  const moved = fixtures.pickEffects(effects, 'startAttempt');
  t.deepEqual(
    moved.map((effect) => effect.requestId),
    ['a'],
  );
  t.not(moved[0]?.upstreamId ?? '', first);
  t.true(driver.getState().requests.has('b'));
});

test('a non-repeatable request moves away from an unreachable upstream if nothing was sent', (t) => {
  const driver = routedFixtures.makeRoutedDriver(['u1', 'u2']);
  const [upstreamId = ''] = listStarts(routedFixtures.sendCall(driver, 'a', { path: '/issue/' }));
  const unreachable = driver.send({ type: 'reachabilityObserved', upstreamId, isReachable: false });
  t.deepEqual(
    fixtures.pickEffects(unreachable, 'dropUnsent').map(({ requestId }) => requestId),
    ['a'],
  );
  const dropped = driver.send(
    routedFixtures.makeFailure('a', 1, {
      failure: 'unreachable',
      isUnsent: true,
      isNotRun: true,
    }),
  );
  const [next = ''] = listStarts(dropped);
  t.not(next, '');
  t.not(next, upstreamId);
});

test('a request that crashed three upstreams is refused on all routers until it no longer comes', (t) => {
  const ids = ['u1', 'u2', 'u3', 'u4', 'u5'];
  const [first, second] = [
    routedFixtures.makeRoutedDriver(ids),
    routedFixtures.makeRoutedDriver(ids),
  ];
  const send = (driver: fixtures.Driver, id: string, nowMs: number): string | undefined =>
    listStarts(routedFixtures.sendCall(driver, id, { path: '/issue/' }, 0, nowMs))[0];
  const crash = (id: string, nowMs: number): void => {
    const upstreamId = send(first, id, nowMs) ?? '';
    first.send(routedFixtures.makeFailure(id, 1), nowMs);
    // A crash that is observed more than once counts once.
    ['once', 'again'].forEach(() => {
      const effects = first.send({ type: 'crashObserved', upstreamId }, nowMs);
      fixtures
        .pickEffects(effects, 'broadcastGuardNews')
        .forEach(({ news }) => second.send({ type: 'guardNewsReceived', news }, nowMs));
    });
    const host = routedFixtures.makeHost(upstreamId, { bornAtMs: id.charCodeAt(0) });
    [first, second].forEach((driver) => driver.send({ type: 'hostChanged', host }, nowMs));
  };
  crash('a', 1_000);
  crash('b', 1_100);
  t.truthy(send(second, 'c', 1_200));
  crash('d', 1_200);
  t.is(send(first, 'e', 1_300), undefined);
  t.is(send(second, 'f', 1_300), undefined);
  const { HOLD_MS } = core.guardState;
  // Each refusal renews the guard.
  second.send({ type: 'ticked' }, HOLD_MS);
  t.is(send(second, 'g', HOLD_MS), undefined);
  second.send({ type: 'ticked' }, 1_300 + HOLD_MS);
  t.is(send(second, 'h', 1_300 + HOLD_MS), undefined);
  second.send({ type: 'ticked' }, 1_300 + 2 * HOLD_MS);
  t.truthy(send(second, 'i', 1_300 + 2 * HOLD_MS));
});

test('a stream that has begun is aborted when its last upstream answers with a failure', (t) => {
  const driver = routedFixtures.makeRoutedDriver(['u1', 'u2', 'u3']);
  routedFixtures.sendCall(driver, 'a', { path: '/talk/' });
  const sendHead = (attemptId: number, status: number): readonly core.effects.Effect[] =>
    driver.send({
      type: 'routedHeadArrived',
      requestId: 'a',
      attemptId,
      head: { status, confidence: null },
    });
  t.is(fixtures.pickEffects(sendHead(1, 200), 'forwardAnswer').length, 1);
  driver.send(routedFixtures.makeFailure('a', 1));
  sendHead(2, 500);
  const last = sendHead(3, 500);
  t.is(fixtures.pickEffects(last, 'forwardAnswer').length, 0);
  t.is(findRefusal(last), 'answerIncomplete');
});

test('a resumed stream stays on the version that began it during a roll-out', (t) => {
  const driver = routedFixtures.makeRoutedDriver(['old-1', 'old-2']);
  ['new-1', 'new-2'].forEach((id) =>
    driver.send({ type: 'hostChanged', host: routedFixtures.makeHost(id, { version: 'v2' }) }),
  );
  const ids = Array.from({ length: 30 }, (_, index) => `r${index}`);
  ids.forEach((id) => {
    routedFixtures.sendCall(driver, id, { path: '/talk/', session: id });
  });
  const begun = new Map(
    ids.map((id) => [id, driver.getState().requests.get(id)?.attempts[0]?.upstreamId ?? '']),
  );
  ids.forEach((id) =>
    driver.send({
      type: 'routedHeadArrived',
      requestId: id,
      attemptId: 1,
      head: { status: 200, confidence: null },
    }),
  );
  const order = { service: 'desk', to: 'v2', periodMs: 20_000, revision: 3 };
  driver.send({ type: 'canaryObserved', order, stage: 'running', elapsedMs: 0 });
  ids.forEach((id) => {
    const [next] = listStarts(driver.send(routedFixtures.makeFailure(id, 1)));
    if (next !== undefined) {
      t.is(next.slice(0, 3), (begun.get(id) ?? '').slice(0, 3));
    }
  });
});

test('an answer of low confidence is replaced, and a saturated pool keeps more of them', (t) => {
  const countReplaced = (headMs: number): number => {
    const driver = routedFixtures.makeRoutedDriver(['u1', 'u2', 'u3', 'u4', 'u5', 'u6']);
    let nowMs = 10;
    const ids = Array.from({ length: 40 }, (_, index) => `r${index}`);
    return ids.reduce((sum, id) => {
      const call = { path: '/sized/', model: '*', tokensIn: 1_000, maxTokens: 20 };
      routedFixtures.sendCall(driver, id, call, 0, nowMs);
      nowMs += headMs;
      const head = { status: 200, confidence: 45 };
      const effects = driver.send(
        { type: 'routedHeadArrived', requestId: id, attemptId: 1, head },
        nowMs,
      );
      driver.send({ type: 'callerGone', requestId: id }, nowMs);
      return sum + listStarts(effects).length;
    }, 0);
  };
  const idle = countReplaced(50);
  const saturated = countReplaced(900);
  t.true(idle > 0);
  t.true(saturated < idle / 2, `${saturated} of ${idle}`);
});

test('repeated sends stay within a router’s part of the fleet’s budget in every window', (t) => {
  const rule = { share: 0.9, slack: 58, windowMs: 10_000 };
  fc.assert(
    fc.property(
      fc.array(fc.tuple(fc.boolean(), fc.integer({ min: 1, max: 400 })), { maxLength: 400 }),
      (steps) => {
        const routers = 9;
        let window = core.sendBudget.EMPTY_WINDOW;
        let nowMs = 0;
        const sends: { readonly atMs: number; readonly isRepeat: boolean }[] = [];
        steps.forEach(([isRepeat, pauseMs]) => {
          nowMs += pauseMs;
          if (!isRepeat || core.sendBudget.hasRepeatBudget(window, rule, routers, nowMs)) {
            window = core.sendBudget.recordSend(window, isRepeat, rule, nowMs);
            sends.push({ atMs: nowMs, isRepeat });
          }
        });
        return sends.every(({ atMs }) => {
          const recent = sends.filter(
            (send) => send.atMs <= atMs && send.atMs > atMs - rule.windowMs,
          );
          const repeats = recent.filter((send) => send.isRepeat).length;
          // The bound also counts the first sends of the preceding window.
          const firsts = sends.filter(
            (send) => !send.isRepeat && send.atMs <= atMs && send.atMs > atMs - 2 * rule.windowMs,
          ).length;
          return repeats <= rule.share * firsts + rule.slack / routers;
        });
      },
    ),
    { seed: 5, numRuns: 60 },
  );
  t.pass();
});

test('a request is still sent if all upstreams are unreachable', (t) => {
  const driver = routedFixtures.makeRoutedDriver(['u1', 'u2']);
  ['u1', 'u2'].forEach((upstreamId) =>
    driver.send({ type: 'reachabilityObserved', upstreamId, isReachable: false }),
  );
  t.is(listStarts(routedFixtures.sendCall(driver, 'a')).length, 1);
});

test('a leaving upstream gets no request, a restarted one does, and a removed one finishes its work', (t) => {
  const driver = routedFixtures.makeRoutedDriver(['u1']);
  driver.send({
    type: 'hostChanged',
    host: routedFixtures.makeHost('u1', { state: 'leaving' }),
  });
  t.is(findRefusal(routedFixtures.sendCall(driver, 'a')), 'noUpstream');
  driver.send({ type: 'hostChanged', host: routedFixtures.makeHost('u1', { bornAtMs: 2 }) });
  t.deepEqual(listStarts(routedFixtures.sendCall(driver, 'b')), ['u1']);
  driver.send({ type: 'hostRemoved', hostId: 'u1' });
  t.is(driver.getState().upstreams.get('u1')?.host.state, 'leaving');
});

test('short prompts avoid the upstreams on which other routers place long prompts', (t) => {
  const ids = ['u1', 'u2', 'u3', 'u4', 'u5', 'u6'];
  const drivers = [1, 2, 3, 4].map(() => {
    const driver = routedFixtures.makeRoutedDriver([]);
    ids.forEach((id) =>
      driver.send({ type: 'hostChanged', host: routedFixtures.makeHost(id, { slots: 40 }) }),
    );
    return driver;
  });
  const send = (driver: fixtures.Driver, id: string, tokensIn: number): string => {
    const effects = routedFixtures.sendCall(driver, id, { path: '/talk/', model: 'm', tokensIn });
    return listStarts(effects)[0] ?? '';
  };
  // Each router learns the model's prefill time: 100 ms for a prompt of one token. The routers'
  // histories differ, and so do their choices between upstreams of equal score.
  drivers.forEach((driver, router) =>
    Array.from({ length: router + 1 }, (_, index) => `first-${index}`).forEach((requestId) => {
      send(driver, requestId, 1);
      const head = { status: 200, confidence: null };
      driver.send({ type: 'routedHeadArrived', requestId, attemptId: 1, head }, 101);
      driver.send(
        { type: 'routedAttemptEnded', requestId, attemptId: 1, events: 1, streamMs: 0 },
        101,
      );
    }),
  );
  const long = drivers.map((driver, router) => send(driver, `long-${router}`, 9_000));
  const short = drivers.flatMap((driver, router) =>
    [1, 2, 3].map((index) => send(driver, `short-${router}-${index}`, 100)),
  );
  t.true(new Set(long).size > 1);
  // Without regard to length, six of the twelve short prompts share an upstream with a long one. One
  // may, where the load outweighs the length penalty.
  const behind = short.filter((id) => long.includes(id));
  t.true(behind.length <= 1, behind.join(' '));
});

test('the route time-out counts from the arrival of a request, not from when it was read', (t) => {
  const driver = routedFixtures.makeRoutedDriver();
  const effects = routedFixtures.sendCall(driver, 'a', { deadlineMs: 1_000 }, 0, 5_000, 400);
  t.is(fixtures.pickEffects(effects, 'startAttempt')[0]?.routed?.timeLeftMs, 600);
  t.is(fixtures.pickEffects(effects, 'armTimer')[0]?.delayMs, 600);
  const late = routedFixtures.sendCall(driver, 'b', { deadlineMs: 1_000 }, 0, 5_000, 1_000);
  t.deepEqual(listStarts(late), []);
  t.is(findRefusal(late), 'overloaded');
});

test('at the end of a stop all requests are refused, as not run only if no upstream can have run them, and none starts', (t) => {
  const driver = routedFixtures.makeRoutedDriver(['u1']);
  const paths = ['/read/', '/issue/', '/talk/'];
  // The upstream has four slots; the requests beyond them wait in the queue.
  const ids = Array.from({ length: 9 }, (_, index) => `r${index}`);
  ids.forEach((id, index) =>
    routedFixtures.sendCall(driver, id, { path: paths[index % paths.length] ?? '' }),
  );
  const queued = ids.filter((id) => driver.getState().requests.get(id)?.phase === 'queued');
  t.is(queued.length, 5);
  const effects = driver.send({ type: 'stopExpired' });
  t.deepEqual(listStarts(effects), []);
  const refusals = fixtures.pickEffects(effects, 'refuse');
  t.deepEqual(refusals.map(({ requestId }) => requestId).sort(), ids);
  refusals.forEach(({ requestId, code, notRun }) => {
    t.is(code, queued.includes(requestId) ? 'routerStopping' : 'deadlineExceeded', requestId);
    t.is(notRun, queued.includes(requestId), requestId);
  });
  t.is(fixtures.pickEffects(effects, 'cancelAttempt').length, 4);
  t.is(driver.getState().requests.size, 0);
  t.is(driver.getState().services.get('desk')?.queue.size, 0);
  t.is(findRefusal(routedFixtures.sendCall(driver, 'late')), 'routerStopping');
});

const listAttemptIds = (effects: readonly core.effects.Effect[]): readonly number[] =>
  fixtures.pickEffects(effects, 'startAttempt').map((effect) => effect.attemptId);

/** Starts a stream and forwards its head; returns the id of its attempt. */
const startStream = (driver: fixtures.Driver): number => {
  routedFixtures.sendCall(driver, 'a', { path: '/talk/' });
  const [attempt] = driver.getState().requests.get('a')?.attempts ?? [];
  const attemptId = attempt?.id ?? -1;
  const head = { status: 200, confidence: null };
  const effects = driver.send({ type: 'routedHeadArrived', requestId: 'a', attemptId, head });
  return fixtures.pickEffects(effects, 'forwardAnswer')[0]?.attemptId ?? -1;
};

test('an answer that pauses is continued on another upstream', (t) => {
  const driver = routedFixtures.makeRoutedDriver(['u1', 'u2']);
  const attemptId = startStream(driver);
  const effects = driver.send({ type: 'routedAttemptSilent', requestId: 'a', attemptId });
  t.is(fixtures.pickEffects(effects, 'cancelAttempt').length, 1);
  t.is(listStarts(effects).length, 1);
});

test('an answer that pauses keeps its upstream if no other one can continue it', (t) => {
  const driver = routedFixtures.makeRoutedDriver(['u1']);
  const attemptId = startStream(driver);
  const effects = driver.send({ type: 'routedAttemptSilent', requestId: 'a', attemptId });
  t.deepEqual(effects, []);
  t.is(driver.getState().requests.get('a')?.attempts[0]?.id, attemptId);
  t.is(driver.getState().upstreams.get('u1')?.consecutiveFailures, 1);
});

test('the rest of an answer that has begun waits for capacity until its deadline', (t) => {
  const driver = routedFixtures.makeRoutedDriver(['u1', 'u2']);
  const attemptId = startStream(driver);
  const [first] = driver.getState().requests.get('a')?.attempts ?? [];
  const other = first?.upstreamId === 'u1' ? 'u2' : 'u1';
  const full = { slots: 1 };
  driver.send({ type: 'hostChanged', host: routedFixtures.makeHost('u1', full) });
  driver.send({ type: 'hostChanged', host: routedFixtures.makeHost('u2', full) });
  const busy = routedFixtures.sendCall(driver, 'b', { path: '/talk/' });
  t.deepEqual(listStarts(busy), [other]);
  const startedAtMs = driver.getState().requests.get('a')?.arrivedAtMs ?? 0;
  const lateMs = startedAtMs + 5_000;
  driver.send({ type: 'hostRemoved', hostId: first?.upstreamId ?? '' }, lateMs);
  const queued = driver.send(routedFixtures.makeFailure('a', attemptId), lateMs);
  t.is(findRefusal(queued), undefined);
  const timer = { kind: 'queueDeadline', requestId: 'a' } as const;
  t.is(findRefusal(driver.send({ type: 'timerFired', timer }, lateMs)), undefined);
  const [second] = driver.getState().requests.get('b')?.attempts ?? [];
  const ended = { type: 'routedAttemptEnded', requestId: 'b', events: 1, streamMs: 1 } as const;
  const freed = driver.send({ ...ended, attemptId: second?.id ?? -1 }, lateMs + 100);
  t.deepEqual(listStarts(freed), [other]);
});

test('the rest of an answer stays on an unreachable upstream if no other one has capacity', (t) => {
  const driver = routedFixtures.makeRoutedDriver(['u1', 'u2']);
  startStream(driver);
  const [first] = driver.getState().requests.get('a')?.attempts ?? [];
  const { upstreamId = '' } = first ?? {};
  ['u1', 'u2'].forEach((id) =>
    driver.send({ type: 'hostChanged', host: routedFixtures.makeHost(id, { slots: 1 }) }),
  );
  const busy = routedFixtures.sendCall(driver, 'b', { path: '/talk/' });
  t.not(listStarts(busy)[0], upstreamId);
  const effects = driver.send({ type: 'reachabilityObserved', upstreamId, isReachable: false });
  t.deepEqual(fixtures.pickEffects(effects, 'cancelAttempt'), []);
  t.deepEqual(driver.getState().requests.get('a')?.attempts, [first]);
});

test('attempts stay on an upstream that refuses new connections', (t) => {
  const driver = routedFixtures.makeRoutedDriver(['u1', 'u2']);
  startStream(driver);
  const [first] = driver.getState().requests.get('a')?.attempts ?? [];
  const { upstreamId = '' } = first ?? {};
  const observed = { type: 'reachabilityObserved', upstreamId, isReachable: false } as const;
  const effects = driver.send({ ...observed, isRefused: true });
  t.deepEqual(fixtures.pickEffects(effects, 'cancelAttempt'), []);
  t.is(fixtures.pickEffects(effects, 'dropUnsent').length, 1);
  t.not(listStarts(routedFixtures.sendCall(driver, 'b', { path: '/talk/' }))[0], upstreamId);
});

test('only a success can continue an answer that has begun', (t) => {
  const driver = routedFixtures.makeRoutedDriver(['u1', 'u2', 'u3']);
  const attemptId = startStream(driver);
  const [next] = listAttemptIds(driver.send(routedFixtures.makeFailure('a', attemptId)));
  const head = { status: 400, confidence: null };
  const rejected = driver.send({
    type: 'routedHeadArrived',
    requestId: 'a',
    attemptId: next ?? -1,
    head,
  });
  t.is(fixtures.pickEffects(rejected, 'forwardAnswer').length, 0);
  const [last] = listAttemptIds(rejected);
  const ended = driver.send({
    type: 'routedHeadArrived',
    requestId: 'a',
    attemptId: last ?? -1,
    head,
  });
  t.is(findRefusal(ended), 'answerIncomplete');
});

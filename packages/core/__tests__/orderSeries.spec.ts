import test from 'ava';
import * as core from '../src/index.js';
import type * as fixtures from './fixtures.js';
import * as rolloutRequests from './rolloutRequests.js';
import * as routedFixtures from './routedFixtures.js';

const { EXPOSURE, STARTED_AT_MS } = rolloutRequests;
const PERIOD_MS = 16_000;
const RATE = 50;
const STEP_MS = 1_000 / RATE;
const TICK_MS = 100;
const VERSIONS = ['v1', 'v2', 'v3', 'v4'];
const SEEDS = [1, 2, 3, 4, 5];

interface SeriesOrder {
  readonly atMs: number;
  readonly to: string;
  readonly periodMs?: number;
}

interface Series {
  readonly orders: readonly SeriesOrder[];
  readonly seed?: number;
  readonly untilMs?: number;
  /** Number of sessions in which the requests are, in turn; 0 for none. */
  readonly sessions?: number;
  readonly getStatus?: (version: string, atMs: number, draw: () => number) => number;
}

interface Run {
  readonly atMs: number;
  readonly version: string;
  readonly session: string | null;
}

interface SeriesOutcome {
  readonly runs: readonly Run[];
  /** Outcomes as the store takes them, as `version stage`. */
  readonly outcomes: readonly string[];
  readonly driver: fixtures.Driver;
}

const sendOrder = (
  driver: fixtures.Driver,
  { atMs, to, periodMs = PERIOD_MS }: SeriesOrder,
  change: Partial<core.events.EventPayloads['canaryObserved']> = {},
): void => {
  driver.send(
    {
      type: 'canaryObserved',
      order: { service: 'desk', to, periodMs, revision: 10 + atMs },
      stage: 'running',
      elapsedMs: 0,
      ...change,
    },
    STARTED_AT_MS + atMs,
  );
};

/** Adds the upstreams that the platform starts for an order. */
const startVersion = (driver: fixtures.Driver, version: string, nowMs: number): void =>
  [1, 2].forEach((index) => {
    const host = routedFixtures.makeHost(`${version}-${index}`, { version, slots: 400 });
    driver.send({ type: 'hostChanged', host }, nowMs);
  });

/** Removes the upstreams that the platform stops at an outcome. */
const applyOutcome = (driver: fixtures.Driver, to: string, stage: string, nowMs: number): void => {
  VERSIONS.filter((version) => (version === to) === (stage === 'rolledBack')).forEach((version) =>
    [1, 2].forEach((index) =>
      driver.send({ type: 'hostRemoved', hostId: `${version}-${index}` }, nowMs),
    ),
  );
};

/** Plays orders of one service, one after the other, at a router with upstreams of all versions. */
const simulateSeries = ({
  orders,
  seed = 1,
  untilMs = 40_000,
  sessions = 0,
  getStatus = () => 200,
}: Series): SeriesOutcome => {
  const driver = rolloutRequests.makeRouter(['v1']);
  const draw = rolloutRequests.makeDraw(seed);
  const runs: Run[] = [];
  const outcomes: string[] = [];
  const started = new Set<SeriesOrder>();
  for (let atMs = 0; atMs < untilMs; atMs += STEP_MS) {
    const nowMs = STARTED_AT_MS + atMs;
    orders
      .filter((order) => order.atMs <= atMs && !started.has(order))
      .forEach((order) => {
        started.add(order);
        startVersion(driver, order.to, nowMs);
        sendOrder(driver, order);
      });
    const requestId = `r-${seed}-${atMs}`;
    const session = sessions === 0 ? null : `s${Math.floor(draw() * sessions)}`;
    routedFixtures.sendCall(driver, requestId, { path: '/issue/', session }, 0, nowMs);
    const version = rolloutRequests.getVersion(driver, requestId);
    runs.push({ atMs, version, session });
    if (version === 'none') {
      driver.send({ type: 'callerGone', requestId }, nowMs);
    } else {
      rolloutRequests.answerRequest(driver, requestId, getStatus(version, atMs, draw), nowMs + 10);
    }
    if (atMs % TICK_MS === 0) {
      rolloutRequests.listProposed(driver, nowMs + 10).forEach(({ order, stage }) => {
        outcomes.push(`${order.to} ${stage}`);
        driver.send({ type: 'canaryObserved', order, stage, elapsedMs: atMs }, nowMs + 10);
        applyOutcome(driver, order.to, stage, nowMs + 10);
      });
    }
  }
  return { runs, outcomes, driver };
};

/** Counts the requests on a version from an order on, for its period. */
const countExposed = (
  runs: readonly Run[],
  { atMs, to, periodMs = PERIOD_MS }: SeriesOrder,
): number =>
  runs.filter((run) => run.version === to && run.atMs >= atMs && run.atMs < atMs + periodMs).length;

const ALLOWED = (EXPOSURE.share * RATE * PERIOD_MS) / 1_000 + EXPOSURE.slack;

// The version of an order that another one followed counted as a previous one, and got as many requests as those.
[0, 200, 1_000, 2_500, 9_000, 14_000].forEach((gapMs) => {
  test(`a version that turns bad stays under its bound when the next order comes ${gapMs} ms after its own`, (t) => {
    SEEDS.forEach((seed) => {
      const orders = [
        { atMs: 0, to: 'v2' },
        { atMs: gapMs, to: 'v3' },
      ];
      const { runs, outcomes } = simulateSeries({
        orders,
        seed,
        getStatus: (version, atMs, draw) =>
          version === 'v2' && atMs > gapMs + 2_000 && draw() < 0.25 ? 500 : 200,
      });
      const exposed = countExposed(runs, { atMs: 0, to: 'v2' });
      t.true(exposed <= ALLOWED, `seed ${seed}: ${exposed}`);
      t.true(runs.every(({ version }) => version !== 'none'));
      t.deepEqual(outcomes, ['v3 completed']);
      t.deepEqual(
        runs.filter(({ version, atMs }) => version === 'v2' && atMs > 30_000),
        [],
      );
    });
  });
});

// The answers of a version under trial counted for the previous ones, with which the next version was compared.
test('a version that is as bad as the one of the order before is rolled back', (t) => {
  SEEDS.forEach((seed) => {
    const { outcomes, runs } = simulateSeries({
      orders: [
        { atMs: 0, to: 'v2' },
        { atMs: 1_000, to: 'v3' },
      ],
      seed,
      getStatus: (version, _, draw) => (version !== 'v1' && draw() < 0.4 ? 500 : 200),
    });
    t.deepEqual(outcomes, ['v3 rolledBack'], `seed ${seed}`);
    t.true(runs.slice(-500).every(({ version }) => version === 'v1'));
  });
});

test('three orders within a second keep each version under its bound, and the last completes', (t) => {
  const orders = [
    { atMs: 0, to: 'v2' },
    { atMs: 400, to: 'v3' },
    { atMs: 900, to: 'v4' },
  ];
  const { runs, outcomes } = simulateSeries({ orders });
  orders.forEach((order) => {
    const exposed = countExposed(runs, order);
    t.true(exposed <= ALLOWED, `${order.to}: ${exposed}`);
    t.true(exposed > 0);
  });
  t.deepEqual(outcomes, ['v4 completed']);
});

test('a version that is ordered again is judged by what is known of it', (t) => {
  const bad = (version: string, atMs: number): number =>
    version === 'v2' && atMs % 200 < 80 ? 500 : 200;
  const { runs, outcomes } = simulateSeries({
    orders: [
      { atMs: 0, to: 'v2' },
      { atMs: 800, to: 'v3' },
      { atMs: 1_600, to: 'v2' },
    ],
    getStatus: bad,
  });
  t.deepEqual(outcomes, ['v2 rolledBack']);
  t.true(runs.filter(({ version }) => version === 'v2').length < 40);
  const late = simulateSeries({
    orders: [
      { atMs: 0, to: 'v2', periodMs: PERIOD_MS },
      { atMs: 9_000, to: 'v2', periodMs: 20_000 },
    ],
    untilMs: 40_000,
  });
  t.deepEqual(late.outcomes, ['v2 completed']);
  const completedAtMs = late.runs.findLast(({ version }) => version === 'v1')?.atMs ?? 0;
  t.true(completedAtMs > 9_000 + 20_000 * 0.8 && completedAtMs < 29_000, `${completedAtMs}`);
});

test('an order back to the version that serves needs no trial and is not rolled back', (t) => {
  [0, 0.3].forEach((failures) =>
    [300, 3_000, 10_000].forEach((gapMs) => {
      const { runs, outcomes } = simulateSeries({
        orders: [
          { atMs: 0, to: 'v2' },
          { atMs: gapMs, to: 'v1' },
        ],
        getStatus: (version, _, draw) => (version === 'v1' && draw() < failures ? 500 : 200),
        untilMs: gapMs + 20_000,
      });
      t.true(countExposed(runs, { atMs: 0, to: 'v2' }) <= ALLOWED);
      t.deepEqual(outcomes, ['v1 completed'], `${gapMs}`);
      // Upstreams that fail are ejected for a time.
      t.true(failures > 0 || runs.every(({ version }) => version !== 'none'));
    }),
  );
});

test('an order for the only version that there is sends all requests to it', (t) => {
  const driver = rolloutRequests.makeRouter(['v1']);
  sendOrder(driver, { atMs: 0, to: 'v1' });
  const versions = Array.from({ length: 50 }, (_, index) => {
    routedFixtures.sendCall(driver, `r${index}`, {}, 0, STARTED_AT_MS + 100);
    return rolloutRequests.getVersion(driver, `r${index}`);
  });
  t.deepEqual(new Set(versions), new Set(['v1']));
});

test('a version whose order was removed gets no larger share, and is not completed', (t) => {
  const driver = rolloutRequests.makeRouter(['v1', 'v2']);
  sendOrder(driver, { atMs: 0, to: 'v2' });
  driver.send({ type: 'canaryOrderRemoved', service: 'desk' }, STARTED_AT_MS + 5_000);
  const list = (atMs: number): readonly string[] =>
    Array.from({ length: 200 }, (_, index) => {
      const requestId = `r${atMs}-${index}`;
      routedFixtures.sendCall(driver, requestId, {}, 0, STARTED_AT_MS + atMs);
      const version = rolloutRequests.getVersion(driver, requestId);
      driver.send({ type: 'callerGone', requestId }, STARTED_AT_MS + atMs);
      return version;
    });
  t.true(list(15_800).filter((version) => version === 'v2').length < 30);
  t.deepEqual(new Set(list(17_000)), new Set(['v1']));
  t.deepEqual(rolloutRequests.listProposed(driver, STARTED_AT_MS + 17_000), []);
});

// Sessions that are on a version stay there until the next one may take them, in the second half of its roll-out.
[9_000, 12_000].forEach((gapMs) => {
  test(`sessions keep their version when the next order comes after ${gapMs} ms`, (t) => {
    const { runs, outcomes } = simulateSeries({
      orders: [
        { atMs: 0, to: 'v2' },
        { atMs: gapMs, to: 'v3' },
      ],
      sessions: 200,
    });
    const firstHalf = runs.filter(({ atMs }) => atMs < gapMs + PERIOD_MS / 2);
    const last = new Map<string | null, string>();
    const moved = firstHalf.filter(({ session, version }) => {
      const previous = last.get(session) ?? version;
      last.set(session, version);
      return previous === 'v2' && version !== 'v2';
    });
    t.deepEqual(moved, []);
    t.true(firstHalf.some(({ version, atMs }) => version === 'v2' && atMs > gapMs));
    t.false(firstHalf.some(({ version }) => version === 'v3'));
    t.deepEqual(outcomes, ['v3 completed']);
  });
});

test('an earlier version that turns bad after the next one was rolled back gets nothing more', (t) => {
  const { runs, outcomes } = simulateSeries({
    orders: [
      { atMs: 0, to: 'v2' },
      { atMs: 9_000, to: 'v3' },
    ],
    sessions: 400,
    untilMs: 60_000,
    getStatus: (version, atMs, draw) =>
      (version === 'v3' || (version === 'v2' && atMs > 30_000)) && draw() < 0.5 ? 500 : 200,
  });
  t.deepEqual(outcomes, ['v3 rolledBack']);
  t.true(runs.some(({ version, atMs }) => version === 'v2' && atMs > 29_000));
  t.true(runs.slice(-500).every(({ version }) => version === 'v1'));
});

/** Returns the versions of many sessions and requests at a router, for comparison with others. */
const listVersions = (driver: fixtures.Driver, atMs: number): readonly string[] =>
  Array.from({ length: 300 }, (_, index) => {
    const requestId = `r-${atMs}-${index}`;
    const session = index % 2 === 0 ? `s${index}` : null;
    routedFixtures.sendCall(
      driver,
      requestId,
      { path: '/talk/', session },
      0,
      STARTED_AT_MS + atMs,
    );
    const version = rolloutRequests.getVersion(driver, requestId);
    driver.send({ type: 'callerGone', requestId }, STARTED_AT_MS + atMs);
    return version;
  });

const FIRST = { atMs: 0, to: 'v2' };
const NEXT = { atMs: 10_000, to: 'v3' };

/** Makes a router that has seen both orders. */
const makeWitness = (): fixtures.Driver => {
  const driver = rolloutRequests.makeRouter(['v1', 'v2', 'v3']);
  sendOrder(driver, FIRST);
  sendOrder(driver, NEXT);
  return driver;
};

test('a router that sees the second order alone learns of the first one from the record', (t) => {
  const witness = makeWitness();
  const [earlier] = witness.getState().routed.canaries.get('desk')?.superseded ?? [];
  const driver = rolloutRequests.makeRouter(['v1', 'v2', 'v3']);
  sendOrder(driver, NEXT, {
    elapsedMs: 1,
    offset: witness.getState().routed.canaries.get('desk')?.offset ?? null,
    superseded: [
      {
        to: 'v2',
        revision: 10,
        periodMs: PERIOD_MS,
        elapsedMs: 10_000,
        sessionShare: earlier?.sessionShare ?? 0,
        offset: earlier?.offset ?? 0,
      },
    ],
  });
  [10_500, 14_000, 17_000, 20_000].forEach((atMs) =>
    t.deepEqual(listVersions(driver, atMs), listVersions(witness, atMs), `${atMs}`),
  );
  t.true(listVersions(driver, 10_600).includes('v2'));
});

test('a router that sees the second order alone learns of the first one from the reports of peers', (t) => {
  const witness = makeWitness();
  const nowMs = STARTED_AT_MS + 10_400;
  const member = {
    id: 'peer',
    address: 'peer:1',
    zone: 'a',
    status: 'alive',
    incarnation: 0,
  } as const;
  const state = witness.getState();
  const reports = core.canaryReports.planReports(
    { ...state, members: core.memberTable.mergeUpdate(state.members, member, 0) },
    nowMs,
  );
  const driver = rolloutRequests.makeRouter(['v1', 'v2', 'v3']);
  sendOrder(driver, NEXT);
  t.true(listVersions(driver, 10_300).filter((version) => version === 'v2').length > 60);
  reports.forEach(({ report }) =>
    driver.send(
      { type: 'canaryReportReceived', ...(JSON.parse(JSON.stringify(report)) as typeof report) },
      nowMs,
    ),
  );
  const versions = listVersions(driver, 10_500);
  t.true(versions.filter((version) => version === 'v2').length < 30);
  t.true(versions.includes('v1'));
});

test('the outcome of the first order may become known after the second one', (t) => {
  const driver = makeWitness();
  sendOrder(driver, NEXT, { elapsedMs: 500, serving: ['v2'] });
  const canary = driver.getState().routed.canaries.get('desk');
  t.deepEqual(canary?.superseded, []);
  t.true(new Set(listVersions(driver, 11_000)).has('v2'));
});

test('roll-outs of two services at once share nothing', (t) => {
  const service = { service: 'till' };
  const play = (isOther: boolean): readonly string[] => {
    const driver = rolloutRequests.makeRouter(['v1', 'v2', 'v3']);
    sendOrder(driver, FIRST);
    if (isOther) {
      driver.send({ type: 'hostChanged', host: routedFixtures.makeHost('till-1', service) });
      [FIRST, NEXT].forEach(({ atMs, to }) =>
        sendOrder(
          driver,
          { atMs, to },
          {
            order: { ...service, to, periodMs: PERIOD_MS, revision: 900 + atMs },
          },
        ),
      );
      driver.send({
        type: 'canaryReportReceived',
        ...service,
        revision: 900,
        to: 'v2',
        source: 'peer',
        isBad: true,
        rows: [],
        oldRunning: 3,
      });
    }
    return listVersions(driver, 11_000).map((version) => (version === 'v2' ? 'v2' : 'others'));
  };
  t.deepEqual(play(true), play(false));
});

import type * as ava from 'ava';
import * as shared from '@jayrock/shared';
import type * as stores from '@jayrock/stores';
import test from 'ava';
import * as pino from 'pino';
import * as freshnessClock from '../src/routed/freshnessClock.js';
import * as freshnessGate from '../src/routed/freshnessGate.js';
import * as prefixFeed from '../src/routed/prefixFeed.js';

const KEY = 'servers/u';
const WAIT_MS = 200;
const SETTLE_MS = 20;

type Waited = shared.outcome.Outcome<
  stores.prefixStore.PrefixChanges,
  stores.prefixStore.WaitError
>;

const makeSnapshot = (revision: number, at = revision): stores.prefixStore.PrefixSnapshot => ({
  era: 1,
  revision,
  entries: [{ key: KEY, value: `v${at}`, revision: at }],
});

const makeChanges = (...revisions: readonly number[]): Waited =>
  shared.outcome.makeOk({
    era: 1,
    revision: revisions.at(-1) ?? 0,
    changes: revisions.map((revision) => ({ key: KEY, value: `v${revision}`, revision })),
  });

const holdSilent = <T>(): Promise<T> => new Promise<T>(() => {});

interface Followed {
  readonly feed: prefixFeed.PrefixFeed;
  readonly clock: freshnessClock.FreshnessClock;
  /** Values of the key in the order of their report. */
  readonly values: readonly (string | null)[];
}

/** Follows a store that answers reads and waits in turn, and then no more. */
const startFeed = (
  t: ava.ExecutionContext,
  reads: readonly stores.prefixStore.PrefixSnapshot[],
  waits: readonly (() => Promise<Waited>)[],
  oddValue: string | null = null,
): Followed => {
  const values: (string | null)[] = [];
  const remainingReads = [...reads];
  const remainingWaits = [...waits];
  const clock = freshnessClock.makeFreshnessClock();
  const feed = prefixFeed.startPrefixFeed(
    {
      readPrefix: async () => {
        const snapshot = remainingReads.shift();
        return snapshot === undefined ? holdSilent() : shared.outcome.makeOk(snapshot);
      },
      waitForChanges: () => remainingWaits.shift()?.() ?? holdSilent(),
    } as unknown as stores.prefixStore.PrefixStore,
    { prefix: '', getWaitMs: () => WAIT_MS, clock },
    {
      handleSnapshot: async (entries) => {
        if (entries.some(({ value }) => value === oddValue)) {
          throw new Error('odd');
        }
        entries.forEach(({ value }) => values.push(value));
      },
      handleChange: ({ value }) => values.push(value),
    },
    pino.pino({ level: 'silent' }),
  );
  t.teardown(feed.stop);
  return { feed, clock, values };
};

const failCompacted = async (): Promise<Waited> => shared.outcome.makeFailed('compacted');
const failUnanswered = async (): Promise<Waited> => shared.outcome.makeFailed('unknown');

test('a refresh that finds the history compacted confirms nothing', async (t) => {
  const { feed, clock } = startFeed(t, [makeSnapshot(5)], [holdSilent, failCompacted]);
  await feed.firstRead;
  await shared.delay.wait(SETTLE_MS * 5);
  const ageMs = clock.getAgeMs();
  await Promise.race([feed.refresh(), shared.delay.wait(SETTLE_MS)]);
  t.true(clock.getAgeMs() >= ageMs, `${clock.getAgeMs()} ms`);
});

test('what was missed while the history was compacted is known before the gate lets a send pass', async (t) => {
  const { feed, clock, values } = startFeed(
    t,
    [makeSnapshot(5), makeSnapshot(9)],
    [holdSilent, failCompacted],
  );
  await feed.firstRead;
  await shared.delay.wait(SETTLE_MS);
  const gate = freshnessGate.makeFreshnessGate({
    clock,
    refresh: feed.refresh,
    log: pino.pino({ level: 'silent' }),
  });
  await gate.confirm(SETTLE_MS / 2);
  t.is(values.at(-1), 'v9');
});

test('a time without confirmation in which no call failed late counts as an outage when it ends', async (t) => {
  const answerLate = async (): Promise<Waited> => {
    await shared.delay.wait(WAIT_MS * 2);
    return makeChanges(6);
  };
  const { feed, values } = startFeed(t, [makeSnapshot(5)], [failUnanswered, answerLate]);
  await shared.delay.wait(WAIT_MS * 3);
  t.is(values.at(-1), 'v6');
  t.true(feed.getTimeSinceOutageMs() < WAIT_MS * 3, `${feed.getTimeSinceOutageMs()} ms`);
});

test('changes during a read in pages do not bring a former value back', async (t) => {
  const { values } = startFeed(t, [makeSnapshot(5, 7)], [async () => makeChanges(6, 7)]);
  await shared.delay.wait(SETTLE_MS);
  t.deepEqual(values, ['v7']);
});

test('a read that cannot be applied does not end the feed', async (t) => {
  const { values } = startFeed(
    t,
    [makeSnapshot(5), makeSnapshot(6)],
    [async () => makeChanges(7), async () => makeChanges(7)],
    'v5',
  );
  await shared.delay.wait(WAIT_MS * 2);
  t.is(values.at(-1), 'v7');
});

test('sends do not each ask the store while it may still lack what a restoration has lost', async (t) => {
  const restored = { era: 2, revision: 3, entries: [] };
  let calls = 0;
  const answerEmpty = async (): Promise<Waited> => {
    calls += 1;
    await shared.delay.wait(1);
    return shared.outcome.makeOk({ era: 2, revision: 3, changes: [] });
  };
  const sends = Array.from({ length: 50 }, () => answerEmpty);
  const { feed, clock } = startFeed(
    t,
    [makeSnapshot(5), restored],
    [answerEmpty, holdSilent, ...sends],
  );
  await shared.delay.wait(WAIT_MS);
  const gate = freshnessGate.makeFreshnessGate({
    clock,
    refresh: feed.refresh,
    log: pino.pino({ level: 'silent' }),
  });
  calls = 0;
  for (let sent = 0; sent < sends.length; sent += 1) {
    // eslint-disable-next-line no-await-in-loop -- one send follows the other
    await gate.confirm(WAIT_MS / 2);
  }
  t.true(calls <= 5, `${calls} calls in ${sends.length} sends`);
});

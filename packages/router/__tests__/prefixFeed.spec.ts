import type * as ava from 'ava';
import * as shared from '@jayrock/shared';
import type * as stores from '@jayrock/stores';
import test from 'ava';
import * as pino from 'pino';
import * as freshnessClock from '../src/routed/freshnessClock.js';
import * as prefixFeed from '../src/routed/prefixFeed.js';

const KEY = 'p/a';
const SETTLE_MS = 20;

type ChangesOutcome = shared.outcome.Outcome<
  stores.prefixStore.PrefixChanges,
  stores.prefixStore.WaitError
>;

/** Makes a read of a key at a revision, which is also the store's. */
const makeSnapshot = (revision: number): stores.prefixStore.PrefixSnapshot => ({
  era: 1,
  revision,
  entries: [{ key: KEY, value: `v${revision}`, revision }],
});

/** Makes the changes of the key to some revisions, the last of which is the store's. */
const makeChanges = (...revisions: readonly number[]): ChangesOutcome =>
  shared.outcome.makeOk({
    era: 1,
    revision: revisions.at(-1) ?? 0,
    changes: revisions.map((revision) => ({ key: KEY, value: `v${revision}`, revision })),
  });

interface Followed {
  readonly feed: prefixFeed.PrefixFeed;
  /** Values of the key in the order of their report. */
  readonly values: readonly (string | null)[];
}

/** Follows a store that answers reads and waits in turn; a value that cannot be handled is thrown. */
const startFeed = (
  t: ava.ExecutionContext,
  reads: readonly stores.prefixStore.PrefixSnapshot[],
  waits: readonly (ChangesOutcome | Promise<ChangesOutcome>)[],
  oddValue: string | null = null,
): Followed => {
  const values: (string | null)[] = [];
  const remainingReads = [...reads];
  const remainingWaits = [...waits];
  const unanswered = new Promise<ChangesOutcome>(() => {});
  const store = {
    readPrefix: async () => shared.outcome.makeOk(remainingReads.shift() ?? makeSnapshot(0)),
    waitForChanges: async () => remainingWaits.shift() ?? unanswered,
  } as unknown as stores.prefixStore.PrefixStore;
  const feed = prefixFeed.startPrefixFeed(
    store,
    { prefix: 'p/', getWaitMs: () => 1_000, clock: freshnessClock.makeFreshnessClock() },
    {
      handleSnapshot: async (entries) => entries.forEach(({ value }) => values.push(value)),
      handleChange: ({ value }) => {
        if (value === oddValue) {
          throw new Error('odd');
        }
        values.push(value);
      },
    },
    pino.pino({ level: 'silent' }),
  );
  t.teardown(feed.stop);
  return { feed, values };
};

test('changes that two polls answer are reported once and do not bring a former value back', async (t) => {
  let answerFirst: (outcome: ChangesOutcome) => void = () => undefined;
  const first = new Promise<ChangesOutcome>((resolve) => {
    answerFirst = resolve;
  });
  const { feed, values } = startFeed(t, [makeSnapshot(5)], [first, makeChanges(6, 7)]);
  await shared.delay.wait(SETTLE_MS);
  await feed.refresh();
  answerFirst(makeChanges(6));
  await shared.delay.wait(SETTLE_MS);
  t.deepEqual(values, ['v5', 'v6', 'v7']);
});

test('a read through another reader after a gap does not bring a former value back', async (t) => {
  const compacted = shared.outcome.makeFailed<stores.prefixStore.WaitError>('compacted');
  const { values } = startFeed(t, [makeSnapshot(5), makeSnapshot(5)], [makeChanges(6), compacted]);
  await shared.delay.wait(SETTLE_MS);
  t.is(values.at(-1), 'v6', values.join(' '));
});

test('a change that cannot be applied does not keep others from being followed', async (t) => {
  const { values } = startFeed(t, [makeSnapshot(5)], [makeChanges(6, 7), makeChanges(8)], 'v6');
  await shared.delay.wait(SETTLE_MS);
  t.deepEqual(values, ['v5', 'v7', 'v8']);
});

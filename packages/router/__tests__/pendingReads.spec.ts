import type * as ava from 'ava';
import * as shared from '@jayrock/shared';
import type * as stores from '@jayrock/stores';
import test from 'ava';
import * as pino from 'pino';
import * as freshnessClock from '../src/routed/freshnessClock.js';
import * as freshnessGate from '../src/routed/freshnessGate.js';
import * as prefixFeed from '../src/routed/prefixFeed.js';

const KEY = 'servers/u';
const SETTLE_MS = 20;
/** Time that a read, or applying it, takes, in milliseconds. */
const READ_MS = 100;

type Waited = shared.outcome.Outcome<stores.prefixStore.PrefixChanges, 'compacted'>;

interface Followed {
  readonly feed: prefixFeed.PrefixFeed;
  readonly clock: freshnessClock.FreshnessClock;
  /** Values of the key in the order of their report. */
  readonly values: readonly (string | null)[];
  readonly countReads: () => number;
}

/** Follows a store that changes a key once its first read has been answered. */
const startFeed = (
  t: ava.ExecutionContext,
  { readMs, applyMs }: { readonly readMs: number; readonly applyMs: number },
  answers: readonly (() => Promise<Waited>)[],
): Followed => {
  const values: (string | null)[] = [];
  const waits = [...answers];
  let reads = 0;
  const clock = freshnessClock.makeFreshnessClock();
  const feed = prefixFeed.startPrefixFeed(
    {
      readPrefix: async () => {
        reads += 1;
        const revision = 4 + reads;
        await shared.delay.wait(reads === 1 ? 0 : readMs);
        return shared.outcome.makeOk({
          era: 1,
          revision,
          entries: [{ key: KEY, value: `v${revision}`, revision }],
        });
      },
      waitForChanges: () => waits.shift()?.() ?? new Promise(() => {}),
    } as unknown as stores.prefixStore.PrefixStore,
    { prefix: '', getWaitMs: () => READ_MS, clock },
    {
      handleSnapshot: async (entries) => {
        await shared.delay.wait(applyMs);
        entries.forEach(({ value }) => values.push(value));
      },
      handleChange: ({ value }) => values.push(value),
    },
    pino.pino({ level: 'silent' }),
  );
  t.teardown(feed.stop);
  return { feed, clock, values, countReads: () => reads };
};

const answerChange = async (): Promise<Waited> =>
  shared.outcome.makeOk({
    era: 1,
    revision: 6,
    changes: [{ key: KEY, value: 'v6', revision: 6 }],
  });
const failCompacted = async (): Promise<Waited> => shared.outcome.makeFailed('compacted');
const failCompactedLater = async (): Promise<Waited> => {
  await shared.delay.wait(READ_MS / 2);
  return shared.outcome.makeFailed('compacted');
};

test('a change that a refresh learns while the first read is being applied is not undone by it', async (t) => {
  const { feed, values } = startFeed(t, { readMs: 0, applyMs: READ_MS }, [answerChange]);
  await shared.delay.wait(SETTLE_MS);
  await feed.refresh();
  await shared.delay.wait(READ_MS + SETTLE_MS);
  t.is(values.at(-1), 'v6', values.join(' '));
});

test('a send waits for the read of what was missed that is under way', async (t) => {
  const { feed, clock, values } = startFeed(t, { readMs: READ_MS, applyMs: 0 }, [failCompacted]);
  await shared.delay.wait(SETTLE_MS);
  const gate = freshnessGate.makeFreshnessGate({
    clock,
    refresh: feed.refresh,
    log: pino.pino({ level: 'silent' }),
  });
  await gate.confirm(SETTLE_MS / 2);
  t.is(values.at(-1), 'v6', values.join(' '));
});

test('what was missed is read once, though two polls find the gap', async (t) => {
  const { feed, countReads } = startFeed(t, { readMs: READ_MS, applyMs: 0 }, [
    failCompactedLater,
    failCompacted,
  ]);
  await shared.delay.wait(SETTLE_MS);
  await feed.refresh();
  await shared.delay.wait(READ_MS);
  t.is(countReads(), 2);
});

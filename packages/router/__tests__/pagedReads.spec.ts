import type * as stores from '@jayrock/stores';
import test from 'ava';
import * as prefixLog from '../src/routed/prefixLog.js';

const KEY = 'servers/u';

/** Makes a read whose first page is of a revision, and whose entry changed at another one. */
const makeSnapshot = (revision: number, at: number): stores.prefixStore.PrefixSnapshot => ({
  era: 1,
  revision,
  entries: [{ key: KEY, value: `v${at}`, revision: at }],
});

test('a router that asks for what follows the revision that it was told is not told the same changes again', (t) => {
  const log = prefixLog.makePrefixLog();
  log.replace(makeSnapshot(5, 5));
  // The entry changed after the first page of the second read.
  log.replace(makeSnapshot(10, 12));
  const told = log.listAfter(5);
  t.deepEqual(log.listAfter(told?.revision ?? -1)?.changes, []);
});

test('changes are listed in the order of their revisions after a read in pages', (t) => {
  const log = prefixLog.makePrefixLog();
  log.replace(makeSnapshot(5, 5));
  log.replace(makeSnapshot(10, 12));
  log.append({
    era: 1,
    revision: 12,
    changes: [11, 12].map((revision) => ({ key: KEY, value: `v${revision}`, revision })),
  });
  t.deepEqual(
    log.listAfter(5)?.changes.map(({ revision }) => revision),
    [11, 12],
  );
});

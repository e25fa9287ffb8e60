import type * as stores from '@jayrock/stores';

/** Largest number and size of the changes that are kept; a router that is further behind reads the prefix again. */
const MAX_CHANGES = 512;
const MAX_CHANGES_SIZE = 262_144;

const getSize = ({ value }: stores.prefixStore.PrefixChange): number => value?.length ?? 0;

/** A moment in the store's history. */
export type StoreMoment = Pick<stores.prefixStore.PrefixSnapshot, 'era' | 'revision'>;

/** The entries under a prefix and their latest changes, as this router has read them. */
export interface PrefixLog {
  /** Takes over a read; what it changes is listed as changes, unless it is of another era. */
  readonly replace: (snapshot: stores.prefixStore.PrefixSnapshot) => void;
  /** Returns whether a state is an earlier one than the known state: of an earlier era, or of an earlier revision of its era. */
  readonly isBehind: (state: StoreMoment) => boolean;
  /** Returns whether a state is of the era of the known state. */
  readonly isOfSameEra: (state: Pick<StoreMoment, 'era'>) => boolean;
  /** Applies changes; returns false if they are of another era, or if nothing was read before. */
  readonly append: (changes: stores.prefixStore.PrefixChanges) => boolean;
  /** Returns the entries whose keys begin with a prefix, or null before the first read. */
  readonly read: (prefix?: string) => stores.prefixStore.PrefixSnapshot | null;
  /** Returns the changes after a revision of such keys, or null if they are not all known. */
  readonly listAfter: (
    revision: number,
    prefix?: string,
  ) => stores.prefixStore.PrefixChanges | null;
}

type Entries = ReadonlyMap<string, stores.keyValueStore.KeyValueEntry>;

/**
 * Lists what has changed between known entries and a later read, in the order of the revisions. Entries that changed while
 * the pages of the read were fetched are left to the changes that follow it.
 */
const diffEntries = (
  known: Entries,
  { entries, revision }: stores.prefixStore.PrefixSnapshot,
): readonly stores.prefixStore.PrefixChange[] => {
  const listed = new Set(entries.map(({ key }) => key));
  const removed = Array.from(known.keys())
    .filter((key) => !listed.has(key))
    .map((key) => ({ key, value: null, revision }));
  const changed = entries.filter(
    ({ key, value, revision: at }) =>
      at <= revision && (known.get(key)?.revision !== at || known.get(key)?.value !== value),
  );
  return [...removed, ...changed].toSorted((a, b) => a.revision - b.revision);
};

/** Makes an empty log. */
export const makePrefixLog = (): PrefixLog => {
  const entries = new Map<string, stores.keyValueStore.KeyValueEntry>();
  let changes: stores.prefixStore.PrefixChange[] = [];
  let era: stores.prefixStore.StoreEra = null;
  let revision = -1;
  /** Revision after which all changes are in the log. */
  let completeAfter = Infinity;
  const append: PrefixLog['append'] = (added) => {
    if (added.era !== era || completeAfter === Infinity) {
      return false;
    }
    added.changes
      .filter((change) => change.revision > revision)
      .forEach((change) => {
        changes.push(change);
        if (change.value === null) {
          entries.delete(change.key);
        } else {
          entries.set(change.key, { ...change, value: change.value });
        }
      });
    revision = Math.max(revision, added.revision);
    let size = changes.reduce((sum, change) => sum + getSize(change), 0);
    while (changes.length > MAX_CHANGES || size > MAX_CHANGES_SIZE) {
      const [dropped, ...rest] = changes;
      changes = rest;
      size -= dropped === undefined ? size : getSize(dropped);
      completeAfter = dropped?.revision ?? completeAfter;
    }
    return true;
  };
  const isOfSameEra: PrefixLog['isOfSameEra'] = (state) =>
    state.era === era && completeAfter !== Infinity;
  const isBehind: PrefixLog['isBehind'] = (state) =>
    isOfSameEra(state)
      ? state.revision < revision
      : era !== null && state.era !== null && state.era < era;
  return {
    isBehind,
    isOfSameEra,
    replace: (snapshot) => {
      if (isBehind(snapshot)) {
        return;
      }
      const isSameEra = isOfSameEra(snapshot);
      const added = isSameEra ? diffEntries(entries, snapshot) : [];
      // Changes that the log should have had already cannot be listed: others may have read past them.
      if (isSameEra && added.every((change) => change.revision > revision)) {
        append({ era, revision: snapshot.revision, changes: added });
        return;
      }
      entries.clear();
      snapshot.entries.forEach((entry) => entries.set(entry.key, entry));
      ({ era, revision } = snapshot);
      changes = [];
      completeAfter = revision;
    },
    append,
    read: (prefix = '') =>
      completeAfter === Infinity
        ? null
        : {
            era,
            revision,
            entries: Array.from(entries.values()).filter(({ key }) => key.startsWith(prefix)),
          },
    listAfter: (after, prefix = '') =>
      after < completeAfter
        ? null
        : {
            era,
            revision: Math.max(after, revision),
            changes: changes.filter(
              ({ key, revision: at }) => at > after && key.startsWith(prefix),
            ),
          },
  };
};

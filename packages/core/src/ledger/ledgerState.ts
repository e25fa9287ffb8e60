import type * as shared from '@jayrock/shared';
import * as immutable from 'immutable';
import type * as events from '../events.js';
import * as memberTable from '../membership/memberTable.js';
import type * as routerState from '../routerState.js';
import * as transition from '../transition.js';

type Entry = shared.ledgerEntry.LedgerEntry;

/** An entry that this router keeps for another one. */
export interface HeldEntry {
  readonly entry: Entry;
  readonly origin: string;
  readonly heldAtMs: number;
}

/** Billing entries that are not known to be written yet. */
export interface LedgerState {
  /** Entries this router must see written, by request id. */
  readonly pending: immutable.Map<string, Entry>;
  /** Entries kept as a witness, by request id. */
  readonly held: immutable.Map<string, HeldEntry>;
  /** True while a batch is on its way to the store. */
  readonly isWriting: boolean;
  /** Largest number of entries kept in all. */
  readonly capacity: number;
}

/** Entries in one write, which stays below the store's value limit. */
export const MAX_BATCH = 2_000;
/** Time after which a witness writes an entry itself though its origin seems alive, in milliseconds. */
const MAX_HELD_MS = 15 * 60_000;

/** Makes an empty book. */
export const makeLedgerState = (capacity: number): LedgerState => ({
  pending: immutable.Map(),
  held: immutable.Map(),
  isWriting: false,
  capacity,
});

/** Tells whether no further entries can be kept. */
export const isFull = (book: LedgerState): boolean =>
  book.pending.size + book.held.size >= book.capacity;

const withLedger = (
  current: routerState.RouterState,
  ledger: LedgerState,
): routerState.RouterState => ({ ...current, ledger });

/** Adds an entry of this router. */
export const addEntry = (current: routerState.RouterState, entry: Entry): routerState.RouterState =>
  withLedger(current, {
    ...current.ledger,
    pending: current.ledger.pending.set(entry.requestId, entry),
  });

const handleEntriesHeld = (
  current: routerState.RouterState,
  event: events.EventOf<'entriesHeld'>,
): transition.Transition => {
  const held = event.entries.reduce(
    (table, entry) =>
      table.set(entry.requestId, { entry, origin: event.origin, heldAtMs: event.nowMs }),
    current.ledger.held,
  );
  return transition.makeTransition(withLedger(current, { ...current.ledger, held }));
};

const handleEntriesReleased = (
  current: routerState.RouterState,
  event: events.EventOf<'entriesReleased'>,
): transition.Transition =>
  transition.makeTransition(
    withLedger(current, {
      ...current.ledger,
      held: current.ledger.held.deleteAll(event.requestIds),
    }),
  );

/** An entry whose origin is gone, or that waits too long, is written by its witness. */
const adoptOrphans = (current: routerState.RouterState, nowMs: number): routerState.RouterState => {
  const alive = new Set(memberTable.listAlive(current.members).map((one) => one.id));
  const orphans = current.ledger.held.filter(
    (held) => !alive.has(held.origin) || nowMs - held.heldAtMs > MAX_HELD_MS,
  );
  if (orphans.size === 0) {
    return current;
  }
  return withLedger(current, {
    ...current.ledger,
    held: current.ledger.held.deleteAll(orphans.keys()),
    pending: current.ledger.pending.merge(orphans.map((held) => held.entry)),
  });
};

const handleLedgerDue = (
  current: routerState.RouterState,
  event: events.EventOf<'ledgerDue'>,
): transition.Transition => {
  const adopted = adoptOrphans(current, event.nowMs);
  const book = adopted.ledger;
  if (book.isWriting || book.pending.size === 0) {
    return transition.makeTransition(adopted);
  }
  const entries = book.pending.valueSeq().take(MAX_BATCH).toArray();
  return transition.makeTransition(withLedger(adopted, { ...book, isWriting: true }), {
    type: 'writeEntries',
    entries,
  });
};

const handleEntriesWritten = (
  current: routerState.RouterState,
  event: events.EventOf<'entriesWritten'>,
): transition.Transition => {
  const book: LedgerState = { ...current.ledger, isWriting: false };
  return event.isWritten
    ? transition.makeTransition(
        withLedger(current, { ...book, pending: book.pending.deleteAll(event.requestIds) }),
        { type: 'releaseEntries', requestIds: event.requestIds },
      )
    : transition.makeTransition(withLedger(current, book));
};

/** Handlers of the events of the ledger. */
export const HANDLERS = {
  entriesHeld: handleEntriesHeld,
  entriesReleased: handleEntriesReleased,
  entriesWritten: handleEntriesWritten,
  ledgerDue: handleLedgerDue,
} as const;

import type * as shared from '@jayrock/shared';
import * as immutable from 'immutable';
import type * as events from '../events.js';
import * as memberTable from '../membership/memberTable.js';
import type * as routerState from '../routerState.js';
import * as transition from '../transition.js';

type Entry = shared.ledgerEntry.LedgerEntry;

/** An entry that this router stores as a witness of another router. */
export interface HeldEntry {
  readonly entry: Entry;
  readonly origin: string;
  readonly heldAtMs: number;
}

/** Billing entries that are not confirmed as written to the store. */
export interface LedgerState {
  /** Entries that this router must write, by request id. */
  readonly pending: immutable.Map<string, Entry>;
  /** Entries stored as a witness, by request id. */
  readonly held: immutable.Map<string, HeldEntry>;
  /** True while a write to the store is in flight. */
  readonly isWriting: boolean;
  /** Maximum number of pending and held entries together. */
  readonly capacity: number;
}

/** Maximum number of entries in one write, which keeps it below the store's value limit. */
export const MAX_BATCH = 2_000;
/** Time after which a witness writes an entry even if its origin is alive, in milliseconds. */
const MAX_HELD_MS = 15 * 60_000;

/** Makes a ledger state without entries. */
export const makeLedgerState = (capacity: number): LedgerState => ({
  pending: immutable.Map(),
  held: immutable.Map(),
  isWriting: false,
  capacity,
});

/** Returns whether the capacity for entries is exhausted. */
export const isFull = (ledger: LedgerState): boolean =>
  ledger.pending.size + ledger.held.size >= ledger.capacity;

const withLedger = (
  current: routerState.RouterState,
  ledger: LedgerState,
): routerState.RouterState => ({ ...current, ledger });

/** Adds an entry of this router to the pending ones. */
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

/** Takes over held entries whose origin is gone, or that were held for longer than `MAX_HELD_MS`. */
const adoptOrphans = (current: routerState.RouterState, nowMs: number): routerState.RouterState => {
  const activeIds = new Set(memberTable.listActiveMembers(current.members).map((peer) => peer.id));
  const orphans = current.ledger.held.filter(
    (heldEntry) => !activeIds.has(heldEntry.origin) || nowMs - heldEntry.heldAtMs > MAX_HELD_MS,
  );
  if (orphans.size === 0) {
    return current;
  }
  return withLedger(current, {
    ...current.ledger,
    held: current.ledger.held.deleteAll(orphans.keys()),
    pending: current.ledger.pending.merge(orphans.map((heldEntry) => heldEntry.entry)),
  });
};

const handleLedgerDue = (
  current: routerState.RouterState,
  event: events.EventOf<'ledgerDue'>,
): transition.Transition => {
  const adopted = adoptOrphans(current, event.nowMs);
  const { ledger } = adopted;
  if (ledger.isWriting || ledger.pending.size === 0) {
    return transition.makeTransition(adopted);
  }
  const entries = ledger.pending.valueSeq().take(MAX_BATCH).toArray();
  return transition.makeTransition(withLedger(adopted, { ...ledger, isWriting: true }), {
    type: 'writeEntries',
    entries,
  });
};

const handleEntriesWritten = (
  current: routerState.RouterState,
  event: events.EventOf<'entriesWritten'>,
): transition.Transition => {
  const ledger: LedgerState = { ...current.ledger, isWriting: false };
  return event.isWritten
    ? transition.makeTransition(
        withLedger(current, { ...ledger, pending: ledger.pending.deleteAll(event.requestIds) }),
        { type: 'releaseEntries', requestIds: event.requestIds },
      )
    : transition.makeTransition(withLedger(current, ledger));
};

/** Handlers of the events of the ledger. */
export const HANDLERS = {
  entriesHeld: handleEntriesHeld,
  entriesReleased: handleEntriesReleased,
  entriesWritten: handleEntriesWritten,
  ledgerDue: handleLedgerDue,
} as const;

import * as immutable from 'immutable';
import * as member from './member.js';

/** An update that still has to be told to others. */
export interface GossipUpdate {
  readonly update: member.MemberUpdate;
  readonly remaining: number;
}

/** What one router knows of all routers. */
export interface MemberTable {
  readonly self: member.MemberUpdate;
  /** Other routers, by identifier. */
  readonly members: immutable.Map<string, member.Member>;
  /** Updates to pass on, by identifier. */
  readonly gossipUpdates: immutable.Map<string, GossipUpdate>;
  /** Members still to be probed in this round. */
  readonly round: readonly string[];
  /** Peers' addresses from settings and host list. */
  readonly contacts: readonly string[];
}

/** Updates carried by one message. */
export const UPDATES_PER_MESSAGE = 8;
/** Times an update is passed on for each doubling of the fleet. */
const REPEATS_PER_DOUBLING = 3;
/** Time a member that is dead or has left is remembered, in milliseconds. */
const FORGET_MS = 60_000;

/** Makes the table of a router that knows nobody. */
export const makeTable = (self: member.MemberUpdate): MemberTable => ({
  self,
  members: immutable.Map(),
  gossipUpdates: immutable.Map(),
  round: [],
  contacts: [],
});

const countRepeats = (table: MemberTable): number =>
  REPEATS_PER_DOUBLING * Math.ceil(Math.log2(table.members.size + 2));

const addGossipUpdate = (table: MemberTable, update: member.MemberUpdate): MemberTable => ({
  ...table,
  gossipUpdates: table.gossipUpdates.set(update.id, { update, remaining: countRepeats(table) }),
});

const toUpdate = ({
  id,
  address,
  zone,
  status,
  incarnation,
}: member.MemberUpdate): member.MemberUpdate => ({
  id,
  address,
  zone,
  status,
  incarnation,
});

/** A suspicion of this router is answered with a higher incarnation. */
const refute = (table: MemberTable, update: member.MemberUpdate): MemberTable => {
  if (update.status === 'alive' || update.incarnation < table.self.incarnation) {
    return table;
  }
  const self = { ...table.self, incarnation: update.incarnation + 1 };
  return addGossipUpdate({ ...table, self }, self);
};

/** A newer process at the same address means that the older one is gone. */
const dropReplaced = (table: MemberTable, update: member.MemberUpdate): MemberTable => ({
  ...table,
  members: table.members.filter(
    (known) => known.address !== update.address || known.id >= update.id,
  ),
});

const isOutdated = (table: MemberTable, update: member.MemberUpdate): boolean =>
  table.members.some((known) => known.address === update.address && known.id > update.id) ||
  (table.self.address === update.address && table.self.id !== update.id);

/** Merges one update, and passes it on if it was news. */
export const mergeUpdate = (
  table: MemberTable,
  update: member.MemberUpdate,
  nowMs: number,
): MemberTable => {
  if (update.id === table.self.id) {
    return refute(table, update);
  }
  const known = table.members.get(update.id);
  const isNews = known === undefined ? !isOutdated(table, update) : member.isNewer(update, known);
  if (
    !isNews ||
    (known === undefined && update.status !== 'alive' && update.status !== 'suspect')
  ) {
    return table;
  }
  const cleared = dropReplaced(table, update);
  const next = {
    ...cleared,
    members: cleared.members.set(update.id, { ...toUpdate(update), sinceMs: nowMs }),
  };
  return addGossipUpdate(next, toUpdate(update));
};

/** Changes the status of a member and passes the change on. */
export const setStatus = (
  table: MemberTable,
  id: string,
  status: member.MemberStatus,
  nowMs: number,
): MemberTable => {
  const known = table.members.get(id);
  return known === undefined ? table : mergeUpdate(table, { ...toUpdate(known), status }, nowMs);
};

/** Takes the updates for one message; each is sent a bounded number of times. */
export const takeGossipUpdates = (
  table: MemberTable,
): { readonly table: MemberTable; readonly updates: readonly member.MemberUpdate[] } => {
  const chosen = table.gossipUpdates
    .valueSeq()
    .sortBy((rumour) => -rumour.remaining)
    .take(UPDATES_PER_MESSAGE)
    .toArray();
  const rumours = chosen.reduce(
    (left, { update, remaining }) =>
      remaining <= 1
        ? left.remove(update.id)
        : left.set(update.id, { update, remaining: remaining - 1 }),
    table.gossipUpdates,
  );
  return {
    table: { ...table, gossipUpdates: rumours },
    updates: chosen.map((rumour) => rumour.update),
  };
};

/** Forgets members that have been gone for long. */
export const forgetGone = (table: MemberTable, nowMs: number): MemberTable => {
  const isGone = (known: member.Member): boolean =>
    (known.status === 'dead' || known.status === 'left') && nowMs - known.sinceMs > FORGET_MS;
  return table.members.some(isGone)
    ? { ...table, members: table.members.filterNot(isGone) }
    : table;
};

/** Lists members that take part, this router not among them. */
export const listAlive = (table: MemberTable): readonly member.Member[] =>
  table.members
    .valueSeq()
    .filter((known) => known.status === 'alive' || known.status === 'suspect')
    .toArray();

/** Lists all members that take part in a zone, this router included. */
export const listZoneMembers = (
  table: MemberTable,
  zone: string,
): readonly member.MemberUpdate[] => [
  ...(table.self.zone === zone && table.self.status === 'alive' ? [table.self] : []),
  ...listAlive(table).filter((known) => known.zone === zone),
];

/** Contacts at which no known member listens. */
export const listUnknownContacts = (table: MemberTable): readonly string[] => {
  const known = new Set(listAlive(table).map((one) => one.address));
  return table.contacts.filter((address) => address !== table.self.address && !known.has(address));
};

import * as immutable from 'immutable';
import * as member from './member.js';

/** An update that still has to be sent to other members. */
export interface GossipUpdate {
  readonly update: member.MemberUpdate;
  /** Number of messages that will still carry it. */
  readonly remaining: number;
}

/** Membership of all routers, as known to this router. */
export interface MemberTable {
  readonly self: member.MemberUpdate;
  /** Other routers, by identifier. */
  readonly members: immutable.Map<string, member.Member>;
  /** Updates to pass on, by identifier of the member. */
  readonly gossipUpdates: immutable.Map<string, GossipUpdate>;
  /** Identifiers of the members still to be probed in this round. */
  readonly probeRound: readonly string[];
  /** Addresses of peers from the settings and the host list, probed until a member is known there. */
  readonly seedAddresses: readonly string[];
}

/** Maximum number of updates in one message. */
export const UPDATES_PER_MESSAGE = 8;
/** Number of messages that carry an update, for each doubling of the number of members. */
const REPEATS_PER_DOUBLING = 3;
/** Time for which a member that is dead or has left is kept, in milliseconds. */
const FORGET_MS = 60_000;

/** Creates the table of a router that knows no other member. */
export const makeTable = (self: member.MemberUpdate): MemberTable => ({
  self,
  members: immutable.Map(),
  gossipUpdates: immutable.Map(),
  probeRound: [],
  seedAddresses: [],
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

/** Refutes a suspicion or the death of this router with a higher incarnation. */
const refute = (table: MemberTable, update: member.MemberUpdate): MemberTable => {
  if (update.status === 'alive' || update.incarnation < table.self.incarnation) {
    return table;
  }
  const self = { ...table.self, incarnation: update.incarnation + 1 };
  return addGossipUpdate({ ...table, self }, self);
};

/** Drops the members that a newer process at the same address has replaced. */
const dropReplaced = (table: MemberTable, update: member.MemberUpdate): MemberTable => ({
  ...table,
  members: table.members.filter((peer) => peer.address !== update.address || peer.id >= update.id),
});

/** Returns whether a newer process, or this router, has replaced an unknown member at its address. */
const isOutdated = (table: MemberTable, update: member.MemberUpdate): boolean =>
  table.members.some((peer) => peer.address === update.address && peer.id > update.id) ||
  (table.self.address === update.address && table.self.id !== update.id);

/** Merges one update and passes it on if it changed the table. */
export const mergeUpdate = (
  table: MemberTable,
  update: member.MemberUpdate,
  nowMs: number,
): MemberTable => {
  if (update.id === table.self.id) {
    return refute(table, update);
  }
  const known = table.members.get(update.id);
  const isNew = known === undefined ? !isOutdated(table, update) : member.isNewer(update, known);
  if (!isNew || (known === undefined && update.status !== 'alive' && update.status !== 'suspect')) {
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

/** Lists the members at an address that were declared dead; one that is told can refute it. */
const listDeaths = (table: MemberTable, address: string): readonly member.MemberUpdate[] =>
  table.members
    .valueSeq()
    .filter((peer) => peer.status === 'dead' && peer.address === address)
    .map(toUpdate)
    .toArray();

/**
 * Takes the updates for one message to an address and counts down how often each is still sent. A member that was
 * declared dead is told so whenever a message goes there.
 */
export const takeGossipUpdates = (
  table: MemberTable,
  address: string,
): { readonly table: MemberTable; readonly updates: readonly member.MemberUpdate[] } => {
  const deaths = listDeaths(table, address);
  const chosen = table.gossipUpdates
    .valueSeq()
    .filterNot(({ update }) => deaths.some(({ id }) => id === update.id))
    .sortBy((entry) => -entry.remaining)
    .take(UPDATES_PER_MESSAGE - deaths.length)
    .toArray();
  const gossipUpdates = chosen.reduce(
    (rest, { update, remaining }) =>
      remaining <= 1
        ? rest.remove(update.id)
        : rest.set(update.id, { update, remaining: remaining - 1 }),
    table.gossipUpdates,
  );
  return {
    table: { ...table, gossipUpdates },
    updates: [...deaths, ...chosen.map((entry) => entry.update)],
  };
};

/** Removes members that died or left more than `FORGET_MS` ago. */
export const forgetGone = (table: MemberTable, nowMs: number): MemberTable => {
  const isGone = (peer: member.Member): boolean =>
    (peer.status === 'dead' || peer.status === 'left') && nowMs - peer.sinceMs > FORGET_MS;
  return table.members.some(isGone)
    ? { ...table, members: table.members.filterNot(isGone) }
    : table;
};

/** Lists active members (alive or suspect), without this router. */
export const listActiveMembers = (table: MemberTable): readonly member.Member[] =>
  table.members
    .valueSeq()
    .filter((peer) => peer.status === 'alive' || peer.status === 'suspect')
    .toArray();

/** Lists all active members of a zone, including this router unless it is leaving. */
export const listZoneMembers = (
  table: MemberTable,
  zone: string,
): readonly member.MemberUpdate[] => [
  ...(table.self.zone === zone && table.self.status === 'alive' ? [table.self] : []),
  ...listActiveMembers(table).filter((peer) => peer.zone === zone),
];

/** Lists the seed addresses at which no active member listens. */
export const listUnknownSeedAddresses = (table: MemberTable): readonly string[] => {
  const activeAddresses = new Set(listActiveMembers(table).map((peer) => peer.address));
  return table.seedAddresses.filter(
    (address) => address !== table.self.address && !activeAddresses.has(address),
  );
};

/** Lists the addresses at which other routers listen, or may listen: those of active members and all seed addresses. */
export const listPeerAddresses = (table: MemberTable): readonly string[] =>
  listActiveMembers(table)
    .map((peer) => peer.address)
    .filter((address) => address !== table.self.address)
    .concat(listUnknownSeedAddresses(table));

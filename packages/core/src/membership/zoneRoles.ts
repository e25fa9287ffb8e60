import * as shared from '@jayrock/shared';
import type * as member from './member.js';
import * as memberTable from './memberTable.js';

/** Roles in which a few routers of a zone act for the whole zone. */
export type ZoneRole =
  | 'configWatch'
  | 'storeReader'
  | 'ledgerCollector'
  | 'ratingAggregator'
  | 'engineOrders'
  | 'trialEvidence';

const findByIds = (
  candidates: readonly member.MemberUpdate[],
  ids: readonly string[],
): readonly member.MemberUpdate[] =>
  ids.flatMap((id) => candidates.filter((candidate) => candidate.id === id));

const pickMembers = (
  key: string,
  candidates: readonly member.MemberUpdate[],
  count: number,
): readonly member.MemberUpdate[] =>
  findByIds(
    candidates,
    shared.rendezvous.pickRendezvous(
      key,
      candidates.map((candidate) => candidate.id),
      count,
    ),
  );

/**
 * Lists the routers of a zone that have a role, by rendezvous hashing of its active members. Member
 * tables may differ for a short time, so a role must be safe when too many routers have it.
 */
export const listRoleHolders = (
  table: memberTable.MemberTable,
  role: ZoneRole,
  zone: string,
  count: number,
): readonly member.MemberUpdate[] =>
  pickMembers(`${role}|${zone}`, memberTable.listZoneMembers(table, zone), count);

/** Returns whether this router has a role in its zone. */
export const hasRole = (table: memberTable.MemberTable, role: ZoneRole, count: number): boolean =>
  listRoleHolders(table, role, table.self.zone, count).some(
    (holder) => holder.id === table.self.id,
  );

/** Picks the router that writes the claims of a time bucket. */
export const pickClaimOwner = (
  table: memberTable.MemberTable,
  bucket: number,
): member.MemberUpdate =>
  pickMembers(`claims|${bucket}`, [table.self, ...memberTable.listActiveMembers(table)], 1)[0] ??
  table.self;

/** Picks the routers that witness this router's billing entries, those of other zones first. */
export const pickWitnesses = (
  table: memberTable.MemberTable,
  count: number,
): readonly member.MemberUpdate[] => {
  const alive = memberTable.listActiveMembers(table).filter((peer) => peer.status === 'alive');
  const ordered = pickMembers(`witness|${table.self.id}`, alive, alive.length);
  const remote = ordered.filter((peer) => peer.zone !== table.self.zone);
  const local = ordered.filter((peer) => peer.zone === table.self.zone);
  return [...remote, ...local].slice(0, count);
};

/** Picks the router of the zone that stores the pin of a named session. */
export const pickSessionOwner = (
  table: memberTable.MemberTable,
  session: string,
): member.MemberUpdate =>
  pickMembers(`session|${session}`, memberTable.listZoneMembers(table, table.self.zone), 1)[0] ??
  table.self;

/** Returns whether this router polls an upstream's load for its zone. */
export const isLoadReader = (table: memberTable.MemberTable, upstreamId: string): boolean => {
  const readers = memberTable.listZoneMembers(table, table.self.zone);
  return pickMembers(`load|${upstreamId}`, readers, 1)[0]?.id === table.self.id;
};

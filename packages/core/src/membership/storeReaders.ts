import * as shared from '@jayrock/shared';
import * as memberTable from './memberTable.js';
import * as zoneRoles from './zoneRoles.js';

/** Smallest fleet in which a few routers read the store for the others. */
const MIN_ROUTERS = 12;
/** Readers of a zone; with two, one may fail. */
const READERS_PER_ZONE = 2;
/** Readers that follow the store itself; those of other zones follow one of these. */
const ROOT_READERS = 3;

const listZones = (table: memberTable.MemberTable): readonly string[] =>
  Array.from(
    new Set([table.self.zone, ...memberTable.listActiveMembers(table).map(({ zone }) => zone)]),
  ).toSorted();

/** Lists the ids and addresses of the routers that follow the store itself. */
const listRootReaders = (
  table: memberTable.MemberTable,
): readonly { readonly id: string; readonly address: string }[] => {
  const first = listZones(table).flatMap((zone) =>
    zoneRoles.listRoleHolders(table, 'storeReader', zone, 1),
  );
  const ids = shared.rendezvous.pickRendezvous(
    'storeRoots',
    first.map(({ id }) => id),
    ROOT_READERS,
  );
  return ids.flatMap((id) => first.filter((reader) => reader.id === id));
};

/** Orders readers by this router's id, so that the routers of a zone share them evenly. */
const shuffleReaders = (
  selfId: string,
  readers: readonly { readonly id: string; readonly address: string }[],
): readonly string[] =>
  readers
    .filter(({ id }) => id !== selfId)
    .toSorted(
      (a, b) =>
        shared.hash.hashText(`${selfId}|${a.id}`) - shared.hash.hashText(`${selfId}|${b.id}`),
    )
    .map(({ address }) => address);

/**
 * Lists the addresses of the routers through which this router can read the store, the preferred one first; empty if it
 * reads the store itself. Those of its zone come before those that they read through. Members' tables may differ for a
 * short time, so what a reader passes on bears its age.
 */
export const listReaders = (table: memberTable.MemberTable): readonly string[] => {
  if (memberTable.listActiveMembers(table).length + 1 < MIN_ROUTERS) {
    return [];
  }
  const selfId = table.self.id;
  const roots = listRootReaders(table);
  if (roots.some(({ id }) => id === selfId)) {
    return [];
  }
  const ofZone = zoneRoles.listRoleHolders(table, 'storeReader', table.self.zone, READERS_PER_ZONE);
  const others = shuffleReaders(selfId, roots);
  if (ofZone.some(({ id }) => id === selfId)) {
    return others;
  }
  const first = shuffleReaders(selfId, ofZone);
  return [...first, ...others.filter((address) => !first.includes(address))];
};

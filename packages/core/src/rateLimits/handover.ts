import * as shared from '@jayrock/shared';
import * as memberTable from '../membership/memberTable.js';
import type * as routerState from '../routerState.js';

/** When this router was last able to follow its peers without a gap. */
export interface Presence {
  /** Time of the last tick, in milliseconds. */
  readonly tickedAtMs: number;
  /** Time at which it started, thawed, or learned that peers had declared it dead, in milliseconds. */
  readonly rejoinedAtMs: number;
}

/** Presence of a router that has not started yet. */
export const NO_PRESENCE: Presence = { tickedAtMs: -Infinity, rejoinedAtMs: -Infinity };

/**
 * Time for which a router that becomes an upstream's allocator grants nothing, in milliseconds: until all routers know
 * of the change, the former allocator may still grant.
 */
export const HANDOVER_MS = 2_000;
/** Time without a tick after which peers may have another allocator in this router's place, in milliseconds. */
const STALL_MS = 1_000;

const isStalled = ({ tickedAtMs }: Presence, nowMs: number): boolean =>
  nowMs - tickedAtMs > STALL_MS;

/** Records a tick; after a start or a stall the router counts as one that joins. */
export const recordTick = (presence: Presence, nowMs: number): Presence => ({
  tickedAtMs: nowMs,
  rejoinedAtMs: isStalled(presence, nowMs) ? nowMs : presence.rejoinedAtMs,
});

/** Returns the time at which this router joined its peers, which is now if it has just thawed. */
const getJoinedAtMs = (
  { presence, members }: routerState.RouterState,
  hasPeers: boolean,
  nowMs: number,
): number => {
  if (!hasPeers && memberTable.listUnknownSeedAddresses(members).length === 0) {
    return -Infinity;
  }
  return isStalled(presence, nowMs) ? nowMs : presence.rejoinedAtMs;
};

/**
 * Returns the time from which this router, the allocator of an upstream by its own view, is the only one by all views, in
 * milliseconds: `HANDOVER_MS` after it joined, or after a member was lost that came before it. That member may be cut off
 * and grant on. Members that join change nothing as long as this router comes before them.
 */
export const findGrantFromMs = (
  current: routerState.RouterState,
  upstreamId: string,
  nowMs: number,
): number => {
  const { members } = current.members;
  const joinedAtMs = getJoinedAtMs(current, members.size > 0, nowMs);
  const lostAtMs = members
    .valueSeq()
    .filter(
      ({ id, status, sinceMs }) =>
        status !== 'alive' &&
        status !== 'suspect' &&
        nowMs - sinceMs < HANDOVER_MS &&
        shared.rendezvous.pickRendezvous(upstreamId, [current.self.routerId, id], 1)[0] === id,
    )
    .reduce((latestMs, { sinceMs }) => Math.max(latestMs, sinceMs), -Infinity);
  return Math.max(joinedAtMs, lostAtMs) + HANDOVER_MS;
};

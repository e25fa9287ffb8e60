import * as memberTable from '../membership/memberTable.js';
import * as zoneRoles from '../membership/zoneRoles.js';
import type * as routerState from '../routerState.js';
import * as canaryState from './canaryState.js';

/** Largest fleet whose routers all report to each other; their number grows with the square of the fleet. */
const MAX_DIRECT_ROUTERS = 12;
/** Number of routers that aggregate the evidence of a zone; with two, one may fail. */
const AGGREGATORS_PER_ZONE = 2;

/** Returns whether the routers report evidence on roll-outs to a few of them in each zone. */
export const hasAggregators = (current: routerState.RouterState): boolean =>
  memberTable.listActiveMembers(current.members).length >= MAX_DIRECT_ROUTERS;

/** Lists the addresses of the routers that aggregate the evidence of a zone. */
export const listAggregators = (
  current: routerState.RouterState,
  zone: string,
): readonly string[] =>
  zoneRoles
    .listRoleHolders(current.members, 'trialEvidence', zone, AGGREGATORS_PER_ZONE)
    .map((member) => member.address);

/** Returns whether this router has the role of those that get the evidence of all routers. */
export const hasEvidenceRole = (current: routerState.RouterState): boolean =>
  !hasAggregators(current) ||
  listAggregators(current, current.self.zone).includes(current.self.address);

/** Returns whether this router knows of others, met or listed. */
const hasPeers = (current: routerState.RouterState): boolean =>
  memberTable.listPeerAddresses(current.members).length > 0;

/** Returns whether this router has peers and does not hear what they know of a roll-out, as after it stood still. */
export const isOutOfTouch = (
  current: routerState.RouterState,
  canary: canaryState.Canary,
  nowMs: number,
): boolean => hasPeers(current) && !canaryState.hasRecentReport(canary, nowMs);

/**
 * Returns whether this router has the evidence of all routers: it is one of those that get it, and hears its peers or
 * knows of none and has had none in the roll-out.
 */
export const hasAllEvidence = (
  current: routerState.RouterState,
  canary: canaryState.Canary,
  nowMs: number,
): boolean => {
  const wasAlone = !hasPeers(current) && canary.previousInFlight.isEmpty();
  return hasEvidenceRole(current) && (wasAlone || canaryState.hasRecentReport(canary, nowMs));
};

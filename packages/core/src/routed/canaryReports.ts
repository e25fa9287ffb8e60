import * as zoneRoles from '../membership/zoneRoles.js';
import * as memberTable from '../membership/memberTable.js';
import type * as routerState from '../routerState.js';
import * as canaryHandlers from './canaryHandlers.js';
import * as canaryEvidence from './canaryEvidence.js';
import * as canaryState from './canaryState.js';

/** A report and the peer that gets it. */
export interface AddressedReport {
  readonly address: string;
  readonly report: canaryState.CanaryReport;
}

/** Routers up to which each tells every other; their messages grow with the square of the fleet. */
const MAX_DIRECT_ROUTERS = 12;
/** Routers of a zone that gather its evidence, so that one may fail. */
const AGGREGATORS = 2;
/** Epochs of evidence in a report, so that a lost report is made up for. */
const REPORT_EPOCHS = 5;
const ZONE_SOURCE = 'zone:';

const makeReport = (
  trial: canaryState.Canary,
  source: string,
  rows: readonly canaryEvidence.EvidenceRow[],
  oldRunning: number,
): canaryState.CanaryReport => ({
  source,
  service: trial.order.service,
  revision: trial.order.revision,
  isBad: trial.isBad,
  rows,
  oldRunning,
});

const makeOwnReport = (
  current: routerState.RouterState,
  trial: canaryState.Canary,
  nowMs: number,
): canaryState.CanaryReport => {
  const { routerId } = current.self;
  const rows = canaryState.listRecentRows(trial, routerId, REPORT_EPOCHS, nowMs);
  return makeReport(trial, routerId, rows, canaryHandlers.countPreviousInFlight(current, trial));
};

const isZoneSource = (source: string): boolean => source.startsWith(ZONE_SOURCE);

/** Adds up what the routers of this zone have counted. */
const makeZoneReport = (
  current: routerState.RouterState,
  trial: canaryState.Canary,
  nowMs: number,
): canaryState.CanaryReport => {
  const sources = memberTable
    .listZoneMembers(current.members, current.self.zone)
    .map((member) => member.id)
    .concat(current.self.routerId);
  const rows = Array.from(new Set(sources)).flatMap((source) =>
    canaryState.listRecentRows(trial, source, REPORT_EPOCHS, nowMs),
  );
  const oldRunning = trial.previousInFlight
    .filter((_, source) => !isZoneSource(source))
    .reduce((sum, told) => sum + told.count, canaryHandlers.countPreviousInFlight(current, trial));
  const source = `${ZONE_SOURCE}${current.self.zone}`;
  return makeReport(trial, source, canaryEvidence.mergeRows(rows), oldRunning);
};

const listAggregators = (current: routerState.RouterState, zone: string): readonly string[] =>
  zoneRoles
    .listRoleHolders(current.members, 'trialEvidence', zone, AGGREGATORS)
    .map((member) => member.address);

const planZoneReports = (
  current: routerState.RouterState,
  trial: canaryState.Canary,
  nowMs: number,
): readonly AddressedReport[] => {
  const { zone, address: ownAddress } = current.self;
  const own = makeOwnReport(current, trial, nowMs);
  const near = listAggregators(current, zone);
  const toNear = near
    .filter((address) => address !== ownAddress)
    .map((address) => ({ address, report: own }));
  if (!near.includes(ownAddress)) {
    return toNear;
  }
  const report = makeZoneReport(current, trial, nowMs);
  const zones = new Set(memberTable.listAlive(current.members).map((member) => member.zone));
  zones.delete(zone);
  const toFar = Array.from(zones)
    .flatMap((far) => listAggregators(current, far))
    .map((address) => ({ address, report }));
  return [...toNear, ...toFar];
};

const planCanaryReports = (
  current: routerState.RouterState,
  trial: canaryState.Canary,
  nowMs: number,
): readonly AddressedReport[] => {
  const peers = memberTable.listAlive(current.members);
  if (peers.length >= MAX_DIRECT_ROUTERS) {
    return planZoneReports(current, trial, nowMs);
  }
  const report = makeOwnReport(current, trial, nowMs);
  return peers.map(({ address }) => ({ address, report }));
};

/**
 * Plans what this router tells of its roll-outs. In a large fleet a few routers of each zone gather its
 * evidence and exchange sums; what they decide reaches the others as the store's record.
 */
export const planReports = (
  current: routerState.RouterState,
  nowMs: number,
): readonly AddressedReport[] =>
  current.routed.canaries
    .valueSeq()
    .filter((trial) => trial.stage === 'running')
    .toArray()
    .flatMap((trial) => planCanaryReports(current, trial, nowMs));

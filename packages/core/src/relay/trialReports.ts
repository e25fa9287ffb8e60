import * as duties from '../membership/duties.js';
import * as memberTable from '../membership/memberTable.js';
import type * as routerState from '../routerState.js';
import * as relayTrials from './relayTrials.js';
import * as trialEvidence from './trialEvidence.js';
import * as versionTrial from './versionTrial.js';

/** A report and the peer that gets it. */
export interface AddressedReport {
  readonly address: string;
  readonly report: versionTrial.TrialReport;
}

/** Routers up to which each tells every other; their messages grow with the square of the fleet. */
const MAX_DIRECT_ROUTERS = 12;
/** Routers of a zone that gather its evidence, so that one may fail. */
const GATHERERS = 2;
/** Epochs of evidence in a report, so that a lost report is made up for. */
const REPORT_EPOCHS = 5;
const ZONE_SOURCE = 'zone:';

const makeReport = (
  trial: versionTrial.VersionTrial,
  source: string,
  rows: readonly trialEvidence.EvidenceRow[],
  oldRunning: number,
): versionTrial.TrialReport => ({
  source,
  service: trial.order.service,
  revision: trial.order.revision,
  isBad: trial.isBad,
  rows,
  oldRunning,
});

const makeOwnReport = (
  current: routerState.RouterState,
  trial: versionTrial.VersionTrial,
  nowMs: number,
): versionTrial.TrialReport => {
  const { routerId } = current.self;
  const rows = versionTrial.listRecentRows(trial, routerId, REPORT_EPOCHS, nowMs);
  return makeReport(trial, routerId, rows, relayTrials.countOldRunning(current, trial));
};

const isZoneSource = (source: string): boolean => source.startsWith(ZONE_SOURCE);

/** Adds up what the routers of this zone have counted. */
const makeZoneReport = (
  current: routerState.RouterState,
  trial: versionTrial.VersionTrial,
  nowMs: number,
): versionTrial.TrialReport => {
  const sources = memberTable
    .listZone(current.members, current.self.zone)
    .map((member) => member.id)
    .concat(current.self.routerId);
  const rows = Array.from(new Set(sources)).flatMap((source) =>
    versionTrial.listRecentRows(trial, source, REPORT_EPOCHS, nowMs),
  );
  const oldRunning = trial.oldRunning
    .filter((_, source) => !isZoneSource(source))
    .reduce((sum, told) => sum + told.count, relayTrials.countOldRunning(current, trial));
  const source = `${ZONE_SOURCE}${current.self.zone}`;
  return makeReport(trial, source, trialEvidence.mergeRows(rows), oldRunning);
};

const listGatherers = (current: routerState.RouterState, zone: string): readonly string[] =>
  duties
    .listHolders(current.members, 'trialEvidence', zone, GATHERERS)
    .map((member) => member.address);

const planZoneReports = (
  current: routerState.RouterState,
  trial: versionTrial.VersionTrial,
  nowMs: number,
): readonly AddressedReport[] => {
  const { zone, address: ownAddress } = current.self;
  const own = makeOwnReport(current, trial, nowMs);
  const near = listGatherers(current, zone);
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
    .flatMap((far) => listGatherers(current, far))
    .map((address) => ({ address, report }));
  return [...toNear, ...toFar];
};

const planTrialReports = (
  current: routerState.RouterState,
  trial: versionTrial.VersionTrial,
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
  current.relay.trials
    .valueSeq()
    .filter((trial) => trial.stage === 'running')
    .toArray()
    .flatMap((trial) => planTrialReports(current, trial, nowMs));

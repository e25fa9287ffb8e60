import * as memberTable from '../membership/memberTable.js';
import type * as routerState from '../routerState.js';
import * as canaryEvidence from './canaryEvidence.js';
import * as canaryHandlers from './canaryHandlers.js';
import * as canaryState from './canaryState.js';
import * as evidenceRoles from './evidenceRoles.js';
import * as versionRoles from './versionRoles.js';

/** A report and the address of its receiver. */
export interface AddressedReport {
  readonly address: string;
  readonly report: canaryState.CanaryReport;
}

/** Epochs of evidence in each report; they overlap, so that the next report makes up for a lost one. */
const REPORT_EPOCHS = 3;
/** Time for which a member that is new, or has come back, gets all epochs, in milliseconds. */
const ALL_EPOCHS_MS = REPORT_EPOCHS * canaryEvidence.EPOCH_MS;
/** Prefix of the source of a report that holds a zone's sums. */
const ZONE_SOURCE = 'zone:';

const makeAge = (canary: canaryState.Canary, nowMs: number): canaryState.CanaryAge => ({
  service: canary.order.service,
  revision: canary.order.revision,
  to: canary.order.to,
  ageMs: nowMs - canary.startedAtMs,
  isWitnessed: canary.unwitnessedSinceMs === null,
});

const makeReport = (
  canary: canaryState.Canary,
  source: string,
  rows: readonly canaryEvidence.EvidenceRow[],
  oldRunning: number,
  nowMs: number,
): canaryState.CanaryReport => ({
  ...makeAge(canary, nowMs),
  source,
  isBad: canary.isBad,
  rows,
  oldRunning,
  ...(canary.sessionShare === null
    ? {}
    : { sessionShare: canary.sessionShare, offset: canary.offset }),
});

const makeOwnReport = (
  current: routerState.RouterState,
  canary: canaryState.Canary,
  epochs: number,
  nowMs: number,
): canaryState.CanaryReport => {
  const { routerId } = current.self;
  const rows = canaryState.listRecentRows(canary, new Set([routerId]), epochs, nowMs);
  const oldRunning = canaryHandlers.countPreviousInFlight(current, canary);
  return makeReport(canary, routerId, rows, oldRunning, nowMs);
};

const isZoneSource = (source: string): boolean => source.startsWith(ZONE_SOURCE);

/** Makes a report with the summed evidence of the routers of this zone. */
const makeZoneReport = (
  current: routerState.RouterState,
  canary: canaryState.Canary,
  epochs: number,
  nowMs: number,
): canaryState.CanaryReport => {
  const sources = memberTable
    .listZoneMembers(current.members, current.self.zone)
    .map((member) => member.id)
    .concat(current.self.routerId);
  const rows = canaryState.listRecentRows(canary, new Set(sources), epochs, nowMs);
  const oldRunning = canary.previousInFlight
    .filter((_, source) => !isZoneSource(source))
    .reduce(
      (sum, report) => sum + report.count,
      canaryHandlers.countPreviousInFlight(current, canary),
    );
  const source = `${ZONE_SOURCE}${current.self.zone}`;
  return makeReport(canary, source, canaryEvidence.mergeRows(rows), oldRunning, nowMs);
};

/** Makes an aggregator's report to the routers of its zone: the counts of all routers without their evidence. */
const makeCountsReport = (
  current: routerState.RouterState,
  canary: canaryState.Canary,
  nowMs: number,
): canaryState.CanaryReport => {
  const oldRunning = canary.previousInFlight.reduce(
    (sum, report) => sum + report.count,
    canaryHandlers.countPreviousInFlight(current, canary),
  );
  const source = `${ZONE_SOURCE}${current.self.zone}`;
  return { ...makeReport(canary, source, [], oldRunning, nowMs), pooled: canary.pooled };
};

/**
 * Plans reports to members. One that has been active for less than the time that a report covers may lack what came
 * before, and gets the evidence from the start of the roll-out.
 */
const planReportsTo = (
  current: routerState.RouterState,
  addresses: readonly string[],
  makeReportOf: (epochs: number) => canaryState.CanaryReport,
  nowMs: number,
): readonly AddressedReport[] => {
  const newcomers = new Set(
    memberTable
      .listActiveMembers(current.members)
      .filter(({ sinceMs }) => nowMs - sinceMs < ALL_EPOCHS_MS)
      .map(({ address }) => address),
  );
  const planFor = (isNew: boolean, epochs: number): readonly AddressedReport[] => {
    const receivers = addresses.filter((address) => newcomers.has(address) === isNew);
    if (receivers.length === 0) {
      return [];
    }
    const report = makeReportOf(epochs);
    return receivers.map((address) => ({ address, report }));
  };
  return [...planFor(false, REPORT_EPOCHS), ...planFor(true, Infinity)];
};

/** Plans the reports of a large fleet: to the own zone's aggregators, and from them to those of other zones. */
const planZoneReports = (
  current: routerState.RouterState,
  canary: canaryState.Canary,
  nowMs: number,
): readonly AddressedReport[] => {
  const { zone, address: ownAddress } = current.self;
  const aggregators = evidenceRoles.listAggregators(current, zone);
  const toOwnZone = planReportsTo(
    current,
    aggregators.filter((address) => address !== ownAddress),
    (epochs) => makeOwnReport(current, canary, epochs, nowMs),
    nowMs,
  );
  if (!aggregators.includes(ownAddress)) {
    return toOwnZone;
  }
  const zones = new Set(
    memberTable.listActiveMembers(current.members).map((member) => member.zone),
  );
  zones.delete(zone);
  const toOtherZones = planReportsTo(
    current,
    Array.from(zones).flatMap((other) => evidenceRoles.listAggregators(current, other)),
    (epochs) => makeZoneReport(current, canary, epochs, nowMs),
    nowMs,
  );
  const counts = makeCountsReport(current, canary, nowMs);
  const toMembers = memberTable
    .listZoneMembers(current.members, zone)
    .map((member) => member.address)
    .filter((address) => address !== ownAddress && !aggregators.includes(address))
    .map((address) => ({ address, report: counts }));
  return [...toOwnZone, ...toOtherZones, ...toMembers];
};

/** Plans the reports on one canary, by the size of the fleet. */
const planCanaryReports = (
  current: routerState.RouterState,
  canary: canaryState.Canary,
  nowMs: number,
): readonly AddressedReport[] => {
  if (evidenceRoles.hasAggregators(current)) {
    return planZoneReports(current, canary, nowMs);
  }
  return planReportsTo(
    current,
    memberTable.listActiveMembers(current.members).map(({ address }) => address),
    (epochs) => makeOwnReport(current, canary, epochs, nowMs),
    nowMs,
  );
};

/** Lists the canaries of the orders that have not ended, earlier ones of a service among them. */
const listRunning = (current: routerState.RouterState): readonly canaryState.Canary[] =>
  current.routed.canaries
    .valueSeq()
    .toArray()
    .flatMap(versionRoles.listCanaries)
    .filter((canary) => canary.stage === 'running');

/** Lists the ages of the running orders, for a router that starts. */
export const listAges = (
  current: routerState.RouterState,
  nowMs: number,
): readonly canaryState.CanaryAge[] => listRunning(current).map((canary) => makeAge(canary, nowMs));

/**
 * Plans this router's reports on its running canaries. In a large fleet, a few routers of each zone aggregate
 * the evidence of their zone, exchange the sums and tell the other routers the counts and whether the version is bad.
 */
export const planReports = (
  current: routerState.RouterState,
  nowMs: number,
): readonly AddressedReport[] =>
  listRunning(current).flatMap((canary) => planCanaryReports(current, canary, nowMs));

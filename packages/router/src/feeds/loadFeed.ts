import * as core from '@jayrock/core';
import * as stores from '@jayrock/stores';
import type * as shared from '@jayrock/shared';
import type * as rpcClient from '../peers/rpcClient.js';
import type * as runtime from '../runtime.js';
import type * as hostFeed from './hostFeed.js';

/** Time between two rounds of looks, in milliseconds. */
const ROUND_MS = 2_000;
/** Age at which a report of an upstream in this zone is read anew, in milliseconds. */
const LOCAL_AGE_MS = 2_000;
/** Age at which a report of an upstream in another zone is read anew, in milliseconds. */
const REMOTE_AGE_MS = 30_000;
/** Upstreams read in one round, which bounds the cost of control in a large zone. */
const MAX_READS = 4;
/** Lateness, as a share of the wished age, from which a report is read. */
const MIN_LATENESS = 0.9;
/** Peers told in each round; a large zone is told less often. */
const PEERS_PER_ROUND = 6;

interface Report {
  readonly upstreamId: string;
  readonly report: shared.hosts.LoadReport;
}

/**
 * Follows the upstreams' load reports. Each upstream is read by one router of the zone, which passes
 * the report on to the others, so that an upstream is asked once a zone and not once a router.
 */
export const startLoadFeed = (
  node: runtime.Runtime,
  client: rpcClient.RpcClient,
): hostFeed.Feed => {
  const reading = new Set<string>();
  const untold = new Map<string, Report>();
  let round = 0;
  const readReport = async (host: shared.hosts.Host): Promise<Report | null> => {
    reading.add(host.id);
    const report = await stores.loadReports.fetchLoadReport(host.address);
    reading.delete(host.id);
    if (report === null) {
      return null;
    }
    node.dispatch({ type: 'loadReported', upstreamId: host.id, report });
    return { upstreamId: host.id, report };
  };
  const pushReports = (): void => {
    const { members } = node.getState();
    const peers = core.memberTable
      .listZoneMembers(members, members.self.zone)
      .filter((peer) => peer.id !== members.self.id);
    const isDue = round % Math.max(1, Math.ceil(peers.length / PEERS_PER_ROUND)) === 0;
    if (!isDue || untold.size === 0) {
      return;
    }
    const reports = Array.from(untold.values());
    untold.clear();
    peers.forEach((peer) => {
      client.call(peer.address, 'pushLoads', { reports }).catch(() => undefined);
    });
  };
  const readAll = async (hosts: readonly shared.hosts.Host[]): Promise<void> => {
    const reports = await Promise.all(hosts.map(readReport));
    reports
      .filter((report) => report !== null)
      .forEach((report) => untold.set(report.upstreamId, report));
    pushReports();
  };
  const listUnread = (): readonly shared.hosts.Host[] =>
    node
      .getState()
      .upstreams.valueSeq()
      .filter((upstream) => upstream.reportedAtMs === 0 && !reading.has(upstream.host.id))
      .map((upstream) => upstream.host)
      .toArray();
  /** Lists the upstreams of this router whose reports are most overdue. */
  const listDue = (): readonly shared.hosts.Host[] => {
    const { members, self, upstreams } = node.getState();
    const nowMs = Date.now();
    const computeLateness = (upstream: core.upstreamState.UpstreamState): number =>
      (nowMs - upstream.reportedAtMs) /
      (upstream.host.zone === self.zone ? LOCAL_AGE_MS : REMOTE_AGE_MS);
    return upstreams
      .valueSeq()
      .filter((upstream) => !reading.has(upstream.host.id) && upstream.reportedAtMs > 0)
      .filter((upstream) => core.zoneRoles.isLoadReader(members, upstream.host.id))
      .map((upstream) => ({ host: upstream.host, lateness: computeLateness(upstream) }))
      .filter(({ lateness }) => lateness >= MIN_LATENESS)
      .sortBy(({ lateness }) => -lateness)
      .take(MAX_READS)
      .map(({ host }) => host)
      .toArray();
  };
  const run = (): void => {
    round += 1;
    readAll([...listUnread(), ...listDue()]).catch(() => undefined);
  };
  const timer = setInterval(run, ROUND_MS);
  return {
    firstFetch: readAll(listUnread()).catch(() => undefined),
    stop: () => clearInterval(timer),
  };
};

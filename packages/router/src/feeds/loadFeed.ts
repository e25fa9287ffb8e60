import * as core from '@jayrock/core';
import * as stores from '@jayrock/stores';
import type * as shared from '@jayrock/shared';
import type * as rpcClient from '../peers/rpcClient.js';
import type * as routerRuntime from '../routerRuntime.js';
import type * as hostFeed from './hostFeed.js';

/** Interval between two rounds of reads, in milliseconds. */
const ROUND_MS = 2_000;
/** Largest intended age of the report of an upstream in this zone, in milliseconds. */
const LOCAL_AGE_MS = 2_000;
/** Largest intended age of the report of an upstream in another zone, in milliseconds. */
const REMOTE_AGE_MS = 30_000;
/** Largest number of due reads in one round, which bounds the control traffic of a large zone. */
const MAX_READS = 4;
/** Age, as a share of LOCAL_AGE_MS or REMOTE_AGE_MS, from which a report is read again. */
const MIN_LATENESS = 0.9;
/** Largest average number of pushes per round; in a zone with more peers, pushes skip rounds. */
const PEERS_PER_ROUND = 6;

interface Report {
  readonly upstreamId: string;
  readonly report: shared.hosts.LoadReport;
}

/**
 * Polls the upstreams' load reports. A router itself reads an upstream that has no report yet. After that,
 * one router of the zone reads it and pushes the report to the others, so that an upstream is polled once
 * per zone and not once per router.
 */
export const startLoadFeed = (
  runtime: routerRuntime.Runtime,
  client: rpcClient.RpcClient,
): hostFeed.Feed => {
  const readingIds = new Set<string>();
  const unpushed = new Map<string, Report>();
  let round = 0;
  const readReport = async (host: shared.hosts.Host): Promise<Report | null> => {
    readingIds.add(host.id);
    const report = await stores.loadReports.fetchLoadReport(host.address);
    readingIds.delete(host.id);
    if (report === null) {
      return null;
    }
    runtime.dispatch({ type: 'loadReported', upstreamId: host.id, report });
    return { upstreamId: host.id, report };
  };
  const pushReports = (): void => {
    const { members } = runtime.getState();
    const peers = core.memberTable
      .listZoneMembers(members, members.self.zone)
      .filter((peer) => peer.id !== members.self.id);
    const isDue = round % Math.max(1, Math.ceil(peers.length / PEERS_PER_ROUND)) === 0;
    if (!isDue || unpushed.size === 0) {
      return;
    }
    const reports = Array.from(unpushed.values());
    unpushed.clear();
    peers.forEach((peer) => {
      client.call(peer.address, 'pushLoads', { reports }).catch(() => undefined);
    });
  };
  const readAll = async (hosts: readonly shared.hosts.Host[]): Promise<void> => {
    const reports = await Promise.all(hosts.map(readReport));
    reports
      .filter((report) => report !== null)
      .forEach((report) => unpushed.set(report.upstreamId, report));
    pushReports();
  };
  const listUnread = (): readonly shared.hosts.Host[] =>
    runtime
      .getState()
      .upstreams.valueSeq()
      .filter((upstream) => upstream.reportedAtMs === 0 && !readingIds.has(upstream.host.id))
      .map((upstream) => upstream.host)
      .toArray();
  /** Lists the upstreams assigned to this router whose reports are due, the most overdue first. */
  const listDue = (): readonly shared.hosts.Host[] => {
    const { members, self, upstreams } = runtime.getState();
    const nowMs = Date.now();
    const computeLateness = (upstream: core.upstreamState.UpstreamState): number =>
      (nowMs - upstream.reportedAtMs) /
      (upstream.host.zone === self.zone ? LOCAL_AGE_MS : REMOTE_AGE_MS);
    return upstreams
      .valueSeq()
      .filter((upstream) => !readingIds.has(upstream.host.id) && upstream.reportedAtMs > 0)
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

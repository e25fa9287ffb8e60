import * as core from '@jayrock/core';
import * as platform from '@jayrock/platform';
import type * as shared from '@jayrock/shared';
import type * as rpcClient from '../peers/rpcClient.js';
import type * as runtime from '../runtime.js';
import type * as hostFeed from './hostFeed.js';

/** Time between two looks at the load of an upstream in this zone, in milliseconds. */
const LOCAL_INTERVAL_MS = 2_000;
/** Rounds of local looks for each look at upstreams of other zones. */
const REMOTE_EVERY = 15;

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
  let round = 0;
  const readReport = async (host: shared.hosts.Host): Promise<Report | null> => {
    reading.add(host.id);
    const report = await platform.loadReports.fetchLoadReport(host.address);
    reading.delete(host.id);
    if (report === null) {
      return null;
    }
    node.dispatch({ type: 'loadReported', upstreamId: host.id, report });
    return { upstreamId: host.id, report };
  };
  const pushReports = (reports: readonly Report[]): void => {
    const { members } = node.getState();
    core.memberTable
      .listZone(members, members.self.zone)
      .filter((peer) => peer.id !== members.self.id && reports.length > 0)
      .forEach((peer) => {
        client.call(peer.address, 'pushLoads', { reports }).catch(() => undefined);
      });
  };
  const readAll = async (isDue: (host: shared.hosts.Host) => boolean): Promise<void> => {
    const hosts = node
      .getState()
      .upstreams.valueSeq()
      .map((upstream) => upstream.host)
      .filter((host) => !reading.has(host.id) && isDue(host))
      .toArray();
    const reports = await Promise.all(hosts.map(readReport));
    pushReports(reports.filter((report) => report !== null));
  };
  const run = (): void => {
    round += 1;
    const { members, self, upstreams } = node.getState();
    const isDue = (host: shared.hosts.Host): boolean =>
      upstreams.get(host.id)?.reportedAtMs === 0 ||
      ((host.zone === self.zone || round % REMOTE_EVERY === 0) &&
        core.duties.isLoadReader(members, host.id));
    readAll(isDue).catch(() => undefined);
  };
  const timer = setInterval(run, LOCAL_INTERVAL_MS);
  return { first: readAll(() => true).catch(() => undefined), stop: () => clearInterval(timer) };
};

import type * as stores from '@jayrock/stores';
import * as shared from '@jayrock/shared';
import type * as routerRuntime from '../routerRuntime.js';

/** Interval at which the host list is polled, in milliseconds. */
const INTERVAL_MS = 2_000;

/** A running feed that polls its source. */
export interface Feed {
  /** Resolves once the first fetch has ended, whether or not it succeeded. */
  readonly firstFetch: Promise<void>;
  readonly stop: () => void;
}

/** Polls the platform's host list, dispatches its changes and passes entry hosts to `onEntryHosts`. */
export const startHostFeed = (
  runtime: routerRuntime.Runtime,
  hostList: stores.hostList.HostList,
  onEntryHosts: (hosts: readonly shared.hosts.Host[]) => void,
): Feed => {
  let lastText = '';
  const update = async (): Promise<void> => {
    const hosts = await hostList.fetch();
    const text = JSON.stringify(hosts);
    if (hosts === null || text === lastText) {
      return;
    }
    lastText = text;
    const isEntry = (host: shared.hosts.Host): boolean =>
      host.service === shared.hosts.ENTRY_SERVICE;
    runtime.dispatch({ type: 'hostsListed', hosts: hosts.filter((host) => !isEntry(host)) });
    onEntryHosts(hosts.filter(isEntry));
  };
  const run = (): Promise<void> => update().catch(() => undefined);
  const timer = setInterval(run, INTERVAL_MS);
  return { firstFetch: run(), stop: () => clearInterval(timer) };
};

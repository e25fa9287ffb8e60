import type * as stores from '@jayrock/stores';
import * as shared from '@jayrock/shared';
import type * as runtime from '../runtime.js';

/** Time between two looks at the host list, in milliseconds. */
const INTERVAL_MS = 2_000;

/** A feed with its first look. */
export interface Feed {
  /** Resolves once the first look has ended, well or not. */
  readonly firstFetch: Promise<void>;
  readonly stop: () => void;
}

/** Follows the platform's host list. */
export const startHostFeed = (
  node: runtime.Runtime,
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
    node.dispatch({ type: 'hostsListed', hosts: hosts.filter((host) => !isEntry(host)) });
    onEntryHosts(hosts.filter(isEntry));
  };
  const run = (): Promise<void> => update().catch(() => undefined);
  const timer = setInterval(run, INTERVAL_MS);
  return { firstFetch: run(), stop: () => clearInterval(timer) };
};

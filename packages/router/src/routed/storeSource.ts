import * as platform from '@jayrock/platform';
import * as hostFeed from './hostFeed.js';
import * as peerFeed from './peerFeed.js';
import * as prefixFeed from './prefixFeed.js';
import type * as routeSource from './routeSource.js';
import * as canaryRecords from './canaryRecords.js';

/** Time after which a wait for configuration confirms the one in force, in milliseconds. */
const CONFIG_WAIT_MS = 1_500;
/** Time after which a wait for this product's own keys begins anew, in milliseconds. */
const OWN_WAIT_MS = 10_000;
/** Pause after changes of own keys: all routers list themselves when a site starts. */
const OWN_GATHER_MS = 500;

/** Makes a source that follows the platform's store. */
export const makeStoreSource = (
  context: routeSource.SourceContext,
  storeAddress: string,
  localAddress: string,
): routeSource.RouteSource => {
  const { node, log, clock } = context;
  const store = platform.storeClient.openStoreClient(storeAddress, localAddress);
  const trials = canaryRecords.makeCanaryRecords(node, store, log);
  let listing: peerFeed.PeerFeed | null = null;
  let operator: prefixFeed.PrefixFeed | null = null;
  let feeds: readonly prefixFeed.PrefixFeed[] = [];
  const handleOwnKey = (key: string, value: string | null, revision: number): void => {
    listing?.handleChange(key, value);
    trials.handleRecord(key, value, revision);
  };
  const handleOperatorKey = (key: string, value: string | null, revision: number): void => {
    if (key === platform.wire.KEYS.configuration && value !== null) {
      const table = canaryRecords.readRouteTable(value, log);
      if (table !== null) {
        node.dispatch({ type: 'routesAdopted', table });
      }
    } else if (key.startsWith(platform.wire.KEYS.rolloutOrders)) {
      trials.handleOrder(key, value, revision);
    }
  };
  const follow = (
    options: prefixFeed.PrefixFeedOptions,
    handleKey: (key: string, value: string | null, revision: number) => void,
  ): prefixFeed.PrefixFeed =>
    prefixFeed.startPrefixFeed(
      store,
      options,
      {
        handleSnapshot: (entries) =>
          entries.forEach((entry) => handleKey(entry.key, entry.value, entry.revision)),
        handleChange: (change) => handleKey(change.key, change.value, change.revision),
      },
      log,
    );
  return {
    start: async () => {
      listing = peerFeed.startPeerFeed(node, store, log);
      const own = follow(
        {
          prefix: canaryRecords.OWN_PREFIX,
          waitMs: OWN_WAIT_MS,
          batchDelayMs: OWN_GATHER_MS,
          clock: null,
        },
        handleOwnKey,
      );
      feeds = [own, hostFeed.startHostFeed(node, store, log)];
      // The records of roll-outs tell how far the orders have come, so they are read first.
      await own.firstRead;
      operator = follow(
        { prefix: platform.wire.KEYS.operator, waitMs: CONFIG_WAIT_MS, batchDelayMs: 0, clock },
        handleOperatorKey,
      );
    },
    refresh: () => operator?.refresh() ?? Promise.resolve(false),
    recordCanaryOutcome: trials.recordCanaryOutcome,
    leave: async () => listing?.leave(),
    countCalls: store.countCalls,
    stop: async () => {
      feeds.forEach((feed) => feed.stop());
      operator?.stop();
      listing?.stop();
      await store.close();
    },
  };
};

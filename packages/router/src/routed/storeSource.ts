import * as platform from '@jayrock/platform';
import type * as stores from '@jayrock/stores';
import * as canaryRecords from './canaryRecords.js';
import * as evacuationFeed from './evacuationFeed.js';
import * as guardRecords from './guardRecords.js';
import * as hostFeed from './hostFeed.js';
import * as peerFeed from './peerFeed.js';
import * as peerRoutes from './peerRoutes.js';
import * as prefixFeed from './prefixFeed.js';
import type * as routeSource from './routeSource.js';
import * as sharedStore from './sharedStore.js';

/** Creates a source that follows the platform's store. */
export const makeStoreSource = (
  context: routeSource.SourceContext,
  storeAddress: string,
  localAddress: string,
): routeSource.RouteSource => {
  const { runtime, log, clock } = context;
  const direct = platform.storeClient.openStoreClient(storeAddress, localAddress);
  const reads = sharedStore.makeSharedStore(context, direct);
  const { store } = reads;
  const canaries = canaryRecords.makeCanaryRecords(runtime, store, log);
  const guards = guardRecords.makeGuardRecords(runtime, store, log);
  let registration: peerFeed.PeerFeed | null = null;
  let feed: prefixFeed.PrefixFeed | null = null;
  const hosts = hostFeed.makeHostFeed(runtime, () => feed?.getTimeSinceOutageMs() ?? Infinity, log);
  const evacuations = evacuationFeed.makeEvacuationFeed(runtime, clock, log);
  let resolveFirstOutcome: () => void = () => undefined;
  const firstOutcome = new Promise<void>((resolve) => {
    resolveFirstOutcome = resolve;
  });
  const handleOwnKey = ({ key, value, revision }: stores.prefixStore.PrefixChange): void => {
    registration?.handleChange(key, value);
    canaries.handleRecord(key, value, revision);
    guards.handleRecord(key, value);
  };
  const handleOperatorKey = ({ key, value, revision }: stores.prefixStore.PrefixChange): void => {
    if (key === platform.wire.KEYS.configuration && value !== null) {
      const table = canaryRecords.readRouteTable(value, log);
      if (table !== null) {
        runtime.dispatch({ type: 'routesAdopted', table });
      }
    } else if (key.startsWith(platform.wire.KEYS.rolloutOrders)) {
      canaries.handleOrder(key, value, revision);
    }
  };
  /** The last change of each key, so that a read handles only what it changes. */
  const handled = new Map<string, stores.prefixStore.PrefixChange>();
  const withRecord =
    (handle: (change: stores.prefixStore.PrefixChange) => void) =>
    (change: stores.prefixStore.PrefixChange): void => {
      handled.set(change.key, change);
      handle(change);
    };
  /** Handlers of changes, by the prefix of their keys, the first that fits; other keys of the store do not concern routers. */
  const handlers = {
    [canaryRecords.OWN_PREFIX]: withRecord(handleOwnKey),
    [platform.wire.KEYS.upstreams]: hosts.handleChange,
    [platform.wire.KEYS.evacuations]: evacuations.handleChange,
    [platform.wire.KEYS.operator]: withRecord(handleOperatorKey),
  };
  const handleChange = (change: stores.prefixStore.PrefixChange): void =>
    Object.entries(handlers).find(([prefix]) => change.key.startsWith(prefix))?.[1](change);
  const isNew = ({ key, value, revision }: stores.keyValueStore.KeyValueEntry): boolean =>
    handled.get(key)?.revision !== revision || handled.get(key)?.value !== value;
  const listEntries = (
    entries: readonly stores.keyValueStore.KeyValueEntry[],
    prefix: string,
  ): readonly stores.keyValueStore.KeyValueEntry[] =>
    entries.filter(({ key }) => key.startsWith(prefix));
  let isFirstSnapshot = true;
  /**
   * Roll-out records hold the progress of the orders, so they are applied before the orders, and these before the
   * upstreams that they bring in. Evacuations come before all that may start requests. At the start, peers are asked for a newer table before one of the store is in force.
   */
  const handleSnapshot: prefixFeed.PrefixFeedListener['handleSnapshot'] = async (
    entries,
    restoration,
  ) => {
    const isRestored = restoration?.isFirst === true;
    if (isRestored) {
      handled.clear();
      canaries.handleRestored();
      canaries.forgetRecords();
      guards.forgetRecords();
    }
    listEntries(entries, canaryRecords.OWN_PREFIX)
      .filter(isNew)
      .forEach(handlers[canaryRecords.OWN_PREFIX]);
    if (isRestored) {
      registration?.handleRestored();
      canaries.rewriteRecords();
      guards.rewriteRecords();
    }
    let ages: readonly peerRoutes.ToldAge[] = [];
    if (isFirstSnapshot) {
      isFirstSnapshot = false;
      ages = await context.fetchPeerRoutes();
    }
    evacuations.handleSnapshot(listEntries(entries, platform.wire.KEYS.evacuations), restoration);
    listEntries(entries, platform.wire.KEYS.operator)
      .filter(isNew)
      .forEach(handlers[platform.wire.KEYS.operator]);
    peerRoutes.reportAges(runtime, ages);
    hosts.handleSnapshot(listEntries(entries, platform.wire.KEYS.upstreams), restoration);
  };
  return {
    firstOutcome,
    start: async () => {
      registration = peerFeed.startPeerFeed(runtime, store, log);
      feed = prefixFeed.startPrefixFeed(
        store,
        { prefix: sharedStore.ALL_KEYS, getWaitMs: context.getNewsMs, clock },
        { handleSnapshot, handleChange },
        log,
      );
      Promise.race([feed.firstFailure, feed.firstRead])
        .then(resolveFirstOutcome)
        .catch(() => undefined);
      await feed.firstRead;
    },
    refresh: () => feed?.refresh() ?? Promise.resolve(),
    recordCanaryOutcome: canaries.recordCanaryOutcome,
    recordGuard: guards.recordGuard,
    leave: async () => registration?.leave(),
    sharedReads: reads,
    countCalls: store.countCalls,
    stop: async () => {
      feed?.stop();
      hosts.stop();
      evacuations.stop();
      registration?.stop();
      guards.stop();
      await store.close();
    },
  };
};

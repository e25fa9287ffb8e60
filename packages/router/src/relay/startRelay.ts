import * as core from '@jayrock/core';
import * as platform from '@jayrock/platform';
import * as shared from '@jayrock/shared';
import type * as stores from '@jayrock/stores';
import * as fastify from 'fastify';
import * as pino from 'pino';
import * as peerHandlers from '../peers/peerHandlers.js';
import * as peerService from '../peers/peerService.js';
import * as rpcClient from '../peers/rpcClient.js';
import * as rpcServer from '../peers/rpcServer.js';
import * as runtime from '../runtime.js';
import * as agents from '../upstreams/agents.js';
import * as hostFeed from './hostFeed.js';
import * as peerFeed from './peerFeed.js';
import * as prefixFeed from './prefixFeed.js';
import * as reachMonitor from './reachMonitor.js';
import * as relayMetrics from './relayMetrics.js';
import type * as relayPending from './relayPending.js';
import * as relayRunners from './relayRunners.js';
import * as relayServer from './relayServer.js';
import * as trialRecords from './trialRecords.js';
import * as trialReports from './trialReports.js';
import * as viewClock from './viewClock.js';

/** Time between two ticks of the reducer, in milliseconds. */
const TICK_MS = 200;
/** Time after which a wait for configuration confirms the one in force, in milliseconds. */
const CONFIG_WAIT_MS = 1_500;
/** Time after which a wait for this product's own keys begins anew, in milliseconds. */
const OWN_WAIT_MS = 10_000;
/** Part of the bound on withdrawn keys up to which a confirmation counts. */
const KEY_AGE_SHARE = 0.78;
/** Part of the bound from which the balancer is asked to send callers elsewhere. */
const READY_AGE_SHARE = 0.7;
/** Time in which the balancer takes a stopping router out, in milliseconds. */
const LEAVE_BALANCER_MS = 3_000;
/** Time between two looks at whether a stopping router has finished, in milliseconds. */
const STOP_POLL_MS = 25;
/** Part of the grace after which what still runs is cut off. */
const GRACE_SHARE = 0.95;

/** A router of routes in service. */
export interface RunningRelay {
  /** Ends at once, for tests and for a process that exits anyway. */
  readonly close: () => Promise<void>;
  /** Takes over the bounds of changed settings; addresses need a restart. */
  readonly reload: (settings: shared.settings.Settings) => void;
  /** Finishes every request that was read, and ends. */
  readonly stop: () => Promise<void>;
}

type ManagedSettings = Extract<shared.settings.PlatformSettings, { kind: 'managed' }>;

const makeRelaySettings = (settings: ManagedSettings): core.relayContext.RelaySettings => ({
  maxKeyAgeMs: settings.bounds.revocationMs * KEY_AGE_SHARE,
  maxDenyAgeMs: settings.bounds.configurationMs * 2,
  repeats: {
    share: settings.bounds.repeatShare,
    slack: settings.bounds.repeatSlack,
    windowMs: settings.bounds.repeatWindowMs,
  },
  exposureShare: settings.bounds.exposureShare,
});

const listen = (server: fastify.FastifyInstance, address: string): Promise<string> =>
  server.listen(shared.settings.parseAddress(address));

const makeMetricsServer = (
  node: runtime.Runtime,
  metrics: relayMetrics.RelayMetrics,
  store: stores.prefixStore.PrefixStore,
  clock: viewClock.ViewClock,
): fastify.FastifyInstance => {
  const server = fastify.fastify({ forceCloseConnections: true });
  server.get('/metrics', (_, reply) => {
    const state = node.getState();
    return reply.type('text/plain').send(
      metrics.render({
        routes_version: state.relay.view?.version ?? 0,
        routes_age_ms: Math.min(Number.MAX_SAFE_INTEGER, Math.round(clock.getAgeMs())),
        requests_running: state.requests.size,
        requests_queued: state.lanes.reduce((sum, lane) => sum + lane.queue.size, 0),
        upstreams: state.upstreams.size,
        upstreams_ejected: state.upstreams.count((one) => one.health !== 'ok'),
        peers: core.memberTable.listAlive(state.members).length,
        store_calls: store.countCalls(),
        memory_bytes: process.memoryUsage().rss,
      }),
    );
  });
  return server;
};

/** Starts a router whose configuration and upstreams come from the platform's store. */
export const startRelay = async (
  settings: shared.settings.Settings,
  managed: ManagedSettings,
): Promise<RunningRelay> => {
  const routerId = shared.requestId.makeRequestId();
  const log = pino.pino({ level: settings.logLevel, base: { router: managed.name } });
  const localAddress = shared.settings.parseAddress(settings.peers).host;
  const node = runtime.makeRuntime(
    core.routerState.makeState(
      {
        routerId,
        zone: settings.zone,
        address: settings.advertisedPeers ?? settings.peers,
        ledgerCapacity: settings.limits.maxLedgerEntries,
      },
      core.policy.DEFAULT_POLICY,
      makeRelaySettings(managed),
    ),
  );
  const clock = viewClock.makeViewClock();
  const metrics = relayMetrics.makeRelayMetrics();
  const pending = new Map<string, relayPending.RelayPending>();
  const pools = agents.makeAgents(localAddress);
  const store = platform.storeClient.openStoreClient(managed.storeAddress, localAddress);
  const client = rpcClient.makeRpcClient(settings.peerSecret, localAddress);
  const reach = reachMonitor.startReachMonitor(node);
  const peers = peerService.startPeerService(node, client);
  const trials = trialRecords.makeTrialRecords(node, store, log);
  node.connect(
    relayRunners.makeRelayRunners({ node, pending, pools, peers, trials, reach, metrics, log }),
  );
  const peerListener = rpcServer.makeRpcServer(
    settings.peerSecret,
    peerHandlers.makeMemberHandlers({ node, client, peers }),
  );
  let isLeaving = false;
  let operator: prefixFeed.PrefixFeed | null = null;
  const maxReadyAgeMs = managed.bounds.revocationMs * READY_AGE_SHARE;
  const isReady = (): boolean =>
    !isLeaving &&
    node.getState().relay.view !== null &&
    node.getState().upstreams.size > 0 &&
    clock.getAgeMs() <= maxReadyAgeMs;
  const ready = relayServer.makeReadyServer(isReady);
  const callers = relayServer.makeRelayServer({
    node,
    pending,
    clock,
    maxViewAgeMs: managed.bounds.revocationMs * KEY_AGE_SHARE,
    refreshView: () => operator?.refresh() ?? Promise.resolve(false),
    isLeaving: () => isLeaving,
    limits: {
      maxBodyBytes: settings.limits.maxBodyBytes,
      headersTimeoutMs: settings.limits.headersTimeoutMs,
    },
  });
  const status = makeMetricsServer(node, metrics, store, clock);
  const listing = peerFeed.startPeerFeed(node, store, log);
  const own = prefixFeed.startPrefixFeed(
    store,
    { prefix: trialRecords.OWN_PREFIX, waitMs: OWN_WAIT_MS, clock: null },
    {
      handleSnapshot: (entries) =>
        entries.forEach((entry) => {
          listing.handleChange(entry.key, entry.value);
          trials.handleRecord(entry.key, entry.value, entry.revision);
        }),
      handleChange: (change) => {
        listing.handleChange(change.key, change.value);
        trials.handleRecord(change.key, change.value, change.revision);
      },
    },
    log,
  );
  const hosts = hostFeed.startHostFeed(node, store, log);
  const handleOperatorKey = (key: string, value: string | null, revision: number): void => {
    if (key === platform.wire.KEYS.configuration && value !== null) {
      const table = trialRecords.readRouteTable(value, log);
      if (table !== null) {
        node.dispatch({ type: 'routesAdopted', table });
      }
    } else if (key.startsWith(platform.wire.KEYS.rolloutOrders)) {
      trials.handleOrder(key, value, revision);
    }
  };
  await Promise.all([
    listen(callers, settings.callers),
    listen(ready, managed.readyAddress),
    listen(peerListener, settings.peers),
    listen(status, settings.status),
  ]);
  // The records of roll-outs tell how far the orders have come, so they are read first.
  await own.first;
  operator = prefixFeed.startPrefixFeed(
    store,
    { prefix: platform.wire.KEYS.operator, waitMs: CONFIG_WAIT_MS, clock },
    {
      handleSnapshot: (entries) =>
        entries.forEach((entry) => handleOperatorKey(entry.key, entry.value, entry.revision)),
      handleChange: (change) => handleOperatorKey(change.key, change.value, change.revision),
    },
    log,
  );
  const ticks = setInterval(() => node.dispatch({ type: 'ticked' }), TICK_MS);
  const stopReports = trialReports.startTrialReports(node, client);
  node.dispatch({ type: 'probeDue' });
  log.info({ callers: settings.callers, routerId }, 'router started');

  let isClosed = false;
  const close = async (): Promise<void> => {
    if (isClosed) {
      return;
    }
    isClosed = true;
    [hosts, own, operator].forEach((feed) => feed?.stop());
    clearInterval(ticks);
    stopReports();
    listing.stop();
    reach.stop();
    peers.stop();
    callers.server.closeAllConnections();
    await Promise.all([callers, ready, status, peerListener].map((server) => server.close()));
    await Promise.all([pools.close(), client.close(), store.close()]);
  };
  const stop = async (): Promise<void> => {
    const startedAtMs = performance.now();
    log.info({ running: pending.size }, 'router stopping');
    isLeaving = true;
    pending.forEach(({ response }) => {
      response.shouldKeepAlive = false;
    });
    const graceMs = managed.bounds.graceMs * GRACE_SHARE;
    const isOver = (): boolean => performance.now() - startedAtMs > graceMs;
    listing.leave().catch((error: unknown) => log.warn({ error }, 'router not taken off the list'));
    await shared.delay.wait(LEAVE_BALANCER_MS);
    const closed = callers.close();
    while (pending.size > 0 && !isOver()) {
      // eslint-disable-next-line no-await-in-loop -- each look follows a pause
      await shared.delay.wait(STOP_POLL_MS);
    }
    log.info({ cut: pending.size }, 'router stopped');
    await Promise.race([closed, shared.delay.wait(STOP_POLL_MS)]);
    await close();
  };
  return {
    stop,
    close,
    reload: (changed) => {
      if (changed.platform.kind === 'managed') {
        const next = makeRelaySettings(changed.platform);
        node.dispatch({ type: 'relaySettingsChanged', settings: next });
        log.info({ settings: next }, 'settings taken over');
      }
    },
  };
};

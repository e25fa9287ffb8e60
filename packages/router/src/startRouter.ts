import * as core from '@jayrock/core';
import * as stores from '@jayrock/stores';
import * as shared from '@jayrock/shared';
import type * as fastify from 'fastify';
import * as pino from 'pino';
import * as callerConnections from './callers/callerConnections.js';
import * as connectionIntake from './callers/connectionIntake.js';
import * as crowdRecord from './callers/crowdRecord.js';
import * as callerServer from './callers/callerServer.js';
import * as claimService from './claims/claimService.js';
import * as closeServer from './closeServer.js';
import * as effectRunners from './effectRunners.js';
import * as inputBarrier from './eventLoop/inputBarrier.js';
import * as loopMonitor from './eventLoop/loopMonitor.js';
import * as configFeed from './feeds/configFeed.js';
import * as hostFeed from './feeds/hostFeed.js';
import * as loadFeed from './feeds/loadFeed.js';
import * as ledgerService from './ledger/ledgerService.js';
import * as namedSessions from './namedSessions.js';
import * as openPlatform from './openPlatform.js';
import * as orderService from './orders/orderService.js';
import * as peerHandlers from './peers/peerHandlers.js';
import * as peerService from './peers/peerService.js';
import * as rpcClient from './peers/rpcClient.js';
import * as rpcServer from './peers/rpcServer.js';
import type * as pendingRequest from './pendingRequest.js';
import * as rolloutProposals from './rolloutProposals.js';
import * as routerRuntime from './routerRuntime.js';
import * as serviceLevels from './serviceLevels.js';
import * as statusServer from './statusServer.js';
import * as bufferBudget from './upstreams/bufferBudget.js';
import * as connectionPools from './upstreams/connectionPools.js';
import * as interTokenMonitor from './upstreams/interTokenMonitor.js';
import * as memoryLimit from './upstreams/memoryLimit.js';

/** Interval between `ticked` events of the reducer, in milliseconds. */
const TICK_MS = 250;
/** Interval at which a stopping router checks whether its requests have ended, in milliseconds. */
const STOP_POLL_MS = 50;
/**
 * Time for which a stopping router accepts requests until the load balancer removes it, in
 * milliseconds.
 */
const BALANCER_DRAIN_MS = 3_000;
/** Longest time that a stopping router gives callers to read their answers, in milliseconds. */
const READ_TIMEOUT_MS = 10_000;
/** Longest time a stopping router tries to write its billing entries, in milliseconds. */
const FLUSH_TIMEOUT_MS = 10_000;
/** Token bucket that limits one router's calls to the key-value service. */
const STORE_BUDGET: stores.budgetedStore.CallBudget = { callsPerSecond: 100, burst: 200 };

/** A running router. */
export interface RunningRouter {
  /** Has no effect: a router with its own platform reads its settings only at startup. */
  readonly reload: (settings: shared.settings.Settings) => void;
  readonly routerId: string;
  readonly runtime: routerRuntime.Runtime;
  readonly platform: openPlatform.Platform;
  readonly levels: serviceLevels.ServiceLevels;
  /** Drains all requests, hands over sessions, flushes billing entries and closes all connections. */
  readonly stop: () => Promise<void>;
}

const listen = (server: fastify.FastifyInstance, address: string): Promise<string> =>
  server.listen(shared.settings.parseAddress(address));

const waitUntil = async (isDone: () => boolean): Promise<void> => {
  while (!isDone()) {
    // eslint-disable-next-line no-await-in-loop -- polls sequentially
    await shared.delay.wait(STOP_POLL_MS);
  }
};

/** Returns the local address that outgoing connections bind to: the host's own. */
const getLocalAddress = (settings: shared.settings.Settings): string =>
  shared.settings.parseAddress(settings.peers).host;

/** Services of one router that communicate with peers and the platform. */
interface Services {
  readonly client: rpcClient.RpcClient;
  readonly store: stores.budgetedStore.BudgetedStore;
  readonly claims: claimService.ClaimService;
  readonly ledger: ledgerService.LedgerService;
  readonly sessions: namedSessions.NamedSessions;
  readonly peers: peerService.PeerService;
  readonly orders: orderService.OrderService;
}

const startServices = (
  runtime: routerRuntime.Runtime,
  settings: shared.settings.Settings,
  platform: openPlatform.Platform,
  log: pino.Logger,
): Services => {
  const client = rpcClient.makeRpcClient(settings.peerSecret, getLocalAddress(settings));
  const store = stores.budgetedStore.makeBudgetedStore(platform.store, STORE_BUDGET);
  return {
    client,
    store,
    claims: claimService.makeClaimService(runtime, store, client),
    ledger: ledgerService.startLedgerService(runtime, store, client),
    sessions: namedSessions.makeNamedSessions(runtime, client),
    peers: peerService.startPeerService(runtime, client),
    orders: orderService.startOrderService(runtime, store, client, log),
  };
};

interface Feeds {
  readonly stop: () => void;
}

/**
 * Starts all feeds; resolves after the first fetch of the configuration, the hosts and the load
 * reports.
 */
const startFeeds = async (
  runtime: routerRuntime.Runtime,
  settings: shared.settings.Settings,
  platform: openPlatform.Platform,
  services: Services,
): Promise<Feeds> => {
  runtime.dispatch({ type: 'seedAddressesChanged', addresses: settings.seedPeers });
  const config = configFeed.startConfigFeed(runtime, services.store, services.peers.announceConfig);
  runtime.dispatch({ type: 'probeDue' });
  await config.refresh();
  const hosts = hostFeed.startHostFeed(runtime, platform.hostList, (entryHosts) =>
    runtime.dispatch({
      type: 'seedAddressesChanged',
      addresses: Array.from(
        new Set([...settings.seedPeers, ...entryHosts.map((host) => host.address)]),
      ),
    }),
  );
  await hosts.firstFetch;
  const loads = loadFeed.startLoadFeed(runtime, services.client);
  await loads.firstFetch;
  const ticks = setInterval(() => runtime.dispatch({ type: 'ticked' }), TICK_MS);
  const deletions = setInterval(() => {
    services.claims.deleteExpired(Date.now()).catch(() => undefined);
  }, core.claimState.BUCKET_MS);
  return {
    stop: () => {
      [config, hosts, loads].forEach((feed) => feed.stop());
      clearInterval(ticks);
      clearInterval(deletions);
    },
  };
};

/**
 * Starts a router with its own platform; fails with the problems of its list files if they are not
 * valid.
 */
export const startRouter = async (
  settings: shared.settings.Settings,
  platformSettings: openPlatform.OwnPlatform,
  baseDir: string,
): Promise<shared.outcome.Outcome<RunningRouter, readonly shared.jsonc.FileProblem[]>> => {
  const result = await openPlatform.openPlatform(
    platformSettings,
    baseDir,
    getLocalAddress(settings),
  );
  if (!result.ok) {
    return result;
  }
  const platform = result.value;
  const routerId = shared.requestId.makeRequestId();
  const log = pino.pino({ level: settings.logLevel, base: { routerId, zone: settings.zone } });
  const runtime = routerRuntime.makeRuntime(
    core.routerState.makeState({
      routerId,
      zone: settings.zone,
      address: settings.advertisedPeers ?? settings.peers,
      ledgerCapacity: settings.limits.maxLedgerEntries,
    }),
  );
  const pending = new Map<string, pendingRequest.PendingRequest>();
  const barrier = inputBarrier.makeInputBarrier();
  const memoryBytes = memoryLimit.readMemoryLimit(settings.limits.maxMemoryBytes);
  const buffers = bufferBudget.makeBufferBudget(bufferBudget.computeBudgetBytes(memoryBytes));
  const crowd = crowdRecord.makeCrowdRecord(log, buffers.countBytes);
  const pools = connectionPools.makeConnectionPools(
    getLocalAddress(settings),
    barrier,
    undefined,
    buffers,
  );
  const interTokens = interTokenMonitor.startInterTokenMonitor(runtime);
  const loop = loopMonitor.startLoopMonitor((turnMs) =>
    log.warn({ turnMs: Math.round(turnMs) }, 'event loop delayed'),
  );
  const levels = serviceLevels.makeServiceLevels();
  const services = startServices(runtime, settings, platform, log);
  const runnerContext: effectRunners.RunnerContext = {
    runtime,
    settings,
    pending,
    pools,
    barrier,
    interTokens,
    rating: platform.rating,
    levels,
    log,
    ...services,
    proposeRollout: rolloutProposals.makeProposer(services.store, log),
  };
  runtime.connect(effectRunners.makeEffectRunners(runnerContext));
  const peerListener = rpcServer.makeRpcServer(
    settings.peerSecret,
    peerHandlers.makePeerHandlers({ runtime, ...services }),
  );
  await listen(peerListener, settings.peers);
  const feeds = await startFeeds(runtime, settings, platform, services);
  const status = statusServer.makeStatusServer({ runtime, levels, ...services });
  await listen(status, settings.status);
  let isLeaving = false;
  const intake = connectionIntake.makeConnectionIntake(loop, log);
  const connections = callerConnections.makeCallerConnections(loop, barrier, intake, {
    maxConnections:
      settings.limits.maxConnections ??
      memoryLimit.computeMaxConnections(memoryLimit.readDescriptorLimit(), memoryBytes),
    buffers,
    crowd,
  });
  const callers = callerServer.makeCallerServer({
    runtime,
    settings,
    pending,
    findSession: services.sessions.find,
    connections,
    buffers,
    crowd,
    endAbandoned: (abandoned) => effectRunners.endRequest(runnerContext, abandoned, 'callerGone'),
    isReady: () => !isLeaving && runtime.getState().config !== null,
  });
  await listen(callers, settings.callers);
  log.info({ callers: settings.callers }, 'router started');

  const stop = async (): Promise<void> => {
    log.info('router stopping');
    await services.peers.leave();
    isLeaving = true;
    connections.release();
    await shared.delay.wait(BALANCER_DRAIN_MS);
    runtime.dispatch({ type: 'stopRequested' });
    await waitUntil(() => pending.size === 0);
    const answeredAtMs = performance.now();
    connections.drain(callers.server);
    await connections.waitAnswered(() => performance.now() - answeredAtMs > READ_TIMEOUT_MS);
    callers.server.closeAllConnections();
    await callers.close();
    await services.sessions.handOver();
    const isFlushed = await services.ledger.flush(FLUSH_TIMEOUT_MS);
    log.info({ isFlushed }, 'router stopped');
    feeds.stop();
    services.peers.stop();
    services.ledger.stop();
    services.orders.stop();
    interTokens.stop();
    loop.stop();
    barrier.stop();
    intake.stop();
    crowd.stop();
    // Other routers wait for the answers to their calls.
    await Promise.all(
      [peerListener, status].map((server) =>
        closeServer.closeServer(server, rpcClient.CALL_TIMEOUT_MS),
      ),
    );
    await Promise.all([pools.close(), services.client.close(), platform.close()]);
  };
  return shared.outcome.makeOk({
    reload: () => undefined,
    routerId,
    runtime,
    platform,
    levels,
    stop,
  });
};

import * as path from 'node:path';
import * as core from '@jayrock/core';
import * as shared from '@jayrock/shared';
import * as fastify from 'fastify';
import * as pino from 'pino';
import * as callerConnections from '../callers/callerConnections.js';
import * as connectionIntake from '../callers/connectionIntake.js';
import * as crowdRecord from '../callers/crowdRecord.js';
import * as closeServer from '../closeServer.js';
import * as inputBarrier from '../eventLoop/inputBarrier.js';
import * as loopMonitor from '../eventLoop/loopMonitor.js';
import * as peerHandlers from '../peers/peerHandlers.js';
import * as peerService from '../peers/peerService.js';
import * as rpcClient from '../peers/rpcClient.js';
import * as rpcServer from '../peers/rpcServer.js';
import * as relayClient from '../relays/relayClient.js';
import * as relayEnd from '../relays/relayEnd.js';
import * as relayServer from '../relays/relayServer.js';
import * as upstreamPaths from '../relays/upstreamPaths.js';
import * as routerRuntime from '../routerRuntime.js';
import * as bufferBudget from '../upstreams/bufferBudget.js';
import * as connectionPools from '../upstreams/connectionPools.js';
import * as memoryLimit from '../upstreams/memoryLimit.js';
import * as canaryReports from './canaryReports.js';
import * as fileSource from './fileSource.js';
import * as freshnessClock from './freshnessClock.js';
import * as freshnessGate from './freshnessGate.js';
import * as peerRoutes from './peerRoutes.js';
import type * as pendingRoutedRequest from './pendingRoutedRequest.js';
import * as reachabilityMonitor from './reachabilityMonitor.js';
import type * as routeSource from './routeSource.js';
import * as routedMetrics from './routedMetrics.js';
import * as routedRunners from './routedRunners.js';
import * as routedServer from './routedServer.js';
import * as stopPlan from './stopPlan.js';
import * as storeSource from './storeSource.js';
import * as timeoutLead from './timeoutLead.js';

/** Interval between ticks of the reducer, in milliseconds. */
const TICK_MS = 200;
/** Share of the bound on key revocation for which a confirmation of the table is valid. */
const CONFIRMATION_AGE_SHARE = 0.78;
/** Share of the bound on news for which a confirmation of the list of upstreams is valid: the rest is for the send. */
const LIST_AGE_SHARE = 0.8;
/** Share of the bound on key revocation after which the router reports itself as not ready to the load balancer. */
const READY_AGE_SHARE = 0.7;
/**
 * Time for which a router reports itself as not ready after it took up connections whose callers may have left, in
 * milliseconds: the load balancer takes out a router that fails two readiness checks, one a second.
 */
const OVERLOADED_MS = 2_500;
/** A running router that serves a route table. */
export interface RunningRoutedRouter {
  /** Stops immediately, for tests and for a process that exits anyway. */
  readonly close: () => Promise<void>;
  /** Applies the bounds of changed settings; changed addresses need a restart. */
  readonly reload: (settings: shared.settings.Settings) => void;
  /** Completes the requests in flight, within the grace period, and stops. */
  readonly stop: () => Promise<void>;
}

/** Settings of a platform whose requests are routed by a route table. */
export type RoutedPlatform = Extract<
  shared.settings.PlatformSettings,
  { kind: 'managed' | 'routes' }
>;

const makeRoutedSettings = (settings: RoutedPlatform): core.routedContext.RoutedSettings => ({
  maxKeyAgeMs: settings.bounds.revocationMs * CONFIRMATION_AGE_SHARE,
  maxDenyAgeMs: settings.bounds.configurationMs,
  repeats: {
    share: settings.bounds.repeatShare,
    slack: settings.bounds.repeatSlack,
    windowMs: settings.bounds.repeatWindowMs,
  },
  exposure: { share: settings.bounds.exposureShare, slack: settings.bounds.exposureSlack },
});

/** Returns the time within which a change of routes, upstreams or evacuations has to be in force, in milliseconds. */
const getNewsMs = ({
  configurationMs,
  drainMs = configurationMs,
  evacuationMs = configurationMs,
}: RoutedPlatform['bounds']): number => Math.min(configurationMs, drainMs, evacuationMs);

const getLocalAddress = (settings: shared.settings.Settings): string =>
  shared.settings.parseAddress(settings.peers).host;

const listen = (server: fastify.FastifyInstance, address: string): Promise<string> =>
  server.listen(shared.settings.parseAddress(address));

const makeSource = (
  context: routeSource.SourceContext,
  settings: shared.settings.Settings,
  platform: RoutedPlatform,
  baseDir: string,
): routeSource.RouteSource =>
  platform.kind === 'managed'
    ? storeSource.makeStoreSource(context, platform.storeAddress, getLocalAddress(settings))
    : fileSource.makeFileSource(context, {
        file: path.resolve(baseDir, platform.routesFile),
        upstreams: platform.upstreams,
        peers: settings.seedPeers,
      });

/** Parts of a running router. */
interface RoutedRouterParts {
  readonly runtime: routerRuntime.Runtime;
  readonly log: pino.Logger;
  readonly clock: freshnessClock.FreshnessClock;
  readonly gate: freshnessGate.FreshnessGate;
  /** Returns the age of the list of upstreams above which a send first confirms it, in milliseconds. */
  readonly getMaxListAgeMs: () => number;
  readonly source: routeSource.RouteSource;
  readonly metrics: routedMetrics.RoutedMetrics;
  readonly pending: Map<string, pendingRoutedRequest.PendingRoutedRequest>;
  readonly paths: upstreamPaths.UpstreamPaths;
  readonly pools: connectionPools.ConnectionPools;
  readonly client: rpcClient.RpcClient;
  readonly reachability: reachabilityMonitor.ReachabilityMonitor;
  readonly peers: peerService.PeerService;
  readonly loop: loopMonitor.LoopMonitor;
  readonly barrier: inputBarrier.InputBarrier;
  readonly intake: connectionIntake.ConnectionIntake;
  readonly crowd: crowdRecord.CrowdRecord;
  readonly connections: callerConnections.CallerConnections;
}

const makeMetricsServer = (
  { runtime, metrics, source, clock, loop, paths, pools, crowd }: RoutedRouterParts,
  relays: relayServer.RelayServer,
): fastify.FastifyInstance => {
  const server = fastify.fastify({ forceCloseConnections: true });
  server.get('/metrics', (_, reply) => {
    const state = runtime.getState();
    return reply.type('text/plain').send(
      metrics.render({
        routes_version: state.routed.routeIndex?.version ?? 0,
        routes_age_ms: Math.min(Number.MAX_SAFE_INTEGER, Math.round(clock.getAgeMs())),
        requests_running: state.requests.size,
        requests_queued: state.services.reduce((sum, service) => sum + service.queue.size, 0),
        upstreams: state.upstreams.size,
        upstreams_ejected: state.upstreams.count((upstream) => upstream.health !== 'ok'),
        upstreams_rate_limited: state.upstreams.count((upstream) =>
          core.rateLimit.isNamed(upstream.rateLimit),
        ),
        upstreams_cold: state.upstreams.count((upstream) => upstream.rateLimit.cold !== null),
        zones_evacuated: state.evacuatedZones.size,
        upstreams_evacuated: core.evacuatedZones.listEvacuated(state).length,
        upstreams_relayed: paths.countRelayed(),
        relays_open: relays.countOpen(),
        peers: core.memberTable.listActiveMembers(state.members).length,
        store_calls: source.countCalls(),
        memory_bytes: process.memoryUsage().rss,
        held_bytes: pools.buffers.countBytes(),
        callers_bounded: Array.from(crowd.getCounts().values()).reduce((sum, n) => sum + n, 0),
        loop_turn_p99_ms: loop.getTurnMs(99),
        loop_turn_max_ms: Math.round(loop.takeMaxTurnMs()),
      }),
    );
  });
  return server;
};

const makeRuntime = (
  settings: shared.settings.Settings,
  platform: RoutedPlatform,
): routerRuntime.Runtime =>
  routerRuntime.makeRuntime(
    core.routerState.makeState(
      {
        routerId: shared.requestId.makeRequestId(),
        zone: settings.zone,
        address: settings.advertisedPeers ?? settings.peers,
        ledgerCapacity: settings.limits.maxLedgerEntries,
      },
      core.policy.DEFAULT_POLICY,
      makeRoutedSettings(platform),
    ),
  );

const makeParts = (
  settings: shared.settings.Settings,
  platform: RoutedPlatform,
  baseDir: string,
  getBounds: () => RoutedPlatform['bounds'],
): RoutedRouterParts => {
  const log = pino.pino({ level: settings.logLevel, base: { router: platform.name } });
  const runtime = makeRuntime(settings, platform);
  const clock = freshnessClock.makeFreshnessClock();
  const client = rpcClient.makeRpcClient(settings.peerSecret, getLocalAddress(settings));
  const source = makeSource(
    {
      runtime,
      log,
      clock,
      client,
      getNewsMs: () => getNewsMs(getBounds()),
      fetchPeerRoutes: () => peerRoutes.fetchPeerRoutes(runtime, client),
    },
    settings,
    platform,
    baseDir,
  );
  const barrier = inputBarrier.makeInputBarrier();
  const loop = loopMonitor.startLoopMonitor((turnMs) =>
    log.warn({ turnMs: Math.round(turnMs) }, 'event loop delayed'),
  );
  const intake = connectionIntake.makeConnectionIntake(loop, log);
  const paths = upstreamPaths.makeUpstreamPaths(
    runtime,
    log,
    relayClient.makeRelayClient(settings.peerSecret, getLocalAddress(settings), client),
  );
  const memoryBytes = memoryLimit.readMemoryLimit(settings.limits.maxMemoryBytes);
  const buffers = bufferBudget.makeBufferBudget(bufferBudget.computeBudgetBytes(memoryBytes));
  const crowd = crowdRecord.makeCrowdRecord(log, buffers.countBytes);
  const pools = connectionPools.makeConnectionPools(
    getLocalAddress(settings),
    barrier,
    paths,
    buffers,
  );
  const gate = freshnessGate.makeFreshnessGate({ clock, refresh: source.refresh, log });
  const parts: RoutedRouterParts = {
    runtime,
    log,
    clock,
    gate,
    getMaxListAgeMs: () => getNewsMs(getBounds()) * LIST_AGE_SHARE,
    source,
    client,
    metrics: routedMetrics.makeRoutedMetrics(),
    pending: new Map(),
    paths,
    pools,
    reachability: reachabilityMonitor.startReachabilityMonitor(
      runtime,
      paths,
      pools.renew,
      (upstreamId) => !core.evacuatedZones.isEvacuated(runtime.getState(), upstreamId),
    ),
    peers: peerService.startPeerService(runtime, client),
    barrier,
    loop,
    intake,
    crowd,
    connections: callerConnections.makeCallerConnections(loop, barrier, intake, {
      maxConnections:
        settings.limits.maxConnections ??
        memoryLimit.computeMaxConnections(memoryLimit.readDescriptorLimit(), memoryBytes),
      buffers,
      crowd,
    }),
  };
  runtime.connect(routedRunners.makeRoutedRunners(parts));
  return parts;
};

/** The listeners of a router. */
interface Listeners {
  readonly callers: fastify.FastifyInstance;
  readonly relays: relayServer.RelayServer;
  readonly all: readonly fastify.FastifyInstance[];
}

/** Opens the listeners for readiness checks, peers and metrics, and makes the one for callers. */
const openListeners = async (
  parts: RoutedRouterParts,
  settings: shared.settings.Settings,
  platform: RoutedPlatform,
  getBounds: () => RoutedPlatform['bounds'],
  getStopAgeMs: () => number | null,
): Promise<Listeners> => {
  const { runtime, clock, gate, source, intake } = parts;
  const isLeaving = (): boolean => getStopAgeMs() !== null;
  const callers = routedServer.makeRoutedServer({
    runtime,
    pending: parts.pending,
    clock,
    gate,
    connections: parts.connections,
    endAbandoned: (pending) => routedRunners.endAbandoned(parts, pending),
    getMaxTableAgeMs: () => getBounds().revocationMs * CONFIRMATION_AGE_SHARE,
    mayStart: () => (getStopAgeMs() ?? 0) <= stopPlan.makeStopPlan(getBounds().graceMs).startMs,
    refuseLate: (pending) => routedRunners.refuseLate(parts, pending),
    buffers: parts.pools.buffers,
    crowd: parts.crowd,
    limits: {
      maxBodyBytes: settings.limits.maxBodyBytes,
      bodyTimeoutMs: settings.limits.bodyTimeoutMs,
      headersTimeoutMs: settings.limits.headersTimeoutMs,
    },
  });
  const isReady = (): boolean =>
    !isLeaving() &&
    callers.server.listening &&
    runtime.getState().routed.routeIndex !== null &&
    runtime.getState().upstreams.size > 0 &&
    intake.getTimeSinceOverdueMs() > OVERLOADED_MS &&
    clock.getAgeMs() <= getBounds().revocationMs * READY_AGE_SHARE;
  const readiness = routedServer.makeReadyServer(isReady);
  const relayEnds = relayEnd.makeRelayEnds();
  const peers = rpcServer.makeRpcServer(
    settings.peerSecret,
    peerHandlers.makeMemberHandlers({ ...parts, sharedStore: source.sharedReads, relayEnds }),
  );
  const relays = relayServer.serveRelays(peers.server, {
    runtime,
    log: parts.log,
    secret: settings.peerSecret,
    localAddress: getLocalAddress(settings),
    ends: relayEnds,
    hasOwnPath: (address) => !parts.paths.isRelayed(address),
    isLeaving,
  });
  const metrics = makeMetricsServer(parts, relays);
  await Promise.all([
    listen(readiness, platform.readyAddress),
    listen(peers, settings.peers),
    listen(metrics, settings.status),
  ]);
  return { callers, relays, all: [callers, readiness, peers, metrics] };
};

/** Warns of a bound that the deployment sets and this router may not be able to keep. */
const logShortGrace = (log: pino.Logger, { graceMs }: RoutedPlatform['bounds']): void => {
  if (stopPlan.isTooShort(graceMs)) {
    const plan = stopPlan.makeStopPlan(graceMs);
    log.warn({ graceMs, ...plan }, 'grace period is too short for the load balancer');
  }
};

/** Logs a request that the end of the grace period cuts off. */
const logCutRequest = (
  log: pino.Logger,
  request: pendingRoutedRequest.PendingRoutedRequest,
  stoppedAtMs: number,
): void =>
  log.warn(
    {
      requestId: request.callerRequestId,
      readMs: Math.round(request.readAtMs - stoppedAtMs),
      heldMs: Math.round(performance.now() - request.readAtMs),
      hasBegun: request.isHeadWritten,
      attempts: request.attempts.size,
      sends: request.sends,
    },
    'request cut off',
  );

/**
 * Unregisters the router, waits until the load balancer has removed it, and then until the requests that were read are
 * answered. Those that are still waiting near the end of the grace period are refused.
 */
const drainRequests = async (
  { runtime, pending, source, log, connections, loop }: RoutedRouterParts,
  { callers, relays }: Listeners,
  stoppedAtMs: number,
  graceMs: number,
): Promise<void> => {
  const isAfter = (endMs: number): boolean => performance.now() - stoppedAtMs > endMs;
  const plan = stopPlan.makeStopPlan(graceMs);
  const isAnswerOver = (): boolean =>
    isAfter(plan.answerMs - timeoutLead.computeLeadMs(loop.getRecentTurnMs(), plan.maxLeadMs));
  log.info({ running: pending.size, ...plan }, 'router stopping');
  connections.release();
  source.leave().catch((error: unknown) => log.warn({ error }, 'router registration not removed'));
  await shared.delay.wait(plan.removalMs - (performance.now() - stoppedAtMs));
  connections.drain(callers.server);
  await Promise.all([connections.waitAnswered(isAnswerOver), relays.drain(isAnswerOver)]);
  pending.forEach((request) => logCutRequest(log, request, stoppedAtMs));
  log.info({ cut: pending.size }, 'router stopped');
  runtime.dispatch({ type: 'stopExpired' });
  await connections.waitAnswered(() => isAfter(plan.writeMs));
};

/** A router that is starting. */
export interface StartingRoutedRouter {
  /** The router, which can be stopped from now on. */
  readonly router: RunningRoutedRouter;
  /** Resolves once the router serves callers, or has been closed. */
  readonly started: Promise<void>;
}

/**
 * Opens a router that serves a route table; table and upstreams come from a store or from files. It listens for callers
 * once it can tell whether it can serve them, since those who connect earlier wait for longer than those who are sent to
 * another router. A stop during the start answers callers too.
 */
export const openRoutedRouter = (
  settings: shared.settings.Settings,
  platform: RoutedPlatform,
  baseDir = '.',
): StartingRoutedRouter => {
  let { bounds } = platform;
  const parts = makeParts(settings, platform, baseDir, () => bounds);
  const { runtime, log, source } = parts;
  logShortGrace(log, bounds);
  let stoppedAtMs: number | null = null;
  let isClosed = false;
  let stopFeeds = (): void => undefined;
  let resolveStopping: () => void = () => undefined;
  const stopping = new Promise<void>((resolve) => {
    resolveStopping = resolve;
  });
  const listeners = openListeners(
    parts,
    settings,
    platform,
    () => bounds,
    () => (stoppedAtMs === null ? null : performance.now() - stoppedAtMs),
  );
  const openCallers = async (): Promise<Listeners> => {
    const found = await listeners;
    await Promise.race([source.firstOutcome, stopping]);
    if (!isClosed) {
      await listen(found.callers, settings.callers);
    }
    return found;
  };
  const opened = openCallers();
  const startFeeds = async (): Promise<void> => {
    await listeners;
    if (isClosed) {
      return;
    }
    await source.start();
    if (isClosed) {
      return;
    }
    const ticks = setInterval(() => runtime.dispatch({ type: 'ticked' }), TICK_MS);
    const stopReports = canaryReports.startCanaryReports(runtime, parts.client);
    stopFeeds = () => {
      clearInterval(ticks);
      stopReports();
    };
    runtime.dispatch({ type: 'probeDue' });
    await opened;
    log.info(
      { callers: settings.callers, routerId: runtime.getState().self.routerId },
      'router started',
    );
  };
  const close = async (): Promise<void> => {
    if (isClosed) {
      return;
    }
    isClosed = true;
    resolveStopping();
    const { relays, all } = await opened;
    stopFeeds();
    relays.close();
    parts.reachability.stop();
    parts.peers.stop();
    parts.loop.stop();
    parts.barrier.stop();
    parts.intake.stop();
    parts.crowd.stop();
    await Promise.all(all.map((server) => closeServer.closeServer(server)));
    await Promise.all([parts.pools.close(), parts.client.close(), source.stop()]);
  };
  const router: RunningRoutedRouter = {
    stop: async () => {
      // The signal may have waited for a long turn of the event loop, like any other input.
      stoppedAtMs = performance.now() - parts.loop.getInputAgeMs();
      resolveStopping();
      await drainRequests(parts, await opened, stoppedAtMs, bounds.graceMs);
      await close();
    },
    close,
    reload: (changed) => {
      if (changed.platform.kind === platform.kind) {
        const next = makeRoutedSettings(changed.platform);
        if (changed.platform.bounds.graceMs !== bounds.graceMs) {
          logShortGrace(log, changed.platform.bounds);
        }
        ({ bounds } = changed.platform);
        runtime.dispatch({ type: 'routedSettingsChanged', settings: next });
        log.info({ settings: next, bounds }, 'settings reloaded');
      }
    },
  };
  return { router, started: startFeeds() };
};

/** Starts a router that serves a route table. */
export const startRoutedRouter = async (
  settings: shared.settings.Settings,
  platform: RoutedPlatform,
  baseDir = '.',
): Promise<RunningRoutedRouter> => {
  const { router, started } = openRoutedRouter(settings, platform, baseDir);
  await started;
  return router;
};

import type * as shared from '@jayrock/shared';
import * as claimState from './claims/claimState.js';
import * as configIndex from './configIndex.js';
import * as dispatch from './dispatch.js';
import * as evacuatedZones from './evacuations/evacuatedZones.js';
import type * as events from './events.js';
import * as health from './health.js';
import * as learning from './learning.js';
import * as leavingProcesses from './notices/leavingProcesses.js';
import * as demand from './orders/demand.js';
import * as longPrompts from './routed/longPrompts.js';
import * as canaryHandlers from './routed/canaryHandlers.js';
import * as rateLimitHandlers from './rateLimits/rateLimitHandlers.js';
import * as reroute from './reroute.js';
import * as routedCrashes from './routed/routedCrashes.js';
import * as rollouts from './rollouts.js';
import type * as routerState from './routerState.js';
import * as transition from './transition.js';
import * as upstreamState from './upstreamState.js';
import type * as versionId from './versionId.js';

/** Lists the ids under which an upstream is indexed: its plain or routed service, else its loaded versions. */
const listRunnable = (
  upstream: upstreamState.UpstreamState,
  services: ReadonlyMap<string, shared.lists.Service>,
  routed: ReadonlyMap<string, shared.routeTable.RoutedService> | undefined,
): readonly versionId.VersionId[] =>
  services.get(upstream.host.service)?.kind === 'plain' ||
  routed?.has(upstream.host.service) === true
    ? [upstream.host.service]
    : upstream.loaded;

const makeCandidates = (
  current: routerState.RouterState,
  upstreams: readonly upstreamState.UpstreamState[],
  isRouted: boolean,
): routerState.Candidates => {
  const isLocal = ({ host }: upstreamState.UpstreamState): boolean =>
    host.zone === current.self.zone;
  return {
    local: upstreams.filter(isLocal).map(({ host }) => host.id),
    remote: upstreams.filter((upstream) => !isLocal(upstream)).map(({ host }) => host.id),
    longPromptHosts: isRouted
      ? longPrompts.listLongPromptHosts(upstreams)
      : longPrompts.NO_LONG_PROMPT_HOSTS,
  };
};

/** Indexes the upstreams that may receive requests by the versions they have loaded, split into the own zone and others. */
const indexCandidates = (
  current: routerState.RouterState,
): ReadonlyMap<versionId.VersionId, routerState.Candidates> => {
  const upstreamsById = new Map<versionId.VersionId, upstreamState.UpstreamState[]>();
  const routed = current.routed.routeIndex?.services;
  const services = current.config?.services ?? new Map<string, shared.lists.Service>();
  const live = current.upstreams
    .valueSeq()
    .filter((upstream) => evacuatedZones.mayReceive(current, upstream))
    .sortBy((upstream) => upstream.host.id);
  live.forEach((upstream) => {
    listRunnable(upstream, services, routed).forEach((id) => {
      const indexed = upstreamsById.get(id) ?? [];
      indexed.push(upstream);
      upstreamsById.set(id, indexed);
    });
  });
  return new Map(
    Array.from(upstreamsById, ([id, upstreams]) => [
      id,
      makeCandidates(current, upstreams, routed?.has(id) === true),
    ]),
  );
};

/** Rebuilds the index of the upstreams that may receive requests. */
export const withCandidates = (current: routerState.RouterState): routerState.RouterState => ({
  ...current,
  candidates: indexCandidates(current),
});

const handleConfigAdopted = (
  current: routerState.RouterState,
  event: events.EventOf<'configAdopted'>,
): transition.Transition => {
  const currentGeneration = current.config?.generation ?? -1;
  if (event.configuration.generation <= currentGeneration) {
    return transition.makeTransition(current);
  }
  const config = configIndex.makeConfigIndex(event.configuration);
  const withRollouts = rollouts.adoptRollouts(current, config, event.nowMs);
  const adopted = withCandidates({
    ...withRollouts,
    config,
    confirmedAtMs: event.nowMs,
    learning: learning.forgetVersions(withRollouts.learning, (id) => config.versions.has(id)),
    demand: demand.forgetModels(withRollouts.demand, (model) => config.models.has(model)),
    planQuality: withRollouts.planQuality.filter((_, plan) => config.plans.has(plan)),
    retryBudgets: withRollouts.retryBudgets.filter((_, customer) => config.customers.has(customer)),
  });
  const rerouted = reroute.rerouteWaiting(adopted, event);
  return transition.composeTransition(rerouted, (next) =>
    transition.makeTransition(next, {
      type: 'log',
      message: 'configuration adopted',
      fields: { generation: config.generation },
    }),
  );
};

const handleConfigConfirmed = (
  current: routerState.RouterState,
  event: events.EventOf<'configConfirmed'>,
): transition.Transition => transition.makeTransition({ ...current, confirmedAtMs: event.nowMs });

const mergeHost = (
  current: routerState.RouterState,
  host: shared.hosts.Host,
): upstreamState.UpstreamState => {
  const existing = current.upstreams.get(host.id);
  return existing === undefined || existing.host.address !== host.address
    ? upstreamState.makeUpstream(host)
    : { ...existing, host };
};

/** Marks an unlisted upstream as leaving; it is kept until its last attempt has ended. */
const markLeaving = (upstream: upstreamState.UpstreamState): upstreamState.UpstreamState => ({
  ...upstream,
  host: { ...upstream.host, state: 'leaving' },
});

const handleHostsListed = (
  current: routerState.RouterState,
  event: events.EventOf<'hostsListed'>,
): transition.Transition => {
  const listed = new Set(event.hosts.map((host) => host.id));
  const unlisted = current.upstreams
    .filter((upstream) => !listed.has(upstream.host.id) && upstream.inFlight > 0)
    .map(markLeaving);
  const hosts = event.hosts.map((host) =>
    leavingProcesses.applyLeaving(current.leaving, host, event.nowMs),
  );
  const merged = new Map(hosts.map((host) => [host.id, mergeHost(current, host)]));
  const upstreams = current.upstreams.clear().merge(unlisted).merge(merged);
  return transition.makeTransition(withCandidates({ ...current, upstreams }));
};

const hasSameVersions = (a: readonly string[], b: readonly string[]): boolean =>
  a.length === b.length && a.every((item) => b.includes(item));

const handleLoadReported = (
  current: routerState.RouterState,
  event: events.EventOf<'loadReported'>,
): transition.Transition => {
  const upstream = current.upstreams.get(event.upstreamId);
  if (upstream === undefined) {
    return transition.makeTransition(current);
  }
  const next = {
    ...current,
    upstreams: current.upstreams.set(
      event.upstreamId,
      upstreamState.applyReport(upstream, event.report, event.nowMs),
    ),
  };
  const indexed = hasSameVersions(upstream.loaded, event.report.loaded)
    ? next
    : withCandidates(next);
  return dispatch.drainUpstream(indexed, event.upstreamId, event);
};

const handleTicked = (
  current: routerState.RouterState,
  event: events.EventOf<'ticked'>,
): transition.Transition => {
  const updated = claimState.forgetIdle(health.tickHealth(current, event.nowMs), event.nowMs);
  const drained = Array.from(updated.services.keys()).reduce(
    (result, service) =>
      transition.composeTransition(result, (next) => dispatch.drainService(next, service, event)),
    transition.makeTransition(updated),
  );
  const rolloutsTicked = transition.composeTransition(drained, (next) =>
    rollouts.tickRollouts(next, event.nowMs),
  );
  const canariesTicked = transition.composeTransition(rolloutsTicked, (next) =>
    canaryHandlers.tickCanaries(next, event.nowMs),
  );
  const guardTicked = transition.composeTransition(canariesTicked, (next) =>
    routedCrashes.tickGuard(next, event),
  );
  return transition.composeTransition(guardTicked, (next) =>
    rateLimitHandlers.tickRateLimits(next, event),
  );
};

const handleStopRequested = (current: routerState.RouterState): transition.Transition =>
  transition.makeTransition({ ...current, isStopping: true });

/** Handlers of configurations, host lists, load reports, ticks and the shutdown. */
export const HANDLERS = {
  configAdopted: handleConfigAdopted,
  configConfirmed: handleConfigConfirmed,
  hostsListed: handleHostsListed,
  loadReported: handleLoadReported,
  ticked: handleTicked,
  stopRequested: handleStopRequested,
} as const;

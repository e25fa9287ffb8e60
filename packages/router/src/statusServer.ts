import * as fastify from 'fastify';
import * as core from '@jayrock/core';
import type * as stores from '@jayrock/stores';
import type * as rpcClient from './peers/rpcClient.js';
import type * as routerRuntime from './routerRuntime.js';
import type * as serviceLevels from './serviceLevels.js';

/** Sources of the data served by the operators' listener. */
export interface StatusContext {
  readonly runtime: routerRuntime.Runtime;
  readonly store: stores.budgetedStore.BudgetedStore;
  readonly client: rpcClient.RpcClient;
  readonly levels: serviceLevels.ServiceLevels;
}

const listRollouts = (state: core.routerState.RouterState): readonly object[] =>
  Array.from(state.config?.openRollouts.values() ?? []).map((rollout) => {
    const id = core.versionId.makeVersionId(rollout.model, rollout.to);
    const counts = core.ratings.sumCounts(core.ratings.getVersionCounts(state.ratings, id));
    return {
      ...rollout,
      ...counts,
      unrated: state.rollouts.get(rollout.model)?.unrated ?? 0,
      hasAlarm: state.blockedVersions.has(id),
    };
  });

const listUpstreams = (state: core.routerState.RouterState): readonly object[] =>
  state.upstreams
    .valueSeq()
    .map((upstream) => ({
      id: upstream.host.id,
      zone: upstream.host.zone,
      state: upstream.host.state,
      health: upstream.health,
      inFlight: upstream.inFlight,
      limit: Math.round(upstream.limit),
      loaded: upstream.loaded,
    }))
    .toArray();

const describeStatus = ({ runtime, store, client }: StatusContext): object => {
  const state = runtime.getState();
  const usage = process.cpuUsage();
  return {
    routerId: state.self.routerId,
    zone: state.self.zone,
    address: state.self.address,
    isStopping: state.isStopping,
    generation: state.config?.generation ?? 0,
    confirmedAgeMs: Date.now() - state.confirmedAtMs,
    members: core.memberTable.listActiveMembers(state.members).length + 1,
    peers: core.memberTable
      .listActiveMembers(state.members)
      .map(({ address, zone, status }) => ({ address, zone, status })),
    requestsInFlight: state.requests.size,
    queued: state.services.valueSeq().reduce((sum, service) => sum + service.queue.size, 0),
    ledgerPending: state.ledger.pending.size,
    ledgerHeld: state.ledger.held.size,
    alarms: state.blockedVersions.toArray(),
    rollouts: listRollouts(state),
    upstreams: listUpstreams(state),
    keyValueCalls: store.getCounts(),
    peerBytes: client.countBytes(),
    cpuMs: (usage.user + usage.system) / 1_000,
    rssBytes: process.memoryUsage().rss,
  };
};

/** Makes the read-only HTTP listener for operators: state at `/status`, service levels at `/slo`. */
export const makeStatusServer = (context: StatusContext): fastify.FastifyInstance => {
  const server = fastify.fastify({ forceCloseConnections: true });
  server.get('/status', async () => describeStatus(context));
  server.get('/slo', async () => context.levels.report());
  return server;
};

import * as core from '@jayrock/core';
import type * as routerRuntime from '../routerRuntime.js';
import * as configCodec from './configCodec.js';
import type * as messages from './messages.js';
import type * as rpcClient from './rpcClient.js';

/** Interval between probes, in milliseconds. */
const PROBE_INTERVAL_MS = 1_000;
/** Interval between pushes of ratings within a zone, in milliseconds. */
const RATINGS_INTERVAL_MS = 2_000;
/** Pushes within a zone for each push to the other zones. */
const LOCAL_PUSHES_PER_REMOTE_PUSH = 2;
/** Batching delay of blocked versions and crash evidence, which are sent in one message, in milliseconds. */
const ALERT_BATCH_DELAY_MS = 20;
/** Largest number of members that a leaving router notifies directly; gossip spreads it to the others. */
const LEAVE_FANOUT = 16;
/** Timeout of a probe, in milliseconds. */
const PROBE_TIMEOUT_MS = 400;

/** Sends messages to the other routers. */
export interface PeerService {
  /** Reports a blocked version to all other routers. */
  readonly broadcastBlock: (versionId: string) => void;
  /** Reports crash evidence to all other routers. */
  readonly broadcastCrashEvidence: (fingerprint: string, crashes: readonly string[]) => void;
  /** Reports to all other routers what this router learned about routed requests that crash upstreams. */
  readonly broadcastGuardNews: (news: core.guardNews.GuardNews) => void;
  /** Tells all other routers about upstreams that leave. */
  readonly broadcastLeavingNews: (news: readonly core.leavingNews.LeavingNews[]) => void;
  /** Tells all other routers about limits of upstreams. */
  readonly broadcastRateLimitNews: (news: readonly core.rateLimitNews.RateLimitNews[]) => void;
  /** Asks the allocator of an upstream for permits. */
  readonly requestPermits: (effect: core.effects.EffectOf<'requestPermits'>) => void;
  /** Grants permits to another router. */
  readonly grantPermits: (effect: core.effects.EffectOf<'grantPermits'>) => void;
  /** Probes a member; dispatches its gossip, and `probeFailed` unless that member replied. */
  readonly sendProbe: (effect: core.effects.EffectOf<'sendProbe'>) => void;
  /** Asks peers to probe a member and dispatches `indirectProbeFailed` if none reaches it. */
  readonly sendIndirectProbe: (effect: core.effects.EffectOf<'sendIndirectProbe'>) => void;
  /** Fetches a newer configuration from a peer and adopts it. */
  readonly fetchConfig: (address: string) => void;
  /** Announces to the zone's routers a generation that this router has fetched from the platform. */
  readonly announceConfig: (generation: number) => void;
  /** Notifies up to LEAVE_FANOUT live members that this router leaves. */
  readonly leave: () => Promise<void>;
  readonly stop: () => void;
}

type Alerts = messages.PeerParams<'alert'>;

const EMPTY_ALERTS = {
  alarms: [],
  evidence: [],
  guardNews: core.guardNews.NO_NEWS,
  leavingNews: [],
  rateLimitNews: [],
} as const satisfies Alerts;

const runSafely = (promise: Promise<unknown>): void => {
  promise.catch(() => undefined);
};

/** Starts the peer service with its periodic probes and pushes of ratings. */
export const startPeerService = (
  runtime: routerRuntime.Runtime,
  client: rpcClient.RpcClient,
): PeerService => {
  let alerts: Required<Alerts> = EMPTY_ALERTS;
  let alertTimer: NodeJS.Timeout | null = null;
  let pushCount = 0;
  const getTable = (): core.memberTable.MemberTable => runtime.getState().members;

  const sendAlerts = (): void => {
    const message = alerts;
    alerts = EMPTY_ALERTS;
    alertTimer = null;
    // A router that has just started is registered before it is a member.
    core.memberTable
      .listPeerAddresses(getTable())
      .forEach((address) => runSafely(client.call(address, 'alert', message)));
  };
  const queueAlert = (change: (queued: Required<Alerts>) => Required<Alerts>): void => {
    alerts = change(alerts);
    alertTimer ??= setTimeout(sendAlerts, ALERT_BATCH_DELAY_MS);
  };
  const probe = async (effect: core.effects.EffectOf<'sendProbe'>): Promise<void> => {
    const { message, targetId, address } = effect;
    const reply = await client.call(address, 'probe', { greeting: message }, PROBE_TIMEOUT_MS);
    if (reply !== null) {
      runtime.dispatch({ type: 'gossipReceived', message: reply.greeting });
    }
    if (targetId !== null && reply?.greeting.self.id !== targetId) {
      runtime.dispatch({ type: 'probeFailed', targetId });
    }
  };
  const probeIndirectly = async (
    effect: core.effects.EffectOf<'sendIndirectProbe'>,
  ): Promise<void> => {
    const { helpers, address, targetId } = effect;
    const replies = await Promise.all(
      helpers.map((helper) => client.call(helper, 'probeFor', { address }, PROBE_TIMEOUT_MS * 2)),
    );
    if (!replies.some((reply) => reply?.isAlive === true)) {
      runtime.dispatch({ type: 'indirectProbeFailed', targetId });
    }
  };
  const fetchConfig = async (address: string): Promise<void> => {
    const above = runtime.getState().config?.generation ?? 0;
    const reply = await client.call(address, 'getConfig', { above });
    const packed = reply?.packed ?? null;
    const configuration = packed === null ? null : configCodec.decodeConfig(packed);
    if (configuration !== null) {
      runtime.dispatch({ type: 'configAdopted', configuration });
    }
  };
  const pushZoneRatings = (): void => {
    const { members, ratings } = runtime.getState();
    const counters = core.ratings.listZoneCounters(ratings, Date.now());
    if (counters.length === 0) {
      return;
    }
    const { zone } = members.self;
    const zones = new Set(core.memberTable.listActiveMembers(members).map((peer) => peer.zone));
    zones.delete(zone);
    Array.from(zones)
      .flatMap((other) => core.zoneRoles.listRoleHolders(members, 'ratingAggregator', other, 1))
      .forEach((peer) =>
        runSafely(client.call(peer.address, 'pushRatings', { source: `zone:${zone}`, counters })),
      );
  };
  const pushRatings = (): void => {
    const { members, ratings } = runtime.getState();
    const counters = core.ratings.listOwnCounters(ratings, Date.now());
    const { zone, id } = members.self;
    const [aggregator] = core.zoneRoles.listRoleHolders(members, 'ratingAggregator', zone, 1);
    if (aggregator !== undefined && aggregator.id !== id && counters.length > 0) {
      runSafely(
        client.call(aggregator.address, 'pushRatings', { source: `router:${id}`, counters }),
      );
    }
    pushCount += 1;
    if (aggregator?.id === id && pushCount % LOCAL_PUSHES_PER_REMOTE_PUSH === 0) {
      pushZoneRatings();
    }
  };
  const probes = setInterval(() => runtime.dispatch({ type: 'probeDue' }), PROBE_INTERVAL_MS);
  const pushes = setInterval(pushRatings, RATINGS_INTERVAL_MS);
  return {
    broadcastBlock: (versionId) =>
      queueAlert((queued) => ({ ...queued, alarms: [...queued.alarms, versionId] })),
    broadcastCrashEvidence: (fingerprint, crashes) =>
      queueAlert((queued) => ({
        ...queued,
        evidence: [...queued.evidence, { fingerprint, crashes }],
      })),
    broadcastGuardNews: (news) =>
      queueAlert((queued) => ({
        ...queued,
        guardNews: core.guardNews.joinNews(queued.guardNews, news),
      })),
    broadcastLeavingNews: (news) =>
      queueAlert((queued) => ({ ...queued, leavingNews: [...queued.leavingNews, ...news] })),
    broadcastRateLimitNews: (news) =>
      queueAlert((queued) => ({ ...queued, rateLimitNews: [...queued.rateLimitNews, ...news] })),
    requestPermits: ({ address, upstreamId, count, sentAtMs, cold }) =>
      runSafely(
        client.call(address, 'requestPermits', {
          routerId: getTable().self.id,
          upstreamId,
          count,
          sentAtMs,
          ...(cold === undefined ? {} : { cold }),
        }),
      ),
    grantPermits: ({ address, upstreamId, count, backlog, grantedAtMs }) =>
      runSafely(
        client.call(address, 'grantPermits', {
          upstreamId,
          count,
          backlog,
          ...(grantedAtMs === undefined ? {} : { grantedAtMs }),
        }),
      ),
    sendProbe: (effect) => runSafely(probe(effect)),
    sendIndirectProbe: (effect) => runSafely(probeIndirectly(effect)),
    fetchConfig: (address) => runSafely(fetchConfig(address)),
    announceConfig: (generation) => {
      const { self } = getTable();
      core.memberTable
        .listZoneMembers(getTable(), self.zone)
        .filter((peer) => peer.id !== self.id)
        .forEach((peer) =>
          runSafely(
            client.call(peer.address, 'announceConfig', { generation, address: self.address }),
          ),
        );
    },
    leave: async () => {
      const { members } = runtime.getState();
      const self = { ...members.self, status: 'left' as const };
      const message = {
        ...core.membership.makeGossipMessage(runtime.getState(), [], runtime.getNowMs()),
        self,
      };
      await Promise.all(
        core.memberTable
          .listActiveMembers(members)
          .slice(0, LEAVE_FANOUT)
          .map((peer) => client.call(peer.address, 'probe', { greeting: message })),
      );
    },
    stop: () => {
      clearInterval(probes);
      clearInterval(pushes);
    },
  };
};

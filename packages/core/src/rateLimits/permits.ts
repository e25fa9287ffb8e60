import * as shared from '@jayrock/shared';
import * as memberTable from '../membership/memberTable.js';
import * as routerState from '../routerState.js';
import * as transition from '../transition.js';
import * as coldTime from './coldTime.js';
import * as handover from './handover.js';
import * as permitQueue from './permitQueue.js';
import * as rateLimit from './rateLimit.js';

/** Age below which a limit is so new that no other router can have granted permits for it, in milliseconds. */
const NEW_LIMIT_MS = 500;

/** Returns the id of the router that hands out the permits of an upstream; all routers pick the same one. */
export const pickAllocator = (current: routerState.RouterState, upstreamId: string): string => {
  const ids = [
    current.self.routerId,
    ...memberTable.listActiveMembers(current.members).map((peer) => peer.id),
  ];
  return shared.rendezvous.pickRendezvous(upstreamId, ids, 1)[0] ?? current.self.routerId;
};

const isAllocator = (current: routerState.RouterState, upstreamId: string): boolean =>
  pickAllocator(current, upstreamId) === current.self.routerId;

/**
 * Returns the share of the routers that this router sees. Those that it has lost may be cut off and have an allocator
 * of their own, so they keep their share of a limit.
 */
export const computeVisibleShare = (current: routerState.RouterState): number => {
  const { members } = current;
  const active = memberTable.listActiveMembers(members);
  const lost = members.members
    .valueSeq()
    .filter((peer) => peer.status === 'dead')
    .map((peer) => peer.address);
  const addresses = new Set([
    ...active.map((peer) => peer.address),
    ...lost,
    ...memberTable.listUnknownSeedAddresses(members),
  ]);
  return (active.length + 1) / (addresses.size + 1);
};

const updateLimit = (
  current: routerState.RouterState,
  upstreamId: string,
  change: (limit: rateLimit.RateLimit) => rateLimit.RateLimit,
): routerState.RouterState =>
  routerState.updateUpstream(current, upstreamId, (upstream) => ({
    ...upstream,
    rateLimit: change(upstream.rateLimit),
  }));

/** Applies permits that this router was granted. */
export const applyGrant = (
  current: routerState.RouterState,
  upstreamId: string,
  count: number,
  backlog: number,
  nowMs: number,
  grantedAtMs = nowMs,
): routerState.RouterState =>
  updateLimit(current, upstreamId, (limit) =>
    rateLimit.addPermits(limit, count, backlog, nowMs, grantedAtMs),
  );

/**
 * Returns the time from which an allocator grants, in milliseconds. A cold time may be over before a handover is, so it is
 * waited for only if the members that decide who allocates have changed.
 */
const findFromMs = (
  current: routerState.RouterState,
  upstreamId: string,
  limit: rateLimit.RateLimit,
  nowMs: number,
): number => {
  if (limit.cold !== null) {
    return Math.max(nowMs, handover.findGrantFromMs(current, upstreamId, nowMs));
  }
  return nowMs - limit.sinceMs < NEW_LIMIT_MS ? nowMs : nowMs + handover.HANDOVER_MS;
};

/** Holds back the permits of a cold upstream while another router may be its allocator too. */
const holdQueue = (
  current: routerState.RouterState,
  upstreamId: string,
  limit: rateLimit.RateLimit,
  nowMs: number,
): routerState.RouterState => {
  const fromMs = limit.cold === null ? nowMs : findFromMs(current, upstreamId, limit, nowMs);
  return fromMs <= nowMs
    ? current
    : updateLimit(current, upstreamId, (latest) =>
        latest.queue === null
          ? latest
          : { ...latest, queue: permitQueue.holdUntil(latest.queue, fromMs) },
      );
};

/** Makes this router the allocator of a limited upstream, or ends that, as the membership has it. */
const updateQueue = (
  current: routerState.RouterState,
  upstreamId: string,
  nowMs: number,
): routerState.RouterState => {
  const limit = current.upstreams.get(upstreamId)?.rateLimit ?? rateLimit.NO_LIMIT;
  const shouldAllocate = rateLimit.isLimited(limit) && isAllocator(current, upstreamId);
  if (shouldAllocate === (limit.queue !== null)) {
    return shouldAllocate ? holdQueue(current, upstreamId, limit, nowMs) : current;
  }
  const queue = shouldAllocate
    ? permitQueue.makePermitQueue(findFromMs(current, upstreamId, limit, nowMs))
    : null;
  return updateLimit(current, upstreamId, (latest) => ({ ...latest, queue }));
};

/** Grants the permits that are available for an upstream, if this router is its allocator. */
export const grantAvailable = (
  current: routerState.RouterState,
  upstreamId: string,
  nowMs: number,
): transition.Transition => {
  const updated = updateQueue(current, upstreamId, nowMs);
  const limit = updated.upstreams.get(upstreamId)?.rateLimit;
  if (limit === undefined || limit.queue === null) {
    return transition.makeTransition(updated);
  }
  const ratePerMs = rateLimit.getRatePerMs(limit) * computeVisibleShare(updated);
  const { queue, grants } = permitQueue.grantPermits(limit.queue, ratePerMs, nowMs);
  const withQueue = updateLimit(updated, upstreamId, (latest) => ({ ...latest, queue }));
  const own = grants.find((grant) => grant.routerId === updated.self.routerId);
  const backlog = permitQueue.countBacklog(queue, updated.self.routerId);
  const applied =
    own === undefined ? withQueue : applyGrant(withQueue, upstreamId, own.count, backlog, nowMs);
  const effects = grants.flatMap(({ routerId, count, grantedAtMs }) => {
    const peer = updated.members.members.get(routerId);
    return peer === undefined
      ? []
      : [
          {
            type: 'grantPermits' as const,
            address: peer.address,
            upstreamId,
            count,
            backlog: permitQueue.countBacklog(queue, routerId),
            ...(grantedAtMs === null ? {} : { grantedAtMs }),
          },
        ];
  });
  return transition.makeTransition(applied, ...effects);
};

/** Tells a router that still waits for permits how many others wait for. */
const reportBacklog = (
  current: routerState.RouterState,
  routerId: string,
  upstreamId: string,
  nowMs: number,
): transition.Transition => {
  const queue = current.upstreams.get(upstreamId)?.rateLimit.queue ?? null;
  if (queue === null || !queue.waiting.some((waiting) => waiting.routerId === routerId)) {
    return transition.makeTransition(current);
  }
  const backlog = permitQueue.countBacklog(queue, routerId);
  if (routerId === current.self.routerId) {
    return transition.makeTransition(applyGrant(current, upstreamId, 0, backlog, nowMs));
  }
  const address = current.members.members.get(routerId)?.address;
  return address === undefined
    ? transition.makeTransition(current)
    : transition.makeTransition(current, {
        type: 'grantPermits',
        address,
        upstreamId,
        count: 0,
        backlog,
      });
};

/** Takes a router's request for permits, and grants what is available. */
export const acceptRequest = (
  current: routerState.RouterState,
  request: {
    readonly routerId: string;
    readonly upstreamId: string;
    readonly count: number;
    /** Time of the request by that router's clock, in milliseconds. */
    readonly sentAtMs?: number;
  },
  nowMs: number,
): transition.Transition => {
  const { routerId, upstreamId, count, sentAtMs = null } = request;
  const updated = updateQueue(current, upstreamId, nowMs);
  const withWaiting = updateLimit(updated, upstreamId, (limit) =>
    limit.queue === null
      ? limit
      : { ...limit, queue: permitQueue.addWaiting(limit.queue, routerId, count, nowMs, sentAtMs) },
  );
  const granted = grantAvailable(withWaiting, upstreamId, nowMs);
  return transition.composeTransition(granted, (next) =>
    reportBacklog(next, routerId, upstreamId, nowMs),
  );
};

/** Requests permits of a limited upstream for waiting requests and those that went elsewhere. */
export const requestPermits = (
  current: routerState.RouterState,
  upstreamId: string,
  queuedCount: number,
  nowMs: number,
): transition.Transition => {
  const limit = current.upstreams.get(upstreamId)?.rateLimit;
  if (limit === undefined || !rateLimit.mayRequest(limit, queuedCount, nowMs)) {
    return transition.makeTransition(current);
  }
  const recorded = rateLimit.recordRequest(limit, queuedCount, nowMs);
  const next = updateLimit(current, upstreamId, () => recorded);
  const { requestedCount: count } = recorded;
  const { routerId } = current.self;
  const allocator = pickAllocator(current, upstreamId);
  if (allocator === routerId) {
    return acceptRequest(next, { routerId, upstreamId, count }, nowMs);
  }
  const address = current.members.members.get(allocator)?.address;
  return address === undefined
    ? transition.makeTransition(next)
    : transition.makeTransition(next, {
        type: 'requestPermits',
        address,
        upstreamId,
        count,
        sentAtMs: nowMs,
        ...(limit.cold === null ? {} : { cold: coldTime.makeColdNews(limit.cold, nowMs) }),
      });
};

/** Counts a request that went elsewhere for lack of a permit, and requests permits for the next ones. */
export const recordMiss = (
  current: routerState.RouterState,
  upstreamId: string,
  nowMs: number,
): transition.Transition =>
  requestPermits(
    updateLimit(current, upstreamId, (limit) => ({
      ...limit,
      missedCount: limit.missedCount + 1,
    })),
    upstreamId,
    0,
    nowMs,
  );

/** Returns whether a version or a routed service has an upstream with a limit. */
export const hasLimitedUpstream = (
  current: routerState.RouterState,
  versionId: string,
): boolean => {
  const candidates = current.candidates.get(versionId);
  const isLimited = (id: string): boolean =>
    rateLimit.isLimited(current.upstreams.get(id)?.rateLimit ?? rateLimit.NO_LIMIT);
  return (
    candidates !== undefined &&
    (candidates.local.some(isLimited) || candidates.remote.some(isLimited))
  );
};

/** Requests permits of all limited upstreams of a version or routed service for requests that wait. */
export const requestForQueue = (
  current: routerState.RouterState,
  versionId: string,
  queuedCount: number,
  nowMs: number,
): transition.Transition =>
  routerState
    .listCandidates(current, versionId)
    .filter((upstream) => rateLimit.isLimited(upstream.rateLimit))
    .reduce(
      (result, upstream) =>
        transition.composeTransition(result, (next) =>
          requestPermits(next, upstream.host.id, queuedCount, nowMs),
        ),
      transition.makeTransition(current),
    );

/**
 * Estimates the time until one more request gets a permit, in milliseconds, which is 0 if one is left; null if an
 * upstream without a limit can take it, so that no permit is needed.
 */
export const estimateWaitMs = (
  current: routerState.RouterState,
  versionId: string,
  queuedCount: number,
  nowMs: number,
): number | null => {
  const usable = routerState
    .listCandidates(current, versionId)
    .filter((upstream) => upstream.isReachable && upstream.health !== 'ejected');
  if (usable.length === 0 || usable.some((upstream) => !rateLimit.isLimited(upstream.rateLimit))) {
    return null;
  }
  if (
    queuedCount === 0 &&
    usable.some(({ rateLimit: limit }) => rateLimit.hasPermit(limit, nowMs))
  ) {
    return 0;
  }
  const ratePerMs = usable.reduce(
    (sum, upstream) => sum + rateLimit.getRatePerMs(upstream.rateLimit),
    0,
  );
  const backlog = Math.max(
    ...usable.map((upstream) => rateLimit.getBacklog(upstream.rateLimit, nowMs)),
  );
  // A cold upstream needs no permit any more once it is warm.
  const warmMs = usable.map(({ rateLimit: { cold, requestsPerSecond } }) =>
    cold === null || requestsPerSecond !== null ? Infinity : Math.max(0, cold.untilMs - nowMs),
  );
  return Math.min((backlog + queuedCount + 1) / ratePerMs, ...warmMs);
};

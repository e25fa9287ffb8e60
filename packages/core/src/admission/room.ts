import type * as requestState from '../requestState.js';
import * as routerState from '../routerState.js';
import * as upstreamState from '../upstreamState.js';
import * as waitQueue from './waitQueue.js';

/** Expected start of a waiting request, and what it is computed from. */
export interface Room {
  /** Expected time until the request starts, in milliseconds. */
  readonly startMs: number;
  /** Requests of this router that start before it. */
  readonly aheadCount: number;
  /** Mean time between two slots that become free for this router, in milliseconds; 0 while it is unknown. */
  readonly slotMs: number;
}

/** Places of a service's usable upstreams, as this router knows them. */
export interface Places {
  readonly taken: number;
  readonly total: number;
  /** Age of the oldest report on an upstream, in milliseconds; null if there is none. */
  readonly reportAgeMs: number | null;
}

/**
 * Counts the requests that start before one: all of the classes before its own, and of its own class as many as its
 * customer's share allows, which is one of each other customer's for each of its own up to it.
 */
const countAhead = (queue: waitQueue.WaitQueue, position: waitQueue.WaitPosition): number => {
  const queues = waitQueue.getClass(queue, position.rank);
  const own = queues.customers.get(position.name);
  const ownAhead = own?.tree.ge(position.key).index ?? 0;
  const others = queues.customers.count(({ tree, customer }) => {
    const hasTurn = tree.length > 0 && customer !== position.name;
    return hasTurn;
  });
  const isWaiting = own?.tree.get(position.key) !== null && own !== undefined;
  const fairAhead = ownAhead + others * (ownAhead + 1);
  const most = queues.size - Number(isWaiting);
  return waitQueue.countBefore(queue, position.rank) + Math.min(most, fairAhead);
};

/**
 * Estimates when a request starts that waits at a position. This router gets the slots that its own answers free, so one
 * becomes free each mean duration of an answer over the number of its answers under way; slots that other routers free
 * become visible in the upstreams' reports and make the true wait shorter.
 */
export const estimateRoom = (
  current: routerState.RouterState,
  service: string,
  position: waitQueue.WaitPosition,
  nowMs: number,
): Room => {
  const { queue, holdMs, attemptsInFlight } = routerState.getServiceState(current, service, nowMs);
  const slotMs = holdMs.value / Math.max(1, attemptsInFlight);
  const aheadCount = countAhead(queue, position);
  return { startMs: (aheadCount + 1) * slotMs, aheadCount, slotMs };
};

/** Sums up the places of the upstreams that are worth waiting for. */
export const countPlaces = (
  current: routerState.RouterState,
  { service }: requestState.RequestState,
  nowMs: number,
): Places =>
  routerState
    .listCandidates(current, service)
    .filter(({ health, isReachable }) => health === 'ok' && isReachable)
    .reduce<Places>(
      (sum, upstream) => {
        const ageMs = upstream.reportedAtMs === 0 ? null : nowMs - upstream.reportedAtMs;
        return {
          taken: sum.taken + upstreamState.estimateLoad(upstream, nowMs),
          total: sum.total + (upstream.host.slots ?? upstream.slots),
          reportAgeMs: ageMs === null ? sum.reportAgeMs : Math.max(sum.reportAgeMs ?? 0, ageMs),
        };
      },
      { taken: 0, total: 0, reportAgeMs: null },
    );

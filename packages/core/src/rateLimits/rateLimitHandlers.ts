import * as dispatch from '../dispatch.js';
import type * as events from '../events.js';
import * as routerState from '../routerState.js';
import * as transition from '../transition.js';
import * as coldStart from './coldStart.js';
import * as handover from './handover.js';
import * as permits from './permits.js';
import * as rateLimit from './rateLimit.js';
import * as rateLimitNews from './rateLimitNews.js';

const getRequestsPerSecond = (
  current: routerState.RouterState,
  upstreamId: string,
): number | null => current.upstreams.get(upstreamId)?.rateLimit.requestsPerSecond ?? null;

/** Logs a changed limit, and starts waiting requests once it has ended. */
const finishChange = (
  before: routerState.RouterState,
  changed: transition.Transition,
  upstreamId: string,
  stamp: events.Stamp,
): transition.Transition => {
  const requestsPerSecond = getRequestsPerSecond(changed.state, upstreamId);
  if (requestsPerSecond === getRequestsPerSecond(before, upstreamId)) {
    return changed;
  }
  const logged = transition.composeTransition(changed, (next) =>
    transition.makeTransition(next, {
      type: 'log',
      message: 'upstream rate limit changed',
      fields: { upstream: upstreamId, requestsPerSecond },
    }),
  );
  return requestsPerSecond === null
    ? transition.composeTransition(logged, (next) =>
        dispatch.drainUpstream(next, upstreamId, stamp),
      )
    : logged;
};

const handleObserved = (
  current: routerState.RouterState,
  event: events.EventOf<'rateLimitObserved'>,
): transition.Transition => {
  const { upstreamId, requestsPerSecond, coldLeftMs = null, nowMs } = event;
  const updated = routerState.updateUpstream(current, upstreamId, (upstream) => ({
    ...upstream,
    rateLimit: rateLimit.updateRateLimit(upstream.rateLimit, requestsPerSecond, nowMs),
  }));
  const isChanged =
    getRequestsPerSecond(updated, upstreamId) !== getRequestsPerSecond(current, upstreamId);
  const told = isChanged
    ? transition.makeTransition(updated, {
        type: 'broadcastRateLimitNews',
        news: rateLimitNews.makeUpstreamNews(updated, upstreamId, nowMs),
      })
    : transition.makeTransition(updated);
  const finished = finishChange(current, told, upstreamId, event);
  return coldLeftMs === null
    ? finished
    : transition.composeTransition(finished, (next) =>
        coldStart.recordAnswer(next, upstreamId, coldLeftMs, event),
      );
};

/** Returns whether news concern the listed process of an upstream, or a later one that is not listed yet. */
const isAtLeastListed = (
  current: routerState.RouterState,
  { upstreamId, bornAtMs }: rateLimitNews.RateLimitNews,
): boolean => {
  const listed = current.upstreams.get(upstreamId)?.host.bornAtMs ?? null;
  return listed === bornAtMs || (listed !== null && bornAtMs !== null && bornAtMs > listed);
};

/** Applies what a peer knows about one upstream. */
const applyNews = (
  current: routerState.RouterState,
  item: rateLimitNews.RateLimitNews,
  stamp: events.Stamp,
): transition.Transition => {
  const { cold, upstreamId } = item;
  const limited = finishChange(
    current,
    transition.makeTransition(rateLimitNews.applyNews(current, item, stamp.nowMs)),
    upstreamId,
    stamp,
  );
  return cold === undefined || !isAtLeastListed(current, item)
    ? limited
    : transition.composeTransition(limited, (next) =>
        coldStart.applyNews(next, upstreamId, cold, stamp),
      );
};

/** Applies what a peer knows about the limits of upstreams. */
export const mergeNews = (
  current: routerState.RouterState,
  news: readonly rateLimitNews.RateLimitNews[],
  stamp: events.Stamp,
): transition.Transition =>
  news.reduce(
    (result, item) => transition.composeTransition(result, (next) => applyNews(next, item, stamp)),
    transition.makeTransition(current),
  );

/** Starts waiting requests if this router holds permits of an upstream. */
const startPermitted = (
  changed: transition.Transition,
  upstreamId: string,
  stamp: events.Stamp,
): transition.Transition =>
  transition.composeTransition(changed, (next) =>
    (next.upstreams.get(upstreamId)?.rateLimit.permits.length ?? 0) > 0
      ? dispatch.drainUpstream(next, upstreamId, stamp)
      : transition.makeTransition(next),
  );

/** Grants available permits, and requests those that waiting requests need. */
const tickPermits = (
  current: routerState.RouterState,
  stamp: events.Stamp,
): transition.Transition => {
  const limited = current.upstreams
    .valueSeq()
    .filter((upstream) => rateLimit.isLimited(upstream.rateLimit))
    .map(({ host }) => host.id)
    .toArray();
  const granted = limited.reduce(
    (result, upstreamId) =>
      startPermitted(
        transition.composeTransition(result, (next) =>
          permits.grantAvailable(next, upstreamId, stamp.nowMs),
        ),
        upstreamId,
        stamp,
      ),
    transition.makeTransition(current),
  );
  return limited.reduce(
    (result, upstreamId) =>
      transition.composeTransition(result, (next) => {
        const service = next.upstreams.get(upstreamId)?.host.service ?? '';
        const queued = next.services.get(service)?.queue.size ?? 0;
        return queued === 0
          ? transition.makeTransition(next)
          : permits.requestPermits(next, upstreamId, queued, stamp.nowMs);
      }),
    granted,
  );
};

/** Ends the cold times that are over, grants available permits, and requests those that waiting requests need. */
export const tickRateLimits = (
  current: routerState.RouterState,
  stamp: events.Stamp,
): transition.Transition => {
  const presence = handover.recordTick(current.presence, stamp.nowMs);
  return transition.composeTransition(coldStart.tickCold({ ...current, presence }, stamp), (next) =>
    tickPermits(next, stamp),
  );
};

const handlePermitsRequested = (
  current: routerState.RouterState,
  event: events.EventOf<'permitsRequested'>,
): transition.Transition => {
  const { upstreamId, cold, nowMs } = event;
  // A router that asks may know before this one that the upstream is cold.
  const informed =
    cold === undefined
      ? transition.makeTransition(current)
      : coldStart.applyNews(current, upstreamId, cold, event);
  const accepted = transition.composeTransition(informed, (next) =>
    permits.acceptRequest(next, event, nowMs),
  );
  return startPermitted(accepted, upstreamId, event);
};

const handlePermitsGranted = (
  current: routerState.RouterState,
  event: events.EventOf<'permitsGranted'>,
): transition.Transition => {
  const { upstreamId, count, backlog, grantedAtMs, nowMs } = event;
  return startPermitted(
    transition.makeTransition(
      permits.applyGrant(current, upstreamId, count, backlog, nowMs, grantedAtMs),
    ),
    upstreamId,
    event,
  );
};

/** Handlers of the limits that upstreams name, and of the permits to send requests to them. */
export const HANDLERS = {
  rateLimitObserved: handleObserved,
  rateLimitNewsReceived: (
    current: routerState.RouterState,
    event: events.EventOf<'rateLimitNewsReceived'>,
  ) => mergeNews(current, event.news, event),
  permitsRequested: handlePermitsRequested,
  permitsGranted: handlePermitsGranted,
} as const;

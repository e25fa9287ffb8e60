import type * as events from '../events.js';
import * as routerState from '../routerState.js';
import * as transition from '../transition.js';
import * as rateLimit from './rateLimit.js';

const handleObserved = (
  current: routerState.RouterState,
  event: events.EventOf<'rateLimitObserved'>,
): transition.Transition => {
  const { upstreamId, requestsPerSecond, nowMs } = event;
  const before = current.upstreams.get(upstreamId)?.rateLimit;
  const updated = routerState.updateUpstream(current, upstreamId, (upstream) => ({
    ...upstream,
    rateLimit: rateLimit.updateRateLimit(upstream.rateLimit, requestsPerSecond, nowMs),
  }));
  return before === undefined || before.requestsPerSecond === requestsPerSecond
    ? transition.makeTransition(updated)
    : transition.makeTransition(updated, {
        type: 'log',
        message: 'upstream rate limit changed',
        fields: { upstream: upstreamId, requestsPerSecond },
      });
};

/** Handlers of the limits that upstreams name. */
export const HANDLERS = { rateLimitObserved: handleObserved } as const;

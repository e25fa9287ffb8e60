import * as admission from './admission.js';
import * as attempts from './attempts.js';
import * as claimState from './claims/claimState.js';
import * as completion from './completion.js';
import * as evacuationHandlers from './evacuations/evacuationHandlers.js';
import type * as events from './events.js';
import * as fleet from './fleet.js';
import * as health from './health.js';
import * as ledgerState from './ledger/ledgerState.js';
import * as membership from './membership/membership.js';
import * as orders from './orders/orders.js';
import * as noticeHandlers from './notices/noticeHandlers.js';
import * as rateLimitHandlers from './rateLimits/rateLimitHandlers.js';
import * as routedAnswers from './routed/routedAnswers.js';
import * as routedArrival from './routed/routedArrival.js';
import * as routedCrashes from './routed/routedCrashes.js';
import * as routedExpiry from './routed/routedExpiry.js';
import * as routedFeeds from './routed/routedFeeds.js';
import * as canaryHandlers from './routed/canaryHandlers.js';
import * as reroute from './reroute.js';
import * as rollouts from './rollouts.js';
import type * as routerState from './routerState.js';
import * as transition from './transition.js';
import * as timers from './timers.js';

type Handlers = {
  readonly [T in events.EventType]: (
    current: routerState.RouterState,
    event: events.EventOf<T>,
  ) => transition.Transition;
};

const HANDLERS: Handlers = {
  ...admission.HANDLERS,
  ...attempts.HANDLERS,
  ...claimState.HANDLERS,
  ...completion.HANDLERS,
  ...evacuationHandlers.HANDLERS,
  ...fleet.HANDLERS,
  ...health.HANDLERS,
  ...ledgerState.HANDLERS,
  ...membership.HANDLERS,
  ...orders.HANDLERS,
  ...noticeHandlers.HANDLERS,
  ...rateLimitHandlers.HANDLERS,
  ...routedAnswers.HANDLERS,
  ...routedArrival.HANDLERS,
  ...routedCrashes.HANDLERS,
  ...routedExpiry.HANDLERS,
  ...routedFeeds.HANDLERS,
  ...canaryHandlers.HANDLERS,
  ...rollouts.HANDLERS,
  ...timers.HANDLERS,
};

/** Applies one event to the state; the same state and event always yield the same transition. */
export const reduce = (
  current: routerState.RouterState,
  event: events.Event,
): transition.Transition => {
  const handler = HANDLERS[event.type] as (
    state: routerState.RouterState,
    next: events.Event,
  ) => transition.Transition;
  const result = handler(current, event);
  // Requests that wait for a version blocked by this event move to another one or are refused.
  return result.state.blockedVersions === current.blockedVersions
    ? result
    : transition.composeTransition(result, (next) => reroute.rerouteWaiting(next, event));
};

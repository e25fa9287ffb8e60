import * as admission from './admission.js';
import * as attempts from './attempts.js';
import * as claimBook from './claims/claimBook.js';
import * as completion from './completion.js';
import type * as events from './events.js';
import * as fleet from './fleet.js';
import * as health from './health.js';
import * as ledgerBook from './ledger/ledgerBook.js';
import * as membership from './membership/membership.js';
import * as orders from './orders/orders.js';
import * as relayAnswers from './relay/relayAnswers.js';
import * as relayArrival from './relay/relayArrival.js';
import * as relayCrashes from './relay/relayCrashes.js';
import * as relayFeeds from './relay/relayFeeds.js';
import * as relayTrials from './relay/relayTrials.js';
import * as reroute from './reroute.js';
import * as rollouts from './rollouts.js';
import type * as routerState from './routerState.js';
import * as step from './step.js';
import * as timers from './timers.js';

type Handlers = {
  readonly [T in events.EventType]: (
    current: routerState.RouterState,
    event: events.EventOf<T>,
  ) => step.Step;
};

const HANDLERS: Handlers = {
  ...admission.HANDLERS,
  ...attempts.HANDLERS,
  ...claimBook.HANDLERS,
  ...completion.HANDLERS,
  ...fleet.HANDLERS,
  ...health.HANDLERS,
  ...ledgerBook.HANDLERS,
  ...membership.HANDLERS,
  ...orders.HANDLERS,
  ...relayAnswers.HANDLERS,
  ...relayArrival.HANDLERS,
  ...relayCrashes.HANDLERS,
  ...relayFeeds.HANDLERS,
  ...relayTrials.HANDLERS,
  ...rollouts.HANDLERS,
  ...timers.HANDLERS,
};

/** Applies one event to the state; the same state and event always give the same step. */
export const reduce = (current: routerState.RouterState, event: events.Event): step.Step => {
  const handler = HANDLERS[event.type] as (
    state: routerState.RouterState,
    next: events.Event,
  ) => step.Step;
  const done = handler(current, event);
  return done.state.alarms === current.alarms
    ? done
    : step.chainStep(done, (next) => reroute.rerouteWaiting(next, event));
};

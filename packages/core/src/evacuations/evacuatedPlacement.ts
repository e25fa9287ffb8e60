import * as dispatch from '../dispatch.js';
import type * as events from '../events.js';
import * as refusal from '../refusal.js';
import type * as requestState from '../requestState.js';
import * as routedRefusal from '../routed/routedRefusal.js';
import type * as routerState from '../routerState.js';
import type * as transition from '../transition.js';
import * as evacuatedZones from './evacuatedZones.js';

/** Ends a request for which no upstream is left; reports it as not run only if no send can have been executed. */
const endWithoutUpstream = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  stamp: events.Stamp,
): transition.Transition =>
  routedRefusal.countPossibleExecutions(request) === 0
    ? routedRefusal.refuseNotRun(current, request, 'noUpstream', stamp)
    : refusal.refuseRequest(current, request, 'upstreamFailed', null);

/** Places a routed request, or ends it at once if all upstreams that could take it are in evacuated zones. */
export const placeRequest = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  stamp: events.Stamp,
): transition.Transition =>
  evacuatedZones.isServiceEvacuated(current, request.service)
    ? endWithoutUpstream(current, request, stamp)
    : dispatch.placeRequest(current, request, stamp);

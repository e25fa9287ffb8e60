import type * as events from '../events.js';
import * as fairQueue from '../fairQueue.js';
import type * as requestState from '../requestState.js';
import * as routedRefusal from '../routed/routedRefusal.js';
import * as routerState from '../routerState.js';
import type * as serviceState from '../serviceState.js';
import * as transition from '../transition.js';
import * as answerTime from './answerTime.js';
import * as room from './room.js';
import * as urgencies from './urgency.js';
import * as waitOrder from './waitOrder.js';
import * as waitQueue from './waitQueue.js';
import * as waitingRequests from './waitingRequests.js';

/** Share of the places of a service's upstreams below which none of its requests is refused for lack of room. */
const AMPLE_SHARE = 0.5;
/** Largest number of waiting requests that give way to one arrival. */
const MAX_DISPLACED = 4;
/** Largest number of log lines about refused requests of a service in each span, and the span in milliseconds. */
const MAX_LINES = 20;
const LINES_SPAN_MS = 1_000;

/** Expected room for a waiting request, and the time that is left for it to start, in milliseconds. */
interface Prospect extends room.Room {
  readonly latestStartMs: number;
  readonly answerMs: number;
}

const estimateProspect = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  nowMs: number,
): Prospect => {
  const { endMs } = answerTime.estimateAnswerTime(current, request);
  return {
    ...room.estimateRoom(current, request.service, waitOrder.getPosition(request), nowMs),
    latestStartMs: request.deadlineAtMs - endMs - nowMs,
    answerMs: endMs,
  };
};

const canBeInTime = ({ startMs, latestStartMs }: Prospect): boolean => startMs <= latestStartMs;

/** Returns whether a waiting request may be refused: nothing of it can have run, and its upstreams are in use. */
const mayRefuse = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  nowMs: number,
): boolean => {
  const { taken, total } = room.countPlaces(current, request, nowMs);
  return (
    current.policy.admission === 'early' &&
    request.forwardedAttempt === null &&
    routedRefusal.countPossibleExecutions(request) === 0 &&
    taken >= total * AMPLE_SHARE
  );
};

/** Counts one more line; those beyond the bound are left out, and the next line written says how many. */
const countLine = (lines: serviceState.RoomLines, nowMs: number): serviceState.RoomLines => {
  const isNew = nowMs - lines.sinceMs >= LINES_SPAN_MS;
  const count = isNew ? 1 : lines.count + 1;
  return {
    sinceMs: isNew ? nowMs : lines.sinceMs,
    count,
    leftOut: count > MAX_LINES ? lines.leftOut + 1 : 0,
  };
};

/** Logs a request that gets no room, with what the decision was made from. */
const logRefusal = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  prospect: Prospect,
  displacedBy: string | null,
  nowMs: number,
): transition.Transition => {
  const { roomLines } = routerState.getServiceState(current, request.service, nowMs);
  const counted = countLine(roomLines, nowMs);
  const next = routerState.updateServiceState(current, request.service, nowMs, (service) => ({
    ...service,
    roomLines: counted,
  }));
  if (counted.leftOut > 0) {
    return transition.makeTransition(next);
  }
  const { taken, total, reportAgeMs } = room.countPlaces(current, request, nowMs);
  return transition.makeTransition(next, {
    type: 'log',
    message: 'no room in time',
    fields: {
      request: request.id,
      service: request.service,
      organisation: request.customer,
      priority: request.routed?.priority,
      rank: request.queueRank,
      displacedBy,
      waitedMs: Math.round(nowMs - request.arrivedAtMs),
      aheadCount: prospect.aheadCount,
      startMs: Math.round(prospect.startMs),
      latestStartMs: Math.round(prospect.latestStartMs),
      answerMs: Math.round(prospect.answerMs),
      slotMs: Math.round(prospect.slotMs),
      placesTaken: Math.round(taken),
      places: total,
      reportAgeMs: reportAgeMs === null ? null : Math.round(reportAgeMs),
      leftOut: roomLines.leftOut,
    },
  });
};

const refuseWaiting = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  prospect: Prospect,
  displacedBy: string | null,
  stamp: events.Stamp,
): transition.Transition =>
  transition.composeTransition(
    logRefusal(current, request, prospect, displacedBy, stamp.nowMs),
    (next) =>
      routedRefusal.endUnanswered(
        waitingRequests.removeFromQueue(next, request, stamp.nowMs),
        request,
        'deadlineExceeded',
        stamp,
      ),
  );

/** Ends a request whose time to wait is over. */
export const expireWaiting = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  stamp: events.Stamp,
): transition.Transition =>
  refuseWaiting(current, request, estimateProspect(current, request, stamp.nowMs), null, stamp);

/** Finds the waiting request that starts last: of the last class, of the customer with the most work, the last one. */
const findLast = (
  current: routerState.RouterState,
  service: string,
  nowMs: number,
): requestState.RequestState | undefined => {
  const { queue } = routerState.getServiceState(current, service, nowMs);
  const rank = waitQueue.listWaitingRanks(queue).at(-1);
  const [last] = fairQueue
    .listBacklogged(waitQueue.getClass(queue, rank ?? 0))
    .toSorted(
      (a, b) =>
        b.startTag + b.cost / b.weight - (a.startTag + a.cost / a.weight) ||
        b.tree.length - a.tree.length,
    );
  const key = last?.tree.end.key;
  return key === undefined ? undefined : current.requests.get(key.requestId);
};

/** Refuses the requests that start last as long as they could not be answered in time: they only keep others waiting. */
const refuseLast = (
  current: routerState.RouterState,
  { id, service }: requestState.RequestState,
  stamp: events.Stamp,
): transition.Transition => {
  let displaced = transition.makeTransition(current);
  for (let count = 0; count < MAX_DISPLACED; count += 1) {
    const last = findLast(displaced.state, service, stamp.nowMs);
    if (last === undefined || last.id === id || !mayRefuse(displaced.state, last, stamp.nowMs)) {
      return displaced;
    }
    const prospect = estimateProspect(displaced.state, last, stamp.nowMs);
    if (canBeInTime(prospect)) {
      return displaced;
    }
    displaced = transition.composeTransition(displaced, (next) =>
      refuseWaiting(next, last, prospect, id, stamp),
    );
  }
  return displaced;
};

/** Lets a request wait while its answer can still be in time. */
const withLatestStart = (
  current: routerState.RouterState,
  request: requestState.RequestState,
): requestState.RequestState =>
  request.routed === null
    ? request
    : {
        ...request,
        routed: {
          ...request.routed,
          queueUntilMs:
            request.deadlineAtMs - answerTime.estimateAnswerTime(current, request).endMs,
        },
      };

/**
 * Queues a request. Where requests of its service differ in priority, it waits as long as its answer can be in time, is
 * refused at once if that is not to be expected, and makes those give way that start last and would be too late.
 */
export const admitToQueue = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  stamp: events.Stamp,
): transition.Transition => {
  if (urgencies.findUrgency(current, request) === null) {
    return waitingRequests.enqueueRequest(current, request, stamp.nowMs);
  }
  const queued = waitingRequests.enqueueRequest(
    current,
    withLatestStart(current, request),
    stamp.nowMs,
  );
  const waiting = queued.state.requests.get(request.id) ?? request;
  const prospect = estimateProspect(queued.state, waiting, stamp.nowMs);
  return !canBeInTime(prospect) && mayRefuse(current, request, stamp.nowMs)
    ? refuseWaiting(queued.state, waiting, prospect, null, stamp)
    : transition.composeTransition(queued, (next) => refuseLast(next, waiting, stamp));
};

/** Places a waiting request anew, or refuses it if its answer is no longer to be expected in time. */
export const updateWaiting = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  stamp: events.Stamp,
): transition.Transition => {
  if (request.phase !== 'queued') {
    return transition.makeTransition(current);
  }
  const moved = waitingRequests.moveWaiting(current, request, stamp.nowMs);
  const waiting = moved.state.requests.get(request.id) ?? request;
  const prospect = estimateProspect(moved.state, waiting, stamp.nowMs);
  return !canBeInTime(prospect) && mayRefuse(moved.state, waiting, stamp.nowMs)
    ? refuseWaiting(moved.state, waiting, prospect, null, stamp)
    : moved;
};

import type * as requestState from '../requestState.js';
import * as routerState from '../routerState.js';
import * as upstreamState from '../upstreamState.js';
import * as answerTime from './answerTime.js';
import * as urgencies from './urgency.js';

/** Share of an engine's slots that long work may take which is not of the most urgent class of its service. */
const OPEN_SHARE = 0.7;
/**
 * Age up to which a report of waiting requests keeps a less urgent one away, as a share of its objective: one that has more
 * time can wait longer for newer word.
 */
const REPORT_SHARE = 0.25;

/** Returns whether the answer of a request is expected to take a slot for longer than the service's mean answer. */
const isLongWork = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  nowMs: number,
): boolean =>
  answerTime.estimateAnswerTime(current, request).endMs >
  routerState.getServiceState(current, request.service, nowMs).holdMs.value;

/** Returns whether a request may take a slot of an engine. */
export type SlotFilter = (upstream: upstreamState.UpstreamState) => boolean;

const mayUseAny: SlotFilter = () => true;

/**
 * Makes the filter of the engines whose slots a request may take. All but the most urgent ones of a service stay away from an
 * engine that says that requests wait there: they would wait there as well, but out of the order in which this router lets
 * them wait. Long ones among them leave the last slots of each engine to others.
 */
export const makeSlotFilter = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  nowMs: number,
): SlotFilter => {
  const urgency = urgencies.findUrgency(current, request);
  const { routed, forwardedAttempt } = request;
  if (urgency === null || urgency.index === 0 || routed === null || forwardedAttempt !== null) {
    return mayUseAny;
  }
  const freshMs = routed.route.targetLatencyMs * REPORT_SHARE;
  const isLong = isLongWork(current, request, nowMs);
  return (upstream) => {
    if (upstream.reportedWaiting > 0 && nowMs - upstream.reportedAtMs <= freshMs) {
      return false;
    }
    const slots = upstream.host.slots ?? upstream.slots;
    return (
      !isLong ||
      upstream.inFlight === 0 ||
      upstreamState.estimateLoad(upstream, nowMs) + 1 <= slots * OPEN_SHARE
    );
  };
};

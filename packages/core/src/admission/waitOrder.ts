import type * as policy from '../policy.js';
import * as requestState from '../requestState.js';
import * as routedRefusal from '../routed/routedRefusal.js';
import * as routerState from '../routerState.js';
import * as serviceState from '../serviceState.js';
import * as answerTime from './answerTime.js';
import * as urgencies from './urgency.js';
import type * as waitQueue from './waitQueue.js';

/** Milliseconds of waiting that offset one millisecond of expected work in the queue order. */
const LENGTH_PENALTY = 4;
/**
 * Share of a request's time, from its arrival to its deadline, after which it stands in line with the most urgent requests;
 * it moves up one class after each equal part of that share. For an answer that is shorter than the service's mean one, the
 * time ends with the latest start that meets its objective.
 */
const OUTRANKED_SHARE = 0.75;

/** Place of a request among those that wait, and when it is due to be placed anew. */
export interface WaitPlace {
  readonly rank: number;
  readonly name: string;
  readonly weight: number;
  /** Sort key in its queue; lower ones start first. */
  readonly order: number;
  /** Time at which its place changes, in milliseconds, or null if it does not. */
  readonly reviewAtMs: number | null;
}

/** What the place of a request with an urgency is computed from; times in milliseconds. */
interface Facts {
  readonly urgency: urgencies.Urgency;
  readonly nowMs: number;
  readonly arrivedAtMs: number;
  readonly deadlineAtMs: number;
  /** Latest start at which the answer meets its objective. */
  readonly timelyUntilMs: number;
  /** Latest start at which the answer meets its deadline. */
  readonly usefulUntilMs: number;
  readonly workMs: number;
  /** Mean time for which the service's answers take a slot. */
  readonly holdMs: number;
  /** True for one more send of a request that an upstream may have run, of which the caller has nothing yet. */
  readonly isRepeat: boolean;
}

type PartialPlace = Pick<WaitPlace, 'rank' | 'order'> &
  Partial<Pick<WaitPlace, 'name' | 'weight' | 'reviewAtMs'>>;

/** Ranks of a class: requests that can meet their objective, then late ones. */
const RANKS_PER_CLASS = 2;

const placeMixed = (facts: Facts): PartialPlace => {
  const { urgency, nowMs, arrivedAtMs, deadlineAtMs, timelyUntilMs, usefulUntilMs } = facts;
  // A short one delays the others so little that it moves up in time for its objective.
  const untilMs = facts.workMs < facts.holdMs ? timelyUntilMs : deadlineAtMs;
  const stepMs = ((untilMs - arrivedAtMs) * OUTRANKED_SHARE) / (urgency.count - 1);
  const steps = Math.floor((nowMs - arrivedAtMs) / Math.max(1, stepMs));
  const isLate = nowMs > timelyUntilMs;
  const base = RANKS_PER_CLASS * (facts.isRepeat ? urgency.count : urgency.index) + Number(isLate);
  const rank = Math.max(0, base - RANKS_PER_CLASS * steps);
  const nextStepAtMs = rank > 0 ? arrivedAtMs + (steps + 1) * stepMs : Infinity;
  const reviewAtMs = Math.min(nextStepAtMs, isLate ? Infinity : timelyUntilMs + 1);
  return {
    rank,
    order: isLate ? usefulUntilMs : timelyUntilMs,
    reviewAtMs: reviewAtMs === Infinity ? null : reviewAtMs,
  };
};

/** Ways to order the requests of a service with several priorities; all but `mixed` serve for comparison. */
const PLACE_HANDLERS: Readonly<
  Record<Exclude<policy.Policy['urgency'], 'off'>, (facts: Facts) => PartialPlace>
> = {
  mixed: placeMixed,
  strict: ({ urgency, arrivedAtMs }) => ({ rank: urgency.index, order: arrivedAtMs }),
  weighted: ({ urgency, arrivedAtMs }) => ({
    rank: 0,
    order: arrivedAtMs,
    name: `class-${urgency.index}`,
    weight: 2 ** (urgency.count - urgency.index),
  }),
  deadline: ({ deadlineAtMs }) => ({ rank: 0, order: deadlineAtMs, name: '*' }),
  slack: ({ usefulUntilMs }) => ({ rank: 0, order: usefulUntilMs, name: '*' }),
  shortest: ({ workMs }) => ({ rank: 0, order: workMs, name: '*' }),
};

const makeFacts = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  routed: NonNullable<requestState.RequestState['routed']>,
  urgency: urgencies.Urgency,
  nowMs: number,
): Facts => {
  const { headMs, endMs } = answerTime.estimateAnswerTime(current, request);
  const { arrivedAtMs, deadlineAtMs, forwardedAttempt } = request;
  return {
    urgency,
    nowMs,
    arrivedAtMs,
    deadlineAtMs,
    timelyUntilMs: arrivedAtMs + routed.route.targetLatencyMs - headMs,
    usefulUntilMs: deadlineAtMs - endMs,
    workMs: endMs,
    holdMs: routerState.getServiceState(current, request.service, nowMs).holdMs.value,
    isRepeat: forwardedAttempt === null && routedRefusal.countPossibleExecutions(request) > 0,
  };
};

/** Returns the name of a request's queue; without fair queueing all customers share one. */
const getQueueName = (
  current: routerState.RouterState,
  request: requestState.RequestState,
): string => (current.policy.queue === 'fair' ? request.customer : '*');

const getWeight = (current: routerState.RouterState, customer: string): number =>
  current.config?.customers.get(customer)?.weight ?? 1;

/**
 * Computes the sort key of a request whose service knows no urgency: earlier and shorter requests first. The arrival time
 * is part of the key, so that newer short requests cannot starve a long one (aging).
 */
const computeOrder = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  nowMs: number,
): number => {
  const msPerCost = serviceState.getMsPerCost(
    routerState.getServiceState(current, request.service, nowMs),
  );
  const workMs = requestState.estimateCost(request) * msPerCost;
  return current.policy.queue === 'fair'
    ? request.arrivedAtMs + LENGTH_PENALTY * workMs
    : request.arrivedAtMs;
};

/**
 * Computes where a request waits. Where requests of its service differ in priority: by class; within a class, requests that
 * can still meet their objective first; within an organisation, least slack first. Time spent waiting moves a request up,
 * so that none starves.
 */
export const computePlace = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  nowMs: number,
): WaitPlace => {
  const urgency = urgencies.findUrgency(current, request);
  const shared = {
    name: getQueueName(current, request),
    weight: getWeight(current, request.customer),
    reviewAtMs: null,
  };
  const { urgency: kind } = current.policy;
  if (urgency === null || request.routed === null || kind === 'off') {
    return { ...shared, rank: 0, order: computeOrder(current, request, nowMs) };
  }
  const facts = makeFacts(current, request, request.routed, urgency, nowMs);
  return { ...shared, ...PLACE_HANDLERS[kind](facts) };
};

/** Returns the position at which a waiting request was put into its queue. */
export const getPosition = (request: requestState.RequestState): waitQueue.WaitPosition => ({
  rank: request.queueRank,
  name: request.queueName,
  key: { order: request.queueOrder, requestId: request.id },
});

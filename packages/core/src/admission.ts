import type * as shared from '@jayrock/shared';
import type * as configIndex from './configIndex.js';
import * as dispatch from './dispatch.js';
import * as serviceState from './serviceState.js';
import * as ledgerState from './ledger/ledgerState.js';
import type * as policy from './policy.js';
import * as demand from './orders/demand.js';
import * as quarantine from './quarantine.js';
import * as refusal from './refusal.js';
import * as requestState from './requestState.js';
import * as routerState from './routerState.js';
import * as routing from './routing.js';
import type * as transition from './transition.js';
import * as versionId from './versionId.js';

/** Largest number of requests one customer may have waiting in one service. */
const MAX_QUEUED_PER_CUSTOMER = 2_000;
/** Largest pause a refusal advises, in milliseconds. */
const MAX_RETRY_AFTER_MS = 30_000;
/** Shortest pause a refusal advises, in milliseconds. */
const MIN_RETRY_AFTER_MS = 250;

/** Estimates how long new work of a customer would wait, in milliseconds. */
const estimateWaitMs = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  nowMs: number,
): number => {
  const lane = routerState.getServiceState(current, request.service, nowMs);
  if (lane.queue.size === 0 || lane.throughput.count === 0) {
    return 0;
  }
  const own = lane.queue.customers.get(request.customer);
  const weight = current.config?.customers.get(request.customer)?.weight ?? 1;
  const others = lane.queue.customers
    .valueSeq()
    .filter((queue) => queue.tree.length > 0 && queue.customer !== request.customer)
    .reduce((sum, queue) => sum + queue.weight, 0);
  const ownCost = (own?.cost ?? 0) + requestState.estimateCost(request);
  const fairWaitMs = (ownCost * 1_000 * (weight + others)) / (weight * lane.throughput.value);
  const totalWaitMs = ((lane.queue.cost + ownCost) * 1_000) / lane.throughput.value;
  return Math.min(fairWaitMs, totalWaitMs);
};

interface Overload {
  readonly code: shared.errorCodes.ErrorCode;
  readonly retryAfterMs: number;
}

type AdmissionHandler = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  nowMs: number,
) => Overload | null;

const isOverShare = (lane: serviceState.ServiceState, customer: string): boolean => {
  const own = lane.queue.customers.get(customer)?.cost ?? 0;
  const backlogged = lane.queue.customers.count((queue) => queue.tree.length > 0);
  return backlogged > 1 && own * backlogged > lane.queue.cost;
};

const findOverload: AdmissionHandler = (current, request, nowMs) => {
  const lane = routerState.getServiceState(current, request.service, nowMs);
  const queued = lane.queue.customers.get(request.customer)?.tree.length ?? 0;
  const workMs = requestState.estimateCost(request) * serviceState.getMsPerCost(lane);
  const lateMs = estimateWaitMs(current, request, nowMs) + workMs - (request.deadlineAtMs - nowMs);
  if (lane.queue.size === 0 || (lateMs <= 0 && queued < MAX_QUEUED_PER_CUSTOMER)) {
    return null;
  }
  return {
    code: isOverShare(lane, request.customer) ? 'customerOverShare' : 'overloaded',
    retryAfterMs: Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, lateMs)),
  };
};

const ADMISSION_HANDLERS: Readonly<Record<policy.Policy['admission'], AdmissionHandler>> = {
  early: findOverload,
  off: () => null,
};

const admit = (
  current: routerState.RouterState,
  requests: readonly requestState.RequestState[],
  arrival: routing.Arrival,
): transition.Transition => {
  const judge = ADMISSION_HANDLERS[current.policy.admission];
  const judged = requests.map((request) => ({
    request,
    overload: judge(current, request, arrival.nowMs),
  }));
  const accepted = judged.find((item) => item.overload === null);
  if (accepted !== undefined) {
    return dispatch.placeRequest(current, accepted.request, arrival);
  }
  const overload = judged[0]?.overload;
  return refusal.refuseArrival(
    current,
    arrival.requestId,
    overload?.code ?? 'overloaded',
    overload?.retryAfterMs ?? null,
  );
};

const findCaller = (config: configIndex.ConfigIndex, name: string): routing.Caller | null => {
  const customer = config.customers.get(name);
  const plan = customer === undefined ? undefined : config.plans.get(customer.plan);
  return customer === undefined || plan === undefined ? null : { customer, plan };
};

const isBlocked = (current: routerState.RouterState, arrival: routing.Arrival): boolean =>
  current.policy.quarantine === 'fingerprint' &&
  quarantine.isQuarantined(current.quarantine, arrival.shape.fingerprint, arrival.nowMs);

const findArrivalProblem = (
  current: routerState.RouterState,
  arrival: routing.Arrival,
): shared.errorCodes.ErrorCode | null => {
  if (current.isStopping) {
    return 'routerStopping';
  }
  if (current.requests.has(arrival.requestId)) {
    return 'inProgress';
  }
  if (ledgerState.isFull(current.ledger)) {
    return 'ledgerFull';
  }
  return isBlocked(current, arrival) ? 'quarantined' : null;
};

const countDemand = (
  current: routerState.RouterState,
  requests: readonly requestState.RequestState[],
  arrival: routing.Arrival,
): routerState.RouterState => {
  const [first] = requests;
  if (first === undefined || arrival.shape.kind !== 'chat') {
    return current;
  }
  const model = versionId.getModelName(first.versionId);
  const cost = requestState.estimateCost(first);
  return { ...current, demand: demand.addDemand(current.demand, model, cost, arrival.nowMs) };
};

/** Work for a model that runs nowhere is demand all the same, by which it gets loaded. */
const countUnserved = (
  current: routerState.RouterState,
  config: configIndex.ConfigIndex,
  caller: routing.Caller,
  arrival: routing.Arrival,
  code: shared.errorCodes.ErrorCode,
): routerState.RouterState => {
  const [model] = code === 'noUpstream' ? routing.listModels(config, arrival, caller) : [];
  return model === undefined
    ? current
    : {
        ...current,
        demand: demand.addDemand(current.demand, model, arrival.shape.maxTokens, arrival.nowMs),
      };
};

const handleRequestArrived = (
  current: routerState.RouterState,
  arrival: routing.Arrival,
): transition.Transition => {
  const { config } = current;
  if (config === null) {
    return refusal.refuseArrival(current, arrival.requestId, 'noConfiguration');
  }
  const problem = findArrivalProblem(current, arrival);
  if (problem !== null) {
    return refusal.refuseArrival(current, arrival.requestId, problem);
  }
  const caller = findCaller(config, arrival.customer);
  if (caller === null) {
    return refusal.refuseArrival(current, arrival.requestId, 'unauthorized');
  }
  const found = routing.routeRequest(current, config, arrival, caller);
  return found.ok
    ? admit(countDemand(current, found.requests, arrival), found.requests, arrival)
    : refusal.refuseArrival(
        countUnserved(current, config, caller, arrival, found.code),
        arrival.requestId,
        found.code,
      );
};

/** Handlers of arriving requests. */
export const HANDLERS = { requestArrived: handleRequestArrived } as const;

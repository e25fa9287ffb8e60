import type * as shared from '@jayrock/shared';
import * as waitQueue from './admission/waitQueue.js';
import type * as configIndex from './configIndex.js';
import * as dispatch from './dispatch.js';
import * as serviceState from './serviceState.js';
import * as ledgerState from './ledger/ledgerState.js';
import type * as policy from './policy.js';
import * as demand from './orders/demand.js';
import * as quarantine from './quarantine.js';
import * as permits from './rateLimits/permits.js';
import * as refusal from './refusal.js';
import * as requestState from './requestState.js';
import * as routerState from './routerState.js';
import * as routing from './routing.js';
import * as transition from './transition.js';
import * as versionId from './versionId.js';

/** Maximum number of queued requests of one customer per service. */
const MAX_QUEUED_PER_CUSTOMER = 2_000;
/** Upper bound of the retry delay sent with a refusal, in milliseconds. */
const MAX_RETRY_AFTER_MS = 30_000;
/** Lower bound of the retry delay sent with a refusal, in milliseconds. */
const MIN_RETRY_AFTER_MS = 250;

/**
 * Estimates the queueing delay of a new request, in milliseconds: the time that the customer's fair
 * share of the throughput needs for the customer's own cost, which is its backlog and the request,
 * but at most the time that the whole throughput needs for the service's backlog plus that cost.
 */
const estimateWaitMs = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  nowMs: number,
): number => {
  const service = routerState.getServiceState(current, request.service, nowMs);
  if (service.queue.size === 0 || service.throughput.count === 0) {
    return 0;
  }
  const { customers } = waitQueue.getClass(service.queue, 0);
  const ownQueue = customers.get(request.customer);
  const weight = current.config?.customers.get(request.customer)?.weight ?? 1;
  const others = customers
    .valueSeq()
    .filter((queue) => queue.tree.length > 0 && queue.customer !== request.customer)
    .reduce((sum, queue) => sum + queue.weight, 0);
  const ownCost = (ownQueue?.cost ?? 0) + requestState.estimateCost(request);
  const fairWaitMs = (ownCost * 1_000 * (weight + others)) / (weight * service.throughput.value);
  const totalWaitMs = ((service.queue.cost + ownCost) * 1_000) / service.throughput.value;
  return Math.min(fairWaitMs, totalWaitMs);
};

/** Error code and retry delay of a refusal because of overload. */
interface Overload {
  readonly code: shared.errorCodes.ErrorCode;
  readonly retryAfterMs: number;
}

type AdmissionHandler = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  nowMs: number,
) => Overload | null;

/** Returns whether a customer's backlog exceeds an equal share among customers with a backlog. */
const isOverShare = (service: serviceState.ServiceState, customer: string): boolean => {
  const { customers } = waitQueue.getClass(service.queue, 0);
  const ownCost = customers.get(customer)?.cost ?? 0;
  const backlogged = customers.count((queue) => queue.tree.length > 0);
  return backlogged > 1 && ownCost * backlogged > service.queue.cost;
};

const findOverload: AdmissionHandler = (current, request, nowMs) => {
  const service = routerState.getServiceState(current, request.service, nowMs);
  const queued =
    waitQueue.getClass(service.queue, 0).customers.get(request.customer)?.tree.length ?? 0;
  const permitMs = permits.estimateWaitMs(current, request.versionId, service.queue.size, nowMs);
  const workMs = requestState.estimateCost(request) * serviceState.getMsPerCost(service);
  const waitMs = Math.max(estimateWaitMs(current, request, nowMs), permitMs ?? 0);
  const lateMs = waitMs + workMs - (request.deadlineAtMs - nowMs);
  if (
    (service.queue.size === 0 && permitMs === null) ||
    (lateMs <= 0 && queued < MAX_QUEUED_PER_CUSTOMER)
  ) {
    return null;
  }
  return {
    code: isOverShare(service, request.customer) ? 'customerOverShare' : 'overloaded',
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
  const check = ADMISSION_HANDLERS[current.policy.admission];
  const checked = requests.map((request) => ({
    request,
    overload: check(current, request, arrival.nowMs),
  }));
  const accepted = checked.find((item) => item.overload === null);
  if (accepted !== undefined) {
    return dispatch.placeRequest(current, accepted.request, arrival);
  }
  const overload = checked[0]?.overload;
  // Without a request now and then, a limited upstream could not show that its limit has ended.
  const requested = requests.reduce(
    (result, { versionId: id }) =>
      transition.composeTransition(result, (next) =>
        permits.requestForQueue(next, id, 0, arrival.nowMs),
      ),
    transition.makeTransition(current),
  );
  return transition.composeTransition(requested, (next) =>
    refusal.refuseArrival(
      next,
      arrival.requestId,
      overload?.code ?? 'overloaded',
      overload?.retryAfterMs ?? null,
    ),
  );
};

const findCaller = (config: configIndex.ConfigIndex, name: string): routing.Caller | null => {
  const customer = config.customers.get(name);
  const plan = customer === undefined ? undefined : config.plans.get(customer.plan);
  return customer === undefined || plan === undefined ? null : { customer, plan };
};

const isQuarantined = (current: routerState.RouterState, arrival: routing.Arrival): boolean =>
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
  return isQuarantined(current, arrival) ? 'quarantined' : null;
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

/** Counts a request without a usable version as demand for its model, so that one gets loaded. */
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
  const result = routing.routeRequest(current, config, arrival, caller);
  return result.ok
    ? admit(countDemand(current, result.requests, arrival), result.requests, arrival)
    : refusal.refuseArrival(
        countUnserved(current, config, caller, arrival, result.code),
        arrival.requestId,
        result.code,
      );
};

/** Handlers of arriving requests: admission control, then placement. */
export const HANDLERS = { requestArrived: handleRequestArrived } as const;

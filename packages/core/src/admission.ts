import type * as shared from '@jayrock/shared';
import * as cascade from './cascade.js';
import type * as configView from './configView.js';
import * as dispatch from './dispatch.js';
import type * as events from './events.js';
import * as laneState from './laneState.js';
import * as ledgerBook from './ledger/ledgerBook.js';
import * as learning from './learning.js';
import type * as policy from './policy.js';
import * as demand from './orders/demand.js';
import * as quarantine from './quarantine.js';
import * as random from './random.js';
import * as refusal from './refusal.js';
import * as requestState from './requestState.js';
import * as routerState from './routerState.js';
import type * as step from './step.js';
import * as versionId from './versionId.js';
import * as versionChoice from './versionChoice.js';

/** Expected length from which work counts as long, in tokens. */
export const LONG_TOKENS = 400;
/** Largest number of requests one customer may have waiting in one service. */
const MAX_QUEUED_PER_CUSTOMER = 2_000;
/** Largest pause a refusal advises, in milliseconds. */
const MAX_RETRY_AFTER_MS = 30_000;
/** Shortest pause a refusal advises, in milliseconds. */
const MIN_RETRY_AFTER_MS = 250;
/** Waiting work per running request from which the service counts as crowded. */
const CROWDED_RATIO = 1;
/** How far a crowded service may go below the target chance when quality has room. */
const CROWDED_RELIEF = 0.1;
/** Version name under which calls of plain services appear. */
export const PLAIN_VERSION = 'plain';

/** Where a request may go, or why it may not go anywhere. */
type Routing =
  | { readonly ok: true; readonly requests: readonly requestState.RequestState[] }
  | { readonly ok: false; readonly code: shared.errorCodes.ErrorCode };

type Arrival = events.EventOf<'requestArrived'>;

interface Caller {
  readonly customer: shared.lists.Customer;
  readonly plan: shared.lists.Plan;
}

type RoutingHandler = (
  current: routerState.RouterState,
  config: configView.ConfigView,
  arrival: Arrival,
  caller: Caller,
) => Routing;

const makeRequest = (
  current: routerState.RouterState,
  arrival: Arrival,
  caller: Caller,
  fields: Pick<
    requestState.RequestState,
    'service' | 'versionId' | 'hasMovedSession' | 'isRepeatable' | 'priceMicros'
  >,
): requestState.RequestState => {
  const classKey = learning.classifyRequest(arrival.shape);
  const expectedTokens = learning.estimateTokens(current.learning, classKey, arrival.shape);
  return {
    id: arrival.requestId,
    customer: caller.customer.name,
    plan: caller.plan.name,
    shape: arrival.shape,
    classKey,
    expectedTokens,
    isLong: expectedTokens >= LONG_TOKENS,
    hasClaim: false,
    isSuspect: quarantine.isSuspect(current.quarantine, arrival.shape.fingerprint, arrival.nowMs),
    pin: arrival.pin,
    arrivedAtMs: arrival.nowMs,
    deadlineAtMs: arrival.nowMs + caller.plan.deadlineMs,
    phase: 'queued',
    queueOrder: 0,
    attempts: [],
    nextAttemptId: 1,
    sentCount: 0,
    retryCount: 0,
    triedUpstreams: [],
    relayedAttempt: null,
    tokensRelayed: 0,
    escalationCount: 0,
    tokensOut: 0,
    isBilled: true,
    ...fields,
  };
};

const routeCall: RoutingHandler = (current, config, arrival, caller) => {
  const name = arrival.shape.target;
  const service = config.services.get(name);
  const route = service?.routes.find((item) => item.path === arrival.shape.path);
  if (service?.kind !== 'plain' || route === undefined) {
    return { ok: false, code: 'notFound' };
  }
  if (!caller.plan.services.includes(name)) {
    return { ok: false, code: 'serviceNotAllowed' };
  }
  const request = makeRequest(current, arrival, caller, {
    service: name,
    versionId: name,
    hasMovedSession: false,
    isRepeatable: route.repeatable,
    priceMicros: route.costMicros,
  });
  return { ok: true, requests: [request] };
};

const listModels = (
  config: configView.ConfigView,
  arrival: Arrival,
  caller: Caller,
): readonly string[] =>
  arrival.shape.target === 'auto'
    ? caller.plan.models.filter((model) => config.models.has(model))
    : [arrival.shape.target];

const findModelProblem = (
  config: configView.ConfigView,
  arrival: Arrival,
  caller: Caller,
): shared.errorCodes.ErrorCode | null => {
  const { target, adapter } = arrival.shape;
  if (target !== 'auto' && !config.models.has(target)) {
    return 'modelUnknown';
  }
  if (target !== 'auto' && !caller.plan.models.includes(target)) {
    return 'modelNotAllowed';
  }
  return adapter !== null && !caller.plan.adapters.includes(adapter) ? 'adapterNotAllowed' : null;
};

/** Lists one option for each model the caller may use now. */
export const listOptions = (
  current: routerState.RouterState,
  models: readonly string[],
  arrival: Pick<Arrival, 'requestId' | 'shape' | 'pin' | 'session' | 'nowMs'>,
): readonly cascade.Option[] => {
  const classKey = learning.classifyRequest(arrival.shape);
  const tokens = learning.estimateTokens(current.learning, classKey, arrival.shape);
  return models.flatMap((model) => {
    const choice = versionChoice.pickVersion(current, {
      model,
      adapter: arrival.shape.adapter,
      rampKey: arrival.session ?? arrival.requestId,
      pinnedVersion: arrival.pin?.versions[model],
      nowMs: arrival.nowMs,
    });
    if (choice === null) {
      return [];
    }
    const price = cascade.estimatePrice(choice.info, arrival.shape.tokensIn, tokens);
    return [cascade.makeOption(current.learning, classKey, choice.info, choice.hasMoved, price)];
  });
};

/** A crowded service takes cheaper models while the plan's quality is above its target. */
const computeTarget = (
  current: routerState.RouterState,
  plan: shared.lists.Plan,
  service: string | undefined,
  nowMs: number,
): number => {
  if (service === undefined || current.policy.admission === 'off') {
    return plan.qualityTarget;
  }
  const lane = routerState.getLane(current, service, nowMs);
  const isCrowded = lane.queue.size > Math.max(1, lane.running) * CROWDED_RATIO;
  const room = (current.planQuality.get(plan.name)?.value ?? 0) - plan.qualityTarget;
  return isCrowded
    ? plan.qualityTarget - Math.max(0, Math.min(CROWDED_RELIEF, room))
    : plan.qualityTarget;
};

const routeChat: RoutingHandler = (current, config, arrival, caller) => {
  const problem = findModelProblem(config, arrival, caller);
  if (problem !== null) {
    return { ok: false, code: problem };
  }
  const options = listOptions(current, listModels(config, arrival, caller), arrival);
  if (options.length === 0) {
    return { ok: false, code: 'noUpstream' };
  }
  const affordable = options.filter((option) => option.costMicros <= caller.plan.costCeilingMicros);
  if (affordable.length === 0) {
    return { ok: false, code: 'costCeilingExceeded' };
  }
  const chosen = cascade.chooseOptions(current.policy.cascade, affordable, {
    target: computeTarget(current, caller.plan, affordable[0]?.info.service, arrival.nowMs),
    canEscalate: !arrival.shape.streaming && arrival.shape.target === 'auto',
    fraction: random.deriveFraction(arrival.random, 5),
  });
  const requests = chosen.map((option) =>
    makeRequest(current, arrival, caller, {
      service: option.info.service,
      versionId: option.info.id,
      hasMovedSession: option.hasMoved,
      isRepeatable: true,
      priceMicros: option.info.costPerThousandTokensMicros,
    }),
  );
  return { ok: true, requests };
};

const ROUTING_HANDLERS: Readonly<Record<requestState.RequestShape['kind'], RoutingHandler>> = {
  chat: routeChat,
  call: routeCall,
};

/** Estimates how long new work of a customer would wait, in milliseconds. */
const estimateWaitMs = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  nowMs: number,
): number => {
  const lane = routerState.getLane(current, request.service, nowMs);
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

const isOverShare = (lane: laneState.Lane, customer: string): boolean => {
  const own = lane.queue.customers.get(customer)?.cost ?? 0;
  const backlogged = lane.queue.customers.count((queue) => queue.tree.length > 0);
  return backlogged > 1 && own * backlogged > lane.queue.cost;
};

const findOverload: AdmissionHandler = (current, request, nowMs) => {
  const lane = routerState.getLane(current, request.service, nowMs);
  const queued = lane.queue.customers.get(request.customer)?.tree.length ?? 0;
  const workMs = requestState.estimateCost(request) * laneState.getMsPerCost(lane);
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
  arrival: Arrival,
): step.Step => {
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

const findCaller = (config: configView.ConfigView, name: string): Caller | null => {
  const customer = config.customers.get(name);
  const plan = customer === undefined ? undefined : config.plans.get(customer.plan);
  return customer === undefined || plan === undefined ? null : { customer, plan };
};

const isBlocked = (current: routerState.RouterState, arrival: Arrival): boolean =>
  current.policy.quarantine === 'fingerprint' &&
  quarantine.isQuarantined(current.quarantine, arrival.shape.fingerprint, arrival.nowMs);

const findArrivalProblem = (
  current: routerState.RouterState,
  arrival: Arrival,
): shared.errorCodes.ErrorCode | null => {
  if (current.isStopping) {
    return 'routerStopping';
  }
  if (current.requests.has(arrival.requestId)) {
    return 'inProgress';
  }
  if (ledgerBook.isFull(current.ledger)) {
    return 'ledgerFull';
  }
  return isBlocked(current, arrival) ? 'quarantined' : null;
};

const countDemand = (
  current: routerState.RouterState,
  requests: readonly requestState.RequestState[],
  arrival: Arrival,
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
  config: configView.ConfigView,
  caller: Caller,
  arrival: Arrival,
  code: shared.errorCodes.ErrorCode,
): routerState.RouterState => {
  const [model] = code === 'noUpstream' ? listModels(config, arrival, caller) : [];
  return model === undefined
    ? current
    : {
        ...current,
        demand: demand.addDemand(current.demand, model, arrival.shape.maxTokens, arrival.nowMs),
      };
};

const handleRequestArrived = (current: routerState.RouterState, arrival: Arrival): step.Step => {
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
  const routing = ROUTING_HANDLERS[arrival.shape.kind](current, config, arrival, caller);
  return routing.ok
    ? admit(countDemand(current, routing.requests, arrival), routing.requests, arrival)
    : refusal.refuseArrival(
        countUnserved(current, config, caller, arrival, routing.code),
        arrival.requestId,
        routing.code,
      );
};

/** Handlers of arriving requests. */
export const HANDLERS = { requestArrived: handleRequestArrived } as const;

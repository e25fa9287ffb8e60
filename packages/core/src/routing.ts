import type * as shared from '@jayrock/shared';
import * as cascade from './cascade.js';
import type * as configIndex from './configIndex.js';
import type * as events from './events.js';
import * as learning from './learning.js';
import * as quarantine from './quarantine.js';
import * as random from './random.js';
import * as requestState from './requestState.js';
import * as routerState from './routerState.js';
import * as versionChoice from './versionChoice.js';

/** Expected length from which a request counts as long, in tokens. */
export const LONG_TOKENS = 400;
/** Queued requests per attempt in flight above which a service counts as saturated. */
const SATURATED_RATIO = 1;
/** Largest reduction of the quality target for a saturated service, as a probability. */
const SATURATED_RELIEF = 0.1;
/** Version name under which calls of plain services are recorded. */
export const PLAIN_VERSION = 'plain';

/** Requests to try, the preferred one first, or the error code if the request cannot be routed. */
export type RoutingResult =
  | { readonly ok: true; readonly requests: readonly requestState.RequestState[] }
  | { readonly ok: false; readonly code: shared.errorCodes.ErrorCode };

/** Event of a request's arrival. */
export type Arrival = events.EventOf<'requestArrived'>;

/** Customer that sent a request, with its plan. */
export interface Caller {
  readonly customer: shared.lists.Customer;
  readonly plan: shared.lists.Plan;
}

type RoutingHandler = (
  current: routerState.RouterState,
  config: configIndex.ConfigIndex,
  arrival: Arrival,
  caller: Caller,
) => RoutingResult;

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
    ...requestState.INITIAL_PROGRESS,
    id: arrival.requestId,
    customer: caller.customer.name,
    plan: caller.plan.name,
    shape: arrival.shape,
    classKey,
    expectedTokens,
    isLong: expectedTokens >= LONG_TOKENS,
    isSuspect: quarantine.isSuspect(current.quarantine, arrival.shape.fingerprint, arrival.nowMs),
    pin: arrival.pin,
    arrivedAtMs: arrival.nowMs,
    deadlineAtMs: arrival.nowMs + caller.plan.deadlineMs,
    isBilled: true,
    routed: null,
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

/** Lists the models that a request may run on: the named one, or those of the plan for `auto`. */
export const listModels = (
  config: configIndex.ConfigIndex,
  arrival: Arrival,
  caller: Caller,
): readonly string[] =>
  arrival.shape.target === 'auto'
    ? caller.plan.models.filter((model) => config.models.has(model))
    : [arrival.shape.target];

const findModelProblem = (
  config: configIndex.ConfigIndex,
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

/** Lists one option for each model that has a usable version. */
export const listOptions = (
  current: routerState.RouterState,
  models: readonly string[],
  arrival: Pick<Arrival, 'requestId' | 'shape' | 'pin' | 'session' | 'nowMs'>,
): readonly cascade.VersionOption[] => {
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

/**
 * Computes the quality target of a request. It is lowered for a saturated service while the plan's
 * measured quality exceeds it, so that cheaper models qualify.
 */
const computeTarget = (
  current: routerState.RouterState,
  plan: shared.lists.Plan,
  service: string | undefined,
  nowMs: number,
): number => {
  if (service === undefined || current.policy.admission === 'off') {
    return plan.qualityTarget;
  }
  const state = routerState.getServiceState(current, service, nowMs);
  const isSaturated = state.queue.size > Math.max(1, state.attemptsInFlight) * SATURATED_RATIO;
  const margin = (current.planQuality.get(plan.name)?.value ?? 0) - plan.qualityTarget;
  return isSaturated
    ? plan.qualityTarget - Math.max(0, Math.min(SATURATED_RELIEF, margin))
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

/** Routes a request: returns one request per option, the preferred one first, or an error code. */
export const routeRequest: RoutingHandler = (current, config, arrival, caller) =>
  ROUTING_HANDLERS[arrival.shape.kind](current, config, arrival, caller);

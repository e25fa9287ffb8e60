import * as shared from '@jayrock/shared';
import * as budget from './budget.js';
import type * as events from './events.js';
import type * as policy from './policy.js';
import * as quarantine from './quarantine.js';
import * as random from './random.js';
import * as refusal from './refusal.js';
import type * as requestState from './requestState.js';
import * as routerState from './routerState.js';
import * as transition from './transition.js';
import * as upstreamState from './upstreamState.js';

/** Retry budget of a customer: credit for each regular request, and capacity. */
const CUSTOMER_RETRY_RULE: budget.BudgetRule = { share: 0.1, capacity: 20 };
/** Maximum number of retries of one request. */
const MAX_RETRIES = 4;
/** Ceiling of the first backoff, in milliseconds. */
const BASE_BACKOFF_MS = 25;
/** Maximum backoff, in milliseconds. */
const MAX_BACKOFF_MS = 1_000;

/** Error code returned to the caller when a failure cannot be recovered from. */
const FAILURE_CODES: Readonly<Record<events.AttemptFailure, shared.errorCodes.ErrorCode>> = {
  unreachable: 'upstreamFailed',
  crashed: 'upstreamFailed',
  silent: 'upstreamFailed',
  failed: 'upstreamFailed',
  busy: 'overloaded',
  garbage: 'upstreamGarbage',
  incomplete: 'answerIncomplete',
};

/** Credits a customer's retry budget for one regular request. */
export const fillRetryBudget = (
  current: routerState.RouterState,
  customer: string,
): routerState.RouterState => {
  const retryBudget = current.retryBudgets.get(customer);
  return retryBudget === undefined
    ? current
    : {
        ...current,
        retryBudgets: current.retryBudgets.set(
          customer,
          budget.fillBudget(retryBudget, CUSTOMER_RETRY_RULE),
        ),
      };
};

type RetryBudgetHandler = (
  current: routerState.RouterState,
  request: requestState.RequestState,
) => routerState.RouterState | null;

/** Charges the customer's retry budget; the budget of the upstream is checked at placement. */
const takeCustomerBudget: RetryBudgetHandler = (current, request) => {
  const retryBudget =
    current.retryBudgets.get(request.customer) ?? budget.makeBudget(CUSTOMER_RETRY_RULE);
  if (!budget.hasBudget(retryBudget) || request.retryCount >= MAX_RETRIES) {
    return null;
  }
  return {
    ...current,
    retryBudgets: current.retryBudgets.set(request.customer, budget.takeBudget(retryBudget)),
  };
};

const RETRY_HANDLERS: Readonly<Record<policy.Policy['retries'], RetryBudgetHandler>> = {
  budgeted: takeCustomerBudget,
  unlimited: (current) => current,
};

/**
 * Returns whether a request may be retried after a failure: an unsent or repeatable one may, but not
 * after a garbled answer of which the caller already has tokens.
 */
const mayRetry = (
  request: requestState.RequestState,
  event: events.EventOf<'attemptFailed'>,
): boolean => {
  if (!request.isRepeatable) {
    return request.sentCount === 0;
  }
  return event.failure !== 'garbage' || request.tokensForwarded === 0;
};

/** Computes an exponential backoff in milliseconds, with jitter of up to half of it. */
const computeBackoffMs = (retryCount: number, fraction: number): number => {
  const ceiling = Math.min(MAX_BACKOFF_MS, BASE_BACKOFF_MS * 2 ** retryCount);
  return ceiling * (0.5 + fraction / 2);
};

/** Time over which retries of the requests suspected of one crash are spread, in milliseconds. */
const SUSPECT_SPREAD_MS = 1_000;

/**
 * Computes the delay of a retry in milliseconds. A suspect's delay is derived from its fingerprint,
 * so that suspects of different routers rarely run at the same time.
 */
const computeDelayMs = (request: requestState.RequestState, stamp: events.Stamp): number =>
  request.isSuspect
    ? BASE_BACKOFF_MS + SUSPECT_SPREAD_MS * shared.hash.hashToFraction(request.shape.fingerprint)
    : computeBackoffMs(request.retryCount, random.deriveFraction(stamp.random, 7));

const scheduleRetry = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  stamp: events.Stamp,
): transition.Transition =>
  transition.makeTransition(
    routerState.setRequest(current, {
      ...request,
      phase: 'backingOff',
      retryCount: request.retryCount + 1,
    }),
    {
      type: 'armTimer',
      timer: { kind: 'retry', requestId: request.id },
      delayMs: computeDelayMs(request, stamp),
    },
  );

/** Returns whether the policy and the request's crashes forbid another run. */
const isQuarantined = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  nowMs: number,
): boolean =>
  current.policy.quarantine === 'fingerprint' &&
  quarantine.isQuarantined(current.quarantine, request.shape.fingerprint, nowMs);

/** Retries or refuses a request whose last attempt has failed. */
export const recoverRequest = (
  current: routerState.RouterState,
  requestId: string,
  event: events.EventOf<'attemptFailed'>,
): transition.Transition => {
  const request = current.requests.get(requestId);
  if (request === undefined || request.attempts.length > 0) {
    return transition.makeTransition(current);
  }
  if (isQuarantined(current, request, event.nowMs)) {
    return refusal.refuseRequest(current, request, 'quarantined', null);
  }
  const isLate = event.nowMs >= request.deadlineAtMs && request.tokensForwarded === 0;
  const charged =
    mayRetry(request, event) && !isLate
      ? RETRY_HANDLERS[current.policy.retries](current, request)
      : null;
  return charged === null
    ? refusal.refuseRequest(current, request, FAILURE_CODES[event.failure], null)
    : scheduleRetry(charged, request, event);
};

/** Credits an upstream's retry budget for one regular attempt. */
export const fillUpstreamBudget = (
  upstream: upstreamState.UpstreamState,
): upstreamState.UpstreamState => ({
  ...upstream,
  retryBudget: budget.fillBudget(upstream.retryBudget, upstreamState.UPSTREAM_RETRY_RULE),
});

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

/** Retries allowed for each normal request of a customer. */
const CUSTOMER_RETRY_RULE: budget.BudgetRule = { share: 0.1, capacity: 20 };
/** Largest number of retries of one request. */
const MAX_RETRIES = 4;
/** First back-off, in milliseconds. */
const BASE_BACKOFF_MS = 25;
/** Longest back-off, in milliseconds. */
const MAX_BACKOFF_MS = 1_000;

/** Code told to the caller when a failure cannot be recovered from. */
const FAILURE_CODES: Readonly<Record<events.AttemptFailure, shared.errorCodes.ErrorCode>> = {
  unreachable: 'upstreamFailed',
  crashed: 'upstreamFailed',
  silent: 'upstreamFailed',
  failed: 'upstreamFailed',
  busy: 'overloaded',
  garbage: 'upstreamGarbage',
  incomplete: 'answerIncomplete',
};

/** Fills a customer's retry budget by one normal request. */
export const fillRetryBudget = (
  current: routerState.RouterState,
  customer: string,
): routerState.RouterState => {
  const known = current.retryBudgets.get(customer);
  return known === undefined
    ? current
    : {
        ...current,
        retryBudgets: current.retryBudgets.set(
          customer,
          budget.fillBudget(known, CUSTOMER_RETRY_RULE),
        ),
      };
};

type RetryBudgetHandler = (
  current: routerState.RouterState,
  request: requestState.RequestState,
) => routerState.RouterState | null;

/** The budget of the upstream that takes the retry is looked at when it is placed. */
const takeCustomerBudget: RetryBudgetHandler = (current, request) => {
  const own = current.retryBudgets.get(request.customer) ?? budget.makeBudget(CUSTOMER_RETRY_RULE);
  if (!budget.hasBudget(own) || request.retryCount >= MAX_RETRIES) {
    return null;
  }
  return {
    ...current,
    retryBudgets: current.retryBudgets.set(request.customer, budget.takeBudget(own)),
  };
};

const RETRY_HANDLERS: Readonly<Record<policy.Policy['retries'], RetryBudgetHandler>> = {
  budgeted: takeCustomerBudget,
  unlimited: (current) => current,
};

/** Only work of which nothing was sent, or which may be repeated, is tried again. */
const mayRetry = (
  request: requestState.RequestState,
  event: events.EventOf<'attemptFailed'>,
): boolean => {
  if (!request.isRepeatable) {
    return request.sentCount === 0;
  }
  return event.failure !== 'garbage' || request.tokensForwarded === 0;
};

const computeBackoffMs = (retryCount: number, fraction: number): number => {
  const ceiling = Math.min(MAX_BACKOFF_MS, BASE_BACKOFF_MS * 2 ** retryCount);
  return ceiling * (0.5 + fraction / 2);
};

/** Suspects of one crash are spread over this time, in milliseconds. */
const SUSPECT_SPREAD_MS = 1_000;

/** Suspects wait by their fingerprint, so that those of different routers seldom run together. */
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

const isBlocked = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  nowMs: number,
): boolean =>
  current.policy.quarantine === 'fingerprint' &&
  quarantine.isQuarantined(current.quarantine, request.shape.fingerprint, nowMs);

/** Decides what becomes of a request whose attempt failed. */
export const recoverRequest = (
  current: routerState.RouterState,
  requestId: string,
  event: events.EventOf<'attemptFailed'>,
): transition.Transition => {
  const request = current.requests.get(requestId);
  if (request === undefined || request.attempts.length > 0) {
    return transition.makeTransition(current);
  }
  if (isBlocked(current, request, event.nowMs)) {
    return refusal.refuseRequest(current, request, 'quarantined', null);
  }
  const isLate = event.nowMs >= request.deadlineAtMs && request.tokensForwarded === 0;
  const paid =
    mayRetry(request, event) && !isLate
      ? RETRY_HANDLERS[current.policy.retries](current, request)
      : null;
  return paid === null
    ? refusal.refuseRequest(current, request, FAILURE_CODES[event.failure], null)
    : scheduleRetry(paid, request, event);
};

/** Refills an upstream's retry budget by one normal attempt. */
export const fillUpstreamBudget = (
  upstream: upstreamState.UpstreamState,
): upstreamState.UpstreamState => ({
  ...upstream,
  retryBudget: budget.fillBudget(upstream.retryBudget, upstreamState.UPSTREAM_RETRY_RULE),
});

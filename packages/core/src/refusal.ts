import type * as shared from '@jayrock/shared';
import type * as effects from './effects.js';
import type * as requestState from './requestState.js';
import type * as routerState from './routerState.js';
import * as transition from './transition.js';

/** Lists the effect that releases a claim under which nothing was sent, so that a resend may run. */
const listReleases = (request: requestState.RequestState): readonly effects.Effect[] =>
  request.hasClaim && request.sentCount === 0
    ? [{ type: 'releaseClaim', requestId: request.id }]
    : [];

/** Ends a request without a complete answer; `notRun` is set only if no attempt can have been sent. */
export const refuseRequest = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  code: shared.errorCodes.ErrorCode,
  retryAfterMs: number | null,
): transition.Transition =>
  transition.makeTransition(
    { ...current, requests: current.requests.remove(request.id) },
    ...listReleases(request),
    {
      type: 'refuse',
      requestId: request.id,
      code,
      notRun: request.sentCount === 0 && code !== 'mayHaveRun' && code !== 'inProgress',
      retryAfterMs,
    },
  );

/** Refuses a request that was not admitted. */
export const refuseArrival = (
  current: routerState.RouterState,
  requestId: string,
  code: shared.errorCodes.ErrorCode,
  retryAfterMs: number | null = null,
): transition.Transition =>
  transition.makeTransition(current, {
    type: 'refuse',
    requestId,
    code,
    notRun: code !== 'inProgress',
    retryAfterMs,
  });

import type * as requestState from './requestState.js';
import type * as routerState from './routerState.js';

/** A request with the attempt an event speaks of. */
export interface RequestAttempt {
  readonly request: requestState.RequestState;
  readonly attempt: requestState.Attempt;
}

/** Finds the attempt an event speaks of; late events of ended attempts find nothing. */
export const findAttempt = (
  current: routerState.RouterState,
  event: { readonly requestId: string; readonly attemptId: number },
): RequestAttempt | null => {
  const request = current.requests.get(event.requestId);
  const attempt = request?.attempts.find((item) => item.id === event.attemptId);
  return request === undefined || attempt === undefined ? null : { request, attempt };
};

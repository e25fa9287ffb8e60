import type * as requestState from './requestState.js';
import type * as routerState from './routerState.js';

/** A request together with one of its attempts. */
export interface RequestAttempt {
  readonly request: requestState.RequestState;
  readonly attempt: requestState.Attempt;
}

/** Finds the attempt that an event refers to, or null if it has already ended. */
export const findAttempt = (
  current: routerState.RouterState,
  event: { readonly requestId: string; readonly attemptId: number },
): RequestAttempt | null => {
  const request = current.requests.get(event.requestId);
  const attempt = request?.attempts.find((item) => item.id === event.attemptId);
  return request === undefined || attempt === undefined ? null : { request, attempt };
};

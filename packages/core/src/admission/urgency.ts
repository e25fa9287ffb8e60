import type * as requestState from '../requestState.js';
import type * as routerState from '../routerState.js';

/** Class of a request among those of its service. */
export interface Urgency {
  /** Position of the request's priority among those of its service; 0 is the most urgent. */
  readonly index: number;
  /** Number of priorities that requests of the service can have. */
  readonly count: number;
}

/** Finds the class of a request; null where all requests of its service have the same priority, and for plan requests. */
export const findUrgency = (
  current: routerState.RouterState,
  { service, routed }: requestState.RequestState,
): Urgency | null => {
  const priorities = current.routed.routeIndex?.prioritiesByService.get(service) ?? [];
  if (routed === null || priorities.length < 2 || current.policy.urgency === 'off') {
    return null;
  }
  const index = priorities.findIndex((priority) => priority >= routed.priority);
  return { index: index < 0 ? priorities.length - 1 : index, count: priorities.length };
};

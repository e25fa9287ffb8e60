import type * as requestState from '../requestState.js';
import * as routedContext from '../routed/routedContext.js';
import * as routedState from '../routed/routedState.js';
import type * as routerState from '../routerState.js';

/** Time between events assumed before the first stream has ended, in milliseconds. */
const DEFAULT_EVENT_MS = 20;

/** Expected times of an answer from its send on, in milliseconds. */
export interface AnswerTime {
  /** Time to its head, or to a stream's first event. */
  readonly headMs: number;
  /** Time to its end. */
  readonly endMs: number;
}

/** Estimates the duration of an answer's events on an upstream of typical speed, in milliseconds. */
export const estimateStreamMs = (
  current: routerState.RouterState,
  service: string,
  model: string | null,
  call: routedState.RoutedCall,
): number => {
  const perEvent = current.routed.routeIndex?.services.get(service)?.engine?.tokensPerEvent;
  if (perEvent === undefined || call.tokensIn === 0) {
    return 0;
  }
  const eventMs = routedContext.getTypicalMs(current.routed, 'eventTimes', service, model);
  return (routedState.estimateTokensOut(call) / perEvent) * (eventMs ?? DEFAULT_EVENT_MS);
};

/** Estimates the times of a routed request's answer from those of this router's recent answers; 0 before the first. */
export const estimateAnswerTime = (
  current: routerState.RouterState,
  { service, routed }: requestState.RequestState,
): AnswerTime => {
  if (routed === null) {
    return { headMs: 0, endMs: 0 };
  }
  const { model, call } = routed;
  const unitMs = routedContext.getTypicalMs(current.routed, 'headTimes', service, model) ?? 0;
  const headMs = unitMs * (1 + call.tokensIn / routedContext.TOKENS_PER_UNIT);
  return {
    headMs,
    endMs: headMs + estimateStreamMs(current, service, model, call),
  };
};

import type * as core from '@jayrock/core';
import type * as shared from '@jayrock/shared';
import type * as simulation from './simulation.js';
import type * as virtualClock from './virtualClock.js';
import type * as workload from './workload.js';

/** Routed requests of a simulation: their table, and engines that go dark for a time. */
export interface RoutedOptions {
  readonly table: shared.routeTable.RouteTable;
  readonly dark: {
    readonly ids: readonly string[];
    readonly fromMs: number;
    readonly toMs: number;
  };
}

/** Most returns of a caller that does not wait as told; any other returns once. */
const ABUSIVE_RETURNS = 6;
/** Time after which an abusive caller returns, in milliseconds. */
const ABUSIVE_PAUSE_MS = 20;
/** Share of its objective after which a leaving caller without a first event is gone. */
const LEAVING_SHARE = 1.5;
/** Separates the id of a request from the number of the caller's return. */
const RETURN_MARK = '+';

/** Gives the router the table, and lets engines go dark and come back. */
export const startRouted = (
  { engines }: simulation.SimulationOptions,
  { table, dark }: RoutedOptions,
  clock: virtualClock.VirtualClock,
  runtime: simulation.Runtime,
): void => {
  runtime.dispatch({ type: 'routesAdopted', table });
  engines.forEach(({ id, slots }) =>
    runtime.dispatch({
      type: 'hostChanged',
      host: { id, address: id, zone: 'a', service: 'pool', state: 'live', slots, bornAtMs: 1 },
    }),
  );
  const tell = (isReachable: boolean) => (): void =>
    dark.ids.forEach((upstreamId) =>
      runtime.dispatch({ type: 'reachabilityObserved', upstreamId, isReachable }),
    );
  clock.schedule(dark.fromMs, tell(false));
  clock.schedule(dark.toMs, tell(true));
};

const makeCall = (
  { customer, requestClass, tokensOut, shape, atMs }: workload.WorkloadRequest,
  nowMs: number,
): core.routedState.RoutedCall => ({
  host: 'h',
  path: `/${requestClass.name}/`,
  key: customer,
  deadlineMs: atMs + (requestClass.terms?.deadlineMs ?? 0) - nowMs,
  model: null,
  tokensIn: shape.tokensIn,
  maxTokens: shape.maxTokens,
  lengthHint: tokensOut,
  parts: [],
  lastEventId: null,
  session: null,
  fingerprint: shape.fingerprint,
  callerFingerprint: null,
  formerFingerprint: null,
});

/** Sends a routed request, or lets its caller return. A leaving caller goes if nothing has come. */
export const sendCall = (
  request: workload.WorkloadRequest,
  requestId: string,
  clock: virtualClock.VirtualClock,
  runtime: simulation.Runtime,
): void => {
  const call = makeCall(request, clock.getNowMs());
  runtime.dispatch({ type: 'routedRequestArrived', requestId, call, tableAgeMs: 0, waitedMs: 0 });
  if (request.caller === 'leaving') {
    clock.schedule((request.requestClass.terms?.targetMs ?? 0) * LEAVING_SHARE, () => {
      if (runtime.getState().requests.get(requestId)?.forwardedAttempt === null) {
        runtime.dispatch({ type: 'callerGone', requestId });
      }
    });
  }
};

/** Lets the caller of a refused request return, if it has time left; returns whether it does. */
export const sendAgain = (
  item: simulation.RequestProgress,
  { requestId, retryAfterMs, notRun }: core.effects.EffectOf<'refuse'>,
  progress: Map<string, simulation.RequestProgress>,
  clock: virtualClock.VirtualClock,
  runtime: simulation.Runtime,
): boolean => {
  const { request } = item;
  const returns = Number(requestId.split(RETURN_MARK)[1] ?? 0);
  const isAbusive = request.caller === 'abusive';
  const pauseMs = isAbusive ? ABUSIVE_PAUSE_MS : (retryAfterMs ?? 0);
  const endsAtMs = request.atMs + (request.requestClass.terms?.deadlineMs ?? 0);
  if (
    !notRun ||
    returns >= (isAbusive ? ABUSIVE_RETURNS : 1) ||
    clock.getNowMs() + pauseMs >= endsAtMs
  ) {
    return false;
  }
  const nextId = `${request.requestId}${RETURN_MARK}${returns + 1}`;
  progress.set(nextId, item);
  clock.schedule(pauseMs, () => sendCall(request, nextId, clock, runtime));
  return true;
};

import type * as effects from '../effects.js';
import type * as events from '../events.js';
import type * as routerState from '../routerState.js';
import * as transition from '../transition.js';
import * as canaryState from './canaryState.js';

const withCanary = (
  current: routerState.RouterState,
  trial: canaryState.Canary,
): routerState.RouterState => ({
  ...current,
  routed: {
    ...current.routed,
    canaries: current.routed.canaries.set(trial.order.service, trial),
  },
});

const handleCanaryObserved = (
  current: routerState.RouterState,
  event: events.EventOf<'canaryObserved'>,
): transition.Transition => {
  const { order, stage, elapsedMs } = event;
  const known = current.routed.canaries.get(order.service);
  const startedAtMs = event.nowMs - elapsedMs;
  const isSame = known?.order.revision === order.revision;
  // A decision is final, so a late record of an earlier stage changes nothing.
  const next =
    isSame && known !== undefined
      ? {
          ...known,
          stage: known.stage === 'running' ? stage : known.stage,
          startedAtMs: Math.min(known.startedAtMs, startedAtMs),
        }
      : canaryState.makeCanary(order, stage, startedAtMs, current.routed.settings.exposureShare);
  return transition.makeTransition(withCanary(current, next), {
    type: 'log',
    message: 'roll-out seen',
    fields: { service: order.service, to: order.to, stage, elapsedMs },
  });
};

const handleCanaryReport = (
  current: routerState.RouterState,
  event: events.EventOf<'canaryReportReceived'>,
): transition.Transition => {
  const known = current.routed.canaries.get(event.service);
  if (known === undefined || known.order.revision !== event.revision) {
    return transition.makeTransition(current);
  }
  const merged = canaryState.mergeReport(
    known,
    event.source,
    event.rows,
    event.oldRunning,
    event.nowMs,
  );
  const told = event.isBad ? { ...merged, isBad: true } : canaryState.evaluateCanary(merged);
  return transition.makeTransition(withCanary(current, told));
};

/** Counts this router's attempts on versions that a roll-out replaces. */
export const countPreviousInFlight = (
  current: routerState.RouterState,
  trial: canaryState.Canary,
): number =>
  current.upstreams
    .valueSeq()
    .filter(({ host }) => host.service === trial.order.service && host.version !== trial.order.to)
    .reduce((sum, upstream) => sum + upstream.inFlight, 0);

/** Pause before a decision that the store has not confirmed is handed over again, in milliseconds. */
const OUTCOME_RETRY_MS = 800;

const recordCanaryOutcome = (
  current: routerState.RouterState,
  trial: canaryState.Canary,
  nowMs: number,
): transition.Transition => {
  const stage = canaryState.evaluateOutcome(trial, countPreviousInFlight(current, trial), nowMs);
  if (stage === null || nowMs - trial.outcomeProposedAtMs < OUTCOME_RETRY_MS) {
    return transition.makeTransition(current);
  }
  const effect: effects.EffectOf<'recordCanaryOutcome'> = {
    type: 'recordCanaryOutcome',
    order: trial.order,
    stage,
  };
  return transition.makeTransition(
    withCanary(current, { ...trial, outcomeProposedAtMs: nowMs }),
    effect,
  );
};

/** Hands decisions of roll-outs to the store. */
export const tickCanaries = (
  current: routerState.RouterState,
  nowMs: number,
): transition.Transition =>
  current.routed.canaries
    .valueSeq()
    .reduce(
      (done, trial) =>
        transition.composeTransition(done, (next) => recordCanaryOutcome(next, trial, nowMs)),
      transition.makeTransition(current),
    );

/** Handlers of roll-outs of versions. */
export const HANDLERS = {
  canaryObserved: handleCanaryObserved,
  canaryReportReceived: handleCanaryReport,
} as const;

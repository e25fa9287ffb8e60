import type * as effects from '../effects.js';
import type * as events from '../events.js';
import type * as routerState from '../routerState.js';
import * as step from '../step.js';
import * as versionTrial from './versionTrial.js';

const withTrial = (
  current: routerState.RouterState,
  trial: versionTrial.VersionTrial,
): routerState.RouterState => ({
  ...current,
  relay: {
    ...current.relay,
    trials: current.relay.trials.set(trial.order.service, trial),
  },
});

const handleTrialSeen = (
  current: routerState.RouterState,
  event: events.EventOf<'trialSeen'>,
): step.Step => {
  const { order, stage, elapsedMs } = event;
  const known = current.relay.trials.get(order.service);
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
      : versionTrial.makeTrial(order, stage, startedAtMs, current.relay.settings.exposureShare);
  return step.makeStep(withTrial(current, next), {
    type: 'log',
    message: 'roll-out seen',
    fields: { service: order.service, to: order.to, stage, elapsedMs },
  });
};

const handleTrialTold = (
  current: routerState.RouterState,
  event: events.EventOf<'trialTold'>,
): step.Step => {
  const known = current.relay.trials.get(event.service);
  if (known === undefined || known.order.revision !== event.revision) {
    return step.makeStep(current);
  }
  const merged = versionTrial.mergeReport(
    known,
    event.source,
    event.rows,
    event.oldRunning,
    event.nowMs,
  );
  const told = event.isBad ? { ...merged, isBad: true } : versionTrial.judgeTrial(merged);
  return step.makeStep(withTrial(current, told));
};

/** Counts this router's attempts on versions that a roll-out replaces. */
export const countOldRunning = (
  current: routerState.RouterState,
  trial: versionTrial.VersionTrial,
): number =>
  current.upstreams
    .valueSeq()
    .filter(({ host }) => host.service === trial.order.service && host.version !== trial.order.to)
    .reduce((sum, upstream) => sum + upstream.inFlight, 0);

/** Pause before a decision that the store has not confirmed is handed over again, in milliseconds. */
const SETTLE_PAUSE_MS = 800;

const settleTrial = (
  current: routerState.RouterState,
  trial: versionTrial.VersionTrial,
  nowMs: number,
): step.Step => {
  const stage = versionTrial.judgeEnd(trial, countOldRunning(current, trial), nowMs);
  if (stage === null || nowMs - trial.settledAtMs < SETTLE_PAUSE_MS) {
    return step.makeStep(current);
  }
  const effect: effects.EffectOf<'settleTrial'> = {
    type: 'settleTrial',
    order: trial.order,
    stage,
  };
  return step.makeStep(withTrial(current, { ...trial, settledAtMs: nowMs }), effect);
};

/** Hands decisions of roll-outs to the store. */
export const tickTrials = (current: routerState.RouterState, nowMs: number): step.Step =>
  current.relay.trials
    .valueSeq()
    .reduce(
      (done, trial) => step.chainStep(done, (next) => settleTrial(next, trial, nowMs)),
      step.makeStep(current),
    );

/** Handlers of roll-outs of versions. */
export const HANDLERS = { trialSeen: handleTrialSeen, trialTold: handleTrialTold } as const;

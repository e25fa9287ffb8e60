import type * as core from '@jayrock/core';
import * as stores from '@jayrock/stores';
import * as shared from '@jayrock/shared';
import type * as fakeEngine from './fakeEngine.js';
import type * as virtualClock from './virtualClock.js';
import type * as simulation from './simulation.js';
import * as simulationConfig from './simulationConfig.js';
import type * as workload from './workload.js';

const CONFIG_DELAY_MS = 300;
const WITNESS_DELAY_MS = 1;
const WRITE_DELAY_MS = 5;

/** Inputs, fakes and state that the effect runners of a simulation share. */
export interface RunnerContext {
  readonly options: simulation.SimulationOptions;
  readonly clock: virtualClock.VirtualClock;
  readonly engines: ReadonlyMap<string, fakeEngine.FakeEngine>;
  readonly progress: ReadonlyMap<string, simulation.RequestProgress>;
  /** Lets the caller of a refused request return; false if it does not. */
  readonly resend: (
    item: simulation.RequestProgress,
    effect: core.effects.EffectOf<'refuse'>,
  ) => boolean;
  readonly totals: simulation.SimulationTotals;
  readonly getState: () => core.routerState.RouterState;
  readonly getConfiguration: () => shared.lists.Configuration;
  readonly adoptModels: (models: shared.lists.ModelsList) => void;
  readonly dispatch: (event: core.events.UnstampedEvent) => void;
}

/** Runners by type of effect; effects without a runner have no result in a simulation. */
export type EffectRunners = Partial<{
  readonly [T in core.effects.EffectType]: (effect: core.effects.EffectOf<T>) => void;
}>;

/** Makes the effect runners, which imitate engines, the rating service and the stores. */
export const makeRunners = (context: RunnerContext): EffectRunners => {
  const { totals } = context;
  const isGood = (request: workload.WorkloadRequest, versionId: string): boolean =>
    shared.hash.hashToFraction(`${request.requestId}|${versionId}`) <
    context.options.quality(versionId, request.isHard, request.atMs);

  return {
    refuse: (effect) => {
      const item = context.progress.get(effect.requestId);
      if (item !== undefined && !context.resend(item, effect)) {
        item.outcome = 'refused';
        item.endedAtMs = context.clock.getNowMs();
      }
    },
    startAttempt: (effect) => {
      const item = context.progress.get(effect.requestId);
      const engine = context.engines.get(effect.upstreamId);
      if (item === undefined || engine === undefined) {
        return;
      }
      totals.attemptCount += 1;
      totals.hedgeCount += Number(
        (context
          .getState()
          .requests.get(effect.requestId)
          ?.attempts.filter((attempt) => attempt.isHedge).length ?? 0) > 0,
      );
      item.startedAtMs ??= context.clock.getNowMs();
      item.versionId = effect.versionId;
      if (effect.versionId === 'small@v2') {
        totals.candidateStarts.push(context.clock.getNowMs());
      }
      const { requestId, attemptId } = effect;
      engine.submit({
        key: `${requestId}/${attemptId}`,
        tokensIn: item.request.requestClass.tokensIn,
        tokensOut: item.request.tokensOut,
        prefix: item.request.requestClass.prefix,
        priority:
          context.options.policy.queue === 'fair'
            ? (effect.routed?.priority ?? effect.priority)
            : 0,
        onFirstToken: () => {
          item.firstTokenAtMs ??= context.clock.getNowMs();
          context.dispatch(
            effect.routed === null
              ? { type: 'attemptFirstToken', requestId, attemptId }
              : {
                  type: 'routedHeadArrived',
                  requestId,
                  attemptId,
                  head: { status: 200, confidence: null },
                },
          );
        },
        onEnd: () => {
          const tokens = item.request.requestClass.tokensIn + item.request.tokensOut;
          totals.costMicros += (tokens * simulationConfig.getPrice(effect.versionId)) / 1_000;
          const { tokensOut } = item.request;
          const streamMs = context.clock.getNowMs() - (item.firstTokenAtMs ?? 0);
          context.dispatch(
            effect.routed === null
              ? { type: 'attemptEnded', requestId, attemptId, tokensOut, isBilled: true }
              : { type: 'routedAttemptEnded', requestId, attemptId, events: tokensOut, streamMs },
          );
        },
      });
    },
    cancelAttempt: ({ requestId, attemptId }) =>
      context.engines.forEach((engine) => engine.cancel(`${requestId}/${attemptId}`)),
    rateHeldAnswer: ({ requestId, timeoutMs }) => {
      const item = context.progress.get(requestId);
      const delayMs = Math.min(context.options.ratingDelayMs, timeoutMs);
      context.clock.schedule(delayMs, () => {
        const isLate = context.options.ratingDelayMs > timeoutMs;
        const isGoodAnswer = item !== undefined && isGood(item.request, item.versionId);
        context.dispatch({
          type: 'answerRated',
          requestId,
          score: isLate ? null : Number(isGoodAnswer),
        });
      });
    },
    rateAnswer: ({ requestId, customer, plan, classKey, versionId }) => {
      const item = context.progress.get(requestId);
      context.clock.schedule(context.options.ratingDelayMs, () => {
        const score = Number(item !== undefined && isGood(item.request, versionId));
        context.dispatch({ type: 'ratingArrived', customer, plan, classKey, versionId, score });
      });
    },
    witnessEntry: ({ entry }) =>
      context.clock.schedule(WITNESS_DELAY_MS, () =>
        context.dispatch({ type: 'entryWitnessed', requestId: entry.requestId }),
      ),
    writeEntries: ({ entries }) =>
      context.clock.schedule(WRITE_DELAY_MS, () =>
        context.dispatch({
          type: 'entriesWritten',
          requestIds: entries.map((entry) => entry.requestId),
          isWritten: true,
        }),
      ),
    finishAnswer: ({ requestId }) => {
      const item = context.progress.get(requestId);
      if (item !== undefined) {
        item.outcome = 'answered';
        item.endedAtMs = context.clock.getNowMs();
      }
    },
    armTimer: ({ timer, delayMs }) =>
      context.clock.schedule(delayMs, () => context.dispatch({ type: 'timerFired', timer })),
    proposeRollout: ({ model, to, change, fromStep }) =>
      context.clock.schedule(CONFIG_DELAY_MS, () => {
        const target = { model, version: to, ...(change === 'advance' ? { fromStep } : {}) };
        const edited = stores.rolloutEdits.editRollout(
          context.getConfiguration().models,
          change,
          target,
        );
        if (edited.ok) {
          context.adoptModels(edited.value);
        }
      }),
  };
};

import * as core from '@jayrock/core';

/** Function that runs effects of one type. */
export type EffectRunner<T extends core.effects.EffectType> = (
  effect: core.effects.EffectOf<T>,
) => void;

/** Effect runners by type; effects of subsystems that are not started have no runner and are ignored. */
export type EffectRunners = { readonly [T in core.effects.EffectType]?: EffectRunner<T> };

/** Holds the reducer's state and applies queued events to it one at a time. */
export interface Runtime {
  readonly getState: () => core.routerState.RouterState;
  /** Monotonic time used to stamp events, in Unix milliseconds; unaffected by wall-clock adjustments. */
  readonly getNowMs: () => number;
  /** Applies an event and runs its effects; events dispatched by effects are queued in order. */
  readonly dispatch: (event: core.events.UnstampedEvent) => void;
  /** Sets the effect runners; called once, before the first event. */
  readonly connect: (runners: EffectRunners) => void;
}

const readNowMs = (): number => performance.timeOrigin + performance.now();

/** Makes a runtime with an initial state. */
export const makeRuntime = (initial: core.routerState.RouterState): Runtime => {
  let state = initial;
  let runners: EffectRunners | null = null;
  let isDraining = false;
  const queue: core.events.UnstampedEvent[] = [];
  const runEffect = (effect: core.effects.Effect): void => {
    const runner = runners?.[effect.type] as ((item: core.effects.Effect) => void) | undefined;
    runner?.(effect);
  };
  const apply = (event: core.events.UnstampedEvent): void => {
    const stamped = { ...event, nowMs: readNowMs(), random: Math.random() } as core.events.Event;
    const transition = core.reduce.reduce(state, stamped);
    state = transition.state;
    transition.effects.forEach(runEffect);
  };
  const drain = (): void => {
    isDraining = true;
    try {
      for (let next = queue.shift(); next !== undefined; next = queue.shift()) {
        apply(next);
      }
    } finally {
      isDraining = false;
    }
  };
  return {
    getState: () => state,
    getNowMs: readNowMs,
    dispatch: (event) => {
      queue.push(event);
      if (!isDraining) {
        drain();
      }
    },
    connect: (next) => {
      runners = next;
    },
  };
};

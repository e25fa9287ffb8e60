import * as core from '@jayrock/core';

/** Runs one kind of effect. */
export type EffectRunner<T extends core.effects.EffectType> = (
  effect: core.effects.EffectOf<T>,
) => void;

/** Runners of effects, by type; effects of subsystems that are not started have none. */
export type EffectRunners = { readonly [T in core.effects.EffectType]?: EffectRunner<T> };

/** The reducer's state with a queue of events that are applied one after the other. */
export interface Runtime {
  readonly getState: () => core.routerState.RouterState;
  /** Time on the clock that stamps events, in Unix milliseconds; steps of the wall clock do not move it. */
  readonly getNowMs: () => number;
  /** Applies an event and runs its effects; events raised by effects follow in order. */
  readonly dispatch: (event: core.events.EventBody) => void;
  /** Sets the runners; called once, before the first event. */
  readonly connect: (runners: EffectRunners) => void;
}

const readNowMs = (): number => performance.timeOrigin + performance.now();

/** Makes a runtime around an initial state. */
export const makeRuntime = (initial: core.routerState.RouterState): Runtime => {
  let state = initial;
  let runners: EffectRunners | null = null;
  let isRunning = false;
  const queue: core.events.EventBody[] = [];
  const runEffect = (effect: core.effects.Effect): void => {
    const runner = runners?.[effect.type] as ((item: core.effects.Effect) => void) | undefined;
    runner?.(effect);
  };
  const apply = (event: core.events.EventBody): void => {
    const stamped = { ...event, nowMs: readNowMs(), random: Math.random() } as core.events.Event;
    const step = core.reduce.reduce(state, stamped);
    state = step.state;
    step.effects.forEach(runEffect);
  };
  const drain = (): void => {
    isRunning = true;
    try {
      for (let next = queue.shift(); next !== undefined; next = queue.shift()) {
        apply(next);
      }
    } finally {
      isRunning = false;
    }
  };
  return {
    getState: () => state,
    getNowMs: readNowMs,
    dispatch: (event) => {
      queue.push(event);
      if (!isRunning) {
        drain();
      }
    },
    connect: (next) => {
      runners = next;
    },
  };
};

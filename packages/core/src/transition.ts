import type * as effects from './effects.js';
import type * as routerState from './routerState.js';

/** What reducing one event yields. */
export interface Transition {
  readonly state: routerState.RouterState;
  readonly effects: readonly effects.Effect[];
}

/** Makes a step from a state and its effects. */
export const makeTransition = (
  next: routerState.RouterState,
  ...list: readonly effects.Effect[]
): Transition => ({
  state: next,
  effects: list,
});

/** Runs another step on the state that a step left, and joins their effects. */
export const composeTransition = (
  step: Transition,
  run: (next: routerState.RouterState) => Transition,
): Transition => {
  const following = run(step.state);
  if (step.effects.length === 0) {
    return following;
  }
  if (following.effects.length === 0) {
    return { state: following.state, effects: step.effects };
  }
  return { state: following.state, effects: [...step.effects, ...following.effects] };
};

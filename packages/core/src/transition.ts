import type * as effects from './effects.js';
import type * as routerState from './routerState.js';

/** Result of reducing one event: the next state, and the effects to run in order. */
export interface Transition {
  readonly state: routerState.RouterState;
  readonly effects: readonly effects.Effect[];
}

/** Creates a transition from a state and its effects. */
export const makeTransition = (
  next: routerState.RouterState,
  ...list: readonly effects.Effect[]
): Transition => ({
  state: next,
  effects: list,
});

/** Runs a second transition on the state of the first, and concatenates the effects of both. */
export const composeTransition = (
  first: Transition,
  run: (next: routerState.RouterState) => Transition,
): Transition => {
  const second = run(first.state);
  if (first.effects.length === 0) {
    return second;
  }
  if (second.effects.length === 0) {
    return { state: second.state, effects: first.effects };
  }
  return { state: second.state, effects: [...first.effects, ...second.effects] };
};

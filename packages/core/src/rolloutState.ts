/** Progress of one roll-out, as known to this router. */
export interface RolloutState {
  readonly to: string;
  readonly step: number;
  /** Epoch in which the roll-out was first seen. */
  readonly firstEpoch: number;
  /** Epoch in which its current step was first seen. */
  readonly stepEpoch: number;
  /** Time at which the current step was first seen, in milliseconds. */
  readonly stepSinceMs: number;
  /** Number of ratings of the candidate, over all routers, when the step was first seen. */
  readonly ratedAtStep: number;
  /** Number of the candidate's answers through this router that are not rated yet. */
  readonly unrated: number;
  /** Time at which `unrated` last decayed, in milliseconds. */
  readonly unratedDecayedAtMs: number;
  /** Change already proposed for this step, so that it is not proposed again on every event. */
  readonly proposed: 'none' | 'advance' | 'halt';
}

/** Creates the progress of a roll-out whose step was first seen at `nowMs`. */
export const makeRollout = (
  to: string,
  step: number,
  nowMs: number,
  rated: number,
  epoch: number,
): RolloutState => ({
  to,
  step,
  firstEpoch: epoch,
  stepEpoch: epoch,
  stepSinceMs: nowMs,
  ratedAtStep: rated,
  unrated: 0,
  unratedDecayedAtMs: nowMs,
  proposed: 'none',
});

/** Progress of one roll-out as this router sees it. */
export interface RolloutState {
  readonly to: string;
  readonly step: number;
  /** Epochs in which the roll-out and its present step were first seen. */
  readonly firstEpoch: number;
  readonly stepEpoch: number;
  /** Time the step was first seen, in milliseconds. */
  readonly stepSinceMs: number;
  /** Candidate ratings merged over routers when the step was first seen. */
  readonly ratedAtStep: number;
  /** Answers of the candidate that this router sent and that are not rated yet. */
  readonly unrated: number;
  readonly unratedDecayedAtMs: number;
  /** Change already proposed for this step, so that it is not proposed on every event. */
  readonly proposed: 'none' | 'advance' | 'halt';
}

/** Makes the progress of a roll-out at a step. */
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

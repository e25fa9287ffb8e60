/** Selects the handler of each kind of decision; the naive handlers serve as baselines for comparison. */
export interface Policy {
  readonly cascade: 'learned' | 'largest';
  readonly queue: 'fair' | 'firstCome';
  readonly upstream: 'balanced' | 'roundRobin';
  readonly ejection: 'relative' | 'off';
  readonly hedging: 'budgeted' | 'off';
  readonly retries: 'budgeted' | 'unlimited';
  readonly admission: 'early' | 'off';
  readonly ramp: 'gated' | 'fixed';
  /** Order of the requests that wait at a routed service with several priorities. */
  readonly urgency: 'mixed' | 'strict' | 'weighted' | 'deadline' | 'slack' | 'shortest' | 'off';
  readonly quarantine: 'fingerprint' | 'off';
}

/** Policy of a router in production. */
export const DEFAULT_POLICY: Policy = {
  cascade: 'learned',
  queue: 'fair',
  upstream: 'balanced',
  ejection: 'relative',
  hedging: 'budgeted',
  retries: 'budgeted',
  admission: 'early',
  ramp: 'gated',
  urgency: 'mixed',
  quarantine: 'fingerprint',
};

/** Baseline with the naive handler for every decision. */
export const NAIVE_POLICY: Policy = {
  cascade: 'largest',
  queue: 'firstCome',
  upstream: 'roundRobin',
  ejection: 'off',
  hedging: 'off',
  retries: 'unlimited',
  admission: 'off',
  ramp: 'fixed',
  urgency: 'off',
  quarantine: 'off',
};

import * as quarantine from './quarantine.js';
import type * as routerState from './routerState.js';
import * as transition from './transition.js';

/**
 * Records a crash for the fingerprint of a request that was in flight, and broadcasts all crashes
 * known for this fingerprint.
 */
export const recordCrash = (
  current: routerState.RouterState,
  fingerprint: string,
  crash: string,
  nowMs: number,
): transition.Transition => {
  const updated = quarantine.addCrashes(current.quarantine, fingerprint, [crash], nowMs);
  const crashes = updated.suspicions.get(fingerprint)?.crashes ?? [crash];
  return transition.makeTransition(
    { ...current, quarantine: updated },
    { type: 'broadcastCrashEvidence', fingerprint, crashes },
  );
};

import * as quarantine from './quarantine.js';
import type * as routerState from './routerState.js';
import * as transition from './transition.js';

/** Counts a crash against a request that was present, and tells the other routers of all it met. */
export const recordCrash = (
  current: routerState.RouterState,
  fingerprint: string,
  crash: string,
  nowMs: number,
): transition.Transition => {
  const noted = quarantine.addCrashes(current.quarantine, fingerprint, [crash], nowMs);
  const crashes = noted.suspicions.get(fingerprint)?.crashes ?? [crash];
  return transition.makeTransition(
    { ...current, quarantine: noted },
    { type: 'broadcastCrashEvidence', fingerprint, crashes },
  );
};

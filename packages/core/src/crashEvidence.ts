import * as quarantine from './quarantine.js';
import type * as routerState from './routerState.js';
import * as step from './step.js';

/** Counts a crash against a request that was present, and tells the other routers of all it met. */
export const recordCrash = (
  current: routerState.RouterState,
  fingerprint: string,
  crash: string,
  nowMs: number,
): step.Step => {
  const noted = quarantine.addCrashes(current.quarantine, fingerprint, [crash], nowMs);
  const crashes = noted.suspicions.get(fingerprint)?.crashes ?? [crash];
  return step.makeStep(
    { ...current, quarantine: noted },
    { type: 'broadcastCrashEvidence', fingerprint, crashes },
  );
};

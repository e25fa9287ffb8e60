import type * as events from '../events.js';
import * as quarantine from '../quarantine.js';
import type * as routerState from '../routerState.js';
import * as step from '../step.js';

/** Names a crash alike on all routers: an upstream's process can crash only once. */
const nameCrash = (current: routerState.RouterState, upstreamId: string): string =>
  `${upstreamId}@${current.upstreams.get(upstreamId)?.host.bornAtMs ?? 0}`;

/** Counts a crash against the request it met, and tells the other routers. */
const handleCrash = (
  current: routerState.RouterState,
  event: events.EventOf<'crashWitnessed'>,
): step.Step => {
  const { fingerprint, upstreamId } = event;
  const crash = nameCrash(current, upstreamId);
  const noted = quarantine.addCrashes(current.quarantine, fingerprint, [crash], event.nowMs);
  const crashes = noted.suspicions.get(fingerprint)?.crashes ?? [crash];
  return step.makeStep(
    { ...current, quarantine: noted },
    { type: 'broadcastCrashEvidence', fingerprint, crashes },
    { type: 'log', message: 'upstream crashed', fields: { upstream: upstreamId, crashes } },
  );
};

/** Handlers of crashes that routed requests met. */
export const HANDLERS = { crashWitnessed: handleCrash } as const;

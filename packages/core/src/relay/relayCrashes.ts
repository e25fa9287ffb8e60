import * as crashEvidence from '../crashEvidence.js';
import type * as events from '../events.js';
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
  const recorded = crashEvidence.recordCrash(current, fingerprint, crash, event.nowMs);
  return step.chainStep(recorded, (next) =>
    step.makeStep(next, {
      type: 'log',
      message: 'upstream crashed',
      fields: {
        upstream: upstreamId,
        crashes: next.quarantine.suspicions.get(fingerprint)?.crashes ?? [crash],
      },
    }),
  );
};

/** Handlers of crashes that routed requests met. */
export const HANDLERS = { crashWitnessed: handleCrash } as const;

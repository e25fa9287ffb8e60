import * as crashEvidence from '../crashEvidence.js';
import type * as events from '../events.js';
import type * as routerState from '../routerState.js';
import * as transition from '../transition.js';

/** Names a crash alike on all routers: an upstream's process can crash only once. */
const makeCrashId = (current: routerState.RouterState, upstreamId: string): string =>
  `${upstreamId}@${current.upstreams.get(upstreamId)?.host.bornAtMs ?? 0}`;

/** Counts a crash against the request it met, and tells the other routers. */
const handleCrash = (
  current: routerState.RouterState,
  event: events.EventOf<'crashObserved'>,
): transition.Transition => {
  const { fingerprint, upstreamId } = event;
  const crash = makeCrashId(current, upstreamId);
  const recorded = crashEvidence.recordCrash(current, fingerprint, crash, event.nowMs);
  return transition.composeTransition(recorded, (next) =>
    transition.makeTransition(next, {
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
export const HANDLERS = { crashObserved: handleCrash } as const;

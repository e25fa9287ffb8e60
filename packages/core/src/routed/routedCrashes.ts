import * as crashEvidence from '../crashEvidence.js';
import type * as events from '../events.js';
import type * as routerState from '../routerState.js';
import * as transition from '../transition.js';

/** Makes the id of a crash. It is the same on all routers, since each process of an upstream can crash only once. */
const makeCrashId = (current: routerState.RouterState, upstreamId: string): string =>
  `${upstreamId}@${current.upstreams.get(upstreamId)?.host.bornAtMs ?? 0}`;

/** Records a crash as evidence against the request that was running, and reports it to the other routers. */
const handleCrash = (
  current: routerState.RouterState,
  event: events.EventOf<'crashObserved'>,
): transition.Transition => {
  const { fingerprint, upstreamId } = event;
  const crashId = makeCrashId(current, upstreamId);
  const recorded = crashEvidence.recordCrash(current, fingerprint, crashId, event.nowMs);
  return transition.composeTransition(recorded, (next) =>
    transition.makeTransition(next, {
      type: 'log',
      message: 'upstream crashed',
      fields: {
        upstream: upstreamId,
        crashes: next.quarantine.suspicions.get(fingerprint)?.crashes ?? [crashId],
      },
    }),
  );
};

/** Handlers of upstream crashes during routed requests. */
export const HANDLERS = { crashObserved: handleCrash } as const;

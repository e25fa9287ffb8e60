import type * as effects from '../effects.js';
import type * as events from '../events.js';
import type * as routerState from '../routerState.js';
import * as transition from '../transition.js';
import * as canaryEvidence from './canaryEvidence.js';
import * as canaryShare from './canaryShare.js';
import * as canaryState from './canaryState.js';
import * as evidenceRoles from './evidenceRoles.js';
import * as versionRoles from './versionRoles.js';

const withCanary = (
  current: routerState.RouterState,
  canary: canaryState.Canary,
): routerState.RouterState => ({
  ...current,
  routed: {
    ...current.routed,
    canaries: current.routed.canaries.set(canary.order.service, canary),
  },
});

/** Counts this router's attempts in flight on the version of an order, or on those that it replaces. */
const countInFlight = (
  current: routerState.RouterState,
  order: canaryState.RolloutOrder,
  isNew: boolean,
): number =>
  current.upstreams
    .valueSeq()
    .filter(({ host }) => host.service === order.service && (host.version === order.to) === isNew)
    .reduce((sum, upstream) => sum + upstream.inFlight, 0);

/** Counts this router's attempts in flight on the versions that a roll-out replaces. */
export const countPreviousInFlight = (
  current: routerState.RouterState,
  canary: canaryState.Canary,
): number => countInFlight(current, canary.order, false);

/** Returns whether an order that comes now is for the only version without a bound that has upstreams. */
const isForServing = (
  current: routerState.RouterState,
  canary: canaryState.Canary,
  isFirst: boolean,
): boolean => {
  const { service, to } = canary.order;
  const versions = new Set(
    current.upstreams
      .valueSeq()
      .filter(({ host }) => host.service === service)
      .map(({ host }) => host.version),
  );
  const others = Array.from(versions).filter(
    (version) => version !== to && versionRoles.getRole(canary, version) === 'serving',
  );
  return (isFirst || canary.superseded.length > 0) && versions.has(to) && others.length === 0;
};

/** Makes the canary of an order that this router does not know yet. */
const makeNextCanary = (
  current: routerState.RouterState,
  { order, stage, elapsedMs, nowMs }: events.EventOf<'canaryObserved'>,
): canaryState.Canary => {
  const previous = current.routed.canaries.get(order.service);
  const next = canaryState.makeCanary(
    order,
    stage,
    nowMs - elapsedMs,
    current.routed.settings.exposure,
    elapsedMs === 0 ? null : nowMs,
  );
  const followed = versionRoles.adoptOrder(previous, next);
  // A router that learns of the order from a record may not have listed all upstreams yet.
  return elapsedMs === 0 && isForServing(current, followed, previous === undefined)
    ? { ...followed, isReturn: true, serving: [...followed.serving, order.to] }
    : followed;
};

/**
 * Adopts a roll-out order and the stage that is recorded for it in the store. The record's age counts only for an order
 * that this router does not know yet: wall clocks may have been stepped, and peers tell the age by steady ones.
 */
const handleCanaryObserved = (
  current: routerState.RouterState,
  event: events.EventOf<'canaryObserved'>,
): transition.Transition => {
  const { order, stage, elapsedMs, withdrawn = [], serving = [], superseded = [] } = event;
  const { offset = null } = event;
  const previous = current.routed.canaries.get(order.service);
  const isSame =
    previous !== undefined &&
    canaryState.isSameOrder(previous.order, order, event.mayBeRewritten === true);
  // An outcome is final, so a late record of the running stage has no effect.
  const next: canaryState.Canary =
    isSame && previous !== undefined
      ? {
          ...previous,
          order,
          stage: previous.stage === 'running' ? stage : previous.stage,
          sessionShare: null,
        }
      : makeNextCanary(current, event);
  const merged = versionRoles.mergeVersions(
    next,
    { withdrawn, serving, superseded, offset },
    event.nowMs,
  );
  return transition.makeTransition(withCanary(current, merged), {
    type: 'log',
    message: 'roll-out observed',
    fields: {
      service: order.service,
      to: order.to,
      stage,
      elapsedMs,
      inFlight: countInFlight(current, order, true),
      withdrawn: merged.withdrawn,
      serving: merged.serving,
      superseded: merged.superseded.map((earlier) => ({
        to: earlier.order.to,
        sessionShare: earlier.sessionShare,
        isBad: earlier.isBad,
      })),
    },
  });
};

/** Stops a running roll-out whose order was removed: its sessions stay, and it ends only if its version is bad. */
const handleOrderRemoved = (
  current: routerState.RouterState,
  { service, nowMs }: events.EventOf<'canaryOrderRemoved'>,
): transition.Transition => {
  const canary = current.routed.canaries.get(service);
  if (canary?.stage !== 'running') {
    return transition.makeTransition(current);
  }
  const frozen = canaryShare.holdSessions(canary, nowMs);
  return transition.makeTransition(withCanary(current, frozen), {
    type: 'log',
    message: 'roll-out order removed',
    fields: { service, to: canary.order.to, sessionShare: frozen.sessionShare },
  });
};

/** Change of the start of a roll-out that is logged, in milliseconds; smaller ones are the time that reports take. */
const LOGGED_CHANGE_MS = 100;

/** Makes the log line of a start that a peer's report has changed; none for small changes. */
const logStartChange = (
  before: canaryState.Canary,
  after: canaryState.Canary,
  source: string,
): readonly effects.EffectOf<'log'>[] => {
  const laterMs = Math.round(after.startedAtMs - before.startedAtMs);
  if (Math.abs(laterMs) < LOGGED_CHANGE_MS) {
    return [];
  }
  const { service, to } = after.order;
  const isWitnessed = after.unwitnessedSinceMs === null;
  return [
    {
      type: 'log',
      message: 'start of roll-out changed',
      fields: { service, to, source, laterMs, isWitnessed },
    },
  ];
};

const isReportOn = (
  { revision, to }: canaryState.CanaryAge,
  order: canaryState.RolloutOrder,
): boolean => revision === order.revision && (to === undefined || to === order.to);

/** Finds the canary to which a peer's message belongs: that of the current order, or of an earlier one that has not ended. */
const findTold = (
  current: routerState.RouterState,
  told: canaryState.CanaryAge,
): canaryState.Canary | undefined => {
  const canary = current.routed.canaries.get(told.service);
  return canary === undefined
    ? undefined
    : versionRoles.listCanaries(canary).find(({ order }) => isReportOn(told, order));
};

/** Stores a canary of a service, which may be that of an earlier order. */
const replaceCanary = (
  current: routerState.RouterState,
  changed: canaryState.Canary,
): routerState.RouterState => {
  const canary = current.routed.canaries.get(changed.order.service);
  return canary === undefined
    ? current
    : withCanary(current, versionRoles.replaceCanary(canary, changed));
};

/** Learns from a peer's report of an earlier order that this router has not seen, and that has not ended. */
const adoptEarlierOrder = (
  current: routerState.RouterState,
  report: canaryState.CanaryReport & events.Stamp,
): routerState.RouterState => {
  const canary = current.routed.canaries.get(report.service);
  const { to, revision, sessionShare, offset = 0, ageMs = 0 } = report;
  const isKnown = canary === undefined || findTold(current, report) !== undefined;
  return isKnown ||
    to === undefined ||
    sessionShare === undefined ||
    revision >= canary.order.revision
    ? current
    : withCanary(
        current,
        versionRoles.mergeVersions(
          canary,
          {
            withdrawn: [],
            serving: [],
            superseded: [{ to, revision, periodMs: 0, elapsedMs: ageMs, sessionShare, offset }],
            offset: null,
          },
          report.nowMs,
        ),
      );
};

/** Merges the age of an order that a peer told this router at its start; ignores those of other orders. */
const handleCanaryAge = (
  current: routerState.RouterState,
  event: events.EventOf<'canaryAgeReceived'>,
): transition.Transition => {
  const canary = findTold(current, event);
  if (canary === undefined) {
    return transition.makeTransition(current);
  }
  const aged = canaryState.mergeAge(canary, event, event.nowMs);
  return transition.makeTransition(
    replaceCanary(current, aged),
    ...logStartChange(canary, aged, event.source),
  );
};

/** Merges a peer's report on an order; ignores reports on orders that have ended. */
const handleCanaryReport = (
  current: routerState.RouterState,
  event: events.EventOf<'canaryReportReceived'>,
): transition.Transition => {
  const adopted = adoptEarlierOrder(current, event);
  const canary = findTold(adopted, event);
  if (canary === undefined) {
    return transition.makeTransition(adopted);
  }
  const aged = canaryState.mergeAge(canary, event, event.nowMs);
  const merged = canaryState.mergeReport(aged, event, event.nowMs);
  return transition.makeTransition(
    replaceCanary(adopted, event.isBad ? { ...merged, isBad: true } : merged),
    ...logStartChange(canary, aged, event.source),
  );
};

/** Interval after which an outcome that the store has not confirmed is written again, in milliseconds. */
const OUTCOME_RETRY_MS = 800;

/** Emits the effect that stores the outcome of a canary that should end, at most once per retry interval. */
const recordCanaryOutcome = (
  current: routerState.RouterState,
  canary: canaryState.Canary,
  nowMs: number,
): transition.Transition => {
  const isOutOfTouch = evidenceRoles.isOutOfTouch(current, canary, nowMs);
  const stage = canaryState.evaluateOutcome(
    // Counts from before then do not tell whether others have tried the version since.
    isOutOfTouch ? { ...canary, pooled: null } : canary,
    countPreviousInFlight(current, canary),
    nowMs,
    evidenceRoles.hasAllEvidence(current, canary, nowMs),
    current.upstreams.some(
      ({ host }) => host.service === canary.order.service && host.version === canary.order.to,
    ),
  );
  if (stage === null || nowMs - canary.outcomeProposedAtMs < OUTCOME_RETRY_MS) {
    return transition.makeTransition(current);
  }
  const effect: effects.EffectOf<'recordCanaryOutcome'> = {
    type: 'recordCanaryOutcome',
    order: canary.order,
    stage,
  };
  const rows = canary.rows.valueSeq().map((sourced) => sourced.row);
  return transition.makeTransition(
    withCanary(current, {
      ...canary,
      outcomeProposedAtMs: nowMs,
      // The store may not take the outcome for long; the version gets no requests meanwhile.
      isBad: canary.isBad || stage === 'rolledBack',
    }),
    effect,
    {
      type: 'log',
      message: 'roll-out should end',
      fields: {
        service: canary.order.service,
        to: canary.order.to,
        stage,
        isBad: canary.isBad,
        evidence: canaryEvidence.describeEvidence(rows.toArray()),
      },
    },
  );
};

/** Interval between evaluations of a canary's evidence, whose cost grows with the fleet, in milliseconds. */
const EVALUATION_MS = 200;

/** Evaluates a running canary's evidence at an interval, and counts it if this router gets that of all routers. */
const evaluateEvidence = (
  current: routerState.RouterState,
  canary: canaryState.Canary,
  nowMs: number,
): canaryState.Canary => {
  if (canary.stage !== 'running' || nowMs - canary.evaluatedAtMs < EVALUATION_MS) {
    return canary;
  }
  const evaluated = canaryState.evaluateCanary({ ...canary, evaluatedAtMs: nowMs });
  // The exposure is spent by these counts, whether the peers are heard or not.
  return evidenceRoles.hasEvidenceRole(current)
    ? canaryState.countPooled(evaluated, nowMs)
    : evaluated;
};

/** Evaluates the evidence on the versions of earlier orders; one that is found bad gets no more requests. */
const evaluateSuperseded = (
  current: routerState.RouterState,
  canary: canaryState.Canary,
  nowMs: number,
): transition.Transition => {
  const evaluated = canary.superseded.map((earlier) => evaluateEvidence(current, earlier, nowMs));
  const found = evaluated.filter(
    ({ isBad }, index) => isBad && canary.superseded[index]?.isBad === false,
  );
  return transition.makeTransition(
    withCanary(current, { ...canary, superseded: evaluated }),
    ...found.map(({ order, rows }): effects.EffectOf<'log'> => ({
      type: 'log',
      message: 'version of an earlier order is bad',
      fields: {
        service: order.service,
        to: order.to,
        evidence: canaryEvidence.describeEvidence(
          rows
            .valueSeq()
            .map((sourced) => sourced.row)
            .toArray(),
        ),
      },
    })),
  );
};

/** Updates the running canaries and emits the effects that store the outcomes of those that should end. */
export const tickCanaries = (
  current: routerState.RouterState,
  nowMs: number,
): transition.Transition =>
  current.routed.canaries.valueSeq().reduce((done, canary) => {
    const evaluated = evaluateEvidence(current, canary, nowMs);
    const withEarlier = transition.composeTransition(done, (next) =>
      evaluateSuperseded(next, evaluated, nowMs),
    );
    return transition.composeTransition(withEarlier, (next) =>
      recordCanaryOutcome(next, next.routed.canaries.get(canary.order.service) ?? evaluated, nowMs),
    );
  }, transition.makeTransition(current));

/** Handlers of events of canary roll-outs. */
export const HANDLERS = {
  canaryObserved: handleCanaryObserved,
  canaryOrderRemoved: handleOrderRemoved,
  canaryAgeReceived: handleCanaryAge,
  canaryReportReceived: handleCanaryReport,
} as const;

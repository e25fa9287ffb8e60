import * as evacuatedZones from '../evacuations/evacuatedZones.js';
import * as waitingRequests from '../admission/waitingRequests.js';
import type * as events from '../events.js';
import type * as requestState from '../requestState.js';
import type * as routerState from '../routerState.js';
import * as slots from '../slots.js';
import * as transition from '../transition.js';
import * as guardNews from './guardNews.js';
import * as guardRefusal from './guardRefusal.js';
import * as guardState from './guardState.js';
import * as guardUpdates from './guardUpdates.js';

/** Makes the id of a crash. It is the same on all routers, since each process of an upstream can crash only once. */
const makeCrashId = (current: routerState.RouterState, upstreamId: string): string =>
  `${upstreamId}@${current.upstreams.get(upstreamId)?.host.bornAtMs ?? 0}`;

const withGuard = (
  current: routerState.RouterState,
  guard: guardState.GuardState,
): routerState.RouterState =>
  guard === current.routed.guard ? current : { ...current, routed: { ...current.routed, guard } };

/** Records that an upstream has begun to answer a request. */
export const recordBegin = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  attempt: requestState.Attempt,
  nowMs: number,
): routerState.RouterState =>
  request.routed === null
    ? current
    : withGuard(
        current,
        guardState.addAnswer(current.routed.guard, makeCrashId(current, attempt.upstreamId), {
          requestId: request.id,
          attemptId: attempt.id,
          request: guardState.makeAccused(request.routed.call, true),
          atMs: nowMs,
          isComplete: false,
        }),
      );

/**
 * Records that an attempt broke off before its head. Whether the upstream had begun an answer that is not a stream is
 * not known, since such an answer has its head when it is complete.
 */
export const recordBreak = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  attempt: requestState.Attempt,
  nowMs: number,
): routerState.RouterState =>
  request.routed === null || attempt.headAtMs !== null
    ? current
    : withGuard(
        current,
        guardState.addAnswer(current.routed.guard, makeCrashId(current, attempt.upstreamId), {
          requestId: request.id,
          attemptId: attempt.id,
          request: guardState.makeAccused(
            request.routed.call,
            request.routed.route.kind !== 'streaming',
          ),
          atMs: nowMs,
          isComplete: false,
        }),
      );

/** Returns whether an upstream that cannot be reached may have crashed with answers that it had just begun. */
export const mayHaveCrashed = (current: routerState.RouterState, upstreamId: string): boolean => {
  const crash = makeCrashId(current, upstreamId);
  const { answers, crashes } = current.routed.guard;
  return answers.has(crash) && !crashes.has(crash);
};

/** Broadcasts news, if there are any. */
const applyUpdate = (
  current: routerState.RouterState,
  update: guardUpdates.GuardUpdate,
): transition.Transition => {
  const next = withGuard(current, update.state);
  return guardNews.isEmpty(update.news)
    ? transition.makeTransition(next)
    : transition.makeTransition(next, { type: 'broadcastGuardNews', news: update.news });
};

/** Records that an answer ended well. One that had run for some time clears its keys, a short one does so later. */
export const recordEnd = (
  current: routerState.RouterState,
  request: requestState.RequestState,
  attempt: requestState.Attempt,
  nowMs: number,
): transition.Transition => {
  const { guard } = current.routed;
  if (request.routed === null) {
    return transition.makeTransition(current);
  }
  if (attempt.headAtMs !== null && nowMs - attempt.headAtMs >= guardState.SURVIVED_MS) {
    const survived = [guardState.makeAccused(request.routed.call, true)];
    return applyUpdate(current, guardUpdates.recordSurvived(guard, survived, nowMs));
  }
  const crash = makeCrashId(current, attempt.upstreamId);
  const completed = (guard.answers.get(crash) ?? []).map((answer) =>
    answer.requestId === request.id && answer.attemptId === attempt.id
      ? { ...answer, isComplete: true }
      : answer,
  );
  return transition.makeTransition(
    withGuard(current, { ...guard, answers: guard.answers.set(crash, completed) }),
  );
};

/** Lists the requests that may have caused a crash: those whose answer began or broke off shortly before. */
const listAccused = (
  guard: guardState.GuardState,
  crash: string,
  atMs: number,
): readonly guardState.AccusedRequest[] =>
  (guard.answers.get(crash) ?? [])
    .filter((answer) => answer.atMs >= atMs - guardState.BEGIN_MS)
    .map((answer) => answer.request);

/** Adds this router's own evidence on a crash. */
const recordOwnEvidence = (
  current: routerState.RouterState,
  crash: string,
  nowMs: number,
): transition.Transition => {
  const { guard } = current.routed;
  const atMs = guard.crashes.get(crash)?.atMs ?? nowMs;
  return applyUpdate(
    current,
    guardUpdates.recordCrash(guard, crash, atMs, listAccused(guard, crash, atMs), nowMs),
  );
};

/** Ends a request that is now held back, unless an upstream has already begun to answer it. */
const endRequest = (
  current: routerState.RouterState,
  requestId: string,
  stamp: events.Stamp,
): transition.Transition => {
  const request = current.requests.get(requestId);
  if (request === undefined) {
    return transition.makeTransition(current);
  }
  const dequeued = waitingRequests.removeFromQueue(current, request, stamp.nowMs);
  const cancelled = slots.cancelAttempts(dequeued, request.id, request.attempts, stamp);
  return transition.composeTransition(cancelled, (next) =>
    guardRefusal.endHeldBack(next, next.requests.get(requestId) ?? request, stamp.nowMs),
  );
};

const endHeldBackRequests = (
  current: routerState.RouterState,
  stamp: events.Stamp,
): transition.Transition =>
  current.requests
    .valueSeq()
    .filter(
      ({ routed, attempts }) =>
        routed !== null &&
        attempts.every((attempt) => attempt.headAtMs === null) &&
        guardRefusal.isHeldBack(current, routed.call),
    )
    .map((request) => request.id)
    .toArray()
    .reduce(
      (done, requestId) =>
        transition.composeTransition(done, (next) => endRequest(next, requestId, stamp)),
      transition.makeTransition(current),
    );

const listGuardIds = (guard: guardState.GuardState): readonly string[] =>
  guard.guards.map((item) => guardState.makeGuardId(item.keys));

/** Logs and stores guards that have begun or ended, and ends the requests that are now held back. */
const applyGuards = (
  before: routerState.RouterState,
  done: transition.Transition,
  stamp: events.Stamp,
): transition.Transition => {
  const previous = listGuardIds(before.routed.guard);
  const ids = listGuardIds(done.state.routed.guard);
  const begun = ids.filter((id) => !previous.includes(id));
  const ended = previous.filter((id) => !ids.includes(id));
  if (begun.length + ended.length === 0) {
    return done;
  }
  const reported = transition.composeTransition(done, (next) => {
    const { guard } = next.routed;
    const started = guard.guards.filter((item) =>
      begun.includes(guardState.makeGuardId(item.keys)),
    );
    return transition.makeTransition(
      next,
      {
        type: 'log',
        message: 'requests held back after crashes',
        fields: { begun: started, ended },
      },
      ...started.map((item) => ({
        type: 'recordGuard' as const,
        id: guardState.makeGuardId(item.keys),
        news: guardNews.makeOneGuardNews(guard, item, stamp.nowMs),
      })),
      ...ended.map((id) => ({ type: 'recordGuard' as const, id, news: null })),
    );
  });
  return begun.length === 0
    ? reported
    : transition.composeTransition(reported, (next) => endHeldBackRequests(next, stamp));
};

/** Records the crash of an upstream that serves requests; one that leaves, or whose zone is evacuated, may be stopped without a fault. */
const handleCrash = (
  current: routerState.RouterState,
  event: events.EventOf<'crashObserved'>,
): transition.Transition => {
  const { upstreamId } = event;
  const upstream = current.upstreams.get(upstreamId);
  if (upstream === undefined || !evacuatedZones.mayReceive(current, upstream)) {
    return transition.makeTransition(current);
  }
  const crash = makeCrashId(current, upstreamId);
  const isKnown = current.routed.guard.crashes.has(crash);
  const recorded = recordOwnEvidence(current, crash, event.nowMs);
  const record = recorded.state.routed.guard.crashes.get(crash);
  const logged =
    isKnown || record === undefined
      ? recorded
      : transition.composeTransition(recorded, (next) =>
          transition.makeTransition(next, {
            type: 'log',
            message: 'upstream crashed',
            fields: { upstream: upstreamId, crash, accused: record.requests.size },
          }),
        );
  return applyGuards(current, logged, event);
};

/** Merges news of another router, and adds what this router knows about the same crashes. */
export const mergeNews = (
  current: routerState.RouterState,
  news: guardNews.GuardNews,
  stamp: events.Stamp,
): transition.Transition => {
  const merged = applyUpdate(
    current,
    guardUpdates.mergeNews(current.routed.guard, news, stamp.nowMs),
  );
  const completed = news.crashes.reduce(
    (done, { crash }) =>
      transition.composeTransition(done, (next) => recordOwnEvidence(next, crash, stamp.nowMs)),
    merged,
  );
  return applyGuards(current, completed, stamp);
};

const handleNews = (
  current: routerState.RouterState,
  event: events.EventOf<'guardNewsReceived'>,
): transition.Transition => mergeNews(current, event.news, event);

/** Drops old evidence, and clears the keys of short answers that their upstreams survived. */
export const tickGuard = (
  current: routerState.RouterState,
  stamp: events.Stamp,
): transition.Transition =>
  applyGuards(
    current,
    applyUpdate(current, guardUpdates.tickGuard(current.routed.guard, stamp.nowMs)),
    stamp,
  );

/** Handlers of upstream crashes during routed requests, and of what other routers know about them. */
export const HANDLERS = {
  crashObserved: handleCrash,
  guardNewsReceived: handleNews,
} as const;

import type * as events from '../events.js';
import * as fleet from '../fleet.js';
import * as random from '../random.js';
import * as routerState from '../routerState.js';
import * as transition from '../transition.js';
import * as brittleUpstreams from './brittleUpstreams.js';
import type * as leavingNews from './leavingNews.js';
import * as leavingProcesses from './leavingProcesses.js';
import * as upstreamRest from './upstreamRest.js';

/** Takes an upstream that has said for a time that it leaves out of use. */
const markLeaving = (
  current: routerState.RouterState,
  upstreamId: string,
  nowMs: number,
  ageMs = 0,
): transition.Transition => {
  const host = current.upstreams.get(upstreamId)?.host;
  if (host === undefined || leavingProcesses.isLeaving(current.leaving, host, nowMs)) {
    return transition.makeTransition(current);
  }
  const marked = routerState.updateUpstream(
    { ...current, leaving: leavingProcesses.addLeaving(current.leaving, host, nowMs - ageMs) },
    upstreamId,
    (upstream) => ({ ...upstream, host: { ...host, state: 'leaving' } }),
  );
  return transition.makeTransition(fleet.withCandidates(marked), {
    type: 'log',
    message: 'upstream says that it leaves',
    fields: { upstream: upstreamId, service: host.service },
  });
};

/** Tells the peers that an upstream leaves, if it was not known. */
const reportLeaving = (
  before: routerState.RouterState,
  marked: transition.Transition,
  upstreamId: string,
): transition.Transition =>
  marked.state === before
    ? marked
    : transition.composeTransition(marked, (next) =>
        transition.makeTransition(next, {
          type: 'broadcastLeavingNews',
          news: [
            {
              upstreamId,
              bornAtMs: next.upstreams.get(upstreamId)?.host.bornAtMs ?? null,
            },
          ],
        }),
      );

const startRest = (
  current: routerState.RouterState,
  upstreamId: string,
  restMs: number,
  stamp: events.Stamp,
): transition.Transition =>
  transition.makeTransition(
    routerState.updateUpstream(current, upstreamId, (upstream) => ({
      ...upstream,
      rest: upstreamRest.startRest(
        upstream.rest,
        restMs,
        random.deriveFraction(stamp.random, 17),
        stamp.nowMs,
      ),
    })),
    { type: 'log', message: 'upstream asks for a pause', fields: { upstream: upstreamId, restMs } },
  );

/** Records an answer without a request for a pause; most change nothing. */
const recordAnswer = (
  current: routerState.RouterState,
  upstreamId: string,
  nowMs: number,
): routerState.RouterState =>
  current.upstreams.get(upstreamId)?.rest.isReturning === true
    ? routerState.updateUpstream(current, upstreamId, (upstream) => ({
        ...upstream,
        rest: upstreamRest.recordAnswer(upstream.rest, nowMs),
      }))
    : current;

/** Applies what an answer says of its upstream. */
const handleObserved = (
  current: routerState.RouterState,
  event: events.EventOf<'noticeObserved'>,
): transition.Transition => {
  const { upstreamId, restMs, isLeaving, maxTurnAways = null } = event;
  const recorded = brittleUpstreams.recordBrittleness(current, upstreamId, maxTurnAways);
  const rested = transition.composeTransition(recorded, (next) =>
    restMs === null
      ? transition.makeTransition(recordAnswer(next, upstreamId, event.nowMs))
      : startRest(next, upstreamId, restMs, event),
  );
  return isLeaving
    ? transition.composeTransition(rested, (next) =>
        reportLeaving(next, markLeaving(next, upstreamId, event.nowMs), upstreamId),
      )
    : rested;
};

/** Remembers what a peer tells of a process that is not listed, and may be listed later. */
const recordUnlisted = (
  current: routerState.RouterState,
  { upstreamId, bornAtMs, ageMs = 0 }: leavingNews.LeavingNews,
  nowMs: number,
): transition.Transition =>
  transition.makeTransition(
    bornAtMs === null
      ? current
      : {
          ...current,
          leaving: leavingProcesses.addUnlisted(
            current.leaving,
            upstreamId,
            bornAtMs,
            nowMs - ageMs,
          ),
        },
  );

/** Applies what a peer tells of a process; what is known of a listed one that leaves holds until its entry goes. */
const applyNews = (
  current: routerState.RouterState,
  news: leavingNews.LeavingNews,
  nowMs: number,
): transition.Transition => {
  const host = current.upstreams.get(news.upstreamId)?.host;
  if (host !== undefined && (host.bornAtMs ?? null) === news.bornAtMs) {
    return markLeaving(current, news.upstreamId, nowMs, news.ageMs);
  }
  return host !== undefined && leavingProcesses.isLeaving(current.leaving, host, nowMs)
    ? transition.makeTransition(current)
    : recordUnlisted(current, news, nowMs);
};

/** Applies a peer's news. News without a start time holds only for listed processes. */
export const mergeNews = (
  current: routerState.RouterState,
  news: readonly leavingNews.LeavingNews[],
  nowMs: number,
): transition.Transition =>
  news
    .filter(({ bornAtMs, ageMs = 0 }) => leavingProcesses.isRemembered(bornAtMs, ageMs))
    .reduce(
      (result, item) =>
        transition.composeTransition(result, (next) => applyNews(next, item, nowMs)),
      transition.makeTransition(current),
    );

const handleNews = (
  current: routerState.RouterState,
  event: events.EventOf<'leavingNewsReceived'>,
): transition.Transition => mergeNews(current, event.news, event.nowMs);

/** Handlers of what upstreams say of themselves in their answers. */
export const HANDLERS = {
  noticeObserved: handleObserved,
  leavingNewsReceived: handleNews,
} as const;

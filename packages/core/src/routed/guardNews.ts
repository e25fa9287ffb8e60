import * as immutable from 'immutable';
import * as guardState from './guardState.js';

/** Crash of an upstream as reported between routers; times are ages, since clocks differ. */
export interface CrashReport {
  readonly crash: string;
  readonly upstreamId: string;
  readonly ageMs: number;
  readonly requests: readonly guardState.AccusedRequest[];
}

/** Time since something happened to a key. */
export interface KeyAge {
  readonly key: string;
  readonly ageMs: number;
}

/** Time since a guard last refused a request. */
export interface GuardAge {
  readonly id: string;
  readonly ageMs: number;
}

/** What routers tell each other about requests that crash upstreams. */
export interface GuardNews {
  readonly crashes: readonly CrashReport[];
  readonly survivals: readonly KeyAge[];
  readonly renewals: readonly GuardAge[];
}

/** News without content. */
export const NO_NEWS: GuardNews = { crashes: [], survivals: [], renewals: [] };

/** Returns whether news have no content. */
export const isEmpty = (news: GuardNews): boolean =>
  news.crashes.length + news.survivals.length + news.renewals.length === 0;

/** Joins news that are sent in one message. */
export const joinNews = (a: GuardNews, b: GuardNews): GuardNews => ({
  crashes: [...a.crashes, ...b.crashes],
  survivals: [...a.survivals, ...b.survivals],
  renewals: [...a.renewals, ...b.renewals],
});

/** Requests of each crash that are reported as the reason of a guard. */
const MAX_REASONS = 2;
/** Crashes that are reported as the reason of a guard. */
const MAX_REASON_CRASHES = 5;

/** Gets the id of the upstream from that of its crash. */
const getUpstreamId = (crash: string): string => crash.slice(0, crash.lastIndexOf('@'));

const makeCrashReport = (
  crash: string,
  record: guardState.CrashRecord,
  requests: readonly guardState.AccusedRequest[],
  nowMs: number,
): CrashReport => ({
  crash,
  upstreamId: getUpstreamId(crash),
  ageMs: Math.max(0, nowMs - record.atMs),
  requests,
});

/** Lists the requests of a crash that have the keys of a guard, without their other parts. */
const listReasons = (
  record: guardState.CrashRecord,
  guard: guardState.Guard,
): readonly guardState.AccusedRequest[] =>
  record.requests
    .valueSeq()
    .filter((request) => {
      const keys = guardState.listKeys(request);
      return guard.keys.every((key) => keys.includes(key));
    })
    .sortBy((request) => -Number(request.hasBegun))
    .take(MAX_REASONS)
    .map((request) => ({
      ...request,
      parts: request.parts.filter((part) => guard.keys.includes(guardState.makePartKey(part))),
    }))
    .toArray();

const listGuardCrashes = (
  state: guardState.GuardState,
  guard: guardState.Guard,
  nowMs: number,
): readonly CrashReport[] =>
  guard.crashes.slice(-MAX_REASON_CRASHES).flatMap((crash) => {
    const record = state.crashes.get(crash);
    return record === undefined
      ? []
      : [makeCrashReport(crash, record, listReasons(record, guard), nowMs)];
  });

/** Makes the news of one guard, with the reasons that another router needs to derive it. */
export const makeOneGuardNews = (
  state: guardState.GuardState,
  guard: guardState.Guard,
  nowMs: number,
): GuardNews => ({ ...NO_NEWS, crashes: listGuardCrashes(state, guard, nowMs) });

/** Makes the news that repeat the guards in force, with the reasons that another router needs to derive them. */
export const makeGuardNews = (state: guardState.GuardState, nowMs: number): GuardNews =>
  state.guards.length === 0
    ? NO_NEWS
    : {
        crashes: state.guards.flatMap((guard) => listGuardCrashes(state, guard, nowMs)),
        survivals: [],
        renewals: state.guards.map((guard) => ({
          id: guardState.makeGuardId(guard.keys),
          ageMs: Math.max(0, nowMs - guard.renewedAtMs),
        })),
      };

/** Makes the news for a router that has just joined: all crashes, and the survivals of the keys under suspicion. */
export const makeFullNews = (state: guardState.GuardState, nowMs: number): GuardNews => ({
  ...makeGuardNews(state, nowMs),
  crashes: state.crashes
    .entrySeq()
    .map(([crash, record]) =>
      makeCrashReport(crash, record, record.requests.valueSeq().toArray(), nowMs),
    )
    .toArray(),
  survivals: Array.from(
    new Set(state.crashes.valueSeq().flatMap((record) => record.keys.keySeq())),
  ).flatMap((key) => {
    const survival = guardState.findSurvival(state, key);
    return survival === undefined ? [] : [{ key, ageMs: Math.max(0, nowMs - survival.atMs) }];
  }),
});

/** Makes the news of the requests of a crash that `before` lacks. */
export const makeCrashNews = (
  before: guardState.GuardState,
  after: guardState.GuardState,
  crash: string,
  nowMs: number,
): GuardNews => {
  const record = after.crashes.get(crash);
  const known = before.crashes.get(crash)?.requests ?? immutable.Map();
  return record === undefined || record.requests === known
    ? NO_NEWS
    : {
        ...NO_NEWS,
        crashes: [
          makeCrashReport(
            crash,
            record,
            record.requests
              .valueSeq()
              .filter((request) => known.get(guardState.getExactId(request)) !== request)
              .toArray(),
            nowMs,
          ),
        ],
      };
};

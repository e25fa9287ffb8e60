import * as guardNews from './guardNews.js';
import * as guardRules from './guardRules.js';
import * as guardState from './guardState.js';

/** Time for which recent answers are kept, in milliseconds; a crash is known to all routers within it. */
const ANSWER_TTL_MS = 3 * guardState.BEGIN_MS;

const findLastMs = (state: guardState.GuardState, crashes: readonly string[]): number =>
  Math.max(...crashes.map((crash) => state.crashes.get(crash)?.atMs ?? 0));

/** Derives the guards anew from the evidence; a guard that stays keeps the time of its renewal. */
export const deriveGuards = (state: guardState.GuardState): guardState.GuardState => {
  const previous = new Map(
    state.guards.map((guard) => [guardState.makeGuardId(guard.keys), guard]),
  );
  const guards = guardRules.deriveFindings(state).map(({ keys, crashes }) => ({
    keys,
    crashes,
    renewedAtMs:
      previous.get(guardState.makeGuardId(keys))?.renewedAtMs ?? findLastMs(state, crashes),
  }));
  return { ...state, guards };
};

const isGuarded = (state: guardState.GuardState, key: string): boolean =>
  state.guards.some((guard) => guard.keys.includes(key));

/** Derives the guards anew if the survival of these keys can end one. */
const deriveIfGuarded = (
  state: guardState.GuardState,
  keys: readonly string[],
): guardState.GuardState =>
  keys.some((key) => isGuarded(state, key)) ? deriveGuards(state) : state;

/** Derives the guards anew if new evidence on these keys can change them. */
const deriveIfDue = (
  state: guardState.GuardState,
  keys: readonly string[],
): guardState.GuardState =>
  keys.some((key) => isGuarded(state, key) || guardRules.mayBeDue(state, key))
    ? deriveGuards(state)
    : state;

/** Records that a guard has refused a request. */
export const renewGuard = (
  state: guardState.GuardState,
  guard: guardState.Guard,
  atMs: number,
): guardState.GuardState => ({
  ...state,
  guards: state.guards.map((item) =>
    item === guard ? { ...item, renewedAtMs: Math.max(item.renewedAtMs, atMs) } : item,
  ),
});

/** Records that an upstream survived an answer with these keys. */
const recordSurvivals = (
  state: guardState.GuardState,
  keys: readonly string[],
  atMs: number,
): guardState.GuardState =>
  keys.reduce((next, key) => {
    const known = guardState.findSurvival(next, key);
    return known !== undefined && known.atMs >= atMs
      ? next
      : guardState.setSurvival(next, key, { atMs, sharedAtMs: known?.sharedAtMs ?? null });
  }, state);

/**
 * Returns whether the other routers need the survival of a key: the key is accused, and they know of no survival or
 * only of one before the last crash.
 */
const isNews = (state: guardState.GuardState, key: string): boolean => {
  const survival = guardState.findSurvival(state, key);
  const accusedAtMs = survival === undefined ? null : guardState.findAccusedMs(state, key);
  if (accusedAtMs === null || survival === undefined) {
    return false;
  }
  const { atMs, sharedAtMs } = survival;
  return sharedAtMs === null || (sharedAtMs < accusedAtMs && accusedAtMs <= atMs);
};

/** A state, and the news for the other routers. */
export interface GuardUpdate {
  readonly state: guardState.GuardState;
  readonly news: guardNews.GuardNews;
}

/** Takes those survivals of the keys that the other routers need. */
const takeSurvivalNews = (
  state: guardState.GuardState,
  keys: readonly string[],
  nowMs: number,
): GuardUpdate => {
  const due = state.crashes.size === 0 ? [] : keys.filter((key) => isNews(state, key));
  return due.reduce<GuardUpdate>(
    (update, key) => {
      const survival = guardState.findSurvival(update.state, key);
      return survival === undefined
        ? update
        : {
            state: guardState.setSurvival(update.state, key, {
              ...survival,
              sharedAtMs: survival.atMs,
            }),
            news: {
              ...update.news,
              survivals: [
                ...update.news.survivals,
                { key, ageMs: Math.max(0, nowMs - survival.atMs) },
              ],
            },
          };
    },
    { state, news: guardNews.NO_NEWS },
  );
};

const listAllKeys = (requests: readonly guardState.AccusedRequest[]): readonly string[] =>
  Array.from(new Set(requests.flatMap(guardState.listKeys)));

/** Records answers that upstreams survived. */
export const recordSurvived = (
  state: guardState.GuardState,
  requests: readonly guardState.AccusedRequest[],
  atMs: number,
): GuardUpdate => {
  const keys = listAllKeys(requests);
  const update = takeSurvivalNews(recordSurvivals(state, keys, atMs), keys, atMs);
  return guardNews.isEmpty(update.news) ? update : { ...update, state: deriveGuards(update.state) };
};

/** Records the requests that a crash accuses, and takes the news of it. */
export const recordCrash = (
  state: guardState.GuardState,
  crash: string,
  atMs: number,
  requests: readonly guardState.AccusedRequest[],
  nowMs: number,
): GuardUpdate => {
  const added = guardState.addCrash(state, crash, atMs, requests);
  if (added === state) {
    return { state, news: guardNews.NO_NEWS };
  }
  const keys = listAllKeys(requests);
  const survivals = takeSurvivalNews(deriveIfDue(added, keys), keys, nowMs);
  return {
    state: survivals.state,
    news: guardNews.joinNews(
      guardNews.makeCrashNews(state, survivals.state, crash, nowMs),
      survivals.news,
    ),
  };
};

/** Merges news of another router; returns what the others may not know. */
export const mergeNews = (
  state: guardState.GuardState,
  news: guardNews.GuardNews,
  nowMs: number,
): GuardUpdate => {
  const withCrashes = news.crashes.reduce(
    (next, report) =>
      guardState.addCrash(next, report.crash, nowMs - report.ageMs, report.requests),
    state,
  );
  const withSurvivals = news.survivals.reduce((next, { key, ageMs }) => {
    const known = guardState.findSurvival(next, key);
    const atMs = nowMs - ageMs;
    return guardState.setSurvival(next, key, {
      atMs: Math.max(known?.atMs ?? -Infinity, atMs),
      sharedAtMs: Math.max(known?.sharedAtMs ?? -Infinity, atMs),
    });
  }, withCrashes);
  const keys =
    withCrashes === state ? [] : listAllKeys(news.crashes.flatMap((report) => report.requests));
  const derived = deriveIfGuarded(
    deriveIfDue(withSurvivals, keys),
    news.survivals.map((survival) => survival.key),
  );
  const renewed = news.renewals.reduce((next, { id, ageMs }) => {
    const guard = next.guards.find((item) => guardState.makeGuardId(item.keys) === id);
    return guard === undefined || guard.renewedAtMs >= nowMs - ageMs
      ? next
      : renewGuard(next, guard, nowMs - ageMs);
  }, derived);
  return takeSurvivalNews(renewed, keys, nowMs);
};

/** Drops crashes that are old and support no guard, and guards that have refused nothing for long. */
const expireEvidence = (state: guardState.GuardState, nowMs: number): guardState.GuardState => {
  const held = new Set(
    state.guards
      .filter((guard) => nowMs - guard.renewedAtMs < guardState.HOLD_MS)
      .flatMap((guard) => guard.crashes),
  );
  const crashes = state.crashes.filter(
    (record, id) => held.has(id) || nowMs - record.atMs < guardState.HOLD_MS,
  );
  const isUnchanged =
    crashes.size === state.crashes.size &&
    state.guards.every((guard) => nowMs - guard.renewedAtMs < guardState.HOLD_MS);
  return isUnchanged ? state : deriveGuards({ ...state, crashes });
};

const hasSurvived = (answer: guardState.RecentAnswer, nowMs: number): boolean =>
  answer.isComplete && nowMs - answer.atMs >= guardState.BEGIN_MS;

/**
 * Drops old answers and evidence. A complete answer counts as survived if its upstream has not crashed for some time
 * after its head; it may have been too short for the crash to show.
 */
export const tickGuard = (state: guardState.GuardState, nowMs: number): GuardUpdate => {
  if (state.answers.size === 0 && state.crashes.size === 0) {
    return { state, news: guardNews.NO_NEWS };
  }
  const survived: guardState.AccusedRequest[] = [];
  const answers = state.answers.withMutations((next) =>
    state.answers.forEach((list, crash) => {
      const kept = list.filter(
        (answer) => !hasSurvived(answer, nowMs) && nowMs - answer.atMs < ANSWER_TTL_MS,
      );
      if (!state.crashes.has(crash)) {
        list
          .filter((answer) => hasSurvived(answer, nowMs))
          .forEach((answer) => survived.push(answer.request));
      }
      if (kept.length === 0) {
        next.remove(crash);
      } else if (kept.length < list.length) {
        next.set(crash, kept);
      }
    }),
  );
  return recordSurvived(expireEvidence({ ...state, answers }, nowMs), survived, nowMs);
};

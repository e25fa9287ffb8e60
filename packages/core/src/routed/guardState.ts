import * as immutable from 'immutable';
import type * as routedState from './routedState.js';

/** A request on an upstream that crashed, as evidence against the keys of the request. */
export interface AccusedRequest {
  /** Hash of the request as the former build computes it; if `exactId` is absent, the exact hash or a former one. */
  readonly id: string;
  /** Exact hash of the request; routers of the former build send none. */
  readonly exactId?: string;
  /** Hash of the request that all keys of its caller share; routers of the former build send none. */
  readonly callerId?: string;
  /** Ids of the prompt parts that other requests may share. */
  readonly parts: readonly string[];
  /** True if the upstream had just begun the answer, false if it may not have begun it. */
  readonly hasBegun: boolean;
}

/** Crash of an upstream's process, with the requests that may have caused it. */
export interface CrashRecord {
  readonly atMs: number;
  readonly requests: immutable.Map<string, AccusedRequest>;
  /** Keys of the requests, and whether the upstream had just begun a request with the key. */
  readonly keys: immutable.Map<string, boolean>;
}

/** Last answer with a key that an upstream survived. */
export interface Survival {
  readonly atMs: number;
  /** Time of the survival that the other routers know, or null. */
  readonly sharedAtMs: number | null;
}

/** Keys of which requests that have all are refused. */
export interface Guard {
  readonly keys: readonly string[];
  /** Time at which the guard began or last refused a request, on any router. */
  readonly renewedAtMs: number;
  /** Ids of the crashes that it is based on. */
  readonly crashes: readonly string[];
}

/** An answer that an upstream began a short time ago, or an attempt that broke off before its answer. */
export interface RecentAnswer {
  readonly requestId: string;
  readonly attemptId: number;
  readonly request: AccusedRequest;
  /** Time of the answer's head or, if there is none, of the failure. */
  readonly atMs: number;
  readonly isComplete: boolean;
}

/** What this router knows about requests that crash upstreams. */
export interface GuardState {
  /** Recent answers, by the id of the crash that would end their upstream. */
  readonly answers: immutable.Map<string, readonly RecentAnswer[]>;
  /** Crashes by id; an id identifies one process of an upstream. */
  readonly crashes: immutable.Map<string, CrashRecord>;
  /** Survivals by key: the recent ones, and those before, which are dropped when the recent ones are full. */
  readonly survivals: immutable.Map<string, Survival>;
  readonly olderSurvivals: immutable.Map<string, Survival>;
  readonly guards: readonly Guard[];
}

/** State without evidence. */
export const EMPTY_GUARD: GuardState = {
  answers: immutable.Map(),
  crashes: immutable.Map(),
  survivals: immutable.Map(),
  olderSurvivals: immutable.Map(),
  guards: [],
};

/** Time from the head of an answer within which a crash counts as caused by it, in milliseconds. */
export const BEGIN_MS = 1_000;
/** Duration of a complete answer that was certainly begun without a crash, in milliseconds. */
export const SURVIVED_MS = 500;
/** Time for which a guard lasts after the last request that it refused, in milliseconds. */
export const HOLD_MS = 5 * 60_000;
/** Most parts of one request that are examined. */
const MAX_PARTS = 16;
/** Most crashes kept. */
const MAX_CRASHES = 64;
/** Most requests kept for one crash. */
const MAX_REQUESTS = 128;
/** Most recent answers kept for one upstream. */
const MAX_ANSWERS = 128;
/** Most keys in each of the two maps of survivals. */
const MAX_SURVIVALS = 8_192;
/** Characters of a request's hash that identify it. */
const ID_LENGTH = 24;

/** Makes the key of a prompt part. */
export const makePartKey = (part: string): string => `part:${part}`;

/** Makes the key of a request. */
export const makeRequestKey = (id: string): string => `request:${id}`;

/** Makes the id of a guard from its keys. */
export const makeGuardId = (keys: readonly string[]): string => keys.join(' ');

/** Returns whether a key is that of a prompt part. */
export const isPartKey = (key: string): boolean => key.startsWith('part:');

/** Describes a call as evidence. The last part of a prompt belongs to its request alone. */
export const makeAccused = (call: routedState.RoutedCall, hasBegun: boolean): AccusedRequest => ({
  id: (call.formerFingerprint ?? call.fingerprint).slice(0, ID_LENGTH),
  ...(call.formerFingerprint === null ? {} : { exactId: call.fingerprint.slice(0, ID_LENGTH) }),
  ...(call.callerFingerprint === null
    ? {}
    : { callerId: call.callerFingerprint.slice(0, ID_LENGTH) }),
  parts: Array.from(new Set(call.parts.slice(0, -1).map((part) => part.id))).slice(0, MAX_PARTS),
  hasBegun,
});

/** Lists the keys of a request that may be the cause of a crash. */
export const listKeys = (request: AccusedRequest): readonly string[] => [
  makeRequestKey(request.id),
  ...(request.exactId === undefined ? [] : [makeRequestKey(request.exactId)]),
  ...(request.callerId === undefined ? [] : [makeRequestKey(request.callerId)]),
  ...request.parts.map(makePartKey),
];

/** Returns the time of the last crash that accuses a key, or null if fewer than two do. */
export const findAccusedMs = (state: GuardState, key: string): number | null => {
  const times = state.crashes
    .valueSeq()
    .filter((record) => record.keys.has(key))
    .map((record) => record.atMs)
    .toArray();
  return times.length < 2 ? null : Math.max(...times);
};

/** Returns the last known survival of a key. */
export const findSurvival = (state: GuardState, key: string): Survival | undefined =>
  state.survivals.get(key) ?? state.olderSurvivals.get(key);

/** Stores the survival of a key, and drops old ones if there are too many. */
export const setSurvival = (state: GuardState, key: string, survival: Survival): GuardState =>
  state.survivals.size < MAX_SURVIVALS
    ? { ...state, survivals: state.survivals.set(key, survival) }
    : {
        ...state,
        survivals: immutable.Map([[key, survival]]),
        olderSurvivals: state.survivals,
      };

/** Adds a recent answer of an upstream. */
export const addAnswer = (state: GuardState, crash: string, answer: RecentAnswer): GuardState => ({
  ...state,
  answers: state.answers.set(
    crash,
    [...(state.answers.get(crash) ?? []), answer].slice(-MAX_ANSWERS),
  ),
});

/** Returns the most exact hash of a request. */
export const getExactId = ({ id, exactId }: AccusedRequest): string => exactId ?? id;

const mergeRequest = (
  requests: immutable.Map<string, AccusedRequest>,
  request: AccusedRequest,
): immutable.Map<string, AccusedRequest> => {
  const exactId = getExactId(request);
  const known = requests.get(exactId);
  if (known === undefined) {
    return requests.size < MAX_REQUESTS ? requests.set(exactId, request) : requests;
  }
  const newParts = request.parts.filter((part) => !known.parts.includes(part));
  return newParts.length > 0 || (request.hasBegun && !known.hasBegun)
    ? requests.set(exactId, {
        ...known,
        parts: [...known.parts, ...newParts].slice(0, MAX_PARTS),
        hasBegun: known.hasBegun || request.hasBegun,
      })
    : requests;
};

const addKeys = (
  keys: immutable.Map<string, boolean>,
  requests: readonly AccusedRequest[],
): immutable.Map<string, boolean> =>
  keys.withMutations((next) =>
    requests.forEach((request) =>
      listKeys(request).forEach((key) => next.set(key, request.hasBegun || next.get(key) === true)),
    ),
  );

/** Drops crashes above the limit: first those without a guard, the oldest first. */
const dropExcess = (state: GuardState): GuardState => {
  if (state.crashes.size <= MAX_CRASHES) {
    return state;
  }
  const supporting = new Set(state.guards.flatMap((guard) => guard.crashes));
  const crashes = state.crashes
    .sortBy((record, id) => (supporting.has(id) ? -Infinity : -record.atMs))
    .take(MAX_CRASHES)
    .toMap();
  return { ...state, crashes };
};

/** Adds requests that may have caused a crash; returns the same state if all were known. */
export const addCrash = (
  state: GuardState,
  crash: string,
  atMs: number,
  requests: readonly AccusedRequest[],
): GuardState => {
  const known: CrashRecord = state.crashes.get(crash) ?? {
    atMs,
    requests: immutable.Map(),
    keys: immutable.Map(),
  };
  const merged = requests.reduce(mergeRequest, known.requests);
  return merged === known.requests
    ? state
    : dropExcess({
        ...state,
        crashes: state.crashes.set(crash, {
          atMs: Math.min(known.atMs, atMs),
          requests: merged,
          keys: addKeys(known.keys, requests),
        }),
      });
};

/** Finds the guard that a request falls under. */
export const findGuard = (state: GuardState, call: routedState.RoutedCall): Guard | undefined => {
  if (state.guards.length === 0) {
    return undefined;
  }
  const keys = new Set(listKeys(makeAccused(call, false)));
  return state.guards.find((guard) => guard.keys.every((key) => keys.has(key)));
};

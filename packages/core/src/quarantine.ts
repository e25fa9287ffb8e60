import * as immutable from 'immutable';

/** Crashes of upstreams on which a request was in flight. */
export interface Suspicion {
  /** Crash ids; each identifies one upstream and one time. */
  readonly crashes: readonly string[];
  /** Time the last crash was added, in milliseconds. */
  readonly atMs: number;
}

/** Requests that were in flight when their upstream crashed, by fingerprint. */
export interface QuarantineState {
  readonly suspicions: immutable.Map<string, Suspicion>;
}

/** Condition under which a request is quarantined instead of run. */
export interface QuarantineRule {
  /** Number of crashes from which it is quarantined. */
  readonly crashes: number;
  /** Time since the last crash for which it stays quarantined, in milliseconds. */
  readonly holdMs: number;
}

/** Lifetime of a suspicion after its last crash, in milliseconds. */
const SUSPICION_TTL_MS = 30 * 60_000;
/** Crash ids kept per request. */
const MAX_CRASHES = 3;
/** Rule for requests under a plan. */
export const PLAN_RULE: QuarantineRule = { crashes: 2, holdMs: SUSPICION_TTL_MS };
/** Maximum number of suspicions kept. */
const MAX_SUSPICIONS = 4_096;

/** State without suspicions. */
export const EMPTY_QUARANTINE: QuarantineState = { suspicions: immutable.Map() };

const dropExpired = (
  suspicions: immutable.Map<string, Suspicion>,
  nowMs: number,
): immutable.Map<string, Suspicion> =>
  suspicions.size < MAX_SUSPICIONS
    ? suspicions
    : suspicions
        .filter((suspicion) => nowMs - suspicion.atMs < SUSPICION_TTL_MS)
        .sortBy((suspicion) => -suspicion.atMs)
        .take(MAX_SUSPICIONS / 2)
        .toMap();

/** Adds crashes at which a request was in flight; a crash id counts once. */
export const addCrashes = (
  state: QuarantineState,
  fingerprint: string,
  crashes: readonly string[],
  nowMs: number,
): QuarantineState => {
  const knownCrashes = state.suspicions.get(fingerprint)?.crashes ?? [];
  const merged = Array.from(new Set([...knownCrashes, ...crashes])).slice(-MAX_CRASHES);
  const kept = dropExpired(state.suspicions, nowMs);
  return { suspicions: kept.set(fingerprint, { crashes: merged, atMs: nowMs }) };
};

const findSuspicion = (
  state: QuarantineState,
  fingerprint: string,
  nowMs: number,
): Suspicion | undefined => {
  const suspicion = state.suspicions.get(fingerprint);
  return suspicion !== undefined && nowMs - suspicion.atMs < SUSPICION_TTL_MS
    ? suspicion
    : undefined;
};

/** Returns whether a request was in flight at so many recent crashes that it must not run. */
export const isQuarantined = (
  state: QuarantineState,
  fingerprint: string,
  nowMs: number,
  rule: QuarantineRule = PLAN_RULE,
): boolean => {
  const suspicion = findSuspicion(state, fingerprint, nowMs);
  return (
    suspicion !== undefined &&
    suspicion.crashes.length >= rule.crashes &&
    nowMs - suspicion.atMs < rule.holdMs
  );
};

/** Returns whether a request was in flight at a recent crash. */
export const isSuspect = (state: QuarantineState, fingerprint: string, nowMs: number): boolean =>
  findSuspicion(state, fingerprint, nowMs) !== undefined;

/** Removes the suspicion of a request that has finished successfully. */
export const clearSuspicion = (state: QuarantineState, fingerprint: string): QuarantineState =>
  state.suspicions.has(fingerprint) ? { suspicions: state.suspicions.remove(fingerprint) } : state;

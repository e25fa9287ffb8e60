import * as immutable from 'immutable';

/** Upstream crashes at which a request was present. */
export interface Suspicion {
  /** Identifiers of the crashes, each naming one upstream and one moment. */
  readonly crashes: readonly string[];
  readonly atMs: number;
}

/** Requests seen at upstream crashes, by fingerprint. */
export interface QuarantineState {
  readonly suspicions: immutable.Map<string, Suspicion>;
}

/** When a request is not run again for its crashes. */
export interface QuarantineRule {
  /** Crashes after which it is held back. */
  readonly crashes: number;
  /** Time since the last crash for which it is held back, in milliseconds. */
  readonly holdMs: number;
}

/** Time a suspicion is kept, in milliseconds. */
const SUSPICION_TTL_MS = 30 * 60_000;
/** Crashes of one request that are remembered. */
const MAX_CRASHES = 3;
/** Rule for requests of plans. */
export const PLAN_RULE: QuarantineRule = { crashes: 2, holdMs: SUSPICION_TTL_MS };
/**
 * Rule for routed requests: the third crash is the last that the users allow. A request is tried again after
 * a while, since several crashes of one cause can meet requests that did not cause them.
 */
export const ROUTED_RULE: QuarantineRule = { crashes: 3, holdMs: 15_000 };
/** Largest number of suspicions kept. */
const MAX_SUSPICIONS = 4_096;

/** No suspicions. */
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

/** Adds crashes at which a request was present; the same crash counts once. */
export const addCrashes = (
  state: QuarantineState,
  fingerprint: string,
  crashes: readonly string[],
  nowMs: number,
): QuarantineState => {
  const known = state.suspicions.get(fingerprint)?.crashes ?? [];
  const merged = Array.from(new Set([...known, ...crashes])).slice(-MAX_CRASHES);
  const kept = dropExpired(state.suspicions, nowMs);
  return { suspicions: kept.set(fingerprint, { crashes: merged, atMs: nowMs }) };
};

const findSuspicion = (
  state: QuarantineState,
  fingerprint: string,
  nowMs: number,
): Suspicion | undefined => {
  const known = state.suspicions.get(fingerprint);
  return known !== undefined && nowMs - known.atMs < SUSPICION_TTL_MS ? known : undefined;
};

/** Tells whether a request was present at so many crashes that it must not run. */
export const isQuarantined = (
  state: QuarantineState,
  fingerprint: string,
  nowMs: number,
  rule: QuarantineRule = PLAN_RULE,
): boolean => {
  const known = findSuspicion(state, fingerprint, nowMs);
  return (
    known !== undefined && known.crashes.length >= rule.crashes && nowMs - known.atMs < rule.holdMs
  );
};

/** Tells whether a request was present at a crash. */
export const isSuspect = (state: QuarantineState, fingerprint: string, nowMs: number): boolean =>
  findSuspicion(state, fingerprint, nowMs) !== undefined;

/** Clears a request that has finished well. */
export const clearSuspicion = (state: QuarantineState, fingerprint: string): QuarantineState =>
  state.suspicions.has(fingerprint) ? { suspicions: state.suspicions.remove(fingerprint) } : state;

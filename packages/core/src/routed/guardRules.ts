import * as guardState from './guardState.js';

/** Separate crashes from which a key is guarded if upstreams had just begun the requests with it. */
const MIN_BEGUN = 3;
/** The same if it is not known whether they had begun them. */
const MIN_PRESENT = 4;
/** Crashes, separate or not, from which one separate crash fewer is enough. */
const MIN_TOTAL = 5;
/** Requests that a part must have been in: with fewer, the request itself may be the cause. */
const MIN_REQUESTS = 2;
/** Time within which crashes may have a common cause, such as a host that fails, in milliseconds. */
const COMMON_CAUSE_MS = 100;
/** Separate crashes from which a key is guarded although an upstream survived it before. */
const MIN_AFTER_SURVIVAL = 5;
/** The time above for such a key, since many requests have it. */
const COMMON_CAUSE_AFTER_SURVIVAL_MS = 500;
/** Most findings that are derived, so that much evidence does not take long. */
const MAX_FINDINGS = 16;

/** A crash with the requests that may have caused it and are not cleared. */
interface Incident {
  readonly id: string;
  readonly atMs: number;
  readonly requests: readonly guardState.AccusedRequest[];
}

/** Evidence against one key. */
interface Tally {
  readonly key: string;
  /** Times of the crashes at which requests with the key were present, by crash; in order. */
  readonly crashes: Map<string, number>;
  /** Times of the crashes at which upstreams had just begun a request with the key, by crash. */
  readonly begunAtMs: Map<string, number>;
  readonly requests: Set<string>;
  /** Crashes at which a request with the key was that had been at none before. */
  readonly newAt: Set<string>;
  readonly hasSurvived: boolean;
}

/** Keys to guard together, with the crashes that they explain. */
export interface Finding {
  readonly keys: readonly string[];
  readonly crashes: readonly string[];
}

/** Counts the evidence against each key; crashes before the last survival of a key do not count. */
const collectTallies = (
  state: guardState.GuardState,
  incidents: readonly Incident[],
): ReadonlyMap<string, Tally> => {
  const tallies = new Map<string, Tally>();
  const addEvidence = (
    incident: Incident,
    request: guardState.AccusedRequest,
    key: string,
  ): void => {
    const survivedAtMs = guardState.findSurvival(state, key)?.atMs;
    if (survivedAtMs !== undefined && survivedAtMs >= incident.atMs) {
      return;
    }
    const tally = tallies.get(key) ?? {
      key,
      crashes: new Map(),
      begunAtMs: new Map(),
      requests: new Set(),
      newAt: new Set(),
      hasSurvived: survivedAtMs !== undefined,
    };
    tallies.set(key, tally);
    tally.crashes.set(incident.id, incident.atMs);
    if (!tally.requests.has(request.id)) {
      tally.newAt.add(incident.id);
    }
    tally.requests.add(request.id);
    if (request.hasBegun) {
      tally.begunAtMs.set(incident.id, incident.atMs);
    }
  };
  incidents.forEach((incident) =>
    incident.requests.forEach((request) =>
      guardState.listKeys(request).forEach((key) => addEvidence(incident, request, key)),
    ),
  );
  return tallies;
};

/** Counts crashes, those within a time after one another as one; the times are in order. */
const countSeparate = (timesMs: readonly number[], apartMs: number): number =>
  timesMs.reduce(
    ({ count, lastMs }, atMs) =>
      atMs - lastMs < apartMs ? { count, lastMs } : { count: count + 1, lastMs: atMs },
    { count: 0, lastMs: -Infinity },
  ).count;

const isEnough = (timesMs: readonly number[], minSeparate: number): boolean => {
  const separate = countSeparate(timesMs, COMMON_CAUSE_MS);
  return separate >= minSeparate || (separate >= minSeparate - 1 && timesMs.length >= MIN_TOTAL);
};

const hasEnoughCrashes = (
  begunAtMs: readonly number[],
  presentAtMs: readonly number[],
  hasSurvived: boolean,
): boolean =>
  hasSurvived
    ? countSeparate(begunAtMs, COMMON_CAUSE_AFTER_SURVIVAL_MS) >= MIN_AFTER_SURVIVAL
    : isEnough(begunAtMs, MIN_BEGUN) || isEnough(presentAtMs, MIN_PRESENT);

/**
 * Returns whether another upstream crashed in the same moment without a request with the key: what they have in common
 * is then not the key.
 */
const hasOtherCause = (state: guardState.GuardState, key: string, atMs: number): boolean =>
  state.crashes.some(
    (record) => Math.abs(record.atMs - atMs) < COMMON_CAUSE_MS && !record.keys.has(key),
  );

const isDue = (state: guardState.GuardState, tally: Tally): boolean => {
  const isLikely = (begunAtMs: readonly number[], presentAtMs: readonly number[]): boolean =>
    hasEnoughCrashes(begunAtMs, presentAtMs, tally.hasSurvived);
  const begunAtMs = Array.from(tally.begunAtMs.values());
  const presentAtMs = Array.from(tally.crashes.values());
  const isOwn = (atMs: number): boolean => !hasOtherCause(state, tally.key, atMs);
  return (
    (!guardState.isPartKey(tally.key) || tally.requests.size >= MIN_REQUESTS) &&
    isLikely(begunAtMs, presentAtMs) &&
    isLikely(begunAtMs.filter(isOwn), presentAtMs.filter(isOwn))
  );
};

/** Returns whether a key may have to be guarded, before it is known which crashes others explain. */
export const mayBeDue = (state: guardState.GuardState, key: string): boolean => {
  const survivedAtMs = guardState.findSurvival(state, key)?.atMs ?? null;
  const records = state.crashes
    .valueSeq()
    .filter((record) => record.keys.has(key) && record.atMs > (survivedAtMs ?? -Infinity))
    .toArray()
    .toSorted((a, b) => a.atMs - b.atMs);
  return hasEnoughCrashes(
    records.filter((record) => record.keys.get(key) === true).map((record) => record.atMs),
    records.map((record) => record.atMs),
    survivedAtMs !== null,
  );
};

/**
 * Orders keys by how well they explain the crashes: most crashes first, then parts, then those that came with a new
 * request most often, since one that is sent again follows the cause, and then those that fewest requests had. If the first one is not the cause, the next crash is one more for the cause alone, which then goes first.
 */
const compareTallies = (a: Tally, b: Tally): number =>
  Number(a.hasSurvived) - Number(b.hasSurvived) ||
  b.begunAtMs.size - a.begunAtMs.size ||
  Number(guardState.isPartKey(b.key)) - Number(guardState.isPartKey(a.key)) ||
  b.newAt.size - a.newAt.size ||
  a.requests.size - b.requests.size;

const compareKeys = (a: Tally, b: Tally): number => (a.key < b.key ? -1 : 1);

/** Lists the crashes on which the case against a key rests. */
const listEvidence = (tally: Tally): readonly string[] =>
  Array.from((tally.begunAtMs.size >= MIN_BEGUN ? tally.begunAtMs : tally.crashes).keys());

const hasAll = (set: readonly string[], subset: readonly string[]): boolean =>
  subset.every((item) => set.includes(item));

/**
 * Removes what guarded keys explain. A crash with a guarded part accuses nothing else. One with a guarded request
 * goes on to accuse the parts of that request, since another request with the part may follow.
 */
const dropExplained = (incidents: readonly Incident[], finding: Finding): readonly Incident[] => {
  const isExplained = (request: guardState.AccusedRequest): boolean =>
    hasAll(guardState.listKeys(request), finding.keys);
  return finding.keys.some(guardState.isPartKey)
    ? incidents.filter((incident) => !incident.requests.some(isExplained))
    : incidents.map((incident) =>
        incident.requests.some(isExplained)
          ? { ...incident, requests: incident.requests.filter(isExplained) }
          : incident,
      );
};

/** Derives the keys to guard from the crashes and survivals: first those that explain most crashes. */
export const deriveFindings = (state: guardState.GuardState): readonly Finding[] => {
  let incidents: readonly Incident[] = state.crashes
    .entrySeq()
    .map(([id, record]) => ({
      id,
      atMs: record.atMs,
      requests: record.requests.valueSeq().toArray(),
    }))
    .sortBy((incident) => incident.atMs)
    .toArray();
  const findings: Finding[] = [];
  const examined = new Set<string>();
  for (;;) {
    const due = Array.from(collectTallies(state, incidents).values())
      .filter((tally) => !examined.has(tally.key) && isDue(state, tally))
      .toSorted((a, b) => compareTallies(a, b) || compareKeys(a, b));
    const [best] = due;
    if (best === undefined || findings.length >= MAX_FINDINGS) {
      return findings;
    }
    const requests = Array.from(best.requests);
    // Parts that were always in the same requests cannot be told apart: requests that have only some of them go on.
    const keys = due
      .filter(
        (tally) =>
          compareTallies(best, tally) === 0 && hasAll(Array.from(tally.requests), requests),
      )
      .map((tally) => tally.key)
      .toSorted();
    const finding = { keys, crashes: listEvidence(best) };
    findings.push(finding);
    keys.forEach((key) => examined.add(key));
    incidents = dropExplained(incidents, finding);
  }
};

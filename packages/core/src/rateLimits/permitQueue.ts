/** Routers that wait for permits of one upstream, and the permits that can be granted. */
export interface PermitQueue {
  /** Permits available, as a fraction too. */
  readonly available: number;
  /** Time up to which permits have accrued, in milliseconds; in the future if none addAccrued before it. */
  readonly accruedAtMs: number;
  /** Routers in the order in which they get the next permit. */
  readonly waiting: readonly WaitingRouter[];
}

/** A router that waits for permits. */
export interface WaitingRouter {
  readonly routerId: string;
  readonly count: number;
  /** Time after which the router requests them again if it still needs them, in milliseconds. */
  readonly expiresAtMs: number;
  /** Its clock less this router's, less the time that its request took, in milliseconds; null if it did not tell its time. */
  readonly clockOffsetMs: number | null;
}

/** Permits granted to one router. */
export interface PermitGrant {
  readonly routerId: string;
  readonly count: number;
  /** Time of the grant by that router's clock, in milliseconds, or earlier; null if its clock is not known. */
  readonly grantedAtMs: number | null;
}

/** Time for which a router's request for permits is kept, in milliseconds. */
const WAITING_TTL_MS = 1_500;
/** Time for which unused permits addAccrued, in milliseconds, since they are granted at intervals. */
const ACCRUAL_MS = 200;

/** Makes a queue whose permits addAccrued from a time on. */
export const makePermitQueue = (fromMs: number): PermitQueue => ({
  available: 0,
  accruedAtMs: fromMs,
  waiting: [],
});

/** Adds a router's request, sent at a time by its clock, which replaces an earlier one of the same router at its place. */
export const addWaiting = (
  queue: PermitQueue,
  routerId: string,
  count: number,
  nowMs: number,
  sentAtMs: number | null = null,
): PermitQueue => {
  const entry = {
    routerId,
    count,
    expiresAtMs: nowMs + WAITING_TTL_MS,
    clockOffsetMs: sentAtMs === null ? null : sentAtMs - nowMs,
  };
  const isKnown = queue.waiting.some((waiting) => waiting.routerId === routerId);
  return {
    ...queue,
    waiting: isKnown
      ? queue.waiting.map((waiting) => (waiting.routerId === routerId ? entry : waiting))
      : [...queue.waiting, entry],
  };
};

/** Lets nothing accrue before a time, and drops what has accrued. */
export const holdUntil = (queue: PermitQueue, fromMs: number): PermitQueue => ({
  ...queue,
  available: 0,
  accruedAtMs: fromMs,
});

/** Counts the permits that routers other than the given one wait for. */
export const countBacklog = (queue: PermitQueue, routerId: string): number =>
  queue.waiting
    .filter((waiting) => waiting.routerId !== routerId)
    .reduce((sum, waiting) => sum + waiting.count, 0);

const addAccrued = (queue: PermitQueue, ratePerMs: number, nowMs: number): PermitQueue => {
  const elapsedMs = Math.max(0, nowMs - queue.accruedAtMs);
  return {
    available: Math.min(1 + ratePerMs * ACCRUAL_MS, queue.available + elapsedMs * ratePerMs),
    accruedAtMs: Math.max(queue.accruedAtMs, nowMs),
    waiting: queue.waiting.filter((waiting) => waiting.expiresAtMs > nowMs),
  };
};

/** Grants the available permits to the waiting routers, one to each in turn. */
export const grantPermits = (
  queue: PermitQueue,
  ratePerMs: number,
  nowMs: number,
): { readonly queue: PermitQueue; readonly grants: readonly PermitGrant[] } => {
  const accrued = addAccrued(queue, ratePerMs, nowMs);
  const waiting = [...accrued.waiting];
  const granted = new Map<string, PermitGrant>();
  let { available } = accrued;
  for (let next = waiting[0]; next !== undefined && available >= 1; [next] = waiting) {
    waiting.shift();
    available -= 1;
    granted.set(next.routerId, {
      routerId: next.routerId,
      count: (granted.get(next.routerId)?.count ?? 0) + 1,
      grantedAtMs: next.clockOffsetMs === null ? null : nowMs + next.clockOffsetMs,
    });
    if (next.count > 1) {
      waiting.push({ ...next, count: next.count - 1 });
    }
  }
  return {
    queue: { ...accrued, available, waiting },
    grants: Array.from(granted.values()),
  };
};

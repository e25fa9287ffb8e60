import type * as pino from 'pino';
import type * as freshnessClock from './freshnessClock.js';

/** Dependencies of the gate. */
export interface FreshnessGateContext {
  readonly clock: Pick<freshnessClock.FreshnessClock, 'getAgeMs'>;
  /** Confirms routes and upstreams now; resolves to false if their source does not answer. */
  readonly refresh: () => Promise<boolean>;
  readonly log: pino.Logger;
}

/** Confirms routes and upstreams before they are used. */
export interface FreshnessGate {
  /**
   * Returns null if they were confirmed within `maxAgeMs` milliseconds; else resolves once their source was asked. If it
   * does not answer, the router is cut off, and goes on with what it knows.
   */
  readonly confirm: (maxAgeMs: number) => Promise<void> | null;
}

/** Makes the gate; it logs when the router begins to act on outdated routes and upstreams, and when it no longer does. */
export const makeFreshnessGate = ({ clock, refresh, log }: FreshnessGateContext): FreshnessGate => {
  /** The smallest age that a use has allowed and that was exceeded; null while there is none. */
  let exceededMs: number | null = null;
  const recordConfirmed = (): void => {
    const ageMs = clock.getAgeMs();
    if (exceededMs !== null && ageMs <= exceededMs) {
      exceededMs = null;
      log.info({ ageMs: Math.round(ageMs) }, 'routes and upstreams confirmed again');
    }
  };
  const recordOutdated = (maxAgeMs: number): void => {
    if (exceededMs === null) {
      log.warn({ ageMs: Math.round(clock.getAgeMs()) }, 'routes and upstreams outdated');
    }
    exceededMs = Math.min(exceededMs ?? Infinity, maxAgeMs);
  };
  return {
    confirm: (maxAgeMs) => {
      if (clock.getAgeMs() <= maxAgeMs) {
        recordConfirmed();
        return null;
      }
      return refresh().then((isConfirmed) =>
        isConfirmed ? recordConfirmed() : recordOutdated(maxAgeMs),
      );
    },
  };
};

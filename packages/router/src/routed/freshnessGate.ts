import type * as pino from 'pino';
import type * as freshnessClock from './freshnessClock.js';

/** Shortest time between two calls to a source that does not confirm what is known, in milliseconds. */
const PAUSE_MS = 200;

/** Dependencies of the gate. */
export interface FreshnessGateContext {
  readonly clock: Pick<freshnessClock.FreshnessClock, 'getAgeMs'>;
  /** Confirms routes and upstreams now if their source answers, as the clock tells then. */
  readonly refresh: () => Promise<void>;
  readonly log: pino.Logger;
}

/** Confirms routes and upstreams before they are used. */
export interface FreshnessGate {
  /**
   * Returns null if they were confirmed within `maxAgeMs` milliseconds, or their source was asked a moment ago; else
   * resolves once it was asked. If it does not confirm them, the router is cut off, and goes on with what it knows.
   */
  readonly confirm: (maxAgeMs: number) => Promise<void> | null;
}

/** Makes the gate; it logs when the router begins to act on outdated routes and upstreams, and when it no longer does. */
export const makeFreshnessGate = ({ clock, refresh, log }: FreshnessGateContext): FreshnessGate => {
  /** The smallest age that a use has allowed and that was exceeded; null while there is none. */
  let exceededMs: number | null = null;
  let askedAtMs = -Infinity;
  let refreshing: Promise<void> | null = null;
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
      if (refreshing === null && performance.now() - askedAtMs < PAUSE_MS) {
        return null;
      }
      refreshing ??= refresh().then(() => {
        refreshing = null;
        askedAtMs = performance.now();
        if (clock.getAgeMs() <= maxAgeMs) {
          recordConfirmed();
        } else {
          recordOutdated(maxAgeMs);
        }
      });
      return refreshing;
    },
  };
};

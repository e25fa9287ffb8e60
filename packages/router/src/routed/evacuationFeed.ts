import * as platform from '@jayrock/platform';
import type * as stores from '@jayrock/stores';
import type * as pino from 'pino';
import type * as routerRuntime from '../routerRuntime.js';
import type * as freshnessClock from './freshnessClock.js';
import * as prefixFeed from './prefixFeed.js';

/** The operator's evacuations of availability zones. */
export interface EvacuationFeed {
  /** Applies all entries, as read at the start or after a gap; zones that are no longer listed are taken back. */
  readonly handleSnapshot: (
    entries: readonly stores.keyValueStore.KeyValueEntry[],
    restoration: prefixFeed.Restoration | null,
  ) => void;
  readonly handleChange: (change: stores.prefixStore.PrefixChange) => void;
  readonly stop: () => void;
}

/** Follows the operator's evacuations in the store and reports the whole set of evacuated zones. */
export const makeEvacuationFeed = (
  runtime: Pick<routerRuntime.Runtime, 'dispatch'>,
  clock: Pick<freshnessClock.FreshnessClock, 'getAgeMs'>,
  log: pino.Logger,
): EvacuationFeed => {
  const zones = new Set<string>();
  /** Ends of evacuations that an older copy of the store lacks, by zone. */
  const endTimers = new Map<string, NodeJS.Timeout>();
  const report = (revision: number | null): void =>
    runtime.dispatch({
      type: 'zonesEvacuated',
      zones: Array.from(zones),
      revision,
      ageMs: clock.getAgeMs(),
    });
  /** Returns the zone that a key names; logs a key that names none. */
  const readZone = (key: string): string | null => {
    const zone = platform.evacuationEntries.decodeZone(key);
    if (!zone.ok) {
      log.warn({ key, problem: zone.error }, 'invalid evacuation entry');
      return null;
    }
    return zone.value;
  };
  const clearEnd = (zone: string): void => {
    clearTimeout(endTimers.get(zone));
    endTimers.delete(zone);
  };
  const addZone = (zone: string): void => {
    clearEnd(zone);
    zones.add(zone);
  };
  const removeZone = (zone: string): void => {
    clearEnd(zone);
    zones.delete(zone);
  };
  /** Keeps an evacuation that an older copy of the store lacks, since the operator may write it again. */
  const scheduleEnd = (zone: string): void => {
    log.info({ zone }, 'evacuation kept, the copy of the store lacks it');
    endTimers.set(
      zone,
      setTimeout(() => {
        removeZone(zone);
        report(null);
      }, prefixFeed.REWRITE_MS),
    );
  };
  return {
    handleSnapshot: (entries, restoration) => {
      const listed = entries.map(({ key }) => readZone(key)).filter((zone) => zone !== null);
      const missing = Array.from(zones).filter((zone) => !listed.includes(zone));
      listed.forEach(addZone);
      missing
        .filter((zone) => !endTimers.has(zone))
        .forEach(restoration?.isFirst === true ? scheduleEnd : removeZone);
      report(null);
    },
    handleChange: ({ key, value, revision }) => {
      const zone = readZone(key);
      if (zone !== null) {
        (value === null ? removeZone : addZone)(zone);
        report(revision);
      }
    },
    stop: () => endTimers.forEach((timer) => clearTimeout(timer)),
  };
};

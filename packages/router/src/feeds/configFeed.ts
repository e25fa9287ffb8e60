import * as core from '@jayrock/core';
import * as stores from '@jayrock/stores';
import type * as routerRuntime from '../routerRuntime.js';

/** Routers per zone that watch the configuration. */
const WATCHERS_PER_ZONE = 2;
/** Interval at which a watching router reads the head, in milliseconds. */
const WATCHER_INTERVAL_MS = 3_000;
/** Interval at which any other router reads the head, in milliseconds. */
const OTHER_INTERVAL_MS = 30_000;
/** Interval at which the head is read while no configuration is known, in milliseconds. */
const START_INTERVAL_MS = 500;
/** Interval at which the watch is updated and due reads are started, in milliseconds. */
const CHECK_INTERVAL_MS = 500;
/** Share by which intervals are jittered, so that routers do not read at the same time. */
const JITTER = 0.2;

/** Follows the configuration in the key-value service. */
export interface ConfigFeed {
  /** Reads the head and adopts a newer configuration. */
  readonly refresh: () => Promise<void>;
  readonly stop: () => void;
}

/**
 * Reads the head periodically and when a watch reports a change. Only the first routers of a zone watch
 * and announce changes to the others, so that the number of calls grows with the number of zones and not
 * with that of routers.
 */
export const startConfigFeed = (
  runtime: routerRuntime.Runtime,
  store: stores.keyValueStore.KeyValueStore,
  onNewGeneration: (generation: number) => void,
): ConfigFeed => {
  let stopWatch: stores.keyValueStore.StopWatch | null = null;
  let nextReadAtMs = 0;
  let isReading = false;
  const getGeneration = (): number => runtime.getState().config?.generation ?? 0;

  const fetchNewer = async (head: stores.configStore.ConfigHead): Promise<void> => {
    const fetched = await stores.configStore.fetchConfiguration(store, head);
    if (fetched.ok) {
      runtime.dispatch({ type: 'configAdopted', configuration: fetched.value });
      onNewGeneration(head.generation);
    }
  };
  const refresh = async (): Promise<void> => {
    const read = await stores.configStore.readHead(store);
    if (!read.ok || read.value.head === null) {
      return;
    }
    if (read.value.head.generation > getGeneration()) {
      await fetchNewer(read.value.head);
    } else if (read.value.head.generation === getGeneration()) {
      runtime.dispatch({ type: 'configConfirmed' });
    }
  };
  const isWatcher = (): boolean =>
    core.zoneRoles.hasRole(runtime.getState().members, 'configWatch', WATCHERS_PER_ZONE);
  const getIntervalMs = (): number => {
    if (getGeneration() === 0) {
      return START_INTERVAL_MS;
    }
    const baseMs = isWatcher() ? WATCHER_INTERVAL_MS : OTHER_INTERVAL_MS;
    return baseMs * (1 - JITTER + 2 * JITTER * Math.random());
  };
  const readIfDue = async (): Promise<void> => {
    if (isReading || Date.now() < nextReadAtMs) {
      return;
    }
    isReading = true;
    nextReadAtMs = Date.now() + getIntervalMs();
    await refresh().finally(() => {
      isReading = false;
    });
  };
  const readNow = (): void => {
    nextReadAtMs = 0;
    readIfDue().catch(() => undefined);
  };
  const updateWatch = (): void => {
    if (isWatcher() && stopWatch === null) {
      stopWatch = store.watch(stores.configStore.HEAD_KEY, readNow);
    } else if (!isWatcher() && stopWatch !== null) {
      stopWatch();
      stopWatch = null;
    }
  };
  const timer = setInterval(() => {
    updateWatch();
    readIfDue().catch(() => undefined);
  }, CHECK_INTERVAL_MS);
  return {
    refresh,
    stop: () => {
      clearInterval(timer);
      stopWatch?.();
    },
  };
};

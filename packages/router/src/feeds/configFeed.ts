import * as core from '@jayrock/core';
import * as stores from '@jayrock/stores';
import type * as runtime from '../runtime.js';

/** Routers of a zone that hold the watch on the configuration. */
const WATCHERS_PER_ZONE = 2;
/** Time between two looks at the head by a router that watches it, in milliseconds. */
const WATCHER_INTERVAL_MS = 3_000;
/** Time between two looks at the head by any other router, in milliseconds. */
const OTHER_INTERVAL_MS = 30_000;
/** Time between two looks while no configuration is known, in milliseconds. */
const START_INTERVAL_MS = 500;
/** Time between two decisions on what to do, in milliseconds. */
const STEP_MS = 500;
/** Share by which an interval varies, so that routers do not read at the same time. */
const JITTER = 0.2;

/** Follows the configuration in the key-value service. */
export interface ConfigFeed {
  readonly refresh: () => Promise<void>;
  readonly stop: () => void;
}

/**
 * Reads the head when a watch shows a change, and from time to time. Only the first routers of the
 * zone watch; the others learn of a change from them, so calls grow with zones and not with routers.
 */
export const startConfigFeed = (
  node: runtime.Runtime,
  store: stores.keyValueStore.KeyValueStore,
  onNewGeneration: (generation: number) => void,
): ConfigFeed => {
  let stopWatch: stores.keyValueStore.StopWatch | null = null;
  let nextReadAtMs = 0;
  let isReading = false;
  const getGeneration = (): number => node.getState().config?.generation ?? 0;

  const fetchNewer = async (head: stores.configStore.ConfigHead): Promise<void> => {
    const fetched = await stores.configStore.fetchConfiguration(store, head);
    if (fetched.ok) {
      node.dispatch({ type: 'configAdopted', configuration: fetched.value });
      onNewGeneration(head.generation);
    }
  };
  const refresh = async (): Promise<void> => {
    const found = await stores.configStore.readHead(store);
    if (!found.ok || found.value.head === null) {
      return;
    }
    if (found.value.head.generation > getGeneration()) {
      await fetchNewer(found.value.head);
    } else if (found.value.head.generation === getGeneration()) {
      node.dispatch({ type: 'configConfirmed' });
    }
  };
  const isWatcher = (): boolean =>
    core.zoneRoles.hasRole(node.getState().members, 'configWatch', WATCHERS_PER_ZONE);
  const getIntervalMs = (): number => {
    if (getGeneration() === 0) {
      return START_INTERVAL_MS;
    }
    const base = isWatcher() ? WATCHER_INTERVAL_MS : OTHER_INTERVAL_MS;
    return base * (1 - JITTER + 2 * JITTER * Math.random());
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
  }, STEP_MS);
  return {
    refresh,
    stop: () => {
      clearInterval(timer);
      stopWatch?.();
    },
  };
};

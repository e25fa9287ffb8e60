import type * as http from 'node:http';
import * as platform from '@jayrock/platform';
import * as control from './control.js';
import type * as platformStore from './platformStore.js';
import * as routedUpstream from './routedUpstream.js';

/** How the upstreams of a pool run, crash and come back. */
export interface CrashingPoolOptions {
  readonly service: string;
  readonly count: number;
  /** Id of the prompt part that crashes each upstream that begins to write an answer on it, except as the last part. */
  readonly crashPart: string;
  /** Path of requests that crash each upstream that begins to write an answer on them; null for none. */
  readonly crashUrl?: string | null;
  readonly behaviour: routedUpstream.Behaviour;
  readonly connectionEnd: routedUpstream.ConnectionEnd;
  /** Time from the arrival of a request with the part to the start of its answer, in milliseconds. */
  readonly workMs: number;
  /** Time after a crash at which the upstream is back under another id and address, in milliseconds. */
  readonly downMs: number;
  /** Time after a crash at which the entry of the crashed process is removed, in milliseconds. */
  readonly expiryMs: number;
}

/** A moment in a request's life on an upstream; the time is that of `performance.now()`, in milliseconds. */
export interface PoolEvent {
  readonly requestId: string;
  readonly upstreamId: string;
  readonly atMs: number;
}

/** Upstreams that crash on a part of a prompt and come back, registered in the platform's store. */
export interface CrashingPool {
  /** Crashes in their order, each with the request that caused it. */
  readonly crashes: readonly PoolEvent[];
  /** Requests with the part that reached an upstream, in their order. */
  readonly arrivals: readonly PoolEvent[];
  readonly countRunning: () => number;
  readonly close: () => Promise<void>;
}

/** Returns whether a request holds a part that is not its last. */
const hasSharedPart = (received: routedUpstream.ReceivedRequest, part: string): boolean =>
  platform.callHeaders
    .readCallHeaders(received.headers)
    .parts.slice(0, -1)
    .some(({ id }) => id === part);

/** Starts the upstreams of a service. */
export const startCrashingPool = async (
  store: platformStore.PlatformStore,
  options: CrashingPoolOptions,
): Promise<CrashingPool> => {
  const crashes: PoolEvent[] = [];
  const arrivals: PoolEvent[] = [];
  const running = new Map<string, routedUpstream.RoutedUpstream>();
  const timers = new Set<NodeJS.Timeout>();
  const schedule = (delayMs: number, run: () => void): void => {
    const timer = setTimeout(() => {
      timers.delete(timer);
      run();
    }, delayMs);
    timers.add(timer);
  };
  const getKey = (id: string): string => `${platform.wire.KEYS.upstreams}${id}`;
  const startProcess = async (name: string, incarnation: number): Promise<void> => {
    const id = `${name}-${incarnation}`;
    const crashOn = (
      received: routedUpstream.ReceivedRequest,
      response: http.ServerResponse,
    ): void => {
      const upstream = running.get(id);
      if (upstream === undefined || response.destroyed) {
        return;
      }
      running.delete(id);
      crashes.push({ requestId: received.id, upstreamId: id, atMs: performance.now() });
      // The crash writes the head and the start of an event.
      routedUpstream.setStreamHead(upstream, received, response);
      upstream.crash(options.connectionEnd);
      schedule(options.expiryMs, () => store.remove(getKey(id)));
      schedule(options.downMs, () => {
        startProcess(name, incarnation + 1).catch(() => undefined);
      });
    };
    const upstream = await routedUpstream.startRoutedUpstream(id, (received, response) => {
      const isPoisoned =
        hasSharedPart(received, options.crashPart) || received.url === options.crashUrl;
      if (isPoisoned) {
        arrivals.push({ requestId: received.id, upstreamId: id, atMs: performance.now() });
        schedule(options.workMs, () => crashOn(received, response));
      }
      return isPoisoned;
    });
    upstream.behaviour = options.behaviour;
    running.set(id, upstream);
    store.put(getKey(id), {
      service: options.service,
      address: upstream.address,
      zone: 'a',
      version: 'v1',
      slots: 8,
      state: 'ready',
      sequence: 1,
      born: Date.now(),
    });
  };
  await Promise.all(
    Array.from({ length: options.count }, (_, index) => startProcess(`c-${index}`, 1)),
  );
  return {
    crashes,
    arrivals,
    countRunning: () => running.size,
    close: async () => {
      timers.forEach((timer) => clearTimeout(timer));
      await Promise.all(Array.from(running.values(), (upstream) => upstream.close()));
      await control.wait(0);
    },
  };
};

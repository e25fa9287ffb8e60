import type * as runtime from '../runtime.js';
import * as attemptFailure from '../upstreams/attemptFailure.js';

/** Notices upstreams that no longer answer at all, so that their work goes on elsewhere. */
export interface ReachabilityMonitor {
  readonly recordStart: (upstreamId: string, address: string) => void;
  /** Any byte of the upstream's answers. */
  readonly recordActivity: (upstreamId: string) => void;
  readonly recordEnd: (upstreamId: string) => void;
  readonly stop: () => void;
}

interface Watched {
  address: string;
  active: number;
  heardAtMs: number;
  probedAtMs: number;
  isProbing: boolean;
  isReachable: boolean;
}

/** Time between two looks, in milliseconds. */
const LOOK_MS = 50;
/** Silence of all answers of an upstream after which a connection is tried, in milliseconds. */
const SILENCE_MS = 200;
/** Shortest time between two tries, in milliseconds. */
const PROBE_PAUSE_MS = 400;
/** Delay of a look from which this process itself stood still, in milliseconds. */
const STALL_MS = 150;
/** Time for which an idle upstream is remembered, in milliseconds. */
const FORGET_MS = 60_000;

type Probe = (address: string) => Promise<boolean>;

/** Starts the monitor of one router. */
export const startReachabilityMonitor = (
  node: runtime.Runtime,
  probe: Probe = attemptFailure.probeUpstream,
): ReachabilityMonitor => {
  const upstreams = new Map<string, Watched>();
  let lookedAtMs = performance.now();
  const setReachable = (upstreamId: string, watched: Watched, isReachable: boolean): void => {
    if (watched.isReachable !== isReachable) {
      watched.isReachable = isReachable;
      node.dispatch({ type: 'reachabilityObserved', upstreamId, isReachable });
    }
  };
  const tryConnection = async (upstreamId: string, watched: Watched): Promise<void> => {
    watched.isProbing = true;
    watched.probedAtMs = performance.now();
    const isOpen = await probe(watched.address);
    watched.isProbing = false;
    // An answer that came meanwhile says more than a try that failed.
    const wasHeard = watched.heardAtMs >= watched.probedAtMs;
    setReachable(upstreamId, watched, isOpen || wasHeard);
  };
  const isDue = (watched: Watched, nowMs: number): boolean =>
    !watched.isProbing &&
    nowMs - watched.probedAtMs >= PROBE_PAUSE_MS &&
    (!watched.isReachable || (watched.active > 0 && nowMs - watched.heardAtMs >= SILENCE_MS));
  const look = (): void => {
    const nowMs = performance.now();
    const hasStalled = nowMs - lookedAtMs > LOOK_MS + STALL_MS;
    lookedAtMs = nowMs;
    upstreams.forEach((watched, upstreamId) => {
      if (hasStalled) {
        watched.heardAtMs = nowMs;
      } else if (isDue(watched, nowMs)) {
        tryConnection(upstreamId, watched).catch(() => undefined);
      } else if (
        watched.active === 0 &&
        watched.isReachable &&
        nowMs - watched.heardAtMs > FORGET_MS
      ) {
        upstreams.delete(upstreamId);
      }
    });
  };
  const timer = setInterval(look, LOOK_MS);
  return {
    recordStart: (upstreamId, address) => {
      const nowMs = performance.now();
      const known = upstreams.get(upstreamId);
      if (known === undefined) {
        upstreams.set(upstreamId, {
          address,
          active: 1,
          heardAtMs: nowMs,
          probedAtMs: -Infinity,
          isProbing: false,
          isReachable: true,
        });
        return;
      }
      known.heardAtMs = known.active === 0 ? nowMs : known.heardAtMs;
      known.active += 1;
      known.address = address;
    },
    recordActivity: (upstreamId) => {
      const known = upstreams.get(upstreamId);
      if (known !== undefined) {
        known.heardAtMs = performance.now();
        setReachable(upstreamId, known, true);
      }
    },
    recordEnd: (upstreamId) => {
      const known = upstreams.get(upstreamId);
      if (known !== undefined) {
        known.active -= 1;
      }
    },
    stop: () => clearInterval(timer),
  };
};

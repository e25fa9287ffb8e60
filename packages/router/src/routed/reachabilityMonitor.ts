import type * as routerRuntime from '../routerRuntime.js';
import * as attemptFailure from '../upstreams/attemptFailure.js';

/** Detects unreachable upstreams, so that their requests can continue on others. */
export interface ReachabilityMonitor {
  /** Records that an attempt was started on the upstream. */
  readonly recordStart: (upstreamId: string, address: string) => void;
  /** Records that bytes arrived from the upstream. */
  readonly recordActivity: (upstreamId: string) => void;
  /** Records that an attempt on the upstream has ended. */
  readonly recordEnd: (upstreamId: string) => void;
  readonly stop: () => void;
}

/** State of an upstream with recent attempts; times are those of `performance.now()`, in milliseconds. */
interface WatchedUpstream {
  address: string;
  activeAttempts: number;
  /** Time of the last byte from it, or `-Infinity`. */
  lastByteAtMs: number;
  /** Time since which it is silent: its last byte, or the start of the first attempt after it was idle. */
  silentSinceMs: number;
  lastProbeAtMs: number;
  isProbing: boolean;
  isReachable: boolean;
}

/** Interval between checks, in milliseconds. */
const CHECK_MS = 50;
/** Time without a byte from an upstream with active attempts before it is probed, in milliseconds. */
const SILENCE_MS = 200;
/** Shortest interval between probes of one upstream, in milliseconds. */
const PROBE_INTERVAL_MS = 400;
/** Delay of a check, in milliseconds, that shows that this process itself was stalled. */
const STALL_MS = 150;
/** Time after which an idle upstream is forgotten, in milliseconds. */
const FORGET_MS = 60_000;

/** Tries to open a connection to an address. */
type Probe = (address: string) => Promise<attemptFailure.ProbeResult>;

/** Starts the monitor, which dispatches an event when the reachability of an upstream changes. */
export const startReachabilityMonitor = (
  runtime: routerRuntime.Runtime,
  probe: Probe = attemptFailure.probeConnection,
): ReachabilityMonitor => {
  const upstreams = new Map<string, WatchedUpstream>();
  let checkedAtMs = performance.now();
  let stalledAtMs = -Infinity;
  const setReachable = (
    upstreamId: string,
    watched: WatchedUpstream,
    isReachable: boolean,
    isRefused = false,
  ): void => {
    if (watched.isReachable !== isReachable) {
      watched.isReachable = isReachable;
      runtime.dispatch({ type: 'reachabilityObserved', upstreamId, isReachable, isRefused });
    }
  };
  const probeConnection = async (upstreamId: string, watched: WatchedUpstream): Promise<void> => {
    watched.isProbing = true;
    watched.lastProbeAtMs = performance.now();
    const result = await probe(watched.address);
    watched.isProbing = false;
    // A stall of this process may have used up the time of the probe.
    if (result === 'unknown' && stalledAtMs >= watched.lastProbeAtMs) {
      return;
    }
    // Bytes received during the probe prove reachability even if the probe failed.
    const wasActive = watched.lastByteAtMs >= watched.lastProbeAtMs;
    setReachable(upstreamId, watched, result === 'open' || wasActive, result === 'refused');
  };
  const isDue = (watched: WatchedUpstream, nowMs: number): boolean =>
    !watched.isProbing &&
    nowMs - watched.lastProbeAtMs >= PROBE_INTERVAL_MS &&
    (!watched.isReachable ||
      (watched.activeAttempts > 0 && nowMs - watched.silentSinceMs >= SILENCE_MS));
  const checkUpstreams = (): void => {
    const nowMs = performance.now();
    const wasStalled = nowMs - checkedAtMs > CHECK_MS + STALL_MS;
    checkedAtMs = nowMs;
    stalledAtMs = wasStalled ? nowMs : stalledAtMs;
    upstreams.forEach((watched, upstreamId) => {
      if (wasStalled) {
        // Bytes may have arrived unread during the stall, so silence is measured from now.
        watched.silentSinceMs = nowMs;
      } else if (isDue(watched, nowMs)) {
        probeConnection(upstreamId, watched).catch(() => undefined);
      } else if (
        watched.activeAttempts === 0 &&
        watched.isReachable &&
        nowMs - watched.silentSinceMs > FORGET_MS
      ) {
        upstreams.delete(upstreamId);
      }
    });
  };
  const timer = setInterval(checkUpstreams, CHECK_MS);
  return {
    recordStart: (upstreamId, address) => {
      const nowMs = performance.now();
      const watched = upstreams.get(upstreamId);
      if (watched === undefined) {
        upstreams.set(upstreamId, {
          address,
          activeAttempts: 1,
          lastByteAtMs: -Infinity,
          silentSinceMs: nowMs,
          lastProbeAtMs: -Infinity,
          isProbing: false,
          isReachable: true,
        });
        return;
      }
      watched.silentSinceMs = watched.activeAttempts === 0 ? nowMs : watched.silentSinceMs;
      watched.activeAttempts += 1;
      watched.address = address;
    },
    recordActivity: (upstreamId) => {
      const watched = upstreams.get(upstreamId);
      if (watched !== undefined) {
        watched.lastByteAtMs = performance.now();
        watched.silentSinceMs = watched.lastByteAtMs;
        setReachable(upstreamId, watched, true);
      }
    },
    recordEnd: (upstreamId) => {
      const watched = upstreams.get(upstreamId);
      if (watched !== undefined) {
        watched.activeAttempts -= 1;
      }
    },
    stop: () => clearInterval(timer),
  };
};

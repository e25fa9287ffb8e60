import type * as routerRuntime from '../routerRuntime.js';
import type * as upstreamPaths from '../relays/upstreamPaths.js';

/** Times without a byte from an upstream that are usual while its answers are awaited, in milliseconds. */
export interface Patience {
  /** Time until the first byte. */
  readonly headMs: number;
  /** Time between two bytes. */
  readonly gapMs: number;
}

/** Detects unreachable upstreams, so that their requests can continue on others. */
export interface ReachabilityMonitor {
  /** Records that an attempt was started on the upstream. */
  readonly recordStart: (upstreamId: string, address: string, patience?: Patience) => void;
  /** Records that bytes arrived from the upstream. */
  readonly recordActivity: (upstreamId: string) => void;
  /** Records that a connection to the upstream could not be opened. */
  readonly recordUnreachable: (upstreamId: string) => void;
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
  /** True if it is probed at the next check, whether or not it is silent. */
  isSuspect: boolean;
  isProbing: boolean;
  isReachable: boolean;
  /** Shortest patience of the attempts since it was idle. */
  patience: Patience;
  /** True once a byte has come since it was idle. */
  hasAnswered: boolean;
}

/** Interval between checks, in milliseconds. */
const CHECK_MS = 50;
/** Shortest time without a byte from an upstream with active attempts before it is probed, in milliseconds. */
const SILENCE_MS = 200;
/** Longest such time, in milliseconds: a cut has to show while its requests can still be answered elsewhere. */
const MAX_SILENCE_MS = 1_000;
/** Patience of callers about whom nothing is known. */
const NO_PATIENCE: Patience = { headMs: SILENCE_MS, gapMs: SILENCE_MS };
/** Shortest interval between probes of one upstream, in milliseconds. */
const PROBE_INTERVAL_MS = 400;
/** Delay of a check, in milliseconds, that shows that this process itself was stalled. */
const STALL_MS = 150;
/** Time after which an idle upstream is forgotten, in milliseconds. */
const FORGET_MS = 60_000;

/** Interval between probes of an upstream that is reached through a peer, in milliseconds. */
const RELAYED_INTERVAL_MS = 1_000;
/** Number of other silent upstreams that are probed when one cannot be reached, to notice a cut. */
const OTHER_PROBES = 2;

/** Returns the time without a byte from which an upstream is probed, in milliseconds. */
const getSilenceMs = ({ patience, hasAnswered }: WatchedUpstream): number =>
  Math.min(MAX_SILENCE_MS, Math.max(SILENCE_MS, hasAnswered ? patience.gapMs : patience.headMs));

const mergePatience = (a: Patience, b: Patience): Patience => ({
  headMs: Math.min(a.headMs, b.headMs),
  gapMs: Math.min(a.gapMs, b.gapMs),
});

/**
 * Starts the monitor, which dispatches an event when the reachability of an upstream changes. An upstream that may not be
 * probed keeps its reachability until it may be.
 */
export const startReachabilityMonitor = (
  runtime: routerRuntime.Runtime,
  paths: Pick<upstreamPaths.UpstreamPaths, 'probe' | 'isRelayed' | 'isCutOff' | 'forget'>,
  renewPool: (address: string) => void,
  mayProbe: (upstreamId: string) => boolean = () => true,
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
  /** Marks upstreams for a probe that have been silent as well: all if the router seems cut off, else a few. */
  const suspectOthers = (failedId: string, failed: WatchedUpstream): void => {
    const nowMs = performance.now();
    const silent = Array.from(upstreams.entries()).filter(
      ([id, watched]) =>
        watched !== failed &&
        mayProbe(id) &&
        !watched.isProbing &&
        watched.isReachable &&
        !paths.isRelayed(watched.address) &&
        nowMs - watched.lastByteAtMs >= SILENCE_MS,
    );
    silent
      .slice(0, paths.isCutOff(failedId) ? silent.length : OTHER_PROBES)
      .forEach(([, watched]) => {
        watched.isSuspect = true;
      });
  };
  const probeConnection = async (upstreamId: string, watched: WatchedUpstream): Promise<void> => {
    watched.isProbing = true;
    watched.lastProbeAtMs = performance.now();
    watched.isSuspect = false;
    const { result, hasChanged } = await paths.probe(upstreamId, watched.address);
    watched.isProbing = false;
    if (hasChanged) {
      renewPool(watched.address);
    }
    if (result !== 'open' || paths.isRelayed(watched.address)) {
      suspectOthers(upstreamId, watched);
    }
    if (hasChanged && paths.isRelayed(watched.address)) {
      // What was sent on the former path gets no answer.
      setReachable(upstreamId, watched, false);
    }
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
      watched.isSuspect ||
      (paths.isRelayed(watched.address) && nowMs - watched.lastProbeAtMs >= RELAYED_INTERVAL_MS) ||
      // A probe that succeeds shows as much as a byte.
      (watched.activeAttempts > 0 &&
        nowMs - Math.max(watched.silentSinceMs, watched.lastProbeAtMs) >= getSilenceMs(watched)));
  const checkUpstreams = (): void => {
    const nowMs = performance.now();
    const wasStalled = nowMs - checkedAtMs > CHECK_MS + STALL_MS;
    checkedAtMs = nowMs;
    stalledAtMs = wasStalled ? nowMs : stalledAtMs;
    upstreams.forEach((watched, upstreamId) => {
      if (watched.activeAttempts === 0 && !runtime.getState().upstreams.has(upstreamId)) {
        upstreams.delete(upstreamId);
        paths.forget(watched.address);
      } else if (wasStalled) {
        // Bytes may have arrived unread during the stall, so silence is measured from now.
        watched.silentSinceMs = nowMs;
      } else if (mayProbe(upstreamId) && isDue(watched, nowMs)) {
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
    recordStart: (upstreamId, address, patience = NO_PATIENCE) => {
      const nowMs = performance.now();
      const watched = upstreams.get(upstreamId);
      if (watched === undefined) {
        upstreams.set(upstreamId, {
          address,
          activeAttempts: 1,
          lastByteAtMs: -Infinity,
          silentSinceMs: nowMs,
          lastProbeAtMs: -Infinity,
          isSuspect: false,
          isProbing: false,
          isReachable: true,
          patience,
          hasAnswered: false,
        });
        return;
      }
      const wasIdle = watched.activeAttempts === 0;
      watched.silentSinceMs = wasIdle ? nowMs : watched.silentSinceMs;
      watched.patience = wasIdle ? patience : mergePatience(watched.patience, patience);
      watched.hasAnswered = watched.hasAnswered && !wasIdle;
      watched.activeAttempts += 1;
      watched.address = address;
    },
    recordActivity: (upstreamId) => {
      const watched = upstreams.get(upstreamId);
      if (watched !== undefined) {
        watched.lastByteAtMs = performance.now();
        watched.silentSinceMs = watched.lastByteAtMs;
        watched.hasAnswered = true;
        setReachable(upstreamId, watched, true);
      }
    },
    recordUnreachable: (upstreamId) => {
      const watched = upstreams.get(upstreamId);
      if (watched !== undefined) {
        watched.isSuspect = true;
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

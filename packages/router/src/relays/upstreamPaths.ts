import type * as net from 'node:net';
import * as core from '@jayrock/core';
import type * as pino from 'pino';
import type * as routerRuntime from '../routerRuntime.js';
import * as attemptFailure from '../upstreams/attemptFailure.js';
import type * as connectionPools from '../upstreams/connectionPools.js';
import type * as relayClient from './relayClient.js';

/** Paths to upstreams: the router's own connections and, where those fail, connections through peers. */
export interface UpstreamPaths extends connectionPools.ConnectionPaths {
  /** Connects to an upstream on the router's own path or, if it seems cut off, through a peer; keeps what worked. */
  readonly probe: (upstreamId: string, address: string) => Promise<PathResult>;
  readonly isRelayed: (address: string) => boolean;
  /** Forgets an address at which no upstream is listed any more. */
  readonly forget: (address: string) => void;
  /** Returns whether the router seems cut off from the service of an upstream: many of its upstreams fail. */
  readonly isCutOff: (upstreamId: string) => boolean;
  /** Returns the number of addresses that are reached through peers. */
  readonly countRelayed: () => number;
}

/** Result of a probe, and whether connections from now on take another path than before. */
export interface PathResult {
  readonly result: attemptFailure.ProbeResult;
  readonly hasChanged: boolean;
}

interface Relay {
  readonly upstreamId: string;
  /** Address of the peer. */
  readonly peer: string;
}

/** Time for which a failure to connect counts, in milliseconds. */
const FAILURE_MS = 3_000;
/** Share of a service's upstreams that must fail before peers are asked: most failures are not a cut. */
const CUT_OFF_SHARE = 0.5;
/** Number of peers that are asked for a relay in one probe. */
const PEERS_PER_PROBE = 3;
/** Time for which a peer that gave no relay is asked last, in milliseconds. */
const DECLINE_MS = 1_000;
/** Time for which peers are not asked again for an upstream that none of them reached, in milliseconds. */
const FUTILE_MS = 1_500;
/** Time for which an upstream gets nothing after a peer refused a relay to it since it leaves, in milliseconds. */
const LEAVING_REST_MS = 1_000;

/** Duration of a probe without an answer above which this process itself was stalled, in milliseconds. */
const STALLED_PROBE_MS = 450;

/** Tries to open a connection to an address on the router's own path. */
type Probe = (address: string) => Promise<attemptFailure.ProbeResult>;

/** Makes the paths of a router, which are its own at first. */
export const makeUpstreamPaths = (
  runtime: routerRuntime.Runtime,
  log: pino.Logger,
  openRelay: relayClient.OpenRelay,
  probe: Probe = attemptFailure.probeConnection,
): UpstreamPaths => {
  const relays = new Map<string, Relay>();
  const failedAtMs = new Map<string, number>();
  const declinedAtMs = new Map<string, number>();
  const futileAtMs = new Map<string, number>();
  const hasFailed = (address: string): boolean =>
    performance.now() - (failedAtMs.get(address) ?? -Infinity) < FAILURE_MS;
  const isCutOff = (upstreamId: string): boolean => {
    const state = runtime.getState();
    const { upstreams } = state;
    const service = upstreams.get(upstreamId)?.host.service;
    const addresses = upstreams
      .valueSeq()
      .filter(
        ({ host }) => host.service === service && !core.evacuatedZones.isEvacuated(state, host.id),
      )
      .map(({ host }) => host.address)
      .toArray();
    const failed = addresses.filter(hasFailed).length;
    return failed > 0 && failed >= addresses.length * CUT_OFF_SHARE;
  };
  const listPeers = (current: string | undefined): readonly string[] => {
    const nowMs = performance.now();
    const hasDeclined = (address: string): boolean =>
      nowMs - (declinedAtMs.get(address) ?? -Infinity) < DECLINE_MS;
    return core.memberTable
      .listActiveMembers(runtime.getState().members)
      .map(({ address }) => ({
        address,
        order: address === current ? -1 : Math.random() + Number(hasDeclined(address)),
      }))
      .toSorted((a, b) => a.order - b.order)
      .slice(0, PEERS_PER_PROBE)
      .map(({ address }) => address);
  };
  const setRelay = (address: string, relay: Relay | null): boolean => {
    const previous = relays.get(address);
    if (previous?.peer === relay?.peer) {
      return false;
    }
    if (relay === null) {
      relays.delete(address);
    } else {
      relays.set(address, relay);
    }
    log.info({ address, peer: relay?.peer ?? null }, 'upstream path changed');
    return true;
  };
  /** Finds a peer that reaches an upstream; asks them one after the other. */
  const findRelay = async (upstreamId: string, address: string): Promise<Relay | null> => {
    for (const peer of listPeers(relays.get(address)?.peer)) {
      try {
        // eslint-disable-next-line no-await-in-loop -- the next peer is asked only if this one has no path
        const socket = await openRelay(peer, upstreamId, { kind: 'probe' });
        socket.destroy();
        return { upstreamId, peer };
      } catch (error) {
        declinedAtMs.set(peer, performance.now());
        log.debug({ error, peer, upstreamId }, 'peer gave no relay');
      }
    }
    futileAtMs.set(address, performance.now());
    return null;
  };
  const getBornAtMs = (upstreamId: string): number | null =>
    runtime.getState().upstreams.get(upstreamId)?.host.bornAtMs ?? null;
  /**
   * Lets an upstream rest that leaves, as far as a peer knows. This router's own list will show it; the peer's may be
   * the older one, so what it says holds for a short time only.
   */
  const restLeaving = (upstreamId: string): void => {
    const maxTurnAways = runtime.getState().upstreams.get(upstreamId)?.maxTurnAways ?? null;
    runtime.dispatch({
      type: 'noticeObserved',
      upstreamId,
      isLeaving: false,
      restMs: LEAVING_REST_MS,
      maxTurnAways,
    });
  };
  const openToSend = async ({ peer, upstreamId }: Relay): Promise<net.Socket> => {
    const bornAtMs = getBornAtMs(upstreamId);
    try {
      return await openRelay(peer, upstreamId, { kind: 'send', bornAtMs });
    } catch (error) {
      if (attemptFailure.isLeavingError(error) && getBornAtMs(upstreamId) === bornAtMs) {
        restLeaving(upstreamId);
      }
      throw error;
    }
  };
  return {
    openRelayed: (address): Promise<net.Socket> | null => {
      const relay = relays.get(address);
      return relay === undefined ? null : openToSend(relay);
    },
    isRelayed: (address) => relays.has(address),
    forget: (address) => {
      relays.delete(address);
      failedAtMs.delete(address);
      futileAtMs.delete(address);
    },
    isCutOff,
    countRelayed: () => relays.size,
    probe: async (upstreamId, address) => {
      const startedAtMs = performance.now();
      const result = await probe(address);
      if (result === 'unknown' && performance.now() - startedAtMs > STALLED_PROBE_MS) {
        return { result, hasChanged: false };
      }
      if (result === 'open') {
        failedAtMs.delete(address);
        futileAtMs.delete(address);
        return { result, hasChanged: setRelay(address, null) };
      }
      failedAtMs.set(address, performance.now());
      // A relay in use is kept while it works, whatever other upstreams show.
      const isFutile = performance.now() - (futileAtMs.get(address) ?? -Infinity) < FUTILE_MS;
      const mayRelay = relays.has(address) || (!isFutile && isCutOff(upstreamId));
      const relay = mayRelay ? await findRelay(upstreamId, address) : null;
      return { result: relay === null ? result : 'open', hasChanged: setRelay(address, relay) };
    },
  };
};

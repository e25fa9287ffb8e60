import type * as core from '@jayrock/core';
import type * as pino from 'pino';
import type * as rpcClient from '../peers/rpcClient.js';
import type * as peerRoutes from './peerRoutes.js';
import type * as sharedStore from './sharedStore.js';
import type * as routerRuntime from '../routerRuntime.js';
import type * as freshnessClock from './freshnessClock.js';

/** Dependencies of a route source. */
export interface SourceContext {
  readonly runtime: routerRuntime.Runtime;
  readonly log: pino.Logger;
  /** Records when routes and upstreams were last confirmed. */
  readonly clock: freshnessClock.FreshnessClock;
  /** Returns the time within which news of the source has to be in force, in milliseconds. */
  readonly getNewsMs: () => number;
  /** Adopts the newest table of routes that peers have, and returns the ages of orders; called once their addresses are known. */
  readonly fetchPeerRoutes: () => Promise<readonly peerRoutes.ToldAge[]>;
  readonly client: rpcClient.RpcClient;
}

/** Source of a router's routes, upstreams and peers. */
export interface RouteSource {
  /** Starts to follow the source; resolves once roll-outs and routes are being read. */
  readonly start: () => Promise<void>;
  /** Resolves once routes and upstreams have been read, or a read has failed. */
  readonly firstOutcome: Promise<void>;
  /** Confirms routes and upstreams now if the source answers, as the clock tells then. */
  readonly refresh: () => Promise<void>;
  /** Records the outcome of a roll-out. */
  readonly recordCanaryOutcome: (effect: core.effects.EffectOf<'recordCanaryOutcome'>) => void;
  /** Records that a guard on requests that crash upstreams has begun or ended. */
  readonly recordGuard: (effect: core.effects.EffectOf<'recordGuard'>) => void;
  /** Removes the registration of this router. */
  readonly leave: () => Promise<void>;
  /** Reads of the store for other routers; null for a source that is not shared. */
  readonly sharedReads: Pick<sharedStore.SharedStore, 'serveRead' | 'serveWait'> | null;
  /** Returns the number of calls made to the store so far. */
  readonly countCalls: () => number;
  readonly stop: () => Promise<void>;
}

import type * as core from '@jayrock/core';
import type * as pino from 'pino';
import type * as runtime from '../runtime.js';
import type * as freshnessClock from './freshnessClock.js';

/** What a source of routes works with. */
export interface SourceContext {
  readonly node: runtime.Runtime;
  readonly log: pino.Logger;
  /** Records when the table in force was last confirmed. */
  readonly clock: freshnessClock.FreshnessClock;
}

/** Where a router's routes, upstreams and peers come from. */
export interface RouteSource {
  /** Begins to follow the source; resolves once roll-outs and routes are being read. */
  readonly start: () => Promise<void>;
  /** Confirms the table now; false if the source does not answer. */
  readonly refresh: () => Promise<boolean>;
  /** Records the end of a roll-out. */
  readonly recordCanaryOutcome: (effect: core.effects.EffectOf<'recordCanaryOutcome'>) => void;
  /** Takes this router off the list of routers. */
  readonly leave: () => Promise<void>;
  /** Calls made to the store so far. */
  readonly countCalls: () => number;
  readonly stop: () => Promise<void>;
}

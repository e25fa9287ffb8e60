import * as immutable from 'immutable';
import * as average from '../average.js';
import type * as routeView from './routeView.js';
import * as sendBudget from './sendBudget.js';
import type * as versionTrial from './versionTrial.js';

/** Settings of routed requests. */
export interface RelaySettings {
  /** Age of the confirmed table from which keys are not accepted, in milliseconds. */
  readonly maxKeyAgeMs: number;
  /** Age of the confirmed table up to which an unknown key or path is denied, in milliseconds. */
  readonly maxDenyAgeMs: number;
  /** Further sends that all routers together may make to one service. */
  readonly repeats: sendBudget.RepeatRule;
}

/** What the router knows only for routed requests. */
export interface RelayContext {
  readonly settings: RelaySettings;
  /** Table in force, or null before the first. */
  readonly view: routeView.RouteView | null;
  /** Recent sends, by service. */
  readonly windows: immutable.Map<string, sendBudget.SendWindow>;
  /** Roll-outs of versions, by service. */
  readonly trials: immutable.Map<string, versionTrial.VersionTrial>;
  /** Typical time to the head of an answer for one unit of work, by service and model. */
  readonly headTimes: immutable.Map<string, average.Average>;
  /** Last use of prompt parts, by upstream, model and part. */
  readonly parts: immutable.Map<string, number>;
}

/** Settings without a deployment's own bounds. */
export const DEFAULT_SETTINGS: RelaySettings = {
  maxKeyAgeMs: 4_000,
  maxDenyAgeMs: 2_000,
  repeats: { share: 0.2, slack: 20, windowMs: 10_000 },
};

/** Makes the context of a router that has seen nothing. */
export const makeContext = (settings: RelaySettings = DEFAULT_SETTINGS): RelayContext => ({
  settings,
  view: null,
  windows: immutable.Map(),
  trials: immutable.Map(),
  headTimes: immutable.Map(),
  parts: immutable.Map(),
});

/** Returns the recent sends to a service. */
export const getWindow = (context: RelayContext, service: string): sendBudget.SendWindow =>
  context.windows.get(service) ?? sendBudget.EMPTY_WINDOW;

/** Weight of one sample in the typical time to the head of an answer. */
const HEAD_TIME_WEIGHT = 0.05;

/** Returns the typical time to a head for one unit of work, or null before the first. */
export const getHeadTime = (
  context: RelayContext,
  service: string,
  model: string | null,
): number | null => context.headTimes.get(`${service}|${model ?? ''}`)?.value ?? null;

/** Records the time to a head for one unit of work. */
export const recordHeadTime = (
  context: RelayContext,
  service: string,
  model: string | null,
  unitMs: number,
): RelayContext => {
  const key = `${service}|${model ?? ''}`;
  const known = context.headTimes.get(key) ?? average.EMPTY_AVERAGE;
  return {
    ...context,
    headTimes: context.headTimes.set(key, average.updateAverage(known, unitMs, HEAD_TIME_WEIGHT)),
  };
};

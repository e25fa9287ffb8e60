import * as immutable from 'immutable';
import * as average from '../average.js';
import type * as routeIndex from './routeIndex.js';
import * as sendBudget from './sendBudget.js';
import type * as canaryState from './canaryState.js';

/** Settings of routed requests. */
export interface RoutedSettings {
  /** Age of the confirmed table from which keys are not accepted, in milliseconds. */
  readonly maxKeyAgeMs: number;
  /** Age of the confirmed table up to which an unknown key or path is denied, in milliseconds. */
  readonly maxDenyAgeMs: number;
  /** Further sends that all routers together may make to one service. */
  readonly repeats: sendBudget.RepeatRule;
  /** Share of the requests of a roll-out's period that a bad version may get. */
  readonly exposureShare: number;
}

/** What the router knows only for routed requests. */
export interface RoutedContext {
  readonly settings: RoutedSettings;
  /** Table in force, or null before the first. */
  readonly routeIndex: routeIndex.RouteIndex | null;
  /** Recent sends, by service. */
  readonly sendWindows: immutable.Map<string, sendBudget.SendWindow>;
  /** Roll-outs of versions, by service. */
  readonly canaries: immutable.Map<string, canaryState.Canary>;
  /** Typical time to the head of an answer for one unit of work, by service and model. */
  readonly headTimes: immutable.Map<string, average.Average>;
  /** Typical time between two events of a stream, by service and model. */
  readonly eventTimes: immutable.Map<string, average.Average>;
  /** Time to a head relative to the route's target, by service; near 1 the pool is out of room. */
  readonly saturation: immutable.Map<string, average.Average>;
  /** Last use of prompt parts, by upstream, model and part. */
  readonly cachedParts: immutable.Map<string, number>;
}

/** Settings without a deployment's own bounds. */
export const DEFAULT_SETTINGS: RoutedSettings = {
  maxKeyAgeMs: 4_000,
  maxDenyAgeMs: 2_000,
  repeats: { share: 0.2, slack: 20, windowMs: 10_000 },
  exposureShare: 0.15,
};

/** Makes the context of a router that has seen nothing. */
export const makeContext = (settings: RoutedSettings = DEFAULT_SETTINGS): RoutedContext => ({
  settings,
  routeIndex: null,
  sendWindows: immutable.Map(),
  canaries: immutable.Map(),
  headTimes: immutable.Map(),
  eventTimes: immutable.Map(),
  saturation: immutable.Map(),
  cachedParts: immutable.Map(),
});

/** Returns the recent sends to a service. */
export const getSendWindow = (context: RoutedContext, service: string): sendBudget.SendWindow =>
  context.sendWindows.get(service) ?? sendBudget.EMPTY_WINDOW;

/**
 * Prompt tokens that take as long as everything else before the first event; the time to a head is learned for
 * units of this size.
 */
export const TOKENS_PER_UNIT = 500;

/** Weight of one sample in a typical time. */
const TYPICAL_WEIGHT = 0.05;

type TypicalTime = 'headTimes' | 'eventTimes';

/** Weight of one head in a service's crowding; about a second of traffic decides. */
const SATURATION_WEIGHT = 0.15;

/** Returns how much of their target latency requests of a service wait for the head. */
export const getSaturation = (context: RoutedContext, service: string): number =>
  context.saturation.get(service)?.value ?? 0;

/** Records the time to one head, relative to its route's target. */
export const recordSaturation = (
  context: RoutedContext,
  service: string,
  share: number,
): RoutedContext => ({
  ...context,
  saturation: context.saturation.set(
    service,
    average.updateAverage(
      context.saturation.get(service) ?? average.EMPTY_AVERAGE,
      share,
      SATURATION_WEIGHT,
    ),
  ),
});

/** Returns a typical time of a service's model, or null before the first. */
export const getTypicalMs = (
  context: RoutedContext,
  kind: TypicalTime,
  service: string,
  model: string | null,
): number | null => context[kind].get(`${service}|${model ?? ''}`)?.value ?? null;

/** Records a sample of a typical time. */
export const recordTypical = (
  context: RoutedContext,
  kind: TypicalTime,
  service: string,
  model: string | null,
  sampleMs: number,
): RoutedContext => {
  const key = `${service}|${model ?? ''}`;
  const known = context[kind].get(key) ?? average.EMPTY_AVERAGE;
  const next = average.updateAverage(known, sampleMs, TYPICAL_WEIGHT);
  return { ...context, [kind]: context[kind].set(key, next) };
};

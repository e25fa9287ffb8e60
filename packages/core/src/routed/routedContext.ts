import * as immutable from 'immutable';
import * as average from '../average.js';
import type * as canaryState from './canaryState.js';
import * as guardState from './guardState.js';
import type * as prefixCache from './prefixCache.js';
import type * as routeIndex from './routeIndex.js';
import * as sendBudget from './sendBudget.js';

/** Settings of routed requests. */
export interface RoutedSettings {
  /** Largest age of the last confirmation of the table at which keys are accepted, in milliseconds. */
  readonly maxKeyAgeMs: number;
  /** Largest age of that confirmation at which an unknown key or path is denied, in milliseconds. */
  readonly maxDenyAgeMs: number;
  /** Limit on the repeated sends of all routers together to one service. */
  readonly repeats: sendBudget.RepeatRule;
  /** Limit on the requests of a roll-out's period that a bad version may receive. */
  readonly exposure: canaryState.ExposureLimit;
}

/** Part of the router's state that only routed requests use. */
export interface RoutedContext {
  readonly settings: RoutedSettings;
  /** Route table in force, or null before the first one. */
  readonly routeIndex: routeIndex.RouteIndex | null;
  /** Recent sends by service, which limit repeated sends. */
  readonly sendWindows: immutable.Map<string, sendBudget.SendWindow>;
  /** Canary roll-outs of versions, by service. */
  readonly canaries: immutable.Map<string, canaryState.Canary>;
  /** Typical time to the head of an answer per unit of work, in milliseconds, by service and model. */
  readonly headTimes: immutable.Map<string, average.Average>;
  /** Typical time between two events of a stream, in milliseconds, by service and model. */
  readonly eventTimes: immutable.Map<string, average.Average>;
  /** Time to the head relative to the route's target latency, by service; near 1 the pool has no capacity left. */
  readonly saturation: immutable.Map<string, average.Average>;
  /** Prompt parts that upstreams have in their prefix caches. */
  readonly cachedParts: prefixCache.CachedParts;
  /** Evidence on requests that crash upstreams. */
  readonly guard: guardState.GuardState;
}

/** Default settings, for deployments that set no bounds of their own. */
export const DEFAULT_SETTINGS: RoutedSettings = {
  maxKeyAgeMs: 4_000,
  maxDenyAgeMs: 2_000,
  repeats: { share: 0.2, slack: 20, windowMs: 10_000 },
  exposure: { share: 0.15, slack: 0 },
};

/** Makes the initial context of a router. */
export const makeContext = (settings: RoutedSettings = DEFAULT_SETTINGS): RoutedContext => ({
  settings,
  routeIndex: null,
  sendWindows: immutable.Map(),
  canaries: immutable.Map(),
  headTimes: immutable.Map(),
  eventTimes: immutable.Map(),
  saturation: immutable.Map(),
  cachedParts: immutable.Map(),
  guard: guardState.EMPTY_GUARD,
});

/** Returns the recent sends to a service; empty for an unknown service. */
export const getSendWindow = (context: RoutedContext, service: string): sendBudget.SendWindow =>
  context.sendWindows.get(service) ?? sendBudget.EMPTY_WINDOW;

/**
 * Prompt tokens whose prefill takes as long as all other work before the first event; times to the head are
 * learned per unit of this size.
 */
export const TOKENS_PER_UNIT = 500;

/** Weight of one sample in the exponentially weighted average of a typical time. */
const TYPICAL_WEIGHT = 0.05;

type TypicalTime = 'headTimes' | 'eventTimes';

/** Weight of one sample in a service's saturation; the average covers about a second of traffic. */
const SATURATION_WEIGHT = 0.15;

/** Returns the average time to the head relative to the target latency; 0 before the first head. */
export const getSaturation = (context: RoutedContext, service: string): number =>
  context.saturation.get(service)?.value ?? 0;

/** Records one time to the head, relative to the target latency of its route. */
export const recordSaturation = (
  context: RoutedContext,
  service: string,
  ratio: number,
): RoutedContext => ({
  ...context,
  saturation: context.saturation.set(
    service,
    average.updateAverage(
      context.saturation.get(service) ?? average.EMPTY_AVERAGE,
      ratio,
      SATURATION_WEIGHT,
    ),
  ),
});

/** Returns a typical time of a service's model in milliseconds, or null before the first sample. */
export const getTypicalMs = (
  context: RoutedContext,
  kind: TypicalTime,
  service: string,
  model: string | null,
): number | null => context[kind].get(`${service}|${model ?? ''}`)?.value ?? null;

/** Records a sample of a typical time. */
export const recordTypicalMs = (
  context: RoutedContext,
  kind: TypicalTime,
  service: string,
  model: string | null,
  sampleMs: number,
): RoutedContext => {
  const key = `${service}|${model ?? ''}`;
  const previous = context[kind].get(key) ?? average.EMPTY_AVERAGE;
  const next = average.updateAverage(previous, sampleMs, TYPICAL_WEIGHT);
  return { ...context, [kind]: context[kind].set(key, next) };
};

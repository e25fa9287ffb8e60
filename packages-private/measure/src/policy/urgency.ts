import * as core from '@jayrock/core';
import * as shared from '@jayrock/shared';
import type * as fakeEngine from './fakeEngine.js';
import * as rngs from './rng.js';
import type * as routedCalls from './routedCalls.js';
import type * as scenarios from './scenarios.js';
import * as simulation from './simulation.js';
import * as stats from './stats.js';
import * as workload from './workload.js';

const DURATION_MS = 60_000;
const CROWD_FROM_MS = 20_000;
const CROWD_TO_MS = 40_000;
/** Requests a second at which the pool is three quarters full. */
const BASE_RATE = 16;
const ENGINES = 6;
const SLOTS = 8;

const CLASSES: readonly workload.RequestClass[] = [
  {
    name: 'advice',
    share: 0.35,
    tokensIn: 826,
    tokensOut: 290,
    hardShare: 0,
    prefix: 1,
    streaming: true,
    terms: { priority: 0, targetMs: 1_000, deadlineMs: 15_000 },
  },
  {
    name: 'summary',
    share: 0.35,
    tokensIn: 2_400,
    tokensOut: 20,
    hardShare: 0,
    prefix: 2,
    streaming: true,
    terms: { priority: 1, targetMs: 1_000, deadlineMs: 4_000 },
  },
  {
    name: 'review',
    share: 0.3,
    tokensIn: 12_000,
    tokensOut: 380,
    hardShare: 0,
    prefix: 3,
    streaming: true,
    terms: { priority: 2, targetMs: 4_000, deadlineMs: 20_000 },
  },
];

const TABLE = shared.routeTable.routeTableSchema.parse({
  version: 1,
  routes: CLASSES.map(({ name, terms }) => ({
    name,
    host: 'h',
    prefix: `/${name}/`,
    kind: 'streaming',
    isResumable: true,
    targets: [{ service: 'pool' }],
    timeoutMs: terms?.deadlineMs,
    targetLatencyMs: terms?.targetMs,
    priority: terms?.priority,
    maxAttempts: 3,
  })),
  services: [{ name: 'pool', engine: { slots: SLOTS, memoryTokens: 500_000 } }],
  organisations: workload.CUSTOMERS.map((name) => ({ name, keys: [name] })),
});

const makeEngines = (): readonly fakeEngine.FakeEngineOptions[] =>
  Array.from({ length: ENGINES }, (_, index) => ({
    id: `engine-${index}`,
    slots: SLOTS,
    msPerToken: 10,
    msPerPromptToken: 0.01,
    prefixCacheSize: 2,
    slowIntervals: [],
  }));

const isInCrowd = (atMs: number): boolean => atMs >= CROWD_FROM_MS && atMs < CROWD_TO_MS;

/** A load under which there is too little room for a time. */
interface Load {
  readonly name: string;
  /** Demand during the crowd, as a multiple of the base rate. */
  readonly factor: number;
  readonly dark?: number;
  readonly change?: (
    request: workload.WorkloadRequest,
    fraction: number,
  ) => workload.WorkloadRequest;
}

/** The organisation that sends many times its usual, and its share of the crowd's requests. */
const LARGE_CUSTOMER = 'customer-3';
const LARGE_SHARE = 0.45;

const LOADS: readonly Load[] = [
  { name: 'burst of 2.5', factor: 2.5 },
  {
    name: 'one organisation at 8 times',
    factor: 1.8,
    change: (request, fraction) =>
      fraction < LARGE_SHARE ? { ...request, customer: LARGE_CUSTOMER } : request,
  },
  {
    name: 'abusive repeats',
    factor: 2.2,
    change: (request, fraction) => (fraction < 0.3 ? { ...request, caller: 'abusive' } : request),
  },
  { name: 'a third of the pool dark', factor: 1.5, dark: ENGINES / 3 },
  {
    name: 'callers that give up',
    factor: 2.2,
    change: (request, fraction) => (fraction < 0.3 ? { ...request, caller: 'leaving' } : request),
  },
];

const { DEFAULT_POLICY } = core.policy;

const POLICIES: readonly scenarios.NamedPolicy[] = [
  {
    name: 'naive',
    policy: { ...DEFAULT_POLICY, queue: 'firstCome', admission: 'off', urgency: 'off' },
  },
  { name: 'former', policy: { ...DEFAULT_POLICY, urgency: 'off' } },
  ...(['strict', 'weighted', 'deadline', 'slack', 'shortest', 'mixed'] as const).map((urgency) => ({
    name: urgency,
    policy: { ...DEFAULT_POLICY, urgency },
  })),
];

const computeShare = <T>(items: readonly T[], isCounted: (item: T) => boolean): number =>
  items.filter(isCounted).length / Math.max(1, items.length);

/** Describes what the callers of one class got: shares on time, late and refused, and how long the refused had waited. */
const describeClass = (
  { name, terms }: workload.RequestClass,
  results: readonly simulation.RequestResult[],
): scenarios.Figures => {
  const own = results.filter(({ request }) => request.requestClass.name === name);
  const isAnswered = (item: simulation.RequestResult): boolean => item.outcome === 'answered';
  const isOnTime = (item: simulation.RequestResult): boolean =>
    isAnswered(item) && item.firstTokenMs <= (terms?.targetMs ?? 0);
  const refused = own.filter(({ outcome }) => outcome === 'refused');
  const key = `p${terms?.priority ?? 0}`;
  return {
    [`${key}OnTime`]: computeShare(own, isOnTime),
    [`${key}Late`]: computeShare(own, (item) => isAnswered(item) && !isOnTime(item)),
    [`${key}Refused`]: refused.length / Math.max(1, own.length),
    [`${key}RefusedMs`]:
      refused.length === 0 ? 0 : stats.computeMean(refused.map((item) => item.elapsedMs)),
  };
};

const runLoad =
  ({ factor, dark = 0, change = (request) => request }: Load): scenarios.Scenario['run'] =>
  (policy, seed) => {
    const draws = rngs.makeRng(seed);
    const requests = workload
      .drawWorkload(
        CLASSES,
        (atMs) => BASE_RATE * (isInCrowd(atMs) ? factor : 1),
        BASE_RATE * factor,
        DURATION_MS,
        draws,
      )
      .map((request) => (isInCrowd(request.atMs) ? change(request, draws.next()) : request));
    const engines = makeEngines();
    const routed: routedCalls.RoutedOptions = {
      table: TABLE,
      dark: {
        ids: engines.slice(0, dark).map(({ id }) => id),
        fromMs: CROWD_FROM_MS,
        toMs: CROWD_TO_MS,
      },
    };
    const { results } = simulation.runSimulation({
      seed,
      policy,
      requests,
      engines,
      routed,
      quality: () => 1,
      untilMs: DURATION_MS + 30_000,
      deadlineMs: 20_000,
      reportDelayMs: 300,
      ratingDelayMs: 400,
    });
    // Callers that leave on their own are not owed an answer.
    const owed = results.filter(
      ({ request }) => isInCrowd(request.atMs) && request.caller !== 'leaving',
    );
    const others = owed.filter(({ request }) => request.customer !== LARGE_CUSTOMER);
    return {
      ...Object.assign({}, ...CLASSES.map((requestClass) => describeClass(requestClass, owed))),
      othersServed: computeShare(others, ({ outcome }) => outcome === 'answered'),
    };
  };

/** Largest share of its callers by which a priority is served less than a less urgent one; at most 0 if none is. */
const computeServedGap = (figures: scenarios.Figures): number => {
  const served = [0, 1, 2].map(
    (priority) => (figures[`p${priority}OnTime`] ?? 0) + (figures[`p${priority}Late`] ?? 0),
  );
  return Math.max(
    ...served.flatMap((share, index) => served.slice(index + 1).map((less) => less - share)),
  );
};

/** Loads with too little room, and what each order of the waiting requests gives the callers of each priority. */
export const URGENCY_SCENARIOS: readonly scenarios.Scenario[] = LOADS.map((load) => ({
  name: `urgency, ${load.name}`,
  site: 'routed',
  target: 'no priority is served worse than a less urgent one',
  policies: POLICIES,
  run: runLoad(load),
  compare: (_, figures) => ({ servedGap: computeServedGap(figures) }),
}));

import * as shared from '@jayrock/shared';
import * as core from '../src/index.js';

/** Makes a configuration of two models and one plain service. */
export const makeConfiguration = (
  change: Partial<shared.lists.ModelsList> = {},
  generation = 1,
): shared.lists.Configuration => ({
  generation,
  signingKey: '0'.repeat(64),
  plans: shared.lists.plansListSchema.parse({
    plans: [
      { name: 'both', models: ['small', 'large'], services: ['orders'], deadlineMs: 10_000 },
      { name: 'cheap', models: ['small'], deadlineMs: 10_000 },
    ],
    customers: ['ada', 'ben', 'cleo'].map((name) => ({
      name,
      plan: name === 'cleo' ? 'cheap' : 'both',
      keyHash: shared.hash.hashDigest(name),
    })),
  }),
  models: shared.lists.modelsListSchema.parse({
    services: [
      { name: 'pool', kind: 'engines' },
      {
        name: 'orders',
        kind: 'plain',
        routes: [
          { path: '/issue', repeatable: false, costMicros: 7 },
          { path: '/find', repeatable: true, costMicros: 1 },
        ],
      },
    ],
    models: [
      {
        name: 'small',
        service: 'pool',
        costPerThousandTokensMicros: 100,
        versions: [
          { name: 'v1', state: 'stable' },
          { name: 'v2', state: 'candidate' },
        ],
      },
      {
        name: 'large',
        service: 'pool',
        costPerThousandTokensMicros: 1_000,
        versions: [{ name: 'v1', state: 'stable' }],
      },
    ],
    ...change,
  }),
});

/** Makes the hosts of a pool of engines and of the plain service. */
export const makeHosts = (engines = 3, plains = 2): readonly shared.hosts.Host[] => [
  ...Array.from({ length: engines }, (_, index) => ({
    id: `engine-${index}`,
    address: `127.0.0.1:${7_000 + index}`,
    zone: index % 2 === 0 ? 'a' : 'b',
    service: 'pool',
    state: 'live' as const,
  })),
  ...Array.from({ length: plains }, (_, index) => ({
    id: `plain-${index}`,
    address: `127.0.0.1:${7_100 + index}`,
    zone: 'a',
    service: 'orders',
    state: 'live' as const,
  })),
];

/** Versions that all engines of the fixtures have loaded. */
export const LOADED = ['small@v1', 'small@v2', 'large@v1'] as const;

/** Makes the shape of a chat request. */
export const makeShape = (
  change: Partial<core.requestState.RequestShape> = {},
): core.requestState.RequestShape => ({
  kind: 'chat',
  target: 'small',
  adapter: null,
  path: '',
  streaming: true,
  tokensIn: 40,
  maxTokens: 200,
  prefix: 1,
  fingerprint: 'f',
  ...change,
});

/**
 * Types of renamed events, by their former name. The random number of an event is derived from the
 * former name, since some tests depend on the sequence of random numbers.
 */
const TYPES_BY_SEED_NAME: Readonly<Record<string, core.events.EventType>> = {
  paceReported: 'interTokenRatioReported',
  claimSettled: 'claimResolved',
  alarmReceived: 'versionBlocked',
  greetingReceived: 'gossipReceived',
  demandTold: 'demandReported',
  relaySettingsChanged: 'routedSettingsChanged',
  relayArrived: 'routedRequestArrived',
  relayHeadArrived: 'routedHeadArrived',
  relayEnded: 'routedAttemptEnded',
  relayFailed: 'routedAttemptFailed',
  crashWitnessed: 'crashObserved',
  upstreamReached: 'reachabilityObserved',
  trialSeen: 'canaryObserved',
  trialTold: 'canaryReportReceived',
};

/** Names from which random numbers are derived, by event type; other events use their type. */
const SEED_NAMES: ReadonlyMap<string, string> = new Map(
  Object.entries(TYPES_BY_SEED_NAME).map(([name, type]) => [type, name]),
);

/** Drives the reducer in a test: applies events and records all effects. */
export interface Driver {
  readonly send: (
    event: core.events.UnstampedEvent,
    nowMs?: number,
  ) => readonly core.effects.Effect[];
  readonly getState: () => core.routerState.RouterState;
  readonly getEffects: () => readonly core.effects.Effect[];
}

/** Makes a driver without configuration or hosts. */
export const makeDriver = (policy = core.policy.DEFAULT_POLICY): Driver => {
  let state = core.routerState.makeState(
    { routerId: 'r1', zone: 'a', address: '127.0.0.1:1', ledgerCapacity: 1_000 },
    policy,
  );
  let effects: readonly core.effects.Effect[] = [];
  // Time zero means "never" in the state: clocks that count from 1970 do not show it.
  let clockMs = 1;
  return {
    send: (event, nowMs = clockMs) => {
      clockMs = nowMs;
      const seedName = SEED_NAMES.get(event.type) ?? event.type;
      const random = shared.hash.hashToFraction(`${effects.length}|${nowMs}|${seedName}`);
      const stamped = { ...event, nowMs, random } as core.events.Event;
      const result = core.reduce.reduce(state, stamped);
      state = result.state;
      effects = [...effects, ...result.effects];
      return result.effects;
    },
    getState: () => state,
    getEffects: () => effects,
  };
};

/** Makes a driver with a configuration and a loaded pool. */
export const makeReadyDriver = (
  policy = core.policy.DEFAULT_POLICY,
  configuration = makeConfiguration(),
  hosts = makeHosts(),
): Driver => {
  const driver = makeDriver(policy);
  driver.send({ type: 'configAdopted', configuration });
  driver.send({ type: 'hostsListed', hosts });
  hosts
    .filter((host) => host.service === 'pool')
    .forEach((host) =>
      driver.send({
        type: 'loadReported',
        upstreamId: host.id,
        report: { running: 0, waiting: 0, slots: 4, loaded: [...LOADED] },
      }),
    );
  return driver;
};

/** Sends the arrival of a chat request. */
export const sendArrival = (
  driver: Driver,
  requestId: string,
  change: Partial<core.requestState.RequestShape> = {},
  extra: object = {},
  nowMs?: number,
): readonly core.effects.Effect[] =>
  driver.send(
    {
      type: 'requestArrived',
      requestId,
      customer: 'ada',
      shape: makeShape({ fingerprint: `f-${requestId}`, ...change }),
      pin: null,
      session: null,
      ...extra,
    },
    nowMs,
  );

/** Picks the effects of one type. */
export const pickEffects = <T extends core.effects.EffectType>(
  effects: readonly core.effects.Effect[],
  type: T,
): readonly core.effects.EffectOf<T>[] =>
  effects.filter(
    (effect) => effect.type === type,
  ) as unknown as readonly core.effects.EffectOf<T>[];

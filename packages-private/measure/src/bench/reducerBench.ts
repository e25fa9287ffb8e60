import * as core from '@jayrock/core';
import * as shared from '@jayrock/shared';

/** Mean time and growth of the heap for one event. */
export interface ReducerCost {
  readonly microseconds: number;
  readonly bytes: number;
}

const ENGINES = 110;
const CUSTOMERS = 50;
const WARM_UP_CYCLES = 3_000;
const CYCLES = 10_000;
const EVENTS_PER_CYCLE = 5;
const EVENT_INTERVAL_MS = 0.5;
const SLOT_HEADROOM = 8;
const LOADED = ['small@v1', 'large@v1'] as const;

const makeConfiguration = (): shared.lists.Configuration => ({
  generation: 1,
  signingKey: '0'.repeat(64),
  plans: shared.lists.plansListSchema.parse({
    plans: [{ name: 'plan', models: ['small', 'large'] }],
    customers: Array.from({ length: CUSTOMERS }, (_, index) => ({
      name: `customer-${index}`,
      plan: 'plan',
      keyHash: shared.hash.hashDigest(String(index)),
    })),
  }),
  models: shared.lists.modelsListSchema.parse({
    services: [{ name: 'pool', kind: 'engines' }],
    models: ['small', 'large'].map((name, index) => ({
      name,
      service: 'pool',
      costPerThousandTokensMicros: 100 * (index + 1),
      versions: [{ name: 'v1', state: 'stable' }],
    })),
  }),
});

interface Bench {
  readonly send: (event: core.events.UnstampedEvent) => readonly core.effects.Effect[];
  readonly arrive: (index: number) => void;
  readonly finish: (index: number) => void;
}

const makeShape = (index: number): core.requestState.RequestShape => ({
  kind: 'chat',
  target: 'auto',
  adapter: null,
  path: '',
  streaming: true,
  tokensIn: 200,
  maxTokens: 400,
  prefix: index % 40,
  fingerprint: `f${index}`,
});

const makeBench = (inFlight: number): Bench => {
  let nowMs = 1;
  let count = 0;
  let state = core.routerState.makeState({
    routerId: 'r1',
    zone: 'a',
    address: '127.0.0.1:1',
    ledgerCapacity: 1_000_000,
  });
  const send = (event: core.events.UnstampedEvent): readonly core.effects.Effect[] => {
    nowMs += EVENT_INTERVAL_MS;
    count += 1;
    const random = ((count * 7_919) % 10_007) / 10_007;
    const transition = core.reduce.reduce(state, { ...event, nowMs, random });
    state = transition.state;
    return transition.effects;
  };
  send({ type: 'configAdopted', configuration: makeConfiguration() });
  send({
    type: 'hostsListed',
    hosts: Array.from({ length: ENGINES }, (_, index) => ({
      id: `engine-${index}`,
      address: `10.0.0.${index}:80`,
      zone: 'a',
      service: 'pool',
      state: 'live',
    })),
  });
  // Enough slots that no request waits: each gets its attempt immediately.
  const slots = Math.ceil((inFlight * SLOT_HEADROOM) / ENGINES) + SLOT_HEADROOM;
  Array.from({ length: ENGINES }, (_, index) =>
    send({
      type: 'loadReported',
      upstreamId: `engine-${index}`,
      report: { running: 0, waiting: 0, slots, loaded: [...LOADED] },
    }),
  );
  return {
    send,
    arrive: (index) => {
      send({
        type: 'requestArrived',
        requestId: `q${index}`,
        customer: `customer-${index % CUSTOMERS}`,
        shape: makeShape(index),
        pin: null,
        session: null,
      });
      send({ type: 'attemptFirstToken', requestId: `q${index}`, attemptId: 1 });
    },
    finish: (index) => {
      const requestId = `q${index}`;
      send({ type: 'attemptEnded', requestId, attemptId: 1, tokensOut: 100, isBilled: true });
      send({ type: 'entryWitnessed', requestId });
      send({ type: 'entriesWritten', requestIds: [requestId], isWritten: true });
    },
  };
};

/** Measures the mean cost of an event while a number of requests is in flight. */
export const measureReducer = (inFlight: number): ReducerCost => {
  const bench = makeBench(inFlight);
  for (let index = 0; index < inFlight; index += 1) {
    bench.arrive(index);
  }
  const runCycles = (from: number, cycles: number): void => {
    for (let index = from; index < from + cycles; index += 1) {
      bench.finish(index);
      bench.arrive(index + inFlight);
    }
  };
  runCycles(0, WARM_UP_CYCLES);
  globalThis.gc?.();
  const heapBefore = process.memoryUsage().heapUsed;
  const startedMs = performance.now();
  runCycles(WARM_UP_CYCLES, CYCLES);
  const elapsedMs = performance.now() - startedMs;
  const heapAfter = process.memoryUsage().heapUsed;
  const events = CYCLES * EVENTS_PER_CYCLE;
  return {
    microseconds: (elapsedMs * 1_000) / events,
    bytes: Math.max(0, heapAfter - heapBefore) / events,
  };
};

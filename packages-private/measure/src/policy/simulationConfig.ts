import * as shared from '@jayrock/shared';
import type * as simulation from './simulation.js';
import * as workload from './workload.js';

/** Price of a thousand tokens of the small model, in millionths of the currency. */
const SMALL_PRICE = 100;
/** Price of a thousand tokens of the large model, in millionths of the currency. */
const LARGE_PRICE = 1_000;

/** Versions that every fake engine has loaded. */
export const LOADED_VERSIONS = ['small@v1', 'small@v2', 'large@v1'] as const;

/** Returns the price of a thousand tokens of a version, in millionths of the currency. */
export const getPrice = (versionId: string): number =>
  versionId.startsWith('large') ? LARGE_PRICE : SMALL_PRICE;

/** Makes the configuration of a simulation: a small and a large model in one pool. */
export const makeConfiguration = (
  options: simulation.SimulationOptions,
): shared.lists.Configuration => ({
  generation: 1,
  signingKey: '0'.repeat(64),
  plans: shared.lists.plansListSchema.parse({
    plans: [
      {
        name: 'plan',
        models: ['small', 'large'],
        qualityTarget: 0.8,
        deadlineMs: options.deadlineMs,
      },
    ],
    customers: workload.CUSTOMERS.map((name) => ({
      name,
      plan: 'plan',
      keyHash: shared.hash.hashDigest(name),
    })),
  }),
  models: shared.lists.modelsListSchema.parse({
    services: [{ name: 'pool', kind: 'engines' }],
    models: [
      {
        name: 'small',
        service: 'pool',
        costPerThousandTokensMicros: SMALL_PRICE,
        versions: [
          { name: 'v1', state: 'stable' },
          { name: 'v2', state: 'candidate' },
        ],
      },
      {
        name: 'large',
        service: 'pool',
        costPerThousandTokensMicros: LARGE_PRICE,
        versions: [{ name: 'v1', state: 'stable' }],
      },
    ],
    rollouts:
      options.hasRollout === true
        ? [
            {
              model: 'small',
              from: 'v1',
              to: 'v2',
              steps: [1, 5, 10, 25, 50, 100],
              step: 2,
              state: 'running',
            },
          ]
        : [],
  }),
});

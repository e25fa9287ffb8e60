import * as shared from '@jayrock/shared';
import * as core from '../src/index.js';
import * as fixtures from './fixtures.js';

/** Makes a table with safe, unsafe and streaming routes to one engine service. */
export const makeTable = (change: object = {}): shared.routeTable.RouteTable =>
  shared.routeTable.routeTableSchema.parse({
    version: 1,
    routes: [
      { name: 'read', host: 'h', prefix: '/read/', kind: 'safe' },
      { name: 'deep', host: 'h', prefix: '/read/deep/', kind: 'safe' },
      { name: 'issue', host: 'h', prefix: '/issue/', kind: 'unsafe' },
      { name: 'talk', host: 'h', prefix: '/talk/', kind: 'streaming', isResumable: true },
      {
        name: 'sized',
        host: 'h',
        prefix: '/sized/',
        kind: 'streaming',
        isResumable: true,
        sizes: ['small', 'large'],
      },
    ].map((route) => ({ ...route, targets: [{ service: 'desk' }], maxAttempts: 3 })),
    services: [
      {
        name: 'desk',
        engine: {
          slots: 4,
          memoryTokens: 10_000,
          models: [
            { name: 'small', costPerThousandTokens: 0.01 },
            { name: 'large', costPerThousandTokens: 0.2 },
          ],
        },
      },
    ],
    organisations: [{ name: 'ada', keys: ['k'] }],
    ...change,
  });

/** Makes a host of the table's service. */
export const makeHost = (
  id: string,
  change: Partial<shared.hosts.Host> = {},
): shared.hosts.Host => ({
  id,
  address: `127.0.0.1:${id.length}`,
  zone: 'a',
  service: 'desk',
  state: 'live',
  version: 'v1',
  slots: 4,
  bornAtMs: 1,
  ...change,
});

/** Makes a driver of a router that has a table and hosts. */
export const makeRoutedDriver = (
  ids: readonly string[] = ['u1', 'u2', 'u3'],
  table = makeTable(),
): fixtures.Driver => {
  const driver = fixtures.makeDriver();
  driver.send({ type: 'routesAdopted', table });
  ids.forEach((id) => driver.send({ type: 'hostChanged', host: makeHost(id) }));
  return driver;
};

/** Makes the properties of a routed request. */
export const makeCall = (
  change: Partial<core.routedState.RoutedCall> = {},
): core.routedState.RoutedCall => ({
  host: 'h',
  path: '/read/',
  key: 'k',
  deadlineMs: 10_000,
  model: null,
  tokensIn: 0,
  maxTokens: 0,
  lengthHint: null,
  parts: [],
  lastEventId: null,
  session: null,
  fingerprint: 'f',
  callerFingerprint: null,
  formerFingerprint: null,
  ...change,
});

/** Sends the arrival of a routed request and returns the effects. */
export const sendCall = (
  driver: fixtures.Driver,
  requestId: string,
  change: Partial<core.routedState.RoutedCall> = {},
  tableAgeMs = 0,
  nowMs?: number,
  waitedMs = 0,
): readonly core.effects.Effect[] =>
  driver.send(
    { type: 'routedRequestArrived', requestId, call: makeCall(change), tableAgeMs, waitedMs },
    nowMs,
  );

/** Makes the event of a failed attempt. */
export const makeFailure = (
  requestId: string,
  attemptId: number,
  change: Partial<core.events.EventPayloads['routedAttemptFailed']> = {},
): core.events.UnstampedEvent => ({
  type: 'routedAttemptFailed',
  requestId,
  attemptId,
  failure: 'broken',
  isUnsent: false,
  isNotRun: false,
  ...change,
});

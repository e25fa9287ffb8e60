import test from 'ava';
import * as fc from 'fast-check';
import * as core from '../src/index.js';
import * as fixtures from './fixtures.js';

/** Version and upstream on which a request starts. */
interface Placement {
  readonly requestId: string;
  readonly versionId: string;
  readonly upstreamId: string;
}

interface Arrival {
  readonly customer: string;
  readonly target: 'auto' | 'small' | 'large';
}

/** Naive router: the most expensive allowed model, round robin over engines, own zone first. */
const placeNaively = (arrivals: readonly Arrival[]): readonly Placement[] => {
  const engines = fixtures.makeHosts().filter((host) => host.service === 'pool');
  const rotation = [
    ...engines.filter((host) => host.zone === 'a'),
    ...engines.filter((host) => host.zone !== 'a'),
  ].map((host) => host.id);
  const placements: Placement[] = [];
  arrivals.forEach(({ customer, target }, index) => {
    const allowed = customer === 'cleo' ? ['small'] : ['small', 'large'];
    const model = target === 'auto' ? allowed.at(-1) : target;
    if (model !== undefined && allowed.includes(model)) {
      placements.push({
        requestId: `q${index}`,
        versionId: `${model}@v1`,
        upstreamId: rotation[placements.length % rotation.length] ?? '',
      });
    }
  });
  return placements;
};

const placeByReducer = (arrivals: readonly Arrival[]): readonly Placement[] => {
  const driver = fixtures.makeReadyDriver(core.policy.NAIVE_POLICY);
  arrivals.forEach(({ customer, target }, index) => {
    fixtures.sendArrival(driver, `q${index}`, { target }, { customer }, index + 1);
  });
  return fixtures
    .pickEffects(driver.getEffects(), 'startAttempt')
    .map(({ requestId, versionId, upstreamId }) => ({ requestId, versionId, upstreamId }));
};

test('under the naive policy the reducer places requests like the naive router', (t) => {
  const arrivals = fc.array(
    fc.record({
      customer: fc.constantFrom('ada', 'ben', 'cleo'),
      target: fc.constantFrom<Arrival['target']>('auto', 'small', 'large'),
    }),
    { minLength: 1, maxLength: 60 },
  );
  fc.assert(
    fc.property(arrivals, (list) => {
      t.deepEqual(placeByReducer(list), placeNaively(list));
    }),
    { seed: 20_261_204, numRuns: 200 },
  );
});

/** Ends running requests one by one, and lists the customers of the requests that start instead. */
const serveQueue = (driver: fixtures.Driver, rounds: number): readonly string[] => {
  const order: string[] = [];
  for (let round = 0; round < rounds; round += 1) {
    const running = driver.getState().requests.find((request) => request.phase === 'running');
    const attemptId = running?.attempts[0]?.id ?? 0;
    const requestId = running?.id ?? '';
    const effects = driver.send(
      { type: 'attemptEnded', requestId, attemptId, tokensOut: 40, isBilled: true },
      20 + round,
    );
    fixtures
      .pickEffects(effects, 'startAttempt')
      .forEach((start) => order.push(start.requestId.split('-')[0] ?? ''));
  }
  return order;
};

const sendRequests = (driver: fixtures.Driver, customer: string, count: number): void => {
  for (let index = 0; index < count; index += 1) {
    fixtures.sendArrival(driver, `${customer}-${index}`, {}, { customer }, 10);
  }
};

test('a customer with twenty times the load of another does not delay it', (t) => {
  const driver = fixtures.makeReadyDriver();
  sendRequests(driver, 'ada', 200);
  sendRequests(driver, 'ben', 10);
  const served = serveQueue(driver, 60)
    .slice(0, 30)
    .filter((customer) => customer === 'ben').length;
  t.is(served, 10, 'all requests of the small customer are among the first thirty starts');
});

test('customers with equal backlogs are served in turn, as each start charges its customer', (t) => {
  const driver = fixtures.makeReadyDriver();
  sendRequests(driver, 'cleo', 12);
  sendRequests(driver, 'ada', 6);
  sendRequests(driver, 'ben', 6);
  const order = serveQueue(driver, 6);
  t.is(order.length, 6);
  t.is(order.filter((customer) => customer === 'ada').length, 3, order.join(' '));
  t.is(order.filter((customer) => customer === 'ben').length, 3, order.join(' '));
});

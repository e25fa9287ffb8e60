import test from 'ava';
import * as fc from 'fast-check';
import * as core from '../src/index.js';
import * as fixtures from './fixtures.js';

/** Where a request starts. */
interface Placed {
  readonly requestId: string;
  readonly versionId: string;
  readonly upstreamId: string;
}

interface Asked {
  readonly customer: string;
  readonly target: 'auto' | 'small' | 'large';
}

/** The naive router: the dearest allowed model, engines in turn, own zone listed first. */
const placeNaively = (asked: readonly Asked[]): readonly Placed[] => {
  const engines = fixtures.makeHosts().filter((host) => host.service === 'pool');
  const turn = [
    ...engines.filter((host) => host.zone === 'a'),
    ...engines.filter((host) => host.zone !== 'a'),
  ].map((host) => host.id);
  const placed: Placed[] = [];
  asked.forEach(({ customer, target }, index) => {
    const allowed = customer === 'cleo' ? ['small'] : ['small', 'large'];
    const model = target === 'auto' ? allowed.at(-1) : target;
    if (model !== undefined && allowed.includes(model)) {
      placed.push({
        requestId: `q${index}`,
        versionId: `${model}@v1`,
        upstreamId: turn[placed.length % turn.length] ?? '',
      });
    }
  });
  return placed;
};

const placeByReducer = (asked: readonly Asked[]): readonly Placed[] => {
  const driver = fixtures.makeReadyDriver(core.policy.NAIVE_POLICY);
  asked.forEach(({ customer, target }, index) => {
    fixtures.sendArrival(driver, `q${index}`, { target }, { customer }, index + 1);
  });
  return fixtures
    .pickEffects(driver.getEffects(), 'startAttempt')
    .map(({ requestId, versionId, upstreamId }) => ({ requestId, versionId, upstreamId }));
};

test('with every policy off the reducer places work as the naive router does', (t) => {
  const asked = fc.array(
    fc.record({
      customer: fc.constantFrom('ada', 'ben', 'cleo'),
      target: fc.constantFrom<Asked['target']>('auto', 'small', 'large'),
    }),
    { minLength: 1, maxLength: 60 },
  );
  fc.assert(
    fc.property(asked, (list) => {
      t.deepEqual(placeByReducer(list), placeNaively(list));
    }),
    { seed: 20_261_204, numRuns: 200 },
  );
});

test('one customer at twenty times its share does not hold up the others', (t) => {
  const driver = fixtures.makeReadyDriver();
  const order: string[] = [];
  const send = (customer: string, index: number): void => {
    fixtures.sendArrival(driver, `${customer}-${index}`, {}, { customer }, 10);
  };
  for (let index = 0; index < 200; index += 1) {
    send('ada', index);
  }
  for (let index = 0; index < 10; index += 1) {
    send('ben', index);
  }
  for (let round = 0; round < 60; round += 1) {
    const running = driver.getState().requests.find((one) => one.phase === 'running');
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
  const served = order.slice(0, 30).filter((customer) => customer === 'ben').length;
  t.is(served, 10, 'all of the small customer is served among the first thirty starts');
});

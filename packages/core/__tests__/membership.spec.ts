import test from 'ava';
import * as fc from 'fast-check';
import * as core from '../src/index.js';
import * as fixtures from './fixtures.js';
import * as rolloutFleet from './rolloutFleet.js';

const makeUpdate = (
  id: string,
  change: Partial<core.member.MemberUpdate> = {},
): core.member.MemberUpdate => ({
  id,
  address: `10.0.0.1:${id}`,
  zone: 'a',
  status: 'alive',
  incarnation: 1,
  ...change,
});

const sendGossip = (
  driver: fixtures.Driver,
  self: core.member.MemberUpdate,
  updates: readonly core.member.MemberUpdate[] = [],
  generation = 0,
  nowMs = 0,
): readonly core.effects.Effect[] =>
  driver.send(
    {
      type: 'gossipReceived',
      message: { self, updates, generation, confirmedAgeMs: 0 },
    },
    nowMs,
  );

const getStatus = (driver: fixtures.Driver, id: string): string | undefined =>
  driver.getState().members.members.get(id)?.status;

test('a member that answers no probe is suspected and then declared dead', (t) => {
  const driver = fixtures.makeDriver();
  sendGossip(driver, makeUpdate('2'), [makeUpdate('3')]);
  const failed = driver.send({ type: 'probeFailed', targetId: '2' }, 100);
  t.deepEqual(fixtures.pickEffects(failed, 'sendIndirectProbe')[0]?.helpers, ['10.0.0.1:3']);
  driver.send({ type: 'indirectProbeFailed', targetId: '2' }, 200);
  t.is(getStatus(driver, '2'), 'suspect');
  driver.send({ type: 'probeDue' }, 200 + core.membership.SUSPICION_MS);
  t.is(getStatus(driver, '2'), 'dead');
});

test('a suspected member that refutes in time stays alive', (t) => {
  const driver = fixtures.makeDriver();
  sendGossip(driver, makeUpdate('2'));
  driver.send({ type: 'indirectProbeFailed', targetId: '2' }, 100);
  sendGossip(driver, makeUpdate('2', { incarnation: 2 }), [], 0, 200);
  driver.send({ type: 'probeDue' }, 10_000);
  t.is(getStatus(driver, '2'), 'alive');
});

test('a suspicion of this router is refuted with a higher incarnation', (t) => {
  const driver = fixtures.makeDriver();
  const { self } = driver.getState().members;
  sendGossip(driver, makeUpdate('2'), [{ ...self, status: 'suspect' }]);
  t.is(driver.getState().members.self.incarnation, self.incarnation + 1);
});

/** Time after which the updates on a death are no longer passed on, in milliseconds. */
const SPENT_MS = 10_000;

// Peers do not probe dead members.
test('a router that was declared dead hears of it from a probe of its address and is a member again', (t) => {
  const [peer, returned] = [0, 1].map((index) => rolloutFleet.makeRouter(index, 2, () => 0));
  if (peer === undefined || returned === undefined) {
    t.fail();
    return;
  }
  const makeMessage = (router: rolloutFleet.FleetRouter): core.events.GossipMessage =>
    core.membership.makeGossipMessage(router.getState(), [], 0);
  const { self } = returned.getState().members;
  const death = { ...self, status: 'dead' as const };
  peer.send({ type: 'gossipReceived', message: { ...makeMessage(returned), self: death } }, 0);
  for (let atMs = 0; atMs < SPENT_MS; atMs += 1_000) {
    peer.send({ type: 'seedAddressesChanged', addresses: ['elsewhere:1'] }, atMs);
    peer.send({ type: 'probeDue' }, atMs);
  }
  peer.send({ type: 'seedAddressesChanged', addresses: [self.address] }, SPENT_MS);
  const [probe] = fixtures.pickEffects(peer.send({ type: 'probeDue' }, SPENT_MS), 'sendProbe');
  t.is(probe?.address, self.address);
  t.deepEqual(probe?.message.updates, [death]);
  returned.send({ type: 'gossipReceived', message: probe?.message ?? makeMessage(peer) }, SPENT_MS);
  peer.send({ type: 'gossipReceived', message: makeMessage(returned) }, SPENT_MS);
  t.is(peer.getState().members.members.get(self.id)?.status, 'alive');
});

test('a member that has left does not come back with a higher incarnation', (t) => {
  const driver = fixtures.makeDriver();
  sendGossip(driver, makeUpdate('2'));
  sendGossip(driver, makeUpdate('2', { status: 'left' }));
  sendGossip(driver, makeUpdate('2', { incarnation: 5 }));
  t.is(getStatus(driver, '2'), 'left');
});

test('a host replaced at the same address is a new member', (t) => {
  const driver = fixtures.makeDriver();
  sendGossip(driver, makeUpdate('2', { address: '10.0.0.9:1' }));
  sendGossip(driver, makeUpdate('3', { address: '10.0.0.9:1' }));
  t.is(getStatus(driver, '2'), undefined);
  t.is(getStatus(driver, '3'), 'alive');
  sendGossip(driver, makeUpdate('4'), [makeUpdate('2', { address: '10.0.0.9:1' })]);
  t.is(
    getStatus(driver, '2'),
    undefined,
    'an outdated update does not restore the replaced member',
  );
});

test('a member that has left has no zone role', (t) => {
  const driver = fixtures.makeDriver();
  sendGossip(driver, makeUpdate('2'));
  sendGossip(driver, makeUpdate('2', { status: 'left' }));
  const table = driver.getState().members;
  t.is(core.memberTable.listActiveMembers(table).length, 0);
  t.true(core.zoneRoles.hasRole(table, 'configWatch', 1));
});

test('a greater generation is fetched and a smaller one is not', (t) => {
  const driver = fixtures.makeReadyDriver(
    core.policy.DEFAULT_POLICY,
    fixtures.makeConfiguration({}, 5),
  );
  t.is(fixtures.pickEffects(sendGossip(driver, makeUpdate('2'), [], 6), 'fetchConfig').length, 1);
  t.is(fixtures.pickEffects(sendGossip(driver, makeUpdate('3'), [], 4), 'fetchConfig').length, 0);
});

test('a configuration with a smaller generation is not adopted', (t) => {
  const driver = fixtures.makeReadyDriver(
    core.policy.DEFAULT_POLICY,
    fixtures.makeConfiguration({}, 5),
  );
  driver.send({ type: 'configAdopted', configuration: fixtures.makeConfiguration({}, 4) });
  t.is(driver.getState().config?.generation, 5);
});

test('the resulting member table does not depend on the order of updates', (t) => {
  const updates = fc.array(
    fc.record({
      id: fc.constantFrom('2', '3'),
      status: fc.constantFrom<core.member.MemberStatus>('alive', 'suspect', 'dead', 'left'),
      incarnation: fc.integer({ min: 1, max: 3 }),
    }),
    { minLength: 1, maxLength: 12 },
  );
  const mergeInOrder = (list: readonly Partial<core.member.MemberUpdate>[]): readonly string[] => {
    const table = list.reduce<core.memberTable.MemberTable>(
      (current, change) =>
        core.memberTable.mergeUpdate(current, makeUpdate(change.id ?? '2', change), 0),
      // Both members are known from the start: updates about unknown members that are gone are ignored.
      ['2', '3'].reduce(
        (current, id) =>
          core.memberTable.mergeUpdate(current, makeUpdate(id, { incarnation: 0 }), 0),
        core.memberTable.makeTable(makeUpdate('1')),
      ),
    );
    return ['2', '3'].map((id) => {
      const entry = table.members.get(id);
      const isGone = entry?.status === 'dead' || entry?.status === 'left';
      return isGone ? entry.status : `${entry?.status}${entry?.incarnation}`;
    });
  };
  fc.assert(
    fc.property(updates, (list) => {
      t.deepEqual(mergeInOrder(list), mergeInOrder(list.toReversed()));
    }),
    { seed: 20_261_204, numRuns: 300 },
  );
});

test('a message carries a bounded number of updates, and each update is sent a bounded number of times', (t) => {
  const driver = fixtures.makeDriver();
  const others = Array.from({ length: 200 }, (_, index) => makeUpdate(String(index + 2)));
  sendGossip(driver, makeUpdate('1000'), others);
  let sent = 0;
  for (let round = 0; round < 2_000; round += 1) {
    const [probe] = fixtures.pickEffects(driver.send({ type: 'probeDue' }, round), 'sendProbe');
    const count = probe?.message.updates.length ?? 0;
    t.true(count <= core.memberTable.UPDATES_PER_MESSAGE);
    sent += count;
  }
  t.is(driver.getState().members.gossipUpdates.size, 0);
  t.true(sent < 201 * 3 * 9);
});

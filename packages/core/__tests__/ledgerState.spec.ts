import test from 'ava';
import * as fc from 'fast-check';
import * as shared from '@jayrock/shared';
import * as fixtures from './fixtures.js';

const makeEntry = (requestId: string, atMs = 1): shared.ledgerEntry.LedgerEntry => ({
  requestId,
  customer: 'ada',
  plan: 'both',
  model: 'small',
  version: 'v1',
  upstream: 'engine-0',
  tokensIn: 1,
  tokensOut: 1,
  costMicros: 1,
  atMs,
});

const finishRequest = (driver: fixtures.Driver, requestId: string): void => {
  fixtures.sendArrival(driver, requestId);
  driver.send({ type: 'attemptFirstToken', requestId, attemptId: 1 });
  driver.send({ type: 'attemptEnded', requestId, attemptId: 1, tokensOut: 3, isBilled: true });
};

test('an entry stays pending until it is written, and its witness is then released', (t) => {
  const driver = fixtures.makeReadyDriver();
  finishRequest(driver, 'q1');
  const [write] = fixtures.pickEffects(driver.send({ type: 'ledgerDue' }), 'writeEntries');
  t.is(write?.entries[0]?.requestId, 'q1');
  t.is(fixtures.pickEffects(driver.send({ type: 'ledgerDue' }), 'writeEntries').length, 0);
  driver.send({ type: 'entriesWritten', requestIds: ['q1'], isWritten: false });
  t.is(fixtures.pickEffects(driver.send({ type: 'ledgerDue' }), 'writeEntries').length, 1);
  const effects = driver.send({ type: 'entriesWritten', requestIds: ['q1'], isWritten: true });
  t.deepEqual(fixtures.pickEffects(effects, 'releaseEntries')[0]?.requestIds, ['q1']);
  t.is(driver.getState().ledger.pending.size, 0);
});

test('a witness writes the entries of a router that has died', (t) => {
  const driver = fixtures.makeDriver();
  const self = {
    id: '9',
    address: '10.0.0.9:1',
    zone: 'b',
    status: 'alive' as const,
    incarnation: 1,
  };
  const message = { self, updates: [], generation: 0, confirmedAgeMs: 0 };
  driver.send({ type: 'gossipReceived', message });
  driver.send({ type: 'entriesHeld', origin: '9', entries: [makeEntry('q1')] });
  t.is(fixtures.pickEffects(driver.send({ type: 'ledgerDue' }), 'writeEntries').length, 0);
  const dead = { ...self, status: 'dead' as const };
  driver.send({
    type: 'gossipReceived',
    message: { ...message, self: { ...self, id: '8', address: '10.0.0.8:1' }, updates: [dead] },
  });
  const [write] = fixtures.pickEffects(driver.send({ type: 'ledgerDue' }), 'writeEntries');
  t.is(write?.entries[0]?.requestId, 'q1');
});

test('when the ledger is full, new requests are refused as not run', (t) => {
  const driver = fixtures.makeReadyDriver();
  const entries = Array.from({ length: 1_000 }, (_, index) => makeEntry(`other-${index}`));
  driver.send({ type: 'entriesHeld', origin: '9', entries });
  const [refusal] = fixtures.pickEffects(fixtures.sendArrival(driver, 'q1'), 'refuse');
  t.is(refusal?.code, 'ledgerFull');
  t.true(refusal?.notRun);
});

test('folding keeps one entry per id, independent of order and duplicates', (t) => {
  const entries = fc.array(fc.record({ id: fc.nat(5), atMs: fc.nat(100) }), {
    minLength: 1,
    maxLength: 30,
  });
  fc.assert(
    fc.property(entries, (list) => {
      const written = list.map((one) => makeEntry(`q${one.id}`, one.atMs));
      const folded = shared.ledgerEntry.foldLedger(written);
      const refolded = shared.ledgerEntry.foldLedger([...written.toReversed(), ...written]);
      t.is(folded.size, new Set(list.map((one) => one.id)).size);
      folded.forEach((entry, id) => t.is(refolded.get(id)?.atMs, entry.atMs));
    }),
    { seed: 20_261_204, numRuns: 200 },
  );
});

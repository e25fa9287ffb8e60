import test from 'ava';
import * as fc from 'fast-check';
import * as core from '../src/index.js';
import * as fixtures from './fixtures.js';

const BUCKET = 7;

type Operation = core.claimLog.ClaimOperation;

const makeClaim = (id: string, token: string): Operation => ({ kind: 'claim', id, token });

const sendClaim = (driver: fixtures.Driver, operation: Operation): readonly core.effects.Effect[] =>
  driver.send({ type: 'claimRequested', bucket: BUCKET, operation });

const load = (
  driver: fixtures.Driver,
  segments: readonly (readonly Operation[])[] | null,
): readonly core.effects.Effect[] =>
  driver.send({ type: 'claimLogLoaded', bucket: BUCKET, segments });

const finishWrite = (
  driver: fixtures.Driver,
  result: core.events.EventPayloads['claimSegmentWritten']['result'],
): readonly core.effects.Effect[] =>
  driver.send({ type: 'claimSegmentWritten', bucket: BUCKET, result });

const pickResults = (effects: readonly core.effects.Effect[]): Readonly<Record<string, string>> =>
  Object.fromEntries(
    fixtures.pickEffects(effects, 'answerClaim').map((effect) => [effect.token, effect.result]),
  );

test('waiting claims are written in one segment, and only the first claim of an id is granted', (t) => {
  const driver = fixtures.makeDriver();
  sendClaim(driver, makeClaim('a', 't1'));
  sendClaim(driver, makeClaim('a', 't2'));
  sendClaim(driver, makeClaim('b', 't3'));
  const [write] = fixtures.pickEffects(load(driver, []), 'writeClaimSegment');
  t.is(write?.operations.length, 3);
  t.is(write?.segment, 0);
  t.deepEqual(pickResults(finishWrite(driver, 'committed')), {
    t1: 'granted',
    t2: 'mayHaveRun',
    t3: 'granted',
  });
});

test('after a write conflict, claims are evaluated by the segment of the other writer', (t) => {
  const driver = fixtures.makeDriver();
  sendClaim(driver, makeClaim('a', 'mine'));
  load(driver, []);
  const [reload] = fixtures.pickEffects(finishWrite(driver, 'conflict'), 'loadClaimLog');
  t.is(reload?.fromSegment, 0);
  t.deepEqual(pickResults(load(driver, [[makeClaim('a', 'theirs')]])), { mine: 'mayHaveRun' });
});

test('a claim is granted if its write succeeded although the answer of the store was lost', (t) => {
  const driver = fixtures.makeDriver();
  sendClaim(driver, makeClaim('a', 'mine'));
  load(driver, []);
  finishWrite(driver, 'unknown');
  t.deepEqual(pickResults(load(driver, [[makeClaim('a', 'mine')]])), { mine: 'granted' });
});

test('the record of an answer that is already in the log is not written again', (t) => {
  const driver = fixtures.makeDriver();
  const answer = { status: 200, contentType: 'text/plain', body: 'done' };
  const record: Operation = { kind: 'answer', id: 'a', token: 'mine', answer };
  sendClaim(driver, record);
  load(driver, [[makeClaim('a', 'mine')]]);
  finishWrite(driver, 'unknown');
  const effects = load(driver, [[record]]);
  t.is(fixtures.pickEffects(effects, 'writeClaimSegment').length, 0);
  const resend = sendClaim(driver, makeClaim('a', 'again'));
  t.is(fixtures.pickEffects(resend, 'armClaimTimer').length, 1);
  const [replayed] = fixtures.pickEffects(
    driver.send({ type: 'claimTimerFired', bucket: BUCKET }),
    'answerClaim',
  );
  t.is(replayed?.result, 'answered');
  t.deepEqual(replayed?.answer, answer);
});

test('claims are answered with "unavailable" when the store fails twice', (t) => {
  const driver = fixtures.makeDriver();
  sendClaim(driver, makeClaim('a', 'mine'));
  t.is(fixtures.pickEffects(load(driver, null), 'loadClaimLog').length, 1);
  t.deepEqual(pickResults(load(driver, null)), { mine: 'unavailable' });
});

/** Store of segments that two writers share; its answers may be lost, refused or late. */
interface SharedStore {
  readonly segments: (readonly Operation[])[];
}

/** Fault at one step of a history: of the store, or a writer that pauses. */
type Disturbance = 'none' | 'loseAnswer' | 'refuse' | 'pause';

const writeShared = (
  store: SharedStore,
  segment: number,
  operations: readonly Operation[],
  disturbance: Disturbance,
): core.events.EventPayloads['claimSegmentWritten']['result'] => {
  if (disturbance === 'refuse') {
    return 'refused';
  }
  const isFree = store.segments.length === segment;
  if (isFree) {
    store.segments.push(operations);
  }
  if (disturbance === 'loseAnswer') {
    return 'unknown';
  }
  return isFree ? 'committed' : 'conflict';
};

test('two writers never grant an id twice, in spite of lost answers, refusals and pauses', (t) => {
  const steps = fc.array(
    fc.record({
      owner: fc.nat(1),
      id: fc.nat(5),
      kind: fc.constantFrom<'claim' | 'step'>('claim', 'step', 'step'),
      disturbance: fc.constantFrom<Disturbance>('none', 'none', 'loseAnswer', 'refuse', 'pause'),
    }),
    { minLength: 10, maxLength: 120 },
  );
  fc.assert(
    fc.property(steps, (history) => {
      const store: SharedStore = { segments: [] };
      const owners = [fixtures.makeDriver(), fixtures.makeDriver()];
      const pendingEffects: core.effects.Effect[][] = [[], []];
      const granted = new Map<string, string[]>();
      const tokens = new Map<string, string>();
      const collect = (owner: number, effects: readonly core.effects.Effect[]): void => {
        pendingEffects[owner]?.push(...effects);
        fixtures
          .pickEffects(effects, 'answerClaim')
          .filter((effect) => effect.result === 'granted')
          .forEach(({ token }) => {
            const id = tokens.get(token) ?? '';
            granted.set(id, [...(granted.get(id) ?? []), token]);
          });
      };
      history.forEach(({ owner, id, kind, disturbance }, index) => {
        const driver = owners[owner];
        if (driver === undefined) {
          return;
        }
        if (kind === 'claim') {
          const token = `t${index}`;
          tokens.set(token, `id${id}`);
          collect(owner, sendClaim(driver, makeClaim(`id${id}`, token)));
          return;
        }
        const next = pendingEffects[owner]?.shift();
        if (next === undefined || disturbance === 'pause') {
          pendingEffects[owner]?.unshift(...(next === undefined ? [] : [next]));
        } else if (next.type === 'loadClaimLog') {
          const segments = disturbance === 'refuse' ? null : store.segments.slice(next.fromSegment);
          collect(owner, load(driver, segments));
        } else if (next.type === 'writeClaimSegment') {
          const result = writeShared(store, next.segment, next.operations, disturbance);
          collect(owner, finishWrite(driver, result));
        } else if (next.type === 'armClaimTimer') {
          collect(owner, driver.send({ type: 'claimTimerFired', bucket: BUCKET }));
        }
      });
      return Array.from(granted.values()).every((list) => list.length === 1);
    }),
    { seed: 20_261_204, numRuns: 400 },
  );
  t.pass();
});

import test from 'ava';
import * as shared from '@jayrock/shared';
import * as standIns from '@jayrock/stand-ins';
import * as undici from 'undici';
import * as socketSite from './socketSite.js';

let site: socketSite.SocketSite;

test.before(async () => {
  site = await socketSite.startSite('127.0.3.2');
});

test.after.always(async () => {
  await site.close();
});

const setFaults = (change: Partial<standIns.control.Faults>): void =>
  site.engines.forEach((engine) => Object.assign(engine.faults, change));

const makeExpected = (versionId: string, prompt: string): string =>
  standIns.engine.makeAnswer(versionId, prompt, 200);

/** Waits until the router forwards an answer. */
const waitForwarding = (): Promise<void> =>
  standIns.control.waitUntil(() =>
    site.running.runtime.getState().requests.some((request) => request.forwardedAttempt !== null),
  );

test.serial('an answer arrives complete and is billed once, streamed or not', async (t) => {
  const streamed = await site.send(socketSite.makeChat('tell me'));
  const collected = await site.send(socketSite.makeChat('tell me', { stream: false }));
  t.true(streamed.isWhole);
  t.is(streamed.text, makeExpected(streamed.versionId, 'tell me'));
  t.is(collected.text, makeExpected(collected.versionId, 'tell me'));
  // Without a witness an entry is written immediately and again with its batch, so rows may repeat.
  // The folded rows are the ledger, and repeated rows must be equal in every field.
  const rows = await site.readLedger();
  const folded = Array.from(shared.ledgerEntry.foldLedger(rows).values());
  [streamed.requestId, collected.requestId].forEach((id) => {
    const billed = folded.filter((entry) => entry.requestId === id);
    t.is(billed.length, 1);
    rows.filter((row) => row.requestId === id).forEach((row) => t.deepEqual(row, billed[0]));
  });
});

test.serial('an invalid answer has its own error code and is not billed', async (t) => {
  setFaults({ sendsGarbage: true });
  const result = await site.send(socketSite.makeChat('garbage'));
  setFaults({ sendsGarbage: false });
  t.is(result.code, 'upstreamGarbage');
  t.false(result.notRun);
  const entries = await site.readLedger();
  t.false(entries.some((entry) => entry.requestId === result.requestId));
});

test.serial('a stream without its end mark is incomplete and is not billed', async (t) => {
  setFaults({ omitsEndMark: true });
  const result = await site.send(socketSite.makeChat('no end'));
  setFaults({ omitsEndMark: false });
  t.false(result.isWhole);
  t.is(result.code, 'answerIncomplete');
  const entries = await site.readLedger();
  t.false(entries.some((entry) => entry.requestId === result.requestId));
});

test.serial('a stalled stream is resumed without a lost or repeated byte', async (t) => {
  const prompt = 'long one len=150';
  const sent = site.send(socketSite.makeChat(prompt));
  await waitForwarding();
  site.engines.forEach((engine) => engine.silenceConnections());
  const result = await sent;
  t.true(result.isWhole);
  t.is(result.text, makeExpected(result.versionId, prompt));
});

test.serial('a stream is resumed byte for byte after its upstream crashes', async (t) => {
  const prompt = 'crash midway len=150';
  const sent = site.send(socketSite.makeChat(prompt));
  await waitForwarding();
  const running = site.running.runtime.getState().requests.first();
  const upstreamId = running?.attempts[0]?.upstreamId;
  const crash = site.engines.find((engine) => engine.id === upstreamId)?.crash(300);
  const result = await sent;
  await crash;
  t.true(result.isWhole);
  t.is(result.text, makeExpected(result.versionId, prompt));
});

test.serial('a request whose caller disconnects leaves no load on upstreams', async (t) => {
  const controller = new AbortController();
  const response = await undici.request(`http://${site.address}/v1/chat/completions`, {
    method: 'POST',
    headers: { 'content-type': 'application/json', authorization: 'Bearer demo-ada' },
    body: JSON.stringify(socketSite.makeChat('leave len=200')),
    signal: controller.signal,
  });
  response.body.on('error', () => undefined);
  controller.abort();
  await standIns.control.waitUntil(() => site.running.runtime.getState().requests.size === 0);
  t.true(site.running.runtime.getState().upstreams.every((upstream) => upstream.inFlight === 0));
});

test.serial('a session stays on its version until the version is withdrawn', async (t) => {
  const first = await site.send(socketSite.makeChat('start'));
  const version = first.versionId;
  const headers = { 'x-jayrock-session': first.sessionToken ?? '' };
  const second = await site.send(socketSite.makeChat('go on'), { headers });
  t.is(second.versionId, version);
  const withdrawn = socketSite.makeModels();
  const models = withdrawn.models.map((model) => ({
    ...model,
    versions: model.versions.map((item) => ({
      ...item,
      state: `${model.name}@${item.name}` === version ? ('withdrawn' as const) : item.state,
    })),
  }));
  await site.setModels({ ...withdrawn, models });
  const before = site.engines.map((engine) => engine.starts.get(version) ?? 0);
  const third = await site.send(socketSite.makeChat('and on'), { headers });
  t.true(third.isWhole);
  t.not(third.versionId, version);
  t.deepEqual(
    site.engines.map((engine) => engine.starts.get(version) ?? 0),
    before,
  );
  await site.setModels(socketSite.makeModels());
});

test.serial('a session token with a forged signature does not pin a version', async (t) => {
  const body = Buffer.from(JSON.stringify({ customer: 'ada', versions: { small: 'v2' } })).toString(
    'base64url',
  );
  const headers = { 'x-jayrock-session': `${body}.${'A'.repeat(43)}` };
  const result = await site.send(socketSite.makeChat('forged'), { headers });
  t.is(result.versionId, 'small@v1');
});

test.serial('a non-idempotent request that is resent gets the recorded answer', async (t) => {
  const call = {
    path: '/services/orders/issue',
    idempotencyKey: shared.requestId.makeRequestId(),
  };
  const first = await site.send({ item: 1 }, call);
  t.is(first.status, 200);
  // The answer is recorded with the next batch of claims.
  await standIns.control.waitUntil(() =>
    site.running.runtime
      .getState()
      .claims.some((log) => log.records.some((record) => record.answer !== null)),
  );
  const second = await site.send({ item: 1 }, call);
  t.is(second.text, first.text);
  t.is(site.plain.runCounts.get(first.requestId), 1);
});

test.serial('a resend after a lost answer is refused with mayHaveRun', async (t) => {
  site.plain.faults.dropsAnswers = true;
  const call = {
    path: '/services/orders/issue',
    idempotencyKey: shared.requestId.makeRequestId(),
  };
  const first = await site.send({ item: 2 }, call);
  site.plain.faults.dropsAnswers = false;
  t.is(first.code, 'upstreamFailed');
  t.false(first.notRun);
  const second = await site.send({ item: 2 }, call);
  t.is(second.code, 'mayHaveRun');
  t.false(second.notRun);
  t.is(site.plain.runCounts.get(first.requestId), 1);
});

test.serial('a key older than the retention window is refused with mayHaveRun', async (t) => {
  const old = '018f0000-0000-7000-8000-000000000000';
  const result = await site.send(
    { item: 3 },
    { path: '/services/orders/issue', idempotencyKey: old },
  );
  t.is(result.code, 'mayHaveRun');
});

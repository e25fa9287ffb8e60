import test from 'ava';
import * as standIns from '@jayrock/stand-ins';
import * as socketSite from './socketSite.js';

test('a planned stop completes the requests in flight and writes all ledger entries', async (t) => {
  const site = await socketSite.startSite('127.0.3.3');
  const prompts = Array.from({ length: 6 }, (_, index) => `stop ${index} len=${100 + index * 15}`);
  const sent = prompts.map((prompt) => site.send(socketSite.makeChat(prompt)));
  await standIns.control.waitUntil(
    () => site.running.runtime.getState().requests.size === prompts.length,
  );
  const stopped = site.close();
  const results = await Promise.all(sent);
  await stopped;
  results.forEach((result, index) => {
    t.true(result.isWhole);
    t.is(result.text, standIns.engine.makeAnswer(result.versionId, prompts[index] ?? '', 200));
  });
  t.is(site.running.runtime.getState().ledger.pending.size, 0);
});

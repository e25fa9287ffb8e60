import test from 'ava';
import * as standIns from '@jayrock/stand-ins';
import * as routedSite from './routedSite.js';

const PARTS = ['head', 'body', 'refusal'] as const;

PARTS.forEach((part, index) => {
  test.serial(
    `an upstream that sends bytes without end in a ${part} is closed, and another one answers`,
    async (t) => {
      const site = await routedSite.startRoutedSite(`127.0.23.${index + 1}`);
      t.teardown(() => site.close());
      const [endless, sound] = site.upstreams;
      if (endless === undefined || sound === undefined) {
        throw new Error('expected two upstreams');
      }
      endless.behaviour = { kind: 'endless', part };
      sound.behaviour = { kind: 'answer', status: 200, body: 'whole' };
      const ids = Array.from({ length: 6 }, (_, call) => `q${call}`);
      const responses = await Promise.all(ids.map((id) => site.call({ path: '/read/', id })));
      t.deepEqual(
        responses.map(({ status, body }) => `${status} ${body}`),
        ids.map(() => '200 whole'),
      );
      t.true(endless.arrived.length > 0);
      await standIns.control.waitUntil(() => endless.countOpen() === 0);
    },
  );
});

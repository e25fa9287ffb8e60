import test from 'ava';
import * as platform from '@jayrock/platform';
import * as standIns from '@jayrock/stand-ins';
import * as routedSite from './routedSite.js';

const NESTED = 100_000;

const makeEntry = (change: object): object => ({
  service: 'desk',
  address: '127.0.0.1:9',
  zone: 'a',
  version: 'v1',
  slots: 8,
  state: 'ready',
  sequence: 1,
  born: 1_700_000_000_000,
  ...change,
});

/** Entries of another writer, none of which names an upstream that can be used. */
const ODD_ENTRIES: Readonly<Record<string, string>> = {
  'port out of range': JSON.stringify(makeEntry({ address: '127.0.0.1:70000' })),
  'port zero': JSON.stringify(makeEntry({ address: '127.0.0.1:0' })),
  'address out of range': JSON.stringify(makeEntry({ address: '300.0.0.1:80' })),
  'number too large': JSON.stringify(makeEntry({})).replace('"slots":8', '"slots":1e999'),
  'birth too large': JSON.stringify(makeEntry({ born: 1e300 })),
  'deeply nested': JSON.stringify(makeEntry({})).replace(
    '"sequence":1',
    `"sequence":${'['.repeat(NESTED)}${']'.repeat(NESTED)}`,
  ),
  'nested only': '['.repeat(NESTED),
};

test.serial(
  'odd entries of another writer neither end the router nor hide the entries after them',
  async (t) => {
    const site = await routedSite.startRoutedSite('127.0.45.1', 2);
    t.teardown(() => site.close());
    Object.entries(ODD_ENTRIES).forEach(([name, text]) =>
      site.store.put(`${platform.wire.KEYS.upstreams}odd ${name}`, text),
    );
    await standIns.control.wait(300);
    site.registerUpstream(0, { state: 'draining' });
    await standIns.control.wait(300);
    const ids = Array.from({ length: 40 }, (_, index) => `o-${index}`);
    const responses = await Promise.all(ids.map((id) => site.call({ path: '/read/', id })));
    t.deepEqual(
      responses.map(({ status }) => status),
      ids.map(() => 200),
    );
    t.deepEqual(
      site.upstreams[0]?.received.filter(({ id }) => id.startsWith('o-')),
      [],
    );
  },
);

Object.entries(ODD_ENTRIES)
  .filter(([name]) => name !== 'deeply nested')
  .forEach(([name, text]) => {
    test(`an entry is rejected for its ${name}`, (t) => {
      t.false(platform.hostEntries.decodeHost('servers/odd', text).ok);
    });
  });

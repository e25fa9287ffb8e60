import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import test from 'ava';
import * as platform from '@jayrock/platform';
import * as router from '@jayrock/router';
import * as shared from '@jayrock/shared';
import * as standIns from '@jayrock/stand-ins';
import * as undici from 'undici';
import * as routerSettings from './routerSettings.js';

const H = platform.wire.HEADERS;

interface FileSite {
  readonly upstream: standIns.routedUpstream.RoutedUpstream;
  readonly running: router.startRoutedRouter.RunningRoutedRouter;
  readonly writeTable: (table: object | string) => void;
  /** Returns the status of a request for a path. */
  readonly call: (path: string, key?: string) => Promise<number>;
  readonly close: () => Promise<void>;
}

const makeTable = (version: number, prefix: string): object => ({
  version,
  routes: [
    { name: 'read', host: 'shop.example', prefix, kind: 'safe', targets: [{ service: 'desk' }] },
  ],
  services: [{ name: 'desk' }],
  organisations: [{ name: 'ada', keys: ['key-of-ada'] }],
});

/** Starts a router with one upstream that reads its routes from a file. */
const startFileSite = async (ip: string): Promise<FileSite> => {
  const dir = fs.mkdtempSync(path.join(os.tmpdir(), 'jayrock-routes-'));
  const writeTable = (table: object | string): void =>
    fs.writeFileSync(
      path.join(dir, 'routes.jsonc'),
      typeof table === 'string' ? table : JSON.stringify(table),
    );
  writeTable(makeTable(1, '/read/'));
  const upstream = await standIns.routedUpstream.startRoutedUpstream('u-0');
  const settings = shared.settings.settingsSchema.parse(
    routerSettings.makeRouterSettings(
      ip,
      {
        kind: 'routes',
        routesFile: 'routes.jsonc',
        upstreams: [{ id: upstream.id, address: upstream.address, zone: 'a', service: 'desk' }],
      },
      { logLevel: 'silent' },
    ),
  );
  if (settings.platform.kind !== 'routes') {
    throw new Error('expected settings with routes');
  }
  const running = await router.startRoutedRouter.startRoutedRouter(
    settings,
    settings.platform,
    dir,
  );
  let calls = 0;
  return {
    upstream,
    running,
    writeTable,
    call: async (wantedPath, key = 'key-of-ada') => {
      calls += 1;
      const answer = await undici.request(`http://${settings.callers}${wantedPath}`, {
        headers: { host: 'shop.example', [H.requestId]: `q${calls}`, [H.key]: key },
      });
      await answer.body.dump();
      return answer.statusCode;
    },
    close: async () => {
      await running.close();
      await upstream.close();
      fs.rmSync(dir, { recursive: true });
    },
  };
};

test('routes and keys of a file are served without a store, and a newer table is adopted', async (t) => {
  const site = await startFileSite('127.0.21.1');
  t.is(await site.call('/read/x'), 200);
  t.is(await site.call('/read/x', 'unknown'), 401);
  t.is(await site.call('/other/x'), 404);
  site.writeTable(makeTable(2, '/other/'));
  await standIns.control.waitUntil(async () => (await site.call('/other/x')) === 200);
  t.is(await site.call('/read/x'), 404);
  await site.close();
});

test('an invalid or older table is rejected and the one in force stays', async (t) => {
  const site = await startFileSite('127.0.21.2');
  site.writeTable('{ "version": 2, "routes": [ { "name": 7 } ] }');
  await standIns.control.wait(1_200);
  t.is(await site.call('/read/x'), 200);
  site.writeTable(makeTable(0, '/other/'));
  await standIns.control.wait(1_200);
  t.is(await site.call('/read/x'), 200);
  t.is(await site.call('/other/x'), 404);
  await site.close();
});

test('a problem in a route table is reported with file, line and field', (t) => {
  const text = [
    '{',
    '  "version": 1,',
    '  "routes": [',
    '    { "name": "read", "host": "h", "prefix": "read", "kind": "safe", "targets": [{ "service": "s" }] },',
    '  ],',
    '  "services": [{ "name": "s" }],',
    '}',
  ].join('\n');
  const parsed = shared.jsonc.parseJsonc('routes.jsonc', text, shared.routeTable.routeFileSchema);
  t.deepEqual(parsed.ok ? [] : parsed.error.map(shared.jsonc.formatProblem), [
    'routes.jsonc:4: routes.0.prefix: expected a path that begins and ends with a slash',
  ]);
});

test('a route to an unknown service or model is reported with its line', (t) => {
  const text = [
    '{ "version": 1,',
    '  "routes": [',
    '    { "name": "a", "host": "h", "prefix": "/a/", "kind": "safe",',
    '      "targets": [{ "service": "nowhere" }] },',
    '    { "name": "b", "host": "h", "prefix": "/b/", "kind": "streaming", "sizes": ["huge"],',
    '      "targets": [{ "service": "desk" }] } ],',
    '  "services": [{ "name": "desk" }] }',
  ].join('\n');
  const parsed = shared.jsonc.parseJsonc('r.jsonc', text, shared.routeTable.routeFileSchema);
  t.deepEqual(parsed.ok ? [] : parsed.error.map(shared.jsonc.formatProblem), [
    'r.jsonc:4: routes.0.targets.0.service: no service is named "nowhere"',
    'r.jsonc:6: routes.1.targets.0.service: service "desk" has no model "huge"',
  ]);
});

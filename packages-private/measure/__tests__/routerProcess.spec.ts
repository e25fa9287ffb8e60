import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as module from 'node:module';
import * as os from 'node:os';
import * as path from 'node:path';
import test from 'ava';
import * as platform from '@jayrock/platform';
import * as standIns from '@jayrock/stand-ins';
import * as undici from 'undici';
import * as routerSettings from './routerSettings.js';

const IP = '127.0.21.9';
const ROUTER = module.createRequire(import.meta.url).resolve('@jayrock/router');

const TABLE = {
  version: 1,
  routes: [
    {
      name: 'open',
      host: `${IP}:7401`,
      prefix: '/',
      kind: 'safe',
      targets: [{ service: 'desk' }],
      isPublic: true,
    },
  ],
  services: [{ name: 'desk' }],
};

const makeSettings = (upstream: string, bounds: object): object =>
  routerSettings.makeRouterSettings(IP, {
    kind: 'routes',
    routesFile: 'routes.jsonc',
    upstreams: [{ id: 'u-0', address: upstream, zone: 'a', service: 'desk' }],
    bounds,
  });

const getStatus = async (address: string): Promise<number> => {
  const headers = { [platform.wire.HEADERS.requestId]: 'q1' };
  const answer = await undici.request(address, { headers }).catch(() => null);
  await answer?.body.dump();
  return answer?.statusCode ?? 0;
};

test('a process reloads changed settings on SIGHUP, keeps serving when they are invalid and stops on SIGTERM', async (t) => {
  const dir = fs.mkdtempSync(path.join(os.tmpdir(), 'jayrock-process-'));
  const file = path.join(dir, 'settings.jsonc');
  const upstream = await standIns.routedUpstream.startRoutedUpstream('u-0');
  const writeSettings = (bounds: object): void =>
    fs.writeFileSync(file, JSON.stringify(makeSettings(upstream.address, bounds)));
  fs.writeFileSync(path.join(dir, 'routes.jsonc'), JSON.stringify(TABLE));
  writeSettings({ repeatSlack: 20 });
  const main = path.join(path.dirname(ROUTER), 'main.js');
  const child = childProcess.spawn(process.execPath, [main, '--settings', file]);
  let output = '';
  child.stdout.on('data', (bytes: Buffer) => {
    output += bytes.toString('utf8');
  });
  child.stderr.on('data', (bytes: Buffer) => {
    output += bytes.toString('utf8');
  });
  const ended = new Promise<number | null>((resolve) => {
    child.once('exit', (code) => resolve(code));
  });
  await standIns.control.waitUntil(
    async () => (await getStatus(`http://${IP}:7404/readyz`)) === 200,
  );
  t.is(await getStatus(`http://${IP}:7401/`), 200);

  writeSettings({ repeatSlack: 77 });
  child.kill('SIGHUP');
  await standIns.control.waitUntil(() => output.includes('"slack":77'));

  writeSettings({ repeatSlack: 'many' });
  child.kill('SIGHUP');
  await standIns.control.waitUntil(() => output.includes('platform.bounds.repeatSlack'));
  t.is(await getStatus(`http://${IP}:7401/`), 200);

  child.kill('SIGTERM');
  await standIns.control.waitUntil(
    async () => (await getStatus(`http://${IP}:7404/readyz`)) !== 200,
  );
  t.is(await ended, 0);
  await upstream.close();
  fs.rmSync(dir, { recursive: true });
});

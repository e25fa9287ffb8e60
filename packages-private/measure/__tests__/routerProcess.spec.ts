import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as module from 'node:module';
import * as os from 'node:os';
import * as path from 'node:path';
import test from 'ava';
import * as platform from '@jayrock/platform';
import * as standIns from '@jayrock/stand-ins';
import * as undici from 'undici';

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

const makeSettings = (upstream: string, bounds: object): object => ({
  zone: 'a',
  callers: `${IP}:7401`,
  peers: `${IP}:7402`,
  status: `${IP}:7403`,
  peerSecret: 'a-secret-of-the-tests',
  platform: {
    kind: 'routes',
    name: 'r-1',
    routesFile: 'routes.jsonc',
    upstreams: [{ id: 'u-0', address: upstream, zone: 'a', service: 'desk' }],
    readyAddress: `${IP}:7404`,
    bounds,
  },
});

const waitFor = async (isDone: () => boolean | Promise<boolean>): Promise<void> => {
  // eslint-disable-next-line no-await-in-loop -- each look follows a pause
  while (!(await isDone())) {
    // eslint-disable-next-line no-await-in-loop -- each look follows a pause
    await standIns.control.wait(20);
  }
};

const getStatus = async (address: string): Promise<number> => {
  const headers = { [platform.wire.HEADERS.requestId]: 'q1' };
  const answer = await undici.request(address, { headers }).catch(() => null);
  await answer?.body.dump();
  return answer?.statusCode ?? 0;
};

test('a process takes changed settings over on SIGHUP, keeps serving with broken ones, stops on SIGTERM', async (t) => {
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
  await waitFor(async () => (await getStatus(`http://${IP}:7404/readyz`)) === 200);
  t.is(await getStatus(`http://${IP}:7401/`), 200);

  writeSettings({ repeatSlack: 77 });
  child.kill('SIGHUP');
  await waitFor(() => output.includes('"slack":77'));

  writeSettings({ repeatSlack: 'many' });
  child.kill('SIGHUP');
  await waitFor(() => output.includes('platform.bounds.repeatSlack'));
  t.is(await getStatus(`http://${IP}:7401/`), 200);

  child.kill('SIGTERM');
  await waitFor(async () => (await getStatus(`http://${IP}:7404/readyz`)) !== 200);
  t.is(await ended, 0);
  await upstream.close();
  fs.rmSync(dir, { recursive: true });
});

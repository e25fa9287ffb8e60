import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as url from 'node:url';
import * as util from 'node:util';
import test from 'ava';
import * as standIns from '@jayrock/stand-ins';
import * as site from '../src/site.js';

const CLI = path.resolve(
  path.dirname(url.fileURLToPath(import.meta.url)),
  '../../../../packages/cli/dist/src/main.js',
);

const execFile = util.promisify(childProcess.execFile);

interface CommandResult {
  readonly code: number;
  readonly out: string;
  readonly err: string;
}

const runCli = async (...args: readonly string[]): Promise<CommandResult> => {
  try {
    const { stdout, stderr } = await execFile(process.execPath, [CLI, ...args]);
    return { code: 0, out: stdout, err: stderr };
  } catch (error) {
    const failed = error as { code: number; stdout: string; stderr: string };
    return { code: failed.code, out: failed.stdout, err: failed.stderr };
  }
};

const makeFile = (name: string, text: string): string => {
  const file = path.join(fs.mkdtempSync(path.join(os.tmpdir(), 'jayrock-cli-')), name);
  fs.writeFileSync(file, text);
  return file;
};

test('the example files are valid', async (t) => {
  const files = (['ledgerline', 'cremona'] as const).flatMap((name) =>
    fs.readdirSync(site.getSiteDir(name)).map((file) => path.join(site.getSiteDir(name), file)),
  );
  const { code, out } = await runCli('check', ...files);
  t.is(code, 0);
  t.is(out.trim().split('\n').length, files.length);
});

test('a problem in a file is reported with file, line and field', async (t) => {
  const file = makeFile('plans.jsonc', '{\n "plans": [{ "name": "A B" }],\n "customers": []\n}');
  const { code, err } = await runCli('check', file);
  t.is(code, 1);
  t.true(err.includes(`${file}:2: plans.0.name: `));
});

test('a conflicting edit of a second operator shows both changes and is not applied', async (t) => {
  const store = await standIns.keyValueServer.startKeyValueServer();
  const target = ['--store', store.address];
  const dir = site.getSiteDir('ledgerline');
  t.is((await runCli('models', 'apply', path.join(dir, 'models.jsonc'), ...target)).code, 0);
  t.is((await runCli('plans', 'apply', path.join(dir, 'plans.jsonc'), ...target)).code, 0);
  const got = await runCli('plans', 'get', ...target);
  const first = makeFile('a.jsonc', got.out.replace('"weight": 4', '"weight": 5'));
  const second = makeFile('b.jsonc', got.out.replace('"deadlineMs": 30000', '"deadlineMs": 31000'));
  t.is((await runCli('plans', 'apply', first, ...target)).code, 0);
  const refused = await runCli('plans', 'apply', second, ...target);
  t.is(refused.code, 3);
  t.true(refused.err.includes('weight: 4 -> 5'));
  t.true(refused.err.includes('deadlineMs: 30000 -> 31000'));
  const after = await runCli('plans', 'get', ...target);
  t.true(after.out.includes('"weight": 5'));
  t.false(after.out.includes('"deadlineMs": 31000'));
  await store.close();
});

test('a roll-out is started, advanced and withdrawn by commands', async (t) => {
  const store = await standIns.keyValueServer.startKeyValueServer();
  const target = ['--store', store.address];
  const dir = site.getSiteDir('ledgerline');
  await runCli('models', 'apply', path.join(dir, 'models.jsonc'), ...target);
  const steps = ['--steps', '10,100'];
  t.is((await runCli('rollout', 'start', 'clerk-small', 'v4', ...steps, ...target)).code, 0);
  t.is((await runCli('rollout', 'advance', 'clerk-small', 'v4', ...target)).code, 0);
  const status = await runCli('rollout', 'status', '--json', ...target);
  const [rollout] = JSON.parse(status.out) as { step: number; state: string }[];
  t.is(rollout?.step, 1);
  t.is((await runCli('rollout', 'withdraw', 'clerk-small', 'v4', ...target)).code, 0);
  const models = await runCli('models', 'get', '--json', ...target);
  const list = JSON.parse(models.out) as {
    models: { versions: { name: string; state: string }[] }[];
    rollouts: { state: string }[];
  };
  t.is(list.models[0]?.versions.find((version) => version.name === 'v4')?.state, 'withdrawn');
  t.is(list.rollouts[0]?.state, 'halted');
  t.is((await runCli('rollout', 'advance', 'clerk-small', 'v4', ...target)).code, 1);
  await store.close();
});

test('an unreachable store and an unknown command have their own exit codes', async (t) => {
  t.is((await runCli('plans', 'get', '--store', '127.0.0.1:9')).code, 4);
  t.is((await runCli('nonsense')).code, 2);
});

import * as childProcess from 'node:child_process';
import * as timers from 'node:timers/promises';
import test from 'ava';

/** Time for which the process is kept off the processor, in milliseconds. */
const STOPPED_MS = 700;
/** Largest difference between the true age and the one that is told, in milliseconds. */
const TOLERANCE_MS = 100;
/** Interval of the process's timer, in milliseconds; those of a router's monitors are as short. */
const TIMER_MS = 50;

const MONITOR = new URL('../src/eventLoop/loopMonitor.js', import.meta.url).href;

const SCRIPT = `
import { startLoopMonitor } from ${JSON.stringify(MONITOR)};
const monitor = startLoopMonitor(() => undefined);
const printAge = () => process.stdout.write(monitor.getInputAgeMs() + '\\n');
process.on('SIGTERM', printAge);
process.stdin.on('data', printAge);
setInterval(() => undefined, ${TIMER_MS});
process.stdout.write('ready\\n');
`;

/** A process that prints the age of its input. */
interface WaitingProcess {
  readonly child: childProcess.ChildProcessWithoutNullStreams;
  readonly readLine: () => Promise<string>;
}

const startProcess = async (): Promise<WaitingProcess> => {
  const child = childProcess.spawn(process.execPath, ['--input-type=module', '-e', SCRIPT]);
  const readLine = (): Promise<string> =>
    new Promise((resolve) => {
      child.stdout.once('data', (bytes: Buffer) => resolve(bytes.toString('utf8')));
    });
  await readLine();
  return { child, readLine };
};

const INPUTS: Readonly<Record<string, (child: WaitingProcess['child']) => void>> = {
  'a signal': (child) => child.kill('SIGTERM'),
  bytes: (child) => child.stdin.write('x'),
};

Object.entries(INPUTS).forEach(([name, send]) => {
  test.failing(
    `${name} that came while a waiting process was kept off the processor is as old as that`,
    async (t) => {
      const { child, readLine } = await startProcess();
      t.teardown(() => child.kill('SIGKILL'));
      await timers.setTimeout(STOPPED_MS);
      child.kill('SIGSTOP');
      const sentAtMs = performance.now();
      send(child);
      await timers.setTimeout(STOPPED_MS);
      const line = readLine();
      const minAgeMs = performance.now() - sentAtMs - TOLERANCE_MS;
      child.kill('SIGCONT');
      const ageMs = Number(await line);
      t.true(ageMs >= minAgeMs, `told ${ageMs} ms, ${minAgeMs} ms at least`);
    },
  );

  test(`${name} that came while a process waited is new`, async (t) => {
    const { child, readLine } = await startProcess();
    t.teardown(() => child.kill('SIGKILL'));
    await timers.setTimeout(STOPPED_MS);
    const line = readLine();
    send(child);
    const ageMs = Number(await line);
    t.true(ageMs < TOLERANCE_MS, `told ${ageMs} ms`);
  });
});

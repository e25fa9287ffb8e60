import test from 'ava';
import * as shared from '@jayrock/shared';
import * as loopMonitor from '../src/eventLoop/loopMonitor.js';

const blockLoop = (durationMs: number): void => {
  const endMs = performance.now() + durationMs;
  while (performance.now() < endMs);
};

test('a turn that blocks the event loop is reported with its length, and waiting for I/O is not', async (t) => {
  const reported: number[] = [];
  const monitor = loopMonitor.startLoopMonitor((turnMs) => reported.push(turnMs));
  await shared.delay.wait(400);
  t.true(monitor.takeMaxTurnMs() < 390);
  blockLoop(500);
  await shared.delay.wait(20);
  t.true(Math.max(...reported) >= 499);
  t.true(monitor.takeMaxTurnMs() >= 499);
  monitor.stop();
});

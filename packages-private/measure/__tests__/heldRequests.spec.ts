import test from 'ava';
import * as platform from '@jayrock/platform';
import * as standIns from '@jayrock/stand-ins';
import * as routedSite from './routedSite.js';
import * as threadCaller from './threadCaller.js';

const H = platform.wire.HEADERS;
/** Length of each turn of the event loop, in milliseconds. */
const TURN_MS = 150;
/** Time-out of `/issue/`, in milliseconds. */
const ROUTE_TIMEOUT_MS = 2_000;
/** Time for which a request may be held past its time-out, in milliseconds. */
const HELD_MARGIN_MS = 500;
const HELD = 8;
/** Requests of the burst, and the time at which it comes, in milliseconds. */
const BURST = 1_200;
const BURST_AT_MS = 1_500;

const renderRequest = (path: string, id: string): string =>
  [
    `GET ${path} HTTP/1.1`,
    `host: ${routedSite.HOST}`,
    `${H.requestId}: ${id}`,
    `${H.deadlineMs}: 4000`,
    `${H.key}: ${routedSite.KEY}`,
    '',
    '',
  ].join('\r\n');

const renderRequests = (path: string, count: number): readonly string[] =>
  Array.from({ length: count }, (_, index) => renderRequest(path, `${path}${index}`));

/** Makes each turn of the event loop long until the returned function is called. */
const blockEachTurn = (): (() => void) => {
  let isSlow = true;
  const block = (): void => {
    if (isSlow) {
      threadCaller.blockEventLoop(TURN_MS);
      setImmediate(block);
    }
  };
  block();
  return () => {
    isSlow = false;
  };
};

test.serial(
  'requests past their time-out are answered although many others arrive before it',
  async (t) => {
    const site = await routedSite.startRoutedSite('127.0.82.1');
    const held = await threadCaller.startThreadCaller(site.callers);
    const others = await threadCaller.startThreadCaller(site.callers);
    t.teardown(async () => {
      await Promise.all([held.close(), others.close()]);
      await site.close();
    });
    site.upstreams.forEach((upstream) => {
      upstream.behaviour = { kind: 'hang' };
    });
    await Promise.all([held.connect(HELD), others.connect(BURST)]);
    const stopBlocking = blockEachTurn();
    await standIns.control.wait(TURN_MS * 4);
    held.send(renderRequests('/issue/', HELD));
    const taken = held.takeAnswers(ROUTE_TIMEOUT_MS + HELD_MARGIN_MS);
    await standIns.control.wait(BURST_AT_MS);
    others.send(renderRequests('/read/', BURST));
    const answers = await taken;
    stopBlocking();
    const heldOn = answers.filter((answer) => answer === '').length;
    t.true(heldOn * 2 <= HELD, `${heldOn} of ${HELD}`);
  },
);

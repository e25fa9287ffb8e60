import * as net from 'node:net';
import test from 'ava';
import * as platform from '@jayrock/platform';
import * as shared from '@jayrock/shared';
import * as standIns from '@jayrock/stand-ins';
import * as routedSite from './routedSite.js';

const H = platform.wire.HEADERS;

/** Size of the data of one event, in bytes; larger than what the sockets take in one turn. */
const EVENT_BYTES = 900_000;
/** Events after which the connections of callers that do not read are surely full. */
const MAX_EVENTS = 14;
/** Pause between the events of a stream, in milliseconds. */
const EVENT_PAUSE_MS = 30;
/** Time for which callers do not read, in milliseconds. */
const SLOW_MS = 1_000;

const makeEvent = (id: number): string => `id: ${id}\ndata: ${'x'.repeat(EVENT_BYTES)}\n\n`;

/** Writes a stream without a length or chunks, and ends its connection. */
const writeStream = async (
  socket: net.Socket,
  stamps: string,
  events: number,
  end: () => void,
): Promise<void> => {
  socket.write(`HTTP/1.1 200 OK\r\n${stamps}\r\n`);
  for (let id = 1; id <= events; id += 1) {
    socket.write(makeEvent(id));
    // eslint-disable-next-line no-await-in-loop -- each event follows a pause
    await standIns.control.wait(EVENT_PAUSE_MS);
  }
  end();
};

/** A caller that does not read its answer at first. */
interface SlowCaller {
  /** Reads the answer until its connection ends. */
  readonly read: () => Promise<string>;
}

const openSlowCaller = (site: routedSite.RoutedSite, id: string): SlowCaller => {
  const socket = net.connect(shared.settings.parseAddress(site.callers));
  const chunks: Buffer[] = [];
  const closed = new Promise<void>((resolve) => {
    socket.once('close', () => resolve());
  });
  socket.on('error', () => undefined);
  socket.pause();
  socket.write(
    [
      'POST /once/ HTTP/1.1',
      `host: ${routedSite.HOST}`,
      `${H.requestId}: ${id}`,
      `${H.key}: ${routedSite.KEY}`,
      `${H.deadlineMs}: 15000`,
      'connection: close',
      'content-length: 0',
      '',
      '',
    ].join('\r\n'),
  );
  return {
    read: async () => {
      socket.on('data', (bytes) => chunks.push(bytes));
      socket.resume();
      await closed;
      return Buffer.concat(chunks).toString('latin1');
    },
  };
};

/** Mark of the end of an answer in chunks. */
const LAST_CHUNK = '\r\n0\r\n\r\n';

const ENDS = ['close', 'reset'] as const;

ENDS.forEach((end, index) =>
  test.serial(
    `a stream without chunks whose connection ends by a ${end} while its caller reads slowly does not end the router`,
    async (t) => {
      const site = await routedSite.startRoutedSite(`127.0.27.${index + 1}`, 2);
      t.teardown(site.close);
      site.upstreams.forEach((upstream) => {
        upstream.behaviour = {
          kind: 'raw',
          write: (socket, { id }, stamps) => {
            const finish = (): void => {
              if (end === 'reset') {
                socket.resetAndDestroy();
              } else {
                socket.end();
              }
            };
            writeStream(socket, stamps, Number(id.slice(1)), finish).catch(() => undefined);
          },
        };
      });
      const counts = Array.from({ length: MAX_EVENTS }, (_, count) => count + 1);
      const callers = counts.map((count) => openSlowCaller(site, `q${count}`));
      await standIns.control.wait(SLOW_MS);
      const answers = await Promise.all(callers.map((caller) => caller.read()));
      answers.forEach((answer, position) => {
        const name = `${counts[position]} events`;
        t.is(answer.endsWith(LAST_CHUNK), end === 'close', name);
        if (end === 'close') {
          t.true(answer.includes(`id: ${counts[position]}\n`), name);
        }
      });
      site.upstreams.forEach((upstream) => {
        upstream.behaviour = { kind: 'answer', status: 200, body: 'served' };
      });
      t.is((await site.call({ path: '/read/', id: 'after' })).body, 'served');
    },
  ),
);

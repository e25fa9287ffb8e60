import * as net from 'node:net';
import type * as ava from 'ava';
import test from 'ava';
import * as router from '@jayrock/router';
import * as shared from '@jayrock/shared';
import * as standIns from '@jayrock/stand-ins';
import * as routedSite from './routedSite.js';
import * as routerSettings from './routerSettings.js';

interface Starting {
  readonly callers: string;
  readonly opened: router.startRoutedRouter.StartingRoutedRouter;
}

/** Opens a router whose store accepts connections and never answers, which keeps it from starting. */
const openRouter = async (t: ava.ExecutionContext, ip: string): Promise<Starting> => {
  const sockets: net.Socket[] = [];
  const store = net.createServer((socket) => sockets.push(socket));
  await new Promise<void>((resolve) => {
    store.listen(0, ip, resolve);
  });
  const { port } = store.address() as net.AddressInfo;
  const settings = shared.settings.settingsSchema.parse(
    routerSettings.makeRouterSettings(
      ip,
      { kind: 'managed', storeAddress: `${ip}:${port}` },
      { logLevel: 'silent' },
    ),
  );
  if (settings.platform.kind !== 'managed') {
    throw new Error('expected managed settings');
  }
  const opened = router.startRoutedRouter.openRoutedRouter(settings, settings.platform);
  t.teardown(async () => {
    await opened.router.close();
    sockets.forEach((socket) => socket.destroy());
    store.close();
  });
  return { callers: settings.callers, opened };
};

/** Sends bytes as soon as the listener is open; `received` resolves to all that came back until the close. */
const connect = async (
  address: string,
): Promise<{ readonly socket: net.Socket; readonly received: Promise<string> }> => {
  for (;;) {
    const socket = net.connect(shared.settings.parseAddress(address));
    // eslint-disable-next-line no-await-in-loop -- each try follows the one before
    const isOpen = await new Promise<boolean>((resolve) => {
      socket.once('connect', () => resolve(true));
      socket.once('error', () => resolve(false));
    });
    if (isOpen) {
      const received = new Promise<string>((resolve) => {
        let text = '';
        socket.on('data', (bytes: Buffer) => {
          text += bytes.toString('latin1');
        });
        socket.on('error', () => undefined);
        socket.once('close', () => resolve(text));
      });
      return { socket, received };
    }
  }
};

const HEAD = `POST /read/ HTTP/1.1\r\nhost: ${routedSite.HOST}\r\ncontent-length: 4\r\n\r\n`;

test.serial('a stop during the start answers what is being read, and ends', async (t) => {
  const { callers, opened } = await openRouter(t, '127.0.49.1');
  const caller = await connect(callers);
  caller.socket.write(`${HEAD}01`);
  await standIns.control.wait(50);
  const stopped = opened.router.stop();
  await standIns.control.wait(200);
  caller.socket.write('23');
  t.regex(await caller.received, /^HTTP\/1\.1 503 [\s\S]*"error":"noConfiguration"/);
  await stopped;
});

test.serial('a stop before the listeners are open answers requests and ends', async (t) => {
  const { callers, opened } = await openRouter(t, '127.0.49.2');
  const stopped = opened.router.stop();
  const caller = await connect(callers);
  caller.socket.write(`${HEAD}0123`);
  t.regex(await caller.received, /^HTTP\/1\.1 503 /);
  await stopped;
});

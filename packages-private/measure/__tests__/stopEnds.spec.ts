import * as net from 'node:net';
import test from 'ava';
import * as shared from '@jayrock/shared';
import * as standIns from '@jayrock/stand-ins';
import * as routedSite from './routedSite.js';
import * as socketSite from './socketSite.js';

/** Time in which a stop without requests ends, in milliseconds. */
const STOP_MS = 5_000;

test.serial('a stop ends although a peer has sent a part of a call only', async (t) => {
  const ip = '127.0.49.4';
  const site = await routedSite.startRoutedSite(ip, 1);
  const peer = net.connect({ host: ip, port: 7402 });
  t.teardown(async () => {
    peer.destroy();
    await site.close();
  });
  peer.on('error', () => undefined);
  peer.write('POST /rpc HTTP/1.1\r\nhost: peer\r\ncontent-len');
  const hasEnded = await Promise.race([
    site.running.stop().then(() => true),
    standIns.control.wait(STOP_MS).then(() => false),
  ]);
  t.true(hasEnded);
});

test.serial(
  'a stop of the own interface ends although a peer has sent a part of a call only',
  async (t) => {
    const site = await socketSite.startSite('127.0.49.5');
    const peer = net.connect(shared.settings.parseAddress(site.peers));
    t.teardown(() => {
      peer.destroy();
    });
    peer.on('error', () => undefined);
    peer.write('POST /rpc HTTP/1.1\r\nhost: peer\r\ncontent-len');
    const hasEnded = await Promise.race([
      site.close().then(() => true),
      standIns.control.wait(STOP_MS).then(() => false),
    ]);
    t.true(hasEnded);
  },
);

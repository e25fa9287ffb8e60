import type * as net from 'node:net';
import * as platform from '@jayrock/platform';
import * as fastify from 'fastify';
import * as control from './control.js';

interface Item {
  readonly key: string;
  readonly value: string;
  readonly rev: number;
  readonly lease: number;
}

interface StoreEvent {
  readonly key: string;
  readonly rev: number;
  readonly value?: string;
  readonly tombstone?: true;
}

interface TransactionBody {
  readonly precondition: readonly { readonly key: string; readonly rev: number }[];
  readonly set_keys: readonly { key: string; value: string; lease: number }[];
  readonly remove: readonly string[];
}

/** Faults of the store in addition to those of every stand-in. */
export interface StoreFaults extends control.Faults {
  /** Answers every call with 503 without executing it. */
  isBusy: boolean;
  /** Holds every call unanswered while set. */
  isSilent: boolean;
  /** Source addresses that get no answer; a connection on which an answer was lost stays silent. */
  silentSources: ReadonlySet<string>;
  /** Source addresses whose calls, open watches among them, are answered with 503 without being executed. */
  refusedSources: ReadonlySet<string>;
  /** Delays of the answers to source addresses, in milliseconds. */
  delaysBySource: ReadonlyMap<string, number>;
}

/** A stand-in of the platform's store with watches, leases and transactions. */
export interface PlatformStore extends control.StandIn {
  readonly faults: StoreFaults;
  /** Writes a key as the operator or an upstream does; objects become JSON. */
  readonly put: (key: string, value: object | string) => void;
  readonly remove: (key: string) => void;
  readonly get: (key: string) => string | null;
  /** Compacts the history: a watch from an older revision fails with 410 and has to read again. */
  readonly compact: () => void;
  /** Lists the keys with a prefix. */
  readonly listKeys: (prefix: string) => readonly string[];
  /** Makes the connections that are open now silent: nothing more is executed or answered on them. */
  readonly silenceConnections: () => void;
  /** Returns the number of keys with a prefix. */
  readonly countKeys: (prefix: string) => number;
  /** Takes a copy of the items, to which `restore` goes back. */
  readonly saveCopy: () => void;
  /** Goes back to the copy: later writes and all leases are gone, and revisions go back. */
  readonly restore: () => void;
  readonly countCalls: () => number;
}

const POLL_MS = 5;
const PAGE_SIZE = 50;

/** Starts a stand-in of the platform's store. */
export const startPlatformStore = async (): Promise<PlatformStore> => {
  const faults: StoreFaults = {
    ...control.makeFaults(),
    isBusy: false,
    isSilent: false,
    silentSources: new Set(),
    refusedSources: new Set(),
    delaysBySource: new Map(),
  };
  const sockets = new Set<net.Socket>();
  const silentSockets = new WeakSet<net.Socket>();
  const items = new Map<string, Item>();
  let events: StoreEvent[] = [];
  let revision = 1;
  let oldestRevision = 0;
  let calls = 0;
  let leases = 0;
  let firstLease = 0;
  let era = 1;
  let copy: { readonly items: readonly Item[]; readonly revision: number } | null = null;
  const write = (key: string, value: string, lease: number): void => {
    items.set(key, { key, value, rev: revision, lease });
    events.push({ key, value, rev: revision });
  };
  const removeItem = (key: string): void => {
    if (items.delete(key)) {
      events.push({ key, rev: revision, tombstone: true });
    }
  };
  const listKeys = (prefix: string): readonly string[] =>
    Array.from(items.keys()).filter((key) => key.startsWith(prefix));
  const server = fastify.fastify({ forceCloseConnections: true });
  server.server.on('connection', (socket) => {
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket));
  });
  const isLost = (socket: net.Socket): boolean => {
    if (faults.silentSources.has(socket.remoteAddress ?? '')) {
      silentSockets.add(socket);
    }
    return silentSockets.has(socket);
  };
  const isRefused = ({ remoteAddress }: net.Socket): boolean =>
    faults.refusedSources.has(remoteAddress ?? '');
  control.addBlockHook(server, faults);
  server.addHook('onSend', async ({ raw: { socket } }, reply) => {
    reply.header(platform.wire.HEADERS.era, String(era));
    await control.wait(faults.delaysBySource.get(socket.remoteAddress ?? '') ?? 0);
    if (isLost(socket)) {
      await control.waitUntil(() => socket.destroyed);
    }
  });
  server.addHook('preHandler', async (request, reply) => {
    calls += 1;
    const { socket } = request.raw;
    if (isLost(socket)) {
      reply.hijack();
      return;
    }
    if (isRefused(socket)) {
      await reply.code(503).send({});
    }
    if (faults.isSilent) {
      await control.waitUntil(() => !faults.isSilent);
    }
    if (faults.isBusy) {
      await reply.code(503).send({});
    }
    await control.wait(faults.delayMs);
    if (faults.dropsAnswers && request.method === 'GET') {
      request.raw.socket.destroy();
    }
  });
  server.get(platform.wire.STORE_PATHS.key, async (request, reply) => {
    const { key } = request.query as { readonly key: string };
    const item = items.get(key);
    return item === undefined ? reply.code(404).send({}) : { ...item, at: revision };
  });
  server.get(platform.wire.STORE_PATHS.range, async (request) => {
    const { prefix, after = '' } = request.query as { prefix: string; after?: string };
    const found = Array.from(items.values())
      .filter((item) => item.key.startsWith(prefix) && item.key > after)
      .toSorted((a, b) => (a.key < b.key ? -1 : 1));
    return {
      items: found.slice(0, PAGE_SIZE),
      has_more: found.length > PAGE_SIZE,
      at: revision,
    };
  });
  server.get(platform.wire.STORE_PATHS.watch, async (request, reply) => {
    const query = request.query as { prefix: string; after: string; wait_ms: string };
    const after = Number(query.after);
    const endMs = performance.now() + Number(query.wait_ms);
    const startEra = era;
    for (;;) {
      if (era !== startEra) {
        request.raw.socket.destroy();
        return reply;
      }
      if (isRefused(request.raw.socket)) {
        return reply.code(503).send({});
      }
      if (after < oldestRevision || after > revision) {
        return reply.code(410).send({});
      }
      const found = events.filter(
        (event) => event.rev > after && event.key.startsWith(query.prefix),
      );
      if (found.length > 0 || performance.now() >= endMs) {
        return { events: found, at: revision };
      }
      // eslint-disable-next-line no-await-in-loop -- each poll follows a pause
      await control.wait(POLL_MS);
    }
  });
  server.post(platform.wire.STORE_PATHS.transaction, async (request, reply) => {
    const body = request.body as TransactionBody;
    const failed = body.precondition.filter(({ key, rev }) => (items.get(key)?.rev ?? 0) !== rev);
    if (failed.length > 0) {
      return reply.code(412).send({ items: failed.map(({ key }) => items.get(key)) });
    }
    revision += 1;
    body.set_keys.forEach((row) => write(row.key, row.value, row.lease));
    body.remove.forEach(removeItem);
    if (faults.dropsAnswers) {
      request.raw.socket.destroy();
      return reply;
    }
    return { rev: revision };
  });
  server.post(platform.wire.STORE_PATHS.lease, async (request) => {
    leases += 1;
    return { lease: leases, ttl_ms: (request.body as { ttl_ms: number }).ttl_ms };
  });
  server.post(`${platform.wire.STORE_PATHS.keep}:id`, async (request, reply) =>
    Number((request.params as { readonly id: string }).id) > firstLease
      ? { ttl_ms: 1_000 }
      : reply.code(404).send({}),
  );
  const address = await control.listenOn(server, 0);
  return {
    address,
    faults,
    put: (key, value) => {
      revision += 1;
      const text = typeof value === 'string' ? value : JSON.stringify(value);
      write(key, Buffer.from(text).toString('base64'), 0);
    },
    remove: (key) => {
      revision += 1;
      removeItem(key);
    },
    get: (key) => {
      const item = items.get(key);
      return item === undefined ? null : Buffer.from(item.value, 'base64').toString('utf8');
    },
    compact: () => {
      oldestRevision = revision;
      events = [];
    },
    listKeys,
    silenceConnections: () => sockets.forEach((socket) => silentSockets.add(socket)),
    countKeys: (prefix) => listKeys(prefix).length,
    saveCopy: () => {
      copy = { items: Array.from(items.values()).filter(({ lease }) => lease === 0), revision };
    },
    restore: () => {
      if (copy === null) {
        throw new Error('no copy was saved');
      }
      items.clear();
      copy.items.forEach((item) => items.set(item.key, item));
      ({ revision } = copy);
      oldestRevision = revision;
      events = [];
      firstLease = leases;
      era += 1;
    },
    countCalls: () => calls,
    close: async () => {
      faults.isSilent = false;
      server.server.closeAllConnections();
      await server.close();
    },
  };
};

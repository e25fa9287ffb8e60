import * as fastify from 'fastify';
import * as stores from '@jayrock/stores';
import * as control from './control.js';

/** Number of calls received by a key-value stand-in, by path. */
export type CallCounts = Readonly<Record<string, number>>;

/** A key-value service stand-in that serves the JSON form of the etcd v3 protocol. */
export interface KeyValueServer extends control.StandIn {
  readonly table: stores.memoryStore.MemoryTable;
  readonly getCounts: () => CallCounts;
}

interface RangeBody {
  readonly key: string;
  readonly range_end?: string;
}

interface TransactionBody {
  readonly compare?: readonly { readonly key: string; readonly mod_revision?: string }[];
  readonly success?: readonly {
    readonly request_put?: {
      readonly key: string;
      readonly value: string;
      readonly lease?: string;
    };
    readonly request_delete_range?: { readonly key: string };
  }[];
}

const decode = (text: string): string => Buffer.from(text, 'base64').toString();
const encode = (text: string): string => Buffer.from(text).toString('base64');

const toRaw = (entry: stores.keyValueStore.KeyValueEntry): object => ({
  key: encode(entry.key),
  value: encode(entry.value),
  mod_revision: String(entry.revision),
});

const toTransaction = (body: TransactionBody): stores.keyValueStore.Transaction => ({
  checks: (body.compare ?? []).map((check) => ({
    key: decode(check.key),
    revision: Number(check.mod_revision ?? 0),
  })),
  puts: (body.success ?? []).flatMap(({ request_put: put }) =>
    put === undefined
      ? []
      : [
          {
            key: decode(put.key),
            value: decode(put.value),
            ...(put.lease === undefined ? {} : { leaseId: put.lease }),
          },
        ],
  ),
  deletes: (body.success ?? []).flatMap(({ request_delete_range: range }) =>
    range === undefined ? [] : [decode(range.key)],
  ),
});

/** Starts a key-value stand-in that serves a table. */
export const startKeyValueServer = async (
  table = new stores.memoryStore.MemoryTable(),
  port = 0,
): Promise<KeyValueServer> => {
  const faults = control.makeFaults();
  const counts = new Map<string, number>();
  const server = fastify.fastify({ forceCloseConnections: true, bodyLimit: 2_000_000 });
  control.addBlockHook(server, faults);
  server.addHook('preHandler', async (request, reply) => {
    counts.set(request.url, (counts.get(request.url) ?? 0) + 1);
    table.expireLeases(Date.now());
    if (faults.delayMs > 0) {
      await control.wait(faults.delayMs);
    }
    return faults.isDown ? reply.code(503).send({ error: 'unavailable' }) : undefined;
  });
  /** Answers, or breaks the connection after the call was executed. */
  const respond = (
    request: fastify.FastifyRequest,
    reply: fastify.FastifyReply,
    body: object,
  ): fastify.FastifyReply => {
    if (faults.dropsAnswers) {
      reply.hijack();
      request.raw.socket.destroy();
      return reply;
    }
    return reply.send(body);
  };
  server.post('/v3/kv/range', async (request, reply) => {
    const body = request.body as RangeBody;
    const key = decode(body.key);
    if (body.range_end === undefined) {
      const entry = table.get(key);
      return reply.send({ kvs: entry === null ? [] : [toRaw(entry)] });
    }
    const end = decode(body.range_end);
    const entries = table.list('', key).filter((entry) => entry.key < end);
    return reply.send({ kvs: entries.map(toRaw) });
  });
  server.post('/v3/kv/txn', async (request, reply) => {
    const applied = table.commit(toTransaction(request.body as TransactionBody));
    const header = { revision: String(applied.revision) };
    return respond(request, reply, { succeeded: applied.isCommitted, header });
  });
  server.post('/v3/kv/deleterange', async (request, reply) => {
    table.deletePrefix(decode((request.body as RangeBody).key));
    return respond(request, reply, {});
  });
  server.post('/v3/lease/grant', async (request) => {
    const { TTL: ttl } = request.body as { readonly TTL: string };
    return { ID: table.grantLease(Number(ttl) * 1_000, Date.now()) };
  });
  server.post('/v3/lease/keepalive', async (request) => {
    const { ID: id } = request.body as { readonly ID: string };
    return { result: { TTL: table.renewLease(id, Date.now()) ? '1' : '0' } };
  });
  server.post('/v3/watch', async (request, reply) => {
    const body = request.body as { readonly create_request: { readonly key: string } };
    reply.hijack();
    reply.raw.writeHead(200, { 'content-type': 'application/json' });
    reply.raw.write(`${JSON.stringify({ result: { created: true } })}\n`);
    const stop = table.watch(decode(body.create_request.key), (entry) => {
      reply.raw.write(`${JSON.stringify({ result: { events: [{ kv: toRaw(entry) }] } })}\n`);
    });
    reply.raw.once('close', stop);
    return reply;
  });
  const address = await control.listenOn(server, port);
  return {
    address,
    faults,
    table,
    getCounts: () => Object.fromEntries(counts),
    close: async () => {
      server.server.closeAllConnections();
      await server.close();
    },
  };
};

import * as shared from '@jayrock/shared';
import * as undici from 'undici';
import type * as keyValueStore from './keyValueStore.js';

/** Timeout of a call, in milliseconds. */
const CALL_TIMEOUT_MS = 1_500;
/** Delay before a broken watch is reopened, in milliseconds. */
const WATCH_RETRY_MS = 500;
/** Timeout for opening a connection, in milliseconds. */
const CONNECT_TIMEOUT_MS = 1_000;

type Outcome<T> = keyValueStore.KeyValueOutcome<T>;

interface RawEntry {
  readonly key: string;
  readonly value?: string;
  readonly mod_revision: string;
}

interface RangeResponse {
  readonly kvs?: readonly RawEntry[];
}

interface TransactionResponse {
  readonly succeeded?: boolean;
  readonly header: { readonly revision: string };
}

const encode = (text: string): string => Buffer.from(text).toString('base64');

const decode = (text: string): string => Buffer.from(text, 'base64').toString();

const toEntry = (raw: RawEntry): keyValueStore.KeyValueEntry => ({
  key: decode(raw.key),
  value: decode(raw.value ?? ''),
  revision: Number(raw.mod_revision),
});

/** Returns the first key after all keys with a prefix, in base64. */
const findRangeEnd = (prefix: string): string => {
  const bytes = Buffer.from(prefix);
  const last = bytes.length - 1;
  bytes[last] = (bytes[last] ?? 0) + 1;
  return bytes.toString('base64');
};

const makeCheck = (check: keyValueStore.RevisionCheck): object => ({
  key: encode(check.key),
  target: 'MOD',
  result: 'EQUAL',
  mod_revision: String(check.revision),
});

const makePut = (put: keyValueStore.KeyValuePut): object => ({
  request_put: {
    key: encode(put.key),
    value: encode(put.value),
    ...(put.leaseId === undefined ? {} : { lease: put.leaseId }),
  },
});

const makeDelete = (key: string): object => ({ request_delete_range: { key: encode(key) } });

const CONNECT_ERROR_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'UND_ERR_CONNECT_TIMEOUT',
]);

const classifyError = (error: unknown): keyValueStore.KeyValueError =>
  error instanceof Error && 'code' in error && CONNECT_ERROR_CODES.has(String(error.code))
    ? 'refused'
    : 'unknown';

/** Reads the changes of a watch, sent as one JSON object per line. */
const readWatch = async (
  body: AsyncIterable<Uint8Array>,
  onChange: (entry: keyValueStore.KeyValueEntry) => void,
): Promise<void> => {
  const decoder = new TextDecoder();
  let text = '';
  for await (const bytes of body) {
    text += decoder.decode(bytes, { stream: true });
    const lines = text.split('\n');
    text = lines.pop() ?? '';
    lines
      .filter((line) => line.trim() !== '')
      .map((line) => JSON.parse(line) as { result?: { events?: readonly { kv: RawEntry }[] } })
      .flatMap((message) => message.result?.events ?? [])
      .forEach((event) => onChange(toEntry(event.kv)));
  }
};

/** Opens the key-value service at an address, over the JSON gateway of the etcd v3 API. */
export const openEtcdStore = (
  address: string,
  localAddress?: string,
): keyValueStore.KeyValueStore => {
  const pool = new undici.Pool(`http://${address}`, {
    connections: 16,
    connect: { timeout: CONNECT_TIMEOUT_MS },
    ...(localAddress === undefined ? {} : { localAddress }),
  });
  const closing = new AbortController();
  const call = async <T>(path: string, body: object): Promise<Outcome<T>> => {
    try {
      const response = await pool.request({
        method: 'POST',
        path,
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(body),
        signal: AbortSignal.any([closing.signal, AbortSignal.timeout(CALL_TIMEOUT_MS)]),
      });
      const text = await response.body.text();
      if (response.statusCode === 200) {
        return shared.outcome.makeOk(JSON.parse(text) as T);
      }
      return shared.outcome.makeFailed(response.statusCode === 429 ? 'refused' : 'unknown');
    } catch (error) {
      return shared.outcome.makeFailed(classifyError(error));
    }
  };
  const runWatch = async (
    key: string,
    signal: AbortSignal,
    onChange: (entry: keyValueStore.KeyValueEntry) => void,
  ): Promise<void> => {
    const response = await pool.request({
      method: 'POST',
      path: '/v3/watch',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ create_request: { key: encode(key) } }),
      bodyTimeout: 0,
      signal,
    });
    await readWatch(response.body, onChange);
  };
  return {
    get: async (key) => {
      const result = await call<RangeResponse>('/v3/kv/range', { key: encode(key) });
      const raw = result.ok ? result.value.kvs?.[0] : undefined;
      return result.ok ? shared.outcome.makeOk(raw === undefined ? null : toEntry(raw)) : result;
    },
    list: async (prefix, _, from = prefix) => {
      const result = await call<RangeResponse>('/v3/kv/range', {
        key: encode(from),
        range_end: findRangeEnd(prefix),
      });
      return result.ok ? shared.outcome.makeOk((result.value.kvs ?? []).map(toEntry)) : result;
    },
    commit: async (transaction) => {
      const result = await call<TransactionResponse>('/v3/kv/txn', {
        compare: transaction.checks.map(makeCheck),
        success: [...(transaction.deletes ?? []).map(makeDelete), ...transaction.puts.map(makePut)],
      });
      return result.ok
        ? shared.outcome.makeOk({
            isCommitted: result.value.succeeded === true,
            revision: Number(result.value.header.revision),
          })
        : result;
    },
    deletePrefix: async (prefix) => {
      const result = await call('/v3/kv/deleterange', {
        key: encode(prefix),
        range_end: findRangeEnd(prefix),
      });
      return result.ok ? shared.outcome.makeOk(undefined) : result;
    },
    watch: (key, onChange) => {
      const controller = new AbortController();
      const signal = AbortSignal.any([closing.signal, controller.signal]);
      const run = (): void => {
        if (signal.aborted) {
          return;
        }
        runWatch(key, signal, onChange)
          .catch(() => undefined)
          .finally(() => setTimeout(run, WATCH_RETRY_MS).unref());
      };
      run();
      return () => controller.abort();
    },
    grantLease: async (ttlSeconds) => {
      const result = await call<{ readonly ID: string }>('/v3/lease/grant', {
        TTL: String(ttlSeconds),
      });
      return result.ok ? shared.outcome.makeOk(result.value.ID) : result;
    },
    renewLease: async (leaseId) => {
      const result = await call<{ readonly result?: { readonly TTL?: string } }>(
        '/v3/lease/keepalive',
        { ID: leaseId },
      );
      return result.ok ? shared.outcome.makeOk(Number(result.value.result?.TTL ?? 0) > 0) : result;
    },
    close: async () => {
      closing.abort();
      await pool.destroy();
    },
  };
};

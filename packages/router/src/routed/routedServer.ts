import type * as http from 'node:http';
import * as platform from '@jayrock/platform';
import * as shared from '@jayrock/shared';
import * as fastify from 'fastify';
import type * as runtime from '../runtime.js';
import type * as pendingRoutedRequest from './pendingRoutedRequest.js';
import type * as freshnessClock from './freshnessClock.js';

/** What the listener for routed requests works with. */
export interface RoutedServerContext {
  readonly node: runtime.Runtime;
  readonly pending: Map<string, pendingRoutedRequest.PendingRoutedRequest>;
  readonly clock: freshnessClock.FreshnessClock;
  readonly limits: CallerLimits;
  /** Age of the table's confirmation from which a new one is asked for, in milliseconds. */
  readonly maxTableAgeMs: number;
  /** Asks for a confirmation now. */
  readonly refreshTable: () => Promise<boolean>;
  readonly isLeaving: () => boolean;
}

/** Bounds on callers until the first table of routes names its own. */
export interface CallerLimits {
  readonly maxBodyBytes: number;
  readonly headersTimeoutMs: number;
}

/** Largest header the parser takes before the table's own bound is known, in bytes. */
const MAX_HEADER_BYTES = 65_536;
/** Time by which an idle connection outlives the bound told to callers, in milliseconds. */
const IDLE_MARGIN_MS = 5_000;
/** Idle time before the first table names one, in milliseconds. */
const DEFAULT_IDLE_MS = 15_000;
const CONNECTION_CHECK_MS = 1_000;
/** Longest time a request waits for a confirmation of the table, in milliseconds. */
const REFRESH_WAIT_MS = 60;
const BAD_REQUEST_STATUS = 400;
const TOO_LARGE_STATUS = 413;

/** Writes a refusal of the router's own; it carries no signature of an upstream. */
export const writeRefusal = (
  response: http.ServerResponse,
  status: number,
  code: string,
  retryAfterMs: number | null,
): void => {
  const body = JSON.stringify({ error: code });
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
    ...(retryAfterMs === null
      ? {}
      : { 'retry-after': platform.callHeaders.formatRetryAfter(retryAfterMs) }),
  });
  response.end(body);
};

/** Reads a whole body; null when it is too large or breaks off. */
const readBody = async (
  request: http.IncomingMessage,
  maxBytes: number,
): Promise<Buffer | null> => {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of request) {
    bytes += (chunk as Buffer).length;
    if (bytes > maxBytes) {
      return null;
    }
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks);
};

const hashRequest = (request: http.IncomingMessage, key: string | null, body: Buffer): string =>
  shared.hash.hashDigest(`${request.method}|${request.url}|${key}|${body.toString('latin1')}`);

const splitUrl = (url: string): string => url.split('?', 1)[0] ?? url;

const dispatchArrival = (
  context: RoutedServerContext,
  pending: pendingRoutedRequest.PendingRoutedRequest,
): void => {
  const call = platform.callHeaders.readCallHeaders(pending.headers);
  context.node.dispatch({
    type: 'routedRequestArrived',
    requestId: pending.id,
    call: {
      host: String(pending.headers.host ?? ''),
      path: splitUrl(pending.url),
      key: call.key,
      deadlineMs: call.deadlineMs,
      model: call.model,
      tokensIn: call.tokensIn,
      maxTokens: call.maxTokens,
      lengthHint: call.lengthHint,
      parts: call.parts,
      lastEventId: call.lastEventId,
      session: call.session,
      fingerprint: pending.fingerprint,
    },
    tableAgeMs: context.clock.getAgeMs(),
  });
};

const openRequest = async (
  context: RoutedServerContext,
  url: string,
  request: http.IncomingMessage,
  response: http.ServerResponse,
): Promise<void> => {
  const { limits } = context.node.getState().routed.routeIndex ?? { limits: context.limits };
  const arrivedAtMs = performance.now();
  const body = await readBody(request, limits.maxBodyBytes).catch(() => null);
  if (response.destroyed || response.headersSent) {
    return;
  }
  if (body === null) {
    writeRefusal(response, TOO_LARGE_STATUS, 'bodyTooLarge', null);
    return;
  }
  const call = platform.callHeaders.readCallHeaders(request.headers);
  const pending: pendingRoutedRequest.PendingRoutedRequest = {
    id: shared.requestId.makeRequestId(),
    callerRequestId: call.requestId,
    method: request.method ?? 'GET',
    url,
    rawHeaders: request.rawHeaders,
    headers: request.headers,
    body,
    fingerprint: hashRequest(request, call.key, body),
    response,
    arrivedAtMs,
    attempts: new Map(),
    isHeadWritten: false,
    lastEventId: call.lastEventId,
  };
  if (context.isLeaving()) {
    response.shouldKeepAlive = false;
  }
  // After a suspension or a step of the clock one read of the store tells what holds.
  if (context.clock.getAgeMs() > context.maxTableAgeMs) {
    await Promise.race([context.refreshTable(), shared.delay.wait(REFRESH_WAIT_MS)]);
  }
  if (response.destroyed) {
    return;
  }
  context.pending.set(pending.id, pending);
  response.once('close', () => {
    if (context.pending.has(pending.id)) {
      context.node.dispatch({ type: 'callerGone', requestId: pending.id });
    }
  });
  dispatchArrival(context, pending);
};

/** Makes the listener that callers of routes connect to. */
export const makeRoutedServer = (context: RoutedServerContext): fastify.FastifyInstance => {
  const server = fastify.fastify({
    // Every path is a caller's own, so none may be lost to the library's router.
    rewriteUrl: () => '/',
    forceCloseConnections: 'idle',
    keepAliveTimeout: DEFAULT_IDLE_MS + IDLE_MARGIN_MS,
    http: {
      maxHeaderSize: MAX_HEADER_BYTES,
      headersTimeout: context.limits.headersTimeoutMs * 2,
      requestTimeout: 0,
      connectionsCheckingInterval: CONNECTION_CHECK_MS,
    },
  });
  server.addHook('onRequest', (request, reply, done) => {
    reply.hijack();
    const idleMs =
      context.node.getState().routed.routeIndex?.limits.idleTimeoutMs ?? DEFAULT_IDLE_MS;
    server.server.keepAliveTimeout = idleMs + IDLE_MARGIN_MS;
    openRequest(context, request.originalUrl, request.raw, reply.raw).catch(() => {
      if (!reply.raw.headersSent) {
        writeRefusal(reply.raw, BAD_REQUEST_STATUS, 'badRequest', null);
      }
    });
    done();
  });
  server.all('/', () => undefined);
  server.setNotFoundHandler(() => undefined);
  return server;
};

/** Makes the listener that tells the balancer whether new connections are welcome. */
export const makeReadyServer = (isReady: () => boolean): fastify.FastifyInstance => {
  const server = fastify.fastify({ forceCloseConnections: true });
  server.get('/readyz', (_, reply) => reply.code(isReady() ? 200 : 503).send());
  return server;
};

import type * as http from 'node:http';
import * as platform from '@jayrock/platform';
import * as shared from '@jayrock/shared';
import * as fastify from 'fastify';
import * as bodyReader from '../callers/bodyReader.js';
import type * as callerConnections from '../callers/callerConnections.js';
import type * as crowdRecord from '../callers/crowdRecord.js';
import * as lastRefusal from '../callers/lastRefusal.js';
import type * as routerRuntime from '../routerRuntime.js';
import type * as bufferBudget from '../upstreams/bufferBudget.js';
import type * as freshnessClock from './freshnessClock.js';
import type * as freshnessGate from './freshnessGate.js';
import type * as pendingRoutedRequest from './pendingRoutedRequest.js';

/** Dependencies of the listener for routed requests. */
export interface RoutedServerContext {
  readonly runtime: routerRuntime.Runtime;
  readonly pending: Map<string, pendingRoutedRequest.PendingRoutedRequest>;
  readonly clock: freshnessClock.FreshnessClock;
  readonly gate: freshnessGate.FreshnessGate;
  readonly connections: callerConnections.CallerConnections;
  readonly limits: CallerLimits;
  readonly buffers: bufferBudget.BufferBudget;
  readonly crowd: crowdRecord.CrowdRecord;
  /** Returns the time since the table's last confirmation above which a request first confirms it, in milliseconds. */
  readonly getMaxTableAgeMs: () => number;
  /** Returns whether a new request may still be started: it has to be finished before the router has stopped. */
  readonly mayStart: () => boolean;
  /** Refuses a request that is no longer started because the router is stopping. */
  readonly refuseLate: (pending: pendingRoutedRequest.PendingRoutedRequest) => void;
  /** Ends a request whose caller left before the request was dispatched. */
  readonly endAbandoned: (pending: pendingRoutedRequest.PendingRoutedRequest) => void;
}

/** Limits on requests that apply until the first route table sets its own. */
export interface CallerLimits {
  readonly maxBodyBytes: number;
  /** Time within which a body has to arrive, whatever the table says, in milliseconds. */
  readonly bodyTimeoutMs: number;
  readonly headersTimeoutMs: number;
}

/** Largest header that the parser accepts, in bytes; set before the limit of the route table is known. */
const MAX_HEADER_BYTES = 65_536;
/** Time by which an idle connection outlives the timeout announced to callers, in milliseconds. */
const IDLE_MARGIN_MS = 5_000;
/** Idle timeout until the first route table sets one, in milliseconds. */
const DEFAULT_IDLE_MS = 15_000;
/** Interval at which Node.js checks connections for timeouts, in milliseconds. */
const CONNECTION_CHECK_MS = 1_000;
/** Longest time that a request waits for a confirmation of the table, in milliseconds. */
const REFRESH_WAIT_MS = 60;
/** Version of HTTP whose requests name a host. */
const HOST_VERSION = '1.1';
const BAD_REQUEST_STATUS = 400;
/** Pause after which a caller whose body found no room may come again, in milliseconds. */
const CROWDED_RETRY_MS = 1_000;

const makeRefusal = (
  code: string,
  retryAfterMs: number | null,
): { readonly headers: Readonly<Record<string, string>>; readonly body: string } => ({
  headers: {
    'content-type': 'application/json',
    ...(retryAfterMs === null
      ? {}
      : { 'retry-after': platform.callHeaders.formatRetryAfter(retryAfterMs) }),
  },
  body: JSON.stringify({ error: code }),
});

/** Writes a refusal by the router itself, which has no upstream's signature. */
export const writeRefusal = (
  response: http.ServerResponse,
  status: number,
  code: string,
  retryAfterMs: number | null,
): void => {
  const { headers, body } = makeRefusal(code, retryAfterMs);
  response.writeHead(status, { ...headers, 'content-length': Buffer.byteLength(body) });
  response.end(body);
};

/** Refuses a request whose body was not read to its end; nothing of it was sent on. */
const refuseBody = (
  context: RoutedServerContext,
  request: http.IncomingMessage,
  response: http.ServerResponse,
  reason: bodyReader.BodyFailure,
): void => {
  context.crowd.record(reason);
  if (reason === 'bodyBroken') {
    response.destroy();
    return;
  }
  const { status } = shared.errorCodes.getErrorRow(reason);
  const { headers, body } = makeRefusal(reason, reason === 'bodyCrowded' ? CROWDED_RETRY_MS : null);
  lastRefusal.writeLastRefusal(request, response, status, headers, body);
};

/** Hashes what makes a request the same one: method, host, path with its query, caller and body. */
const hashRequest = (
  { method = 'GET', headers }: http.IncomingMessage,
  url: string,
  caller: readonly (string | null)[],
  body: Buffer,
): string =>
  shared.hash.hashFields([method, String(headers.host ?? '').toLowerCase(), url, ...caller], body);

/**
 * Hashes a request by the organisation of its key, which may send it again with another one. A key that belongs to none
 * counts as no key: on a public route any may be sent along. Null for a request without a key.
 */
const hashByOrganisation = (
  { runtime }: RoutedServerContext,
  request: http.IncomingMessage,
  url: string,
  key: string | null,
  body: Buffer,
): string | null => {
  if (key === null) {
    return null;
  }
  const holder = runtime.getState().routed.routeIndex?.holdersByKey.get(key);
  const caller = holder === undefined ? [null] : ['organisation', holder.organisation];
  return hashRequest(request, url, caller, body);
};

/**
 * Hashes a request as routers of the former build do, which leave out host and path. Without a body, the hash stands for
 * all requests of one key, so that it says nothing of this one.
 */
const hashAsFormerBuild = (
  { method }: http.IncomingMessage,
  key: string | null,
  body: Buffer,
): string | null =>
  body.length === 0
    ? null
    : shared.hash.hashDigest(`${method}|/|${key}|${body.toString('latin1')}`);

const getPath = (url: string): string => url.split('?', 1)[0] ?? url;

const dispatchArrival = (
  context: RoutedServerContext,
  pending: pendingRoutedRequest.PendingRoutedRequest,
): void => {
  const call = platform.callHeaders.readCallHeaders(pending.headers);
  context.runtime.dispatch({
    type: 'routedRequestArrived',
    requestId: pending.id,
    call: {
      host: String(pending.headers.host ?? ''),
      path: getPath(pending.url),
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
      callerFingerprint: pending.callerFingerprint,
      formerFingerprint: pending.formerFingerprint,
    },
    tableAgeMs: context.clock.getAgeMs(),
    waitedMs: performance.now() - pending.arrivedAtMs,
  });
};

/**
 * Reads a request and confirms the table if its last confirmation is too old. The request starts once the input that had
 * arrived with it has been read, which may be the close of its connection.
 */
const acceptRequest = async (
  context: RoutedServerContext,
  url: string,
  request: http.IncomingMessage,
  response: http.ServerResponse,
): Promise<void> => {
  const { limits } = context.runtime.getState().routed.routeIndex ?? { limits: context.limits };
  const readAtMs = performance.now();
  const arrivedAtMs = context.connections.getArrivalMs(response);
  const read = await bodyReader.readBody(request, {
    maxBytes: limits.maxBodyBytes,
    timeoutMs: context.limits.bodyTimeoutMs,
    buffers: context.buffers,
  });
  if (read.kind !== 'whole') {
    if (!response.destroyed) {
      refuseBody(context, request, response, read.kind);
    }
    return;
  }
  if (response.destroyed || response.headersSent) {
    read.release();
    return;
  }
  const { body } = read;
  response.once('close', read.release);
  const call = platform.callHeaders.readCallHeaders(request.headers);
  const pending: pendingRoutedRequest.PendingRoutedRequest = {
    id: shared.requestId.makeRequestId(),
    callerRequestId: call.requestId,
    method: request.method ?? 'GET',
    url,
    rawHeaders: request.rawHeaders,
    headers: request.headers,
    body,
    fingerprint: hashRequest(request, url, [call.key], body),
    callerFingerprint: hashByOrganisation(context, request, url, call.key, body),
    formerFingerprint: hashAsFormerBuild(request, call.key, body),
    response,
    arrivedAtMs,
    readAtMs,
    sends: [],
    attempts: new Map(),
    isHeadWritten: false,
    lastEventId: call.lastEventId,
  };
  context.pending.set(pending.id, pending);
  // After a suspension or a clock step, one call to the store shows whether the table is current.
  const confirmation = context.gate.confirm(context.getMaxTableAgeMs());
  if (confirmation !== null) {
    await Promise.race([confirmation, shared.delay.wait(REFRESH_WAIT_MS)]);
  }
  context.connections.admit(response, {
    start: () => {
      if (context.mayStart()) {
        dispatchArrival(context, pending);
      } else {
        context.refuseLate(pending);
      }
    },
    abandon: () => context.endAbandoned(pending),
    handleGone: () => {
      if (context.pending.has(pending.id)) {
        context.runtime.dispatch({ type: 'callerGone', requestId: pending.id });
      }
    },
  });
};

/** Creates the listener for callers' routed requests. */
export const makeRoutedServer = (context: RoutedServerContext): fastify.FastifyInstance => {
  const server = fastify.fastify({
    // All paths belong to the route table, so fastify must not reject any of them itself.
    rewriteUrl: () => '/',
    forceCloseConnections: 'idle',
    keepAliveTimeout: DEFAULT_IDLE_MS + IDLE_MARGIN_MS,
    http: {
      maxHeaderSize: MAX_HEADER_BYTES,
      headersTimeout: context.limits.headersTimeoutMs * 2,
      requestTimeout: 0,
      // Node.js answers such a request itself, ahead of the bound on requests that are sent ahead.
      requireHostHeader: false,
      connectionsCheckingInterval: CONNECTION_CHECK_MS,
    },
  });
  context.connections.follow(server.server);
  server.addHook('onRequest', (request, reply, done) => {
    reply.hijack();
    if (request.headers.host === undefined && request.raw.httpVersion === HOST_VERSION) {
      const response = reply.raw;
      response.shouldKeepAlive = false;
      writeRefusal(response, BAD_REQUEST_STATUS, 'badRequest', null);
      done();
      return;
    }
    const idleMs =
      context.runtime.getState().routed.routeIndex?.limits.idleTimeoutMs ?? DEFAULT_IDLE_MS;
    server.server.keepAliveTimeout = idleMs + IDLE_MARGIN_MS;
    acceptRequest(context, request.originalUrl, request.raw, reply.raw).catch(() => {
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

/** Creates the readiness listener: 200 if the load balancer should send new connections, else 503. */
export const makeReadyServer = (isReady: () => boolean): fastify.FastifyInstance => {
  const server = fastify.fastify({ forceCloseConnections: true });
  server.get('/readyz', (_, reply) => reply.code(isReady() ? 200 : 503).send());
  return server;
};

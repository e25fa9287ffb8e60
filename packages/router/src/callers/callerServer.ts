import type * as http from 'node:http';
import * as fastify from 'fastify';
import * as shared from '@jayrock/shared';
import type * as core from '@jayrock/core';
import * as pendingRequest from '../pendingRequest.js';
import type * as routerRuntime from '../routerRuntime.js';
import type * as bufferBudget from '../upstreams/bufferBudget.js';
import * as bodyReader from './bodyReader.js';
import type * as callerConnections from './callerConnections.js';
import type * as crowdRecord from './crowdRecord.js';
import * as lastRefusal from './lastRefusal.js';
import * as parseChat from './parseChat.js';
import * as problem from './problem.js';
import * as replySink from './replySink.js';
import * as sessionToken from './sessionToken.js';

/** Looks up the pin of a named session; null if none is stored or no roll-out is open. */
export type SessionLookup = (session: string) => Promise<core.requestState.SessionPin | null>;

/** Dependencies of the callers' listener. */
export interface CallerContext {
  readonly runtime: routerRuntime.Runtime;
  readonly settings: shared.settings.Settings;
  readonly pending: Map<string, pendingRequest.PendingRequest>;
  readonly findSession: SessionLookup;
  readonly connections: callerConnections.CallerConnections;
  readonly buffers: bufferBudget.BufferBudget;
  readonly crowd: crowdRecord.CrowdRecord;
  /** Ends a request whose caller left before the request was dispatched. */
  readonly endAbandoned: (pending: pendingRequest.PendingRequest) => void;
  /** Returns whether the platform's load balancer may send requests to this router. */
  readonly isReady: () => boolean;
}

interface Caller {
  readonly customer: string;
  readonly plan: string;
}

/** Clock skew tolerated in the timestamp of an idempotency key, in milliseconds. */
const MAX_CLOCK_SKEW_MS = 60_000;

type RefusalCode = shared.errorCodes.ErrorCode;

const findCaller = (context: CallerContext, request: fastify.FastifyRequest): Caller | null => {
  const [scheme, key] = (request.headers.authorization ?? '').split(' ', 2);
  const { config } = context.runtime.getState();
  if (scheme !== 'Bearer' || key === undefined || config === null) {
    return null;
  }
  const customer = config.customersByKeyHash.get(shared.hash.hashDigest(key));
  return customer === undefined ? null : { customer: customer.name, plan: customer.plan };
};

const getHeader = (request: fastify.FastifyRequest, name: string): string | null => {
  const value = request.headers[name];
  return typeof value === 'string' && value !== '' ? value : null;
};

const refuse = (
  reply: fastify.FastifyReply,
  code: RefusalCode,
  detail?: string,
): fastify.FastifyReply => {
  const row = shared.errorCodes.getErrorRow(code);
  const extra = detail === undefined ? {} : { detail };
  return reply
    .code(row.status)
    .type(problem.PROBLEM_TYPE)
    .send(Buffer.from(JSON.stringify(problem.makeProblem(code, true, extra))));
};

type DerivedId = shared.outcome.Outcome<string, RefusalCode>;

/** Derives a request id from the customer and the idempotency key, so that a resend gets the same id. */
const deriveRequestId = (request: fastify.FastifyRequest, customer: string): DerivedId => {
  const key = getHeader(request, 'idempotency-key') ?? shared.requestId.makeRequestId();
  const isValid =
    shared.requestId.isUuidV7(key) &&
    shared.requestId.readIdTimeMs(key) <= Date.now() + MAX_CLOCK_SKEW_MS;
  return isValid
    ? shared.outcome.makeOk(`${customer}/${key.toLowerCase()}`)
    : shared.outcome.makeFailed('badIdempotencyKey');
};

interface AdmittedRequest {
  readonly caller: Caller;
  readonly requestId: string;
  readonly config: core.configIndex.ConfigIndex;
}

/** Checks what every request needs: a configuration, a known API key and a valid id that is not in flight. */
const admitRequest = (
  context: CallerContext,
  request: fastify.FastifyRequest,
): shared.outcome.Outcome<AdmittedRequest, RefusalCode> => {
  const { config } = context.runtime.getState();
  if (config === null) {
    return shared.outcome.makeFailed('noConfiguration');
  }
  const caller = findCaller(context, request);
  if (caller === null) {
    return shared.outcome.makeFailed('unauthorized');
  }
  const derived = deriveRequestId(request, caller.customer);
  if (!derived.ok) {
    return derived;
  }
  return context.pending.has(derived.value)
    ? shared.outcome.makeFailed('inProgress')
    : shared.outcome.makeOk({ caller, requestId: derived.value, config });
};

const openRequest = (
  context: CallerContext,
  reply: fastify.FastifyReply,
  pending: pendingRequest.PendingRequest,
): void => {
  reply.hijack();
  context.pending.set(pending.requestId, pending);
  context.connections.admit(reply.raw, {
    start: () =>
      context.runtime.dispatch({
        type: 'requestArrived',
        requestId: pending.requestId,
        customer: pending.customer,
        shape: pending.shape,
        pin: pending.pin,
        session: pending.session,
      }),
    abandon: () => context.endAbandoned(pending),
    handleGone: () => {
      if (context.pending.has(pending.requestId)) {
        context.runtime.dispatch({ type: 'callerGone', requestId: pending.requestId });
      }
    },
  });
};

const findPin = async (
  context: CallerContext,
  request: fastify.FastifyRequest,
  admitted: AdmittedRequest,
  session: string | null,
): Promise<core.requestState.SessionPin | null> => {
  const token = getHeader(request, 'x-jayrock-session');
  const { customer } = admitted.caller;
  if (token !== null) {
    return sessionToken.verifyToken(token, customer, admitted.config.source.signingKey);
  }
  return session === null ? null : context.findSession(session);
};

const makeChatSink = (
  context: CallerContext,
  response: http.ServerResponse,
  requestId: string,
  isStreaming: boolean,
): replySink.ReplySink =>
  isStreaming
    ? replySink.makeStreamSink(response)
    : replySink.makeBufferedSink(response, () => ({
        id: requestId,
        model: context.pending.get(requestId)?.versionId ?? '',
      }));

const handleChat = async (
  context: CallerContext,
  request: fastify.FastifyRequest,
  reply: fastify.FastifyReply,
): Promise<fastify.FastifyReply | undefined> => {
  const admitted = admitRequest(context, request);
  if (!admitted.ok) {
    return refuse(reply, admitted.error);
  }
  const parsed = parseChat.parseChat(request.body);
  if (!parsed.ok) {
    return refuse(reply, 'badRequest', parsed.error);
  }
  const { requestId, caller } = admitted.value;
  const name = getHeader(request, 'x-jayrock-session-name');
  const session = name === null ? null : `${caller.customer}/${name}`;
  const pin = await findPin(context, request, admitted.value, session);
  if (context.pending.has(requestId)) {
    return refuse(reply, 'inProgress');
  }
  const pending = pendingRequest.makePendingRequest({
    requestId,
    customer: caller.customer,
    shape: parsed.value.shape,
    sink: makeChatSink(context, reply.raw, requestId, parsed.value.shape.streaming),
    body: parsed.value.body,
    prompt: parsed.value.prompt,
    pin,
    session,
    arrivedAtMs: Date.now(),
  });
  openRequest(context, reply, pending);
  return undefined;
};

interface ServiceParams {
  readonly name: string;
  readonly '*': string;
}

const handleCall = async (
  context: CallerContext,
  request: fastify.FastifyRequest,
  reply: fastify.FastifyReply,
): Promise<fastify.FastifyReply | undefined> => {
  const admitted = admitRequest(context, request);
  if (!admitted.ok) {
    return refuse(reply, admitted.error);
  }
  const params = request.params as ServiceParams;
  const { requestId, caller } = admitted.value;
  const body = JSON.stringify(request.body ?? {});
  const path = `/${params['*']}`;
  const pending: pendingRequest.PendingRequest = pendingRequest.makePendingRequest({
    requestId,
    customer: caller.customer,
    shape: {
      kind: 'call',
      target: params.name,
      adapter: null,
      path,
      streaming: false,
      tokensIn: 0,
      maxTokens: 1,
      prefix: 0,
      fingerprint: shared.hash.hashDigest(`${params.name}${path}|${body}`),
    },
    sink: replySink.makeCallSink(reply.raw, () => pending.answer),
    body,
    prompt: '',
    pin: null,
    session: null,
    arrivedAtMs: Date.now(),
  });
  openRequest(context, reply, pending);
  return undefined;
};

const listModels = (
  context: CallerContext,
  request: fastify.FastifyRequest,
  reply: fastify.FastifyReply,
): fastify.FastifyReply => {
  const admitted = admitRequest(context, request);
  if (!admitted.ok) {
    return refuse(reply, admitted.error);
  }
  const plan = admitted.value.config.plans.get(admitted.value.caller.plan);
  const data = (plan?.models ?? []).map((id) => ({ id, object: 'model', owned_by: 'jayrock' }));
  return reply.send({ object: 'list', data });
};

const ERROR_CODES: ReadonlyMap<string, RefusalCode> = new Map([
  ['FST_ERR_CTP_BODY_TOO_LARGE', 'bodyTooLarge'],
]);

/** Failure to read a body, which ends its connection. */
class BodyError extends Error {
  readonly failure: bodyReader.BodyFailure;

  constructor(failure: bodyReader.BodyFailure) {
    super(failure);
    this.failure = failure;
  }
}

/** Pause after which a caller whose body found no room may come again, in seconds. */
const CROWDED_RETRY_S = 1;

/** Refuses a request whose body was not read to its end; it was not run. */
const refuseBody = (
  context: CallerContext,
  reply: fastify.FastifyReply,
  failure: bodyReader.BodyFailure,
): fastify.FastifyReply => {
  context.crowd.record(failure);
  reply.hijack();
  if (failure === 'bodyBroken') {
    reply.raw.destroy();
    return reply;
  }
  lastRefusal.writeLastRefusal(
    reply.request.raw,
    reply.raw,
    shared.errorCodes.getErrorRow(failure).status,
    {
      'content-type': problem.PROBLEM_TYPE,
      ...(failure === 'bodyCrowded' ? { 'retry-after': String(CROWDED_RETRY_S) } : {}),
    },
    JSON.stringify(problem.makeProblem(failure, true)),
  );
  return reply;
};

/** Reads the bodies of requests within the limits, as text. */
const readBodies = (server: fastify.FastifyInstance, context: CallerContext): void => {
  const { limits } = context.settings;
  const responses = new WeakMap<http.IncomingMessage, http.ServerResponse>();
  server.addHook('onRequest', (request, reply, done) => {
    responses.set(request.raw, reply.raw);
    done();
  });
  const readText = async (request: http.IncomingMessage): Promise<string> => {
    const read = await bodyReader.readBody(request, {
      maxBytes: limits.maxBodyBytes,
      timeoutMs: limits.bodyTimeoutMs,
      buffers: context.buffers,
    });
    if (read.kind !== 'whole') {
      throw new BodyError(read.kind);
    }
    responses.get(request)?.once('close', read.release);
    return read.body.toString('utf8');
  };
  const parseJson = server.getDefaultJsonParser('error', 'error');
  server.removeAllContentTypeParsers();
  server.addContentTypeParser(
    'text/plain',
    async (_: fastify.FastifyRequest, payload: http.IncomingMessage) => readText(payload),
  );
  server.addContentTypeParser('application/json', (request, payload, done) => {
    readText(payload).then((text) => parseJson(request, text, done), done);
  });
};

const handleError = (
  context: CallerContext,
  error: unknown,
  reply: fastify.FastifyReply,
): fastify.FastifyReply => {
  if (error instanceof BodyError) {
    return refuseBody(context, reply, error.failure);
  }
  const code = error instanceof Error && 'code' in error ? String(error.code) : '';
  const detail = error instanceof Error ? error.message : String(error);
  return refuse(reply, ERROR_CODES.get(code) ?? 'badRequest', detail);
};

/** Interval at which connections are checked for header timeouts, in milliseconds. */
const CONNECTION_CHECK_MS = 1_000;

/** Makes the HTTP listener for callers. */
export const makeCallerServer = (context: CallerContext): fastify.FastifyInstance => {
  const { limits } = context.settings;
  const server = fastify.fastify({
    bodyLimit: limits.maxBodyBytes,
    forceCloseConnections: 'idle',
    http: {
      headersTimeout: limits.headersTimeoutMs,
      requestTimeout: limits.headersTimeoutMs * 2,
      connectionsCheckingInterval: CONNECTION_CHECK_MS,
    },
  });
  context.connections.follow(server.server);
  readBodies(server, context);
  server.setErrorHandler((error, _, reply) => handleError(context, error, reply));
  server.setNotFoundHandler((_, reply) => refuse(reply, 'notFound'));
  server.get('/healthz', (_, reply) => reply.code(context.isReady() ? 200 : 503).send());
  server.post('/v1/chat/completions', (request, reply) => handleChat(context, request, reply));
  server.get('/v1/models', (request, reply) => listModels(context, request, reply));
  server.post('/services/:name/*', (request, reply) => handleCall(context, request, reply));
  return server;
};

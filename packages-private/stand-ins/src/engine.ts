import type * as http from 'node:http';
import type * as net from 'node:net';
import * as fastify from 'fastify';
import * as shared from '@jayrock/shared';
import * as control from './control.js';

/** Capacity, speed and initially loaded versions of an engine stand-in. */
export interface EngineOptions {
  readonly id: string;
  readonly port?: number;
  readonly slots: number;
  readonly loaded: readonly string[];
  /** True if the engine refuses orders with an outdated fencing token. */
  readonly checksFencing?: boolean;
  /** Time between two tokens, in milliseconds. */
  readonly msPerToken: number;
  /** Prefill time of a thousand prompt tokens, in milliseconds. */
  readonly msPerThousandPromptTokens: number;
}

/** An engine stand-in that records its requests and orders. */
export interface Engine extends control.StandIn {
  readonly id: string;
  /** Number of requests started on each version, by `model@version`. */
  readonly starts: ReadonlyMap<string, number>;
  /** Ids of the requests that were admitted to a batch. */
  readonly startedRequests: ReadonlySet<string>;
  /** Times at which chat requests arrived, in milliseconds of `performance.now()`. */
  readonly arrivedAtMs: readonly number[];
  /** Returns the number of poison requests that were started here. */
  readonly getPoisonCount: () => number;
  /** Stops sending on all connections that are open now, without closing them; new ones work. */
  readonly silenceConnections: () => void;
  /** Orders received, including refused ones. */
  readonly orders: readonly { readonly fencing: number; readonly loaded: readonly string[] }[];
  readonly getLoaded: () => readonly string[];
  readonly setLoaded: (versions: readonly string[]) => void;
  /** Simulates a crash: breaks all connections and stops listening for a time in milliseconds. */
  readonly crash: (downMs: number) => Promise<void>;
}

interface ChatBody {
  readonly model: string;
  readonly messages: readonly { readonly content: string }[];
  readonly max_tokens: number;
  readonly priority?: number;
}

interface RunningRequest {
  readonly response: http.ServerResponse;
  readonly body: ChatBody;
  readonly length: number;
  readonly priority: number;
  readonly seed: string;
  position: number;
  readyAtMs: number;
}

/** Text in a prompt that crashes the engine. */
export const POISON_TEXT = 'crash-the-engine';
/** Interval of the batch loop, in milliseconds. */
const BATCH_INTERVAL_MS = 5;
/** Downtime of an engine after a poison request, in milliseconds. */
const CRASH_DOWN_MS = 1_500;
const MAX_DEFAULT_LENGTH = 48;
const WORDS = ['book', 'gap', 'receipt', 'spring', 'tick', 'pendulum', 'series', 'audit'] as const;

/** Reads the length of the answer in tokens from `len=N` in the prompt, or derives it from its text. */
const chooseLength = (prompt: string, maxTokens: number): number => {
  const requested = /len=(\d+)/.exec(prompt)?.[1];
  const length =
    requested === undefined
      ? 8 + (shared.hash.hashText(prompt) % MAX_DEFAULT_LENGTH)
      : Number(requested);
  return Math.max(1, Math.min(length, maxTokens));
};

/** Returns the word at a position of an answer; it depends on the seed only, not on the engine. */
export const makeWord = (seed: string, position: number): string =>
  `${WORDS[shared.hash.hashText(`${seed}|${position}`) % WORDS.length] ?? ''}-${position} `;

/** Builds the complete expected answer to a prompt, to compare with the one that a caller received. */
export const makeAnswer = (versionId: string, prompt: string, maxTokens: number): string =>
  Array.from({ length: chooseLength(prompt, maxTokens) }, (_, position) =>
    makeWord(`${versionId}|${prompt}`, position),
  ).join('');

const makeChunk = (running: RunningRequest, position: number): string => {
  const isLast = position === running.length - 1;
  const choice = {
    index: 0,
    delta: { content: makeWord(running.seed, position) },
    finish_reason: isLast ? 'stop' : null,
  };
  return `data: ${JSON.stringify({ object: 'chat.completion.chunk', choices: [choice] })}\n\n`;
};

/** Starts an engine stand-in with continuous batching, priorities and resumable streams. */
export const startEngine = async (options: EngineOptions): Promise<Engine> => {
  const faults = control.makeFaults();
  const starts = new Map<string, number>();
  let loaded = [...options.loaded];
  let running: RunningRequest[] = [];
  let waiting: RunningRequest[] = [];
  const sockets = new Set<net.Socket>();
  const silentSockets = new WeakSet<net.Socket>();
  const arrivedAtMs: number[] = [];
  const startedRequests = new Set<string>();
  const isSilent = (response: http.ServerResponse): boolean =>
    response.socket !== null && silentSockets.has(response.socket);
  let hasCrashed = false;
  let highestFencing = 0;
  const orders: { readonly fencing: number; readonly loaded: string[] }[] = [];

  const admit = (): void => {
    while (running.length < options.slots && waiting.length > 0) {
      waiting.sort((a, b) => a.priority - b.priority);
      const next = waiting.shift();
      if (next !== undefined) {
        const promptTokens =
          next.body.messages.reduce((sum, message) => sum + message.content.length, 0) / 4;
        const prefillMs = (promptTokens / 1_000) * options.msPerThousandPromptTokens;
        next.readyAtMs = Date.now() + (prefillMs + options.msPerToken) * faults.slowFactor;
        running.push(next);
      }
    }
  };

  const advance = (item: RunningRequest, nowMs: number): boolean => {
    let text = '';
    while (item.position < item.length && item.readyAtMs <= nowMs) {
      text += makeChunk(item, item.position);
      item.position += 1;
      item.readyAtMs += options.msPerToken * faults.slowFactor;
    }
    if (text !== '') {
      item.response.write(text);
    }
    if (item.position < item.length) {
      return true;
    }
    item.response.end(faults.omitsEndMark ? '' : 'data: [DONE]\n\n');
    return false;
  };

  const batchTimer = setInterval(() => {
    const nowMs = Date.now();
    running = running.filter(
      (item) => !item.response.destroyed && (isSilent(item.response) || advance(item, nowMs)),
    );
    waiting = waiting.filter((item) => !item.response.destroyed);
    admit();
  }, BATCH_INTERVAL_MS);

  const state: { crash: (downMs: number) => Promise<void>; poisonCount: number } = {
    crash: async () => undefined,
    poisonCount: 0,
  };

  const makeServer = (): fastify.FastifyInstance => {
    const server = fastify.fastify({ forceCloseConnections: true });
    control.addBlockHook(server, faults);
    control.addRateLimitHook(server, faults);
    server.server.on('connection', (socket: net.Socket) => {
      sockets.add(socket);
      socket.once('close', () => sockets.delete(socket));
    });
    server.get('/load', async () => ({
      running: running.length,
      waiting: waiting.length,
      slots: options.slots,
      loaded,
    }));
    server.post('/orders', async (request, reply) => {
      const order = request.body as { readonly fencing: number; readonly loaded: string[] };
      orders.push(order);
      if (options.checksFencing === true && order.fencing < highestFencing) {
        return reply.code(409).send({ error: 'old fencing number' });
      }
      highestFencing = Math.max(highestFencing, order.fencing);
      loaded = [...order.loaded];
      return { loaded };
    });
    server.post('/v1/chat/completions', async (request, reply) => {
      arrivedAtMs.push(performance.now());
      const body = request.body as ChatBody;
      const prompt = body.messages.map((message) => message.content).join('\n');
      if (prompt.includes(POISON_TEXT)) {
        reply.hijack();
        state.poisonCount += 1;
        await state.crash(CRASH_DOWN_MS);
        return reply;
      }
      if (!loaded.includes(body.model)) {
        return reply.code(404).send({ error: 'not loaded' });
      }
      if (faults.isDown) {
        return reply.code(500).send({ error: 'failing' });
      }
      if (isSilent(reply.raw)) {
        reply.hijack();
        return reply;
      }
      startedRequests.add(String(request.headers['x-request-id']));
      starts.set(body.model, (starts.get(body.model) ?? 0) + 1);
      reply.hijack();
      reply.raw.writeHead(200, { 'content-type': 'text/event-stream' });
      reply.raw.flushHeaders();
      if (faults.sendsGarbage) {
        reply.raw.end('data: {"nonsense": tru\n\n');
        return reply;
      }
      waiting.push({
        response: reply.raw,
        body,
        length: chooseLength(prompt, body.max_tokens),
        priority: body.priority ?? 0,
        seed: `${body.model}|${prompt}`,
        position: Number(request.headers['x-resume-from'] ?? 0),
        readyAtMs: 0,
      });
      admit();
      return reply;
    });
    return server;
  };

  let server = makeServer();
  const address = await control.listenOn(server, options.port ?? 0);
  const port = Number(address.split(':')[1]);

  const engine: Engine = {
    id: options.id,
    address,
    faults,
    starts,
    orders,
    getLoaded: () => loaded,
    startedRequests,
    arrivedAtMs,
    getPoisonCount: () => state.poisonCount,
    silenceConnections: () => sockets.forEach((socket) => silentSockets.add(socket)),
    setLoaded: (versions) => {
      loaded = [...versions];
    },
    crash: async (downMs) => {
      if (hasCrashed) {
        return;
      }
      hasCrashed = true;
      server.server.closeAllConnections();
      running = [];
      waiting = [];
      await server.close();
      await control.wait(downMs);
      server = makeServer();
      await control.listenOn(server, port);
      hasCrashed = false;
    },
    close: async () => {
      clearInterval(batchTimer);
      server.server.closeAllConnections();
      await server.close();
    },
  };
  state.crash = engine.crash;
  return engine;
};

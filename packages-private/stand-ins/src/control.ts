import * as shared from '@jayrock/shared';
import type * as fastify from 'fastify';

/** Faults that can be injected into a stand-in. */
export interface Faults {
  /** Factor on the time that each step of the work takes. */
  slowFactor: number;
  /** Answers with data that is not a valid answer. */
  sendsGarbage: boolean;
  /** Ends answers without their end mark. */
  omitsEndMark: boolean;
  /** Refuses every call. */
  isDown: boolean;
  /** Executes calls and then breaks the connection instead of answering. */
  dropsAnswers: boolean;
  /** Source addresses whose connections are broken. */
  blockedSources: ReadonlySet<string>;
  /** Delay that is added to each call, in milliseconds. */
  delayMs: number;
  /** Limit that all answers name, in requests per second; null for none. */
  requestsPerSecond: number | null;
}

/** Makes the faults of a healthy stand-in. */
export const makeFaults = (): Faults => ({
  slowFactor: 1,
  sendsGarbage: false,
  omitsEndMark: false,
  isDown: false,
  dropsAnswers: false,
  blockedSources: new Set(),
  delayMs: 0,
  requestsPerSecond: null,
});

/** Waits for a time in milliseconds. */
export const { wait } = shared.delay;

const POLL_MS = 5;

/** Polls a condition every few milliseconds until it holds. */
export const waitUntil = async (isDone: () => boolean | Promise<boolean>): Promise<void> => {
  // eslint-disable-next-line no-await-in-loop -- each poll follows a pause
  while (!(await isDone())) {
    // eslint-disable-next-line no-await-in-loop -- each poll follows a pause
    await wait(POLL_MS);
  }
};

/** Breaks connections from the blocked source addresses. */
export const addBlockHook = (server: fastify.FastifyInstance, faults: Faults): void => {
  server.addHook('onRequest', async (request, reply) => {
    if (faults.blockedSources.has(request.raw.socket.remoteAddress ?? '')) {
      reply.hijack();
      request.raw.socket.destroy();
    }
  });
};

/** Names the limit in all answers of an engine or a plain service. */
export const addRateLimitHook = (server: fastify.FastifyInstance, faults: Faults): void => {
  server.addHook('onRequest', async (_, reply) => {
    if (faults.requestsPerSecond !== null) {
      reply.raw.setHeader('x-requests-per-second', String(faults.requestsPerSecond));
    }
  });
};

/** A stand-in that listens on loopback. */
export interface StandIn {
  readonly address: string;
  readonly faults: Faults;
  readonly close: () => Promise<void>;
}

/** Starts listening on a loopback address and port; port 0 picks a free one. */
export const listenOn = async (server: fastify.FastifyInstance, port: number): Promise<string> => {
  const url = await server.listen({ host: '127.0.0.1', port });
  return url.replace('http://', '');
};

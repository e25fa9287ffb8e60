import * as fastify from 'fastify';
import * as control from './control.js';

/** A plain service stand-in that counts the runs of each request. */
export interface PlainService extends control.StandIn {
  readonly id: string;
  /** Number of runs, by request id. */
  readonly runCounts: ReadonlyMap<string, number>;
  /** Times at which calls arrived, in milliseconds of `performance.now()`. */
  readonly arrivedAtMs: readonly number[];
  /** Characters that are added to each answer. */
  padding: string;
}

interface PlainOptions {
  readonly id: string;
  readonly port?: number;
  /** Time a call takes, in milliseconds. */
  readonly workMs: number;
  /** Map of counts that several servers of one service share. */
  readonly runCounts?: Map<string, number>;
}

/** Starts a plain service stand-in. */
export const startPlainService = async (options: PlainOptions): Promise<PlainService> => {
  const faults = control.makeFaults();
  const runCounts = options.runCounts ?? new Map<string, number>();
  const arrivedAtMs: number[] = [];
  const state = { padding: '' };
  const server = fastify.fastify({ forceCloseConnections: true });
  control.addBlockHook(server, faults);
  control.addRateLimitHook(server, faults);
  server.get('/load', async () => ({ running: 0, waiting: 0, slots: 64, loaded: [] }));
  server.post('/*', async (request, reply) => {
    arrivedAtMs.push(performance.now());
    if (faults.isDown) {
      return reply.code(500).send({ error: 'failing' });
    }
    const id = String(request.headers['x-request-id']);
    runCounts.set(id, (runCounts.get(id) ?? 0) + 1);
    await control.wait(options.workMs * faults.slowFactor + faults.delayMs);
    if (faults.dropsAnswers) {
      request.raw.socket.destroy();
      return reply;
    }
    const { padding } = state;
    return reply.send({ served: request.url, by: options.id, run: runCounts.get(id), padding });
  });
  const address = await control.listenOn(server, options.port ?? 0);
  return Object.assign(state, {
    id: options.id,
    address,
    faults,
    runCounts,
    arrivedAtMs,
    close: async () => {
      server.server.closeAllConnections();
      await server.close();
    },
  });
};

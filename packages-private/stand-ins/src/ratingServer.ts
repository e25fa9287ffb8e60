import * as fastify from 'fastify';
import * as shared from '@jayrock/shared';
import * as control from './control.js';

/** Probability that a version's answer to a prompt is good. */
export type QualityRule = (versionId: string, prompt: string) => number;

interface RatingBody {
  readonly requestId: string;
  readonly versionId: string;
  readonly prompt: string;
}

/** Starts a rating service stand-in that answers after a delay. */
export const startRatingServer = async (
  getQuality: QualityRule,
  delayMs: number,
  port = 0,
): Promise<control.StandIn> => {
  const faults = control.makeFaults();
  const server = fastify.fastify({ forceCloseConnections: true });
  control.addBlockHook(server, faults);
  server.post('/ratings', async (request, reply) => {
    const body = request.body as RatingBody;
    await control.wait(delayMs + faults.delayMs);
    if (faults.isDown) {
      return reply.code(503).send({});
    }
    const draw = shared.hash.hashToFraction(`${body.requestId}|${body.versionId}`);
    return { score: draw < getQuality(body.versionId, body.prompt) ? 0.9 : 0.1 };
  });
  const address = await control.listenOn(server, port);
  return {
    address,
    faults,
    close: async () => {
      server.server.closeAllConnections();
      await server.close();
    },
  };
};

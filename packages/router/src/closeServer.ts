import * as shared from '@jayrock/shared';
import type * as fastify from 'fastify';

/** Closes a listener; connections that are still open after a time in milliseconds are cut off. */
export const closeServer = async (server: fastify.FastifyInstance, waitMs = 0): Promise<void> => {
  const closed = server.close();
  await Promise.race([closed, shared.delay.wait(waitMs)]);
  server.server.closeAllConnections();
  await closed;
};

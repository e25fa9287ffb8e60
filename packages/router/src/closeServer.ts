import * as shared from '@jayrock/shared';
import type * as fastify from 'fastify';
import * as rpcClient from './peers/rpcClient.js';

/** Closes a listener; connections that are still open when their peers have given their calls up are cut off. */
export const closeServer = async (server: fastify.FastifyInstance): Promise<void> => {
  const closed = server.close();
  await Promise.race([closed, shared.delay.wait(rpcClient.CALL_TIMEOUT_MS)]);
  server.server.closeAllConnections();
  await closed;
};

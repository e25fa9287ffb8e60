import * as fastify from 'fastify';
import * as jsonRpc from 'json-rpc-2.0';
import type * as messages from './messages.js';
import * as signature from './signature.js';

/** Largest message between routers, in bytes. */
const MAX_MESSAGE_BYTES = 4 * 1_024 * 1_024;

/** Makes the JSON-RPC listener for other routers; calls without a valid signature are rejected with 401. */
export const makeRpcServer = (
  secret: string,
  handlers: Partial<messages.PeerHandlers>,
): fastify.FastifyInstance => {
  const rpc = new jsonRpc.JSONRPCServer({ errorListener: () => undefined });
  Object.entries(handlers).forEach(([method, handler]) => {
    rpc.addMethod(method, handler as jsonRpc.SimpleJSONRPCMethod);
  });
  const server = fastify.fastify({
    bodyLimit: MAX_MESSAGE_BYTES,
    forceCloseConnections: 'idle',
  });
  server.removeAllContentTypeParsers();
  server.addContentTypeParser('application/json', { parseAs: 'string' }, (_, body, done) =>
    done(null, body),
  );
  server.post('/rpc', async (request, reply) => {
    const body = String(request.body);
    const signed = String(request.headers[signature.SIGNATURE_HEADER] ?? '');
    if (!signature.verifyMessage(body, signed, secret, Date.now())) {
      return reply.code(401).send({ error: 'the signature is missing or wrong' });
    }
    const answer = await rpc.receiveJSON(body);
    return reply.type('application/json').send(JSON.stringify(answer));
  });
  return server;
};

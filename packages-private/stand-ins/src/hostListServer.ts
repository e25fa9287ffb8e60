import * as fastify from 'fastify';
import * as shared from '@jayrock/shared';
import * as control from './control.js';

/** A stand-in of the host list service with a replaceable list. */
export interface HostListServer extends control.StandIn {
  readonly setHosts: (hosts: readonly shared.hosts.Host[]) => void;
}

/** Starts a stand-in of the host list service. */
export const startHostListServer = async (
  initial: readonly shared.hosts.Host[],
  port = 0,
): Promise<HostListServer> => {
  const faults = control.makeFaults();
  let hosts = initial;
  const server = fastify.fastify({ forceCloseConnections: true });
  control.addBlockHook(server, faults);
  server.get('/hosts', async (request, reply) => {
    if (faults.isDown) {
      return reply.code(503).send({});
    }
    const tag = `"${shared.hash.hashText(JSON.stringify(hosts))}"`;
    return request.headers['if-none-match'] === tag
      ? reply.code(304).send()
      : reply.header('etag', tag).send(hosts);
  });
  const address = await control.listenOn(server, port);
  return {
    address,
    faults,
    setHosts: (next) => {
      hosts = next;
    },
    close: async () => {
      server.server.closeAllConnections();
      await server.close();
    },
  };
};

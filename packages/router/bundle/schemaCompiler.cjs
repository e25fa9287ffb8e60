/** Takes the place of fastify's compilers of JSON schemas: the router's routes have none. */
module.exports = () => () => {
  throw new Error('the bundle has no compiler for JSON schemas');
};

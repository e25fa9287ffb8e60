/**
 * The parts of undici that the router uses. The package's own entry also loads fetch, caches and mocks, and with them
 * the copy of undici inside Node.js.
 */
const api = require('../../../node_modules/undici/lib/api');
const buildConnector = require('../../../node_modules/undici/lib/core/connect');
const { parseURL } = require('../../../node_modules/undici/lib/core/util');
const Agent = require('../../../node_modules/undici/lib/dispatcher/agent');
const Client = require('../../../node_modules/undici/lib/dispatcher/client');
const Dispatcher = require('../../../node_modules/undici/lib/dispatcher/dispatcher');
const Pool = require('../../../node_modules/undici/lib/dispatcher/pool');
const { getGlobalDispatcher } = require('../../../node_modules/undici/lib/global');

Object.assign(Dispatcher.prototype, api);

const request = (address, { dispatcher = getGlobalDispatcher(), ...options } = {}) => {
  const { origin, pathname, search } = parseURL(address);
  return api.request.call(dispatcher, {
    ...options,
    origin,
    path: `${pathname}${search}`,
    method: options.method ?? 'GET',
  });
};

module.exports = { Agent, Client, Dispatcher, Pool, buildConnector, getGlobalDispatcher, request };

export * as control from './control.js';
export * as engine from './engine.js';
export * as hostListServer from './hostListServer.js';
export * as plainService from './plainService.js';
export * as ratingServer from './ratingServer.js';
export * as keyValueServer from './keyValueServer.js';
export * as forwarder from './forwarder.js';

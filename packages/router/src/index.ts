export * as replySink from './callers/replySink.js';
export type * as openPlatform from './openPlatform.js';
export * as serviceLevels from './serviceLevels.js';
export * as startRoutedRouter from './routed/startRoutedRouter.js';
export * as startRouter from './startRouter.js';

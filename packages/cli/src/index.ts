export * as burnRate from './burnRate.js';
export * as burnRatePage from './burnRatePage.js';
export * as listDiff from './listDiff.js';

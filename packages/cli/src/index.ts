export * as burn from './burn.js';
export * as burnPage from './burnPage.js';
export * as listDiff from './listDiff.js';

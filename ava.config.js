import * as process from 'node:process';

/** Tests that need the machine for themselves, since they check what a process holds beside a crowd of callers. */
const CROWDS = 'packages-private/measure/dist/__tests__/callerCrowds.spec.js';
const ALL = [
  'packages/*/dist/__tests__/**/*.spec.js',
  'platform/dist/__tests__/**/*.spec.js',
  'packages-private/*/dist/__tests__/**/*.spec.js',
];

export default {
  files: process.env.JAYROCK_TESTS === 'crowds' ? [CROWDS] : [...ALL, `!${CROWDS}`],
  timeout: '3m',
  concurrency: 4,
};

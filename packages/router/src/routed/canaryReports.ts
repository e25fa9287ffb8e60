import * as core from '@jayrock/core';
import type * as rpcClient from '../peers/rpcClient.js';
import type * as routerRuntime from '../routerRuntime.js';

/** Interval between canary reports to peers, in milliseconds. */
const REPORT_MS = 400;

/** Starts to send this router's canary reports to peers at an interval. Returns a function that stops it. */
export const startCanaryReports = (
  runtime: routerRuntime.Runtime,
  client: rpcClient.RpcClient,
): (() => void) => {
  const sendReports = (): void =>
    core.canaryReports.planReports(runtime.getState(), runtime.getNowMs()).forEach((planned) => {
      client.call(planned.address, 'pushTrial', planned.report).catch(() => undefined);
    });
  const timer = setInterval(sendReports, REPORT_MS);
  return () => clearInterval(timer);
};

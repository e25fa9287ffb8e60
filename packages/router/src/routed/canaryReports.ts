import * as core from '@jayrock/core';
import type * as rpcClient from '../peers/rpcClient.js';
import type * as runtime from '../runtime.js';

/** Time between two reports of roll-outs to peers, in milliseconds. */
const REPORT_MS = 400;

/** Tells peers what this router has seen of versions on trial. Returns how to stop. */
export const startCanaryReports = (
  node: runtime.Runtime,
  client: rpcClient.RpcClient,
): (() => void) => {
  const tell = (): void =>
    core.canaryReports.planReports(node.getState(), node.getNowMs()).forEach((planned) => {
      client.call(planned.address, 'pushTrial', planned.report).catch(() => undefined);
    });
  const timer = setInterval(tell, REPORT_MS);
  return () => clearInterval(timer);
};

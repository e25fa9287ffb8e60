import * as core from '@jayrock/core';
import type * as rpcClient from '../peers/rpcClient.js';
import type * as runtime from '../runtime.js';

/** Time between two reports of roll-outs to peers, in milliseconds. */
const REPORT_MS = 400;
/** Epochs of evidence in a report, so that a lost report is made up for. */
const REPORT_EPOCHS = 5;

/** Tells peers what this router has seen of versions on trial. Returns how to stop. */
export const startTrialReports = (
  node: runtime.Runtime,
  client: rpcClient.RpcClient,
): (() => void) => {
  const report = (): void => {
    const state = node.getState();
    const peers = core.memberTable.listAlive(state.members);
    const nowMs = node.getNowMs();
    state.relay.trials
      .valueSeq()
      .filter((trial) => trial.stage === 'running')
      .forEach((trial) => {
        const message = {
          source: state.self.routerId,
          service: trial.order.service,
          revision: trial.order.revision,
          isBad: trial.isBad,
          rows: core.versionTrial.listRecentRows(trial, state.self.routerId, REPORT_EPOCHS, nowMs),
          oldRunning: core.relayTrials.countOldRunning(state, trial),
        };
        peers.forEach((peer) => {
          client.call(peer.address, 'pushTrial', message).catch(() => undefined);
        });
      });
  };
  const timer = setInterval(report, REPORT_MS);
  return () => clearInterval(timer);
};

import * as core from '@jayrock/core';
import type * as stores from '@jayrock/stores';
import * as shared from '@jayrock/shared';
import type * as rpcClient from '../peers/rpcClient.js';
import type * as routerRuntime from '../routerRuntime.js';

/** Interval between two writes, in milliseconds. */
const WRITE_INTERVAL_MS = 500;
/** Batching delay of entries sent to a witness in one message, in milliseconds. */
const WITNESS_BATCH_DELAY_MS = 2;
/** Timeout of a call to a witness, in milliseconds. */
const WITNESS_TIMEOUT_MS = 250;
/** Largest number of witnesses tried in turn. */
const WITNESS_TRIES = 3;
/** Timeout of a call to the zone's collector, in milliseconds. */
const COLLECTOR_TIMEOUT_MS = 3_000;
/** Batching delay of the entries of a zone that its collector writes at once, in milliseconds. */
const COLLECT_BATCH_DELAY_MS = 500;
const KEY_DIGITS = 24;
const MS_PER_HOUR = 3_600_000;

type Entry = shared.ledgerEntry.LedgerEntry;

/** Replicates billing entries to witnesses until they are written to the store. */
export interface LedgerService {
  /**
   * Replicates an entry to a witness and dispatches `entryWitnessed`. If no witness accepts it, the event
   * follows once the entry is written to the store or after WITNESS_TIMEOUT_MS, even if the write failed.
   */
  readonly witness: (entry: Entry) => void;
  /** Writes entries through the zone's collector and dispatches `entriesWritten`. */
  readonly writeEntries: (entries: readonly Entry[]) => void;
  /** Releases entries at the witnesses that hold them. */
  readonly releaseEntries: (requestIds: readonly string[]) => void;
  /** Writes entries submitted by routers of the zone; resolves to whether they were written. */
  readonly serveSubmission: (entries: readonly Entry[]) => Promise<boolean>;
  /** Writes all pending entries; resolves to whether all were written before the timeout. */
  readonly flush: (timeoutMs: number) => Promise<boolean>;
  readonly stop: () => void;
}

/** Derives a batch's key from its content, so that writing it is idempotent. */
const makeKey = (zone: string, entries: readonly Entry[]): string => {
  const digest = shared.hash.hashDigest(entries.map((entry) => entry.requestId).join('|'));
  const hour = Math.floor((entries[0]?.atMs ?? 0) / MS_PER_HOUR);
  return `ledger/${hour}/${zone}/${digest.slice(0, KEY_DIGITS)}`;
};

interface Submission {
  readonly entries: readonly Entry[];
  readonly respond: (isWritten: boolean) => void;
}

/** Starts the ledger service of a router with its periodic writes. */
export const startLedgerService = (
  runtime: routerRuntime.Runtime,
  store: stores.keyValueStore.KeyValueStore,
  client: rpcClient.RpcClient,
): LedgerService => {
  let unwitnessed: readonly Entry[] = [];
  let witnessTimer: NodeJS.Timeout | null = null;
  let submissions: readonly Submission[] = [];
  let submissionTimer: NodeJS.Timeout | null = null;
  const witnesses = new Map<string, string>();
  const getTable = (): core.memberTable.MemberTable => runtime.getState().members;

  const commit = async (entries: readonly Entry[]): Promise<boolean> => {
    const put = { key: makeKey(getTable().self.zone, entries), value: JSON.stringify(entries) };
    const result = await store.commit({ checks: [], puts: [put] }, 'ledger');
    return result.ok;
  };
  const writeSubmissions = async (): Promise<void> => {
    const batch = submissions;
    submissions = [];
    submissionTimer = null;
    const isWritten = await commit(batch.flatMap((submission) => submission.entries));
    batch.forEach((submission) => submission.respond(isWritten));
  };
  const serveSubmission = (entries: readonly Entry[]): Promise<boolean> =>
    new Promise((resolve) => {
      submissions = [...submissions, { entries, respond: resolve }];
      submissionTimer ??= setTimeout(() => {
        writeSubmissions().catch(() => undefined);
      }, COLLECT_BATCH_DELAY_MS);
    });
  /** Submits entries to the zone's collector; if the call fails, this router writes them itself. */
  const submit = async (entries: readonly Entry[]): Promise<boolean> => {
    const table = getTable();
    const [collector] = core.zoneRoles.listRoleHolders(
      table,
      'ledgerCollector',
      table.self.zone,
      1,
    );
    if (collector === undefined || collector.id === table.self.id) {
      return serveSubmission(entries);
    }
    const reply = await client.call(
      collector.address,
      'submitEntries',
      { entries },
      COLLECTOR_TIMEOUT_MS,
    );
    return reply === null ? commit(entries) : reply.isWritten;
  };
  const sendToWitness = async (entries: readonly Entry[]): Promise<string | null> => {
    const table = getTable();
    const peers = core.zoneRoles.pickWitnesses(table, WITNESS_TRIES);
    return peers.reduce<Promise<string | null>>(async (previous, peer) => {
      const witnessAddress = await previous;
      if (witnessAddress !== null) {
        return witnessAddress;
      }
      const params = { origin: table.self.id, entries };
      const reply = await client.call(peer.address, 'holdEntries', params, WITNESS_TIMEOUT_MS);
      return reply === null ? null : peer.address;
    }, Promise.resolve(null));
  };
  const flushUnwitnessed = async (): Promise<void> => {
    const entries = unwitnessed;
    unwitnessed = [];
    witnessTimer = null;
    const address = await sendToWitness(entries);
    if (address === null) {
      // Without a witness, the entries are written to the store before the caller receives the end of the
      // answer, unless the store does not respond in time.
      await Promise.race([commit(entries), shared.delay.wait(WITNESS_TIMEOUT_MS)]);
    }
    entries.forEach((entry) => {
      if (address !== null) {
        witnesses.set(entry.requestId, address);
      }
      runtime.dispatch({ type: 'entryWitnessed', requestId: entry.requestId });
    });
  };
  const groupByWitness = (requestIds: readonly string[]): ReadonlyMap<string, readonly string[]> =>
    requestIds.reduce((groups, id) => {
      const address = witnesses.get(id);
      witnesses.delete(id);
      return address === undefined
        ? groups
        : new Map(groups).set(address, [...(groups.get(address) ?? []), id]);
    }, new Map<string, readonly string[]>());
  const timer = setInterval(() => runtime.dispatch({ type: 'ledgerDue' }), WRITE_INTERVAL_MS);
  const hasPending = (): boolean => runtime.getState().ledger.pending.size > 0;
  return {
    witness: (entry) => {
      unwitnessed = [...unwitnessed, entry];
      witnessTimer ??= setTimeout(() => {
        flushUnwitnessed().catch(() => undefined);
      }, WITNESS_BATCH_DELAY_MS);
    },
    writeEntries: (entries) => {
      const requestIds = entries.map((entry) => entry.requestId);
      submit(entries)
        .catch(() => false)
        .then((isWritten) => runtime.dispatch({ type: 'entriesWritten', requestIds, isWritten }))
        .catch(() => undefined);
    },
    releaseEntries: (requestIds) => {
      groupByWitness(requestIds).forEach((ids, address) => {
        client.call(address, 'releaseEntries', { requestIds: ids }).catch(() => undefined);
      });
    },
    serveSubmission,
    flush: async (timeoutMs) => {
      const deadlineMs = Date.now() + timeoutMs;
      while (hasPending() && Date.now() < deadlineMs) {
        runtime.dispatch({ type: 'ledgerDue' });
        // eslint-disable-next-line no-await-in-loop -- polls sequentially
        await shared.delay.wait(WITNESS_BATCH_DELAY_MS * 10);
      }
      return !hasPending();
    },
    stop: () => clearInterval(timer),
  };
};

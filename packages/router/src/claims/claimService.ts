import * as core from '@jayrock/core';
import type * as stores from '@jayrock/stores';
import * as shared from '@jayrock/shared';
import type * as messages from '../peers/messages.js';
import type * as rpcClient from '../peers/rpcClient.js';
import type * as routerRuntime from '../routerRuntime.js';

/** Retention time of a request's claim, in milliseconds; older requests may have run. */
export const CLAIM_RETENTION_MS = 60 * 60_000;
/** Timeout of a call to the owner of a bucket, in milliseconds. */
const OWNER_TIMEOUT_MS = 1_000;
/** Delay before a claim whose result is `unavailable` is released, in milliseconds. */
const RELEASE_DELAY_MS = 3_000;
/** Age at which claim logs are deleted, in milliseconds. */
const DELETE_AFTER_MS = 2 * CLAIM_RETENTION_MS;
/** Largest body of an answer that is recorded for resends, in characters. */
const MAX_ANSWER_CHARACTERS = 4_096;

const LOG_PREFIX = 'claims/';
/** Digits to which numbers in keys are zero-padded, so that keys sort by number. */
const NUMBER_WIDTH = 12;

/** Claims requests that must not run twice. */
export interface ClaimService {
  /** Claims a request before it may run; the reply holds the answer of a first run, if recorded. */
  readonly claim: (requestId: string) => Promise<messages.ClaimReply>;
  /** Records the answer of a claimed request for resends, unless it is too large. */
  readonly recordAnswer: (requestId: string, answer: core.claimLog.RecordedAnswer) => void;
  /** Releases the claim of a request. */
  readonly release: (requestId: string) => void;
  /** Applies an operation from a peer whose member table makes this router the bucket's owner. */
  readonly serveOperation: (message: messages.ClaimMessage) => Promise<messages.ClaimReply>;
  /** Reads a bucket's log from the store and dispatches `claimLogLoaded`. */
  readonly loadLog: (effect: core.effects.EffectOf<'loadClaimLog'>) => void;
  /** Writes a segment unless its key exists already, and dispatches `claimSegmentWritten`. */
  readonly writeSegment: (effect: core.effects.EffectOf<'writeClaimSegment'>) => void;
  /** Resolves the pending reply to a claim. */
  readonly answerClaim: (effect: core.effects.EffectOf<'answerClaim'>) => void;
  /** Deletes the logs of one bucket that is older than any retained claim. */
  readonly deleteExpired: (nowMs: number) => Promise<void>;
}

const pad = (value: number): string => String(value).padStart(NUMBER_WIDTH, '0');

const makeBucketPrefix = (bucket: number): string => `${LOG_PREFIX}${pad(bucket)}/`;

const UNAVAILABLE: messages.ClaimReply = { result: 'unavailable', answer: null };
const MAY_HAVE_RUN: messages.ClaimReply = { result: 'mayHaveRun', answer: null };

const findBucket = (requestId: string): number => {
  const key = requestId.split('/').at(-1) ?? '';
  return Math.floor(shared.requestId.readIdTimeMs(key) / core.claimState.BUCKET_MS);
};

const isExpired = (requestId: string, nowMs: number): boolean =>
  nowMs - findBucket(requestId) * core.claimState.BUCKET_MS > CLAIM_RETENTION_MS;

const parseSegment = (text: string): readonly core.claimLog.ClaimOperation[] =>
  JSON.parse(text) as readonly core.claimLog.ClaimOperation[];

/** Reads a bucket's segments; null if the store fails or a gap shows that the listing is incomplete. */
const readSegments = async (
  store: stores.keyValueStore.KeyValueStore,
  bucket: number,
  fromSegment: number,
): Promise<readonly (readonly core.claimLog.ClaimOperation[])[] | null> => {
  const prefix = makeBucketPrefix(bucket);
  const listed = await store.list(prefix, 'claims', `${prefix}${pad(fromSegment)}`);
  if (!listed.ok) {
    return null;
  }
  const isComplete = listed.value.every(
    (entry, index) => entry.key === `${prefix}${pad(fromSegment + index)}`,
  );
  return isComplete ? listed.value.map((entry) => parseSegment(entry.value)) : null;
};

/** Makes the claim service of a router. */
export const makeClaimService = (
  runtime: routerRuntime.Runtime,
  store: stores.keyValueStore.KeyValueStore,
  client: rpcClient.RpcClient,
): ClaimService => {
  const tokens = new Map<string, string>();
  const pendingReplies = new Map<string, (reply: messages.ClaimReply) => void>();

  const runOperation = (message: messages.ClaimMessage): Promise<messages.ClaimReply> => {
    if (message.operation.kind !== 'claim') {
      runtime.dispatch({ type: 'claimRequested', ...message });
      return Promise.resolve(UNAVAILABLE);
    }
    return new Promise((resolve) => {
      pendingReplies.set(message.operation.token, resolve);
      runtime.dispatch({ type: 'claimRequested', ...message });
    });
  };
  /** Sends an operation to the bucket's owner; if the call fails, this router applies it itself. */
  const sendOperation = async (message: messages.ClaimMessage): Promise<messages.ClaimReply> => {
    const table = runtime.getState().members;
    const owner = core.zoneRoles.pickClaimOwner(table, message.bucket);
    if (owner.id === table.self.id) {
      return runOperation(message);
    }
    const reply = await client.call(owner.address, 'claim', message, OWNER_TIMEOUT_MS);
    return reply ?? runOperation(message);
  };
  const release = (requestId: string): void => {
    const token = tokens.get(requestId);
    tokens.delete(requestId);
    if (token !== undefined) {
      const operation = { kind: 'release' as const, id: requestId, token };
      sendOperation({ bucket: findBucket(requestId), operation }).catch(() => undefined);
    }
  };
  return {
    claim: async (requestId) => {
      if (isExpired(requestId, Date.now())) {
        return MAY_HAVE_RUN;
      }
      const token = shared.requestId.makeRequestId();
      tokens.set(requestId, token);
      const operation = { kind: 'claim' as const, id: requestId, token };
      const reply = await sendOperation({ bucket: findBucket(requestId), operation });
      if (reply.result === 'unavailable') {
        // The write may still be committed; the delayed release keeps a resend from getting `mayHaveRun`.
        setTimeout(() => release(requestId), RELEASE_DELAY_MS).unref();
      } else if (reply.result !== 'granted') {
        tokens.delete(requestId);
      }
      return reply;
    },
    recordAnswer: (requestId, answer) => {
      const token = tokens.get(requestId);
      tokens.delete(requestId);
      if (token !== undefined && answer.body.length <= MAX_ANSWER_CHARACTERS) {
        const operation = { kind: 'answer' as const, id: requestId, token, answer };
        sendOperation({ bucket: findBucket(requestId), operation }).catch(() => undefined);
      }
    },
    release,
    serveOperation: runOperation,
    loadLog: ({ bucket, fromSegment }) => {
      readSegments(store, bucket, fromSegment)
        .catch(() => null)
        .then((segments) => runtime.dispatch({ type: 'claimLogLoaded', bucket, segments }))
        .catch(() => undefined);
    },
    writeSegment: ({ bucket, segment, operations }) => {
      const key = `${makeBucketPrefix(bucket)}${pad(segment)}`;
      store
        .commit(
          { checks: [{ key, revision: 0 }], puts: [{ key, value: JSON.stringify(operations) }] },
          'claims',
        )
        .then((result) => {
          const commitResult = result.ok && result.value.isCommitted ? 'committed' : 'conflict';
          const outcome = result.ok ? commitResult : result.error;
          runtime.dispatch({
            type: 'claimSegmentWritten',
            bucket,
            result: outcome === 'overBudget' ? 'refused' : outcome,
          });
        })
        .catch(() => runtime.dispatch({ type: 'claimSegmentWritten', bucket, result: 'unknown' }));
    },
    answerClaim: ({ token, result, answer }) => {
      pendingReplies.get(token)?.({ result, answer });
      pendingReplies.delete(token);
    },
    deleteExpired: async (nowMs) => {
      const bucket = Math.floor((nowMs - DELETE_AFTER_MS) / core.claimState.BUCKET_MS);
      const table = runtime.getState().members;
      if (core.zoneRoles.pickClaimOwner(table, bucket).id === table.self.id) {
        await store.deletePrefix(makeBucketPrefix(bucket), 'other');
      }
    },
  };
};

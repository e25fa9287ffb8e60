import type * as core from '@jayrock/core';
import type * as replySink from './callers/replySink.js';

/** Aborts an attempt in flight. */
export type CancelAttempt = () => void;

/** State of a request in flight that the shell holds outside the reducer. */
export interface PendingRequest {
  readonly requestId: string;
  readonly customer: string;
  readonly shape: core.requestState.RequestShape;
  readonly sink: replySink.ReplySink;
  /** Body sent upstream: messages for chat, the raw body for a call. */
  readonly body: unknown;
  readonly prompt: string;
  readonly pin: core.requestState.SessionPin | null;
  /** Session name prefixed with the customer, or null if the caller gives none. */
  readonly session: string | null;
  readonly arrivedAtMs: number;
  /** Cancel functions of the attempts in flight, by attempt id. */
  readonly attempts: Map<number, CancelAttempt>;
  /** Attempt whose answer is forwarded to the caller. */
  forwardedAttempt: number | null;
  versionId: string;
  upstreamId: string;
  /** Answer of a plain service: the recorded one of a first run, or the one just received. */
  answer: replySink.CallAnswer | null;
  /** Events forwarded to the caller, counted as one token each. */
  tokensForwarded: number;
  firstTokenAtMs: number | null;
  lastTokenAtMs: number;
  /** True once `sink.begin` was called. */
  isSinkBegun: boolean;
}

/** Makes the state of a request that has just arrived. */
export const makePendingRequest = (
  fields: Pick<
    PendingRequest,
    | 'requestId'
    | 'customer'
    | 'shape'
    | 'sink'
    | 'body'
    | 'prompt'
    | 'pin'
    | 'session'
    | 'arrivedAtMs'
  >,
): PendingRequest => ({
  ...fields,
  attempts: new Map(),
  forwardedAttempt: null,
  versionId: '',
  upstreamId: '',
  answer: null,
  tokensForwarded: 0,
  firstTokenAtMs: null,
  lastTokenAtMs: fields.arrivedAtMs,
  isSinkBegun: false,
});

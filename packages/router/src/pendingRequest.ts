import type * as core from '@jayrock/core';
import type * as replySink from './callers/replySink.js';

/** Stops an attempt's traffic. */
export type CancelAttempt = () => void;

/** What the process holds for a request in flight, beside the reducer's state. */
export interface PendingRequest {
  readonly requestId: string;
  readonly customer: string;
  readonly shape: core.requestState.RequestShape;
  readonly sink: replySink.ReplySink;
  /** Body sent upstream: messages for chat, the raw body for a call. */
  readonly body: unknown;
  readonly prompt: string;
  readonly pin: core.requestState.SessionPin | null;
  /** Name of the session, with its customer, if the caller names one. */
  readonly session: string | null;
  readonly arrivedAtMs: number;
  readonly attempts: Map<number, CancelAttempt>;
  forwardedAttempt: number | null;
  versionId: string;
  upstreamId: string;
  answer: replySink.CallAnswer | null;
  tokensForwarded: number;
  firstTokenAtMs: number | null;
  lastTokenAtMs: number;
  hasBegun: boolean;
}

/** Makes the record of a request that has just arrived. */
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
  hasBegun: false,
});

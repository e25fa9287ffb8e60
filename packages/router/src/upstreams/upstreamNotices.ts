import * as shared from '@jayrock/shared';
import type * as pino from 'pino';
import type * as routerRuntime from '../routerRuntime.js';

/** Header in which engines and plain services say that they leave, with the value `1`. */
export const LEAVING_HEADER = 'x-leaving';
const LEAVING = '1';
const BUSY_STATUS = 503;

/** Dependencies of the handler of notices. */
export interface NoticeContext {
  readonly runtime: routerRuntime.Runtime;
  readonly log: pino.Logger;
}

/** What an answer says of its upstream. */
export type NoticeHandler = (
  isLeaving: boolean,
  rest: shared.restTime.RestTime,
  /** Requests that it can turn away in a second, or null if it names no such number. */
  maxTurnAways?: number | null,
) => void;

/** Makes the handler of what the answers of an upstream say of it. */
export const makeNoticeHandler =
  ({ runtime, log }: NoticeContext, upstreamId: string): NoticeHandler =>
  (isLeaving, { restMs, problem }, maxTurnAways = null) => {
    if (problem !== null) {
      log.warn({ upstream: upstreamId, value: problem, restMs }, 'invalid pause of an upstream');
    }
    runtime.dispatch({ type: 'noticeObserved', upstreamId, isLeaving, restMs, maxTurnAways });
  };

/** Reads what an answer on the product's own platform says of its upstream. */
export const readNotice = (
  status: number,
  headers: Readonly<Record<string, string | readonly string[] | undefined>>,
): { readonly isLeaving: boolean; readonly rest: shared.restTime.RestTime } => {
  const retryAfter = headers['retry-after'];
  const text = status === BUSY_STATUS && typeof retryAfter === 'string' ? retryAfter : null;
  return {
    isLeaving: headers[LEAVING_HEADER] === LEAVING,
    rest: shared.restTime.parseRestTime(text),
  };
};

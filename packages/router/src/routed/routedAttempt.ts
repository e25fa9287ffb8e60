import type * as core from '@jayrock/core';
import * as platform from '@jayrock/platform';
import type * as undici from 'undici';
import type * as connectionPools from '../upstreams/connectionPools.js';
import * as attemptFailure from '../upstreams/attemptFailure.js';
import * as eventSplitter from './eventSplitter.js';
import type * as pendingRoutedRequest from './pendingRoutedRequest.js';

/** One send of a routed request. */
export interface RoutedAttempt {
  readonly pending: pendingRoutedRequest.PendingRoutedRequest;
  readonly attemptId: number;
  readonly upstreamId: string;
  readonly address: string;
  readonly send: core.effects.RoutedSend;
}

/** What a send tells the router. */
export interface RoutedAttemptListener {
  readonly handleHead: (head: core.routedState.AnswerHead) => void;
  readonly handleEnd: (stream: StreamSummary) => void;
  readonly handleFailure: (failure: RoutedAttemptFailure) => void;
  /** Any byte of an answer. */
  readonly handleActivity: () => void;
  /** The send is over, however it ended. */
  readonly handleClose: () => void;
  readonly handleLoad: (report: NonNullable<platform.answerHeaders.AnswerHeaders['load']>) => void;
}

/** How a stream went. */
export interface StreamSummary {
  readonly events: number;
  /** Time from the first event to the last, in milliseconds. */
  readonly streamMs: number;
}

/** How a send failed. */
export interface RoutedAttemptFailure {
  readonly failure: core.events.RoutedFailure;
  readonly isUnsent: boolean;
  readonly isNotRun: boolean;
  readonly reason: string;
}

/** What is done with the answer's bytes. */
type Mode = 'waiting' | 'holding' | 'relaying' | 'ignoring';

const MISDIRECTED_STATUS = 421;
const FIRST_SUCCESS_STATUS = 200;
const FIRST_REDIRECT_STATUS = 300;
/** Statuses that promise that a request was not run, which only the upstream can know. */
const PROMISE_STATUSES: ReadonlySet<number> = new Set([408, 429, 503]);
/** Largest answer held back until it is whole, in bytes. */
const MAX_HELD_BYTES = 16_777_216;

const isSuccess = (status: number): boolean =>
  status >= FIRST_SUCCESS_STATUS && status < FIRST_REDIRECT_STATUS;

/** Tells whether an answer cannot be the upstream's own to this request. */
const findGarbage = (
  status: number,
  headers: platform.answerHeaders.AnswerHeaders,
  callerId: string | null,
): string | null => {
  if (headers.isEncoded) {
    return 'the answer is encoded';
  }
  if (headers.requestId !== null && headers.requestId !== callerId) {
    return 'the answer is for another request';
  }
  const isUnproved = !headers.isSigned || headers.requestId !== callerId;
  return isSuccess(status) && isUnproved ? 'the answer is not signed' : null;
};

/** Runs one send: checks the answer, holds it back until it is wanted, then passes it on. */
export const startRoutedAttempt = (
  pools: connectionPools.ConnectionPools,
  attempt: RoutedAttempt,
  listener: RoutedAttemptListener,
): pendingRoutedRequest.RunningAttempt => {
  const { pending, send } = attempt;
  const splitter = eventSplitter.makeEventSplitter();
  let mode: Mode = 'waiting';
  let isOver = false;
  let isStarted = false;
  let isCancelled = false;
  let controller: undici.Dispatcher.DispatchController | null = null;
  let head: { status: number; headers: platform.callHeaders.ParsedHeaders } | null = null;
  let held: Buffer[] = [];
  let heldBytes = 0;
  let eventCount = 0;
  let firstEventAtMs = 0;
  let lastEventAtMs = 0;
  let timer: NodeJS.Timeout | null = null;

  const endSend = (): void => {
    if (!isOver) {
      isOver = true;
      listener.handleClose();
    }
  };
  const stopTimer = (): void => {
    if (timer !== null) {
      clearTimeout(timer);
      timer = null;
    }
  };
  const abort = (reason: string): void => controller?.abort(new Error(reason));
  const fail = (failure: RoutedAttemptFailure): void => {
    if (!isOver) {
      endSend();
      mode = 'ignoring';
      stopTimer();
      listener.handleFailure(failure);
    }
  };
  const failSent = (failure: core.events.RoutedFailure, reason: string): void => {
    abort(reason);
    fail({ failure, isUnsent: !isStarted, isNotRun: !isStarted, reason });
  };
  const watchSilence = (timeoutMs: number): void => {
    stopTimer();
    if (Number.isFinite(timeoutMs)) {
      timer = setTimeout(() => {
        pools.renew(attempt.address);
        failSent('silent', `no answer within ${Math.round(timeoutMs)} ms`);
      }, timeoutMs);
    }
  };
  /** A caller that reads slowly slows its upstream down instead of filling memory. */
  const writeEvent = (bytes: Buffer): void => {
    if (!pending.response.write(bytes)) {
      controller?.pause();
      pending.response.once('drain', () => controller?.resume());
    }
  };
  /** Passes whole events on; ids must follow one another without a gap. */
  const relayEvents = (bytes: Buffer): void => {
    for (const event of splitter.push(bytes)) {
      const last = pending.lastEventId;
      if (event.id !== null && last !== null && event.id > last + 1) {
        failSent('garbage', `event ${event.id} follows event ${last}`);
        return;
      }
      if (event.id === null || last === null || event.id > last) {
        lastEventAtMs = performance.now();
        firstEventAtMs = eventCount === 0 ? lastEventAtMs : firstEventAtMs;
        eventCount += 1;
        pending.lastEventId = event.id ?? last;
        writeEvent(event.bytes);
      }
    }
  };
  const relayBytes = (bytes: Buffer): void => {
    try {
      relayEvents(bytes);
    } catch (error) {
      failSent('garbage', error instanceof Error ? error.message : String(error));
    }
  };
  const beginAnswer = (): void => {
    if (head !== null && !pending.isHeadWritten) {
      pending.isHeadWritten = true;
      const headers = platform.answerHeaders.makeCallerHeaders(head.headers);
      const length = send.isStream && isSuccess(head.status) ? {} : { 'content-length': heldBytes };
      pending.response.writeHead(head.status, {
        ...(headers as Record<string, string>),
        ...length,
      });
    }
  };
  const relay = (): void => {
    if (head === null || isOver) {
      return;
    }
    beginAnswer();
    mode = 'relaying';
    const chunks = held;
    held = [];
    if (send.isStream && isSuccess(head.status)) {
      pending.response.flushHeaders();
      chunks.forEach(relayBytes);
    } else {
      pending.response.end(Buffer.concat(chunks));
    }
  };
  const handleStreamHead = (confidence: number | null): void => {
    mode = 'holding';
    watchSilence(send.gapTimeoutMs);
    listener.handleHead({ status: head?.status ?? 0, confidence });
  };
  const handleResponse = (status: number, headers: platform.callHeaders.ParsedHeaders): void => {
    const told = platform.answerHeaders.readAnswerHeaders(status, headers);
    const garbage = findGarbage(status, told, pending.callerRequestId);
    if (garbage !== null) {
      failSent('garbage', garbage);
      return;
    }
    if (told.load !== null) {
      listener.handleLoad(told.load);
    }
    if (told.isNotRun) {
      const failure = status === MISDIRECTED_STATUS ? 'misdirected' : 'turnedAway';
      fail({ failure, isUnsent: false, isNotRun: true, reason: `status ${status}` });
      return;
    }
    if (PROMISE_STATUSES.has(status)) {
      const reason = `status ${status} without proof that the request was not run`;
      fail({ failure: 'broken', isUnsent: false, isNotRun: false, reason });
      return;
    }
    head = { status, headers };
    if (send.isStream && isSuccess(status)) {
      handleStreamHead(told.confidence);
    } else {
      mode = 'holding';
    }
  };
  const handleData = (bytes: Buffer): void => {
    if (mode === 'relaying') {
      watchSilence(send.gapTimeoutMs);
      relayBytes(bytes);
    } else if (mode === 'holding') {
      held.push(bytes);
      heldBytes += bytes.length;
      if (heldBytes > MAX_HELD_BYTES) {
        failSent('garbage', `the answer exceeds ${MAX_HELD_BYTES} bytes`);
      }
    }
  };
  const handleEnd = (): void => {
    stopTimer();
    if (isOver || head === null) {
      return;
    }
    if (pools.wasReset()) {
      failSent('broken', 'the answer ends with a reset');
      return;
    }
    if (send.isStream && isSuccess(head.status)) {
      if (splitter.countBufferedBytes() > 0) {
        failSent('garbage', 'the answer ends within an event');
        return;
      }
    } else {
      listener.handleHead({ status: head.status, confidence: null });
      // The router may have asked another upstream instead.
      if (mode !== 'relaying') {
        return;
      }
    }
    endSend();
    listener.handleEnd({ events: eventCount, streamMs: lastEventAtMs - firstEventAtMs });
  };
  const handleError = (error: Error): void => {
    if (isOver || isCancelled) {
      return;
    }
    const isUnsent = !isStarted;
    const failure = isUnsent && attemptFailure.isConnectError(error) ? 'unreachable' : 'broken';
    fail({ failure, isUnsent, isNotRun: isUnsent, reason: error.message });
  };

  watchSilence(send.headTimeoutMs);
  pools.get(attempt.address).dispatch(
    {
      method: pending.method,
      path: pending.url,
      headers: platform.callHeaders.makeUpstreamHeaders(pending.rawHeaders, pending.headers, {
        upstreamId: attempt.upstreamId,
        timeLeftMs: send.timeLeftMs,
        organisation: send.organisation,
        model: send.model,
        urgency: send.rank,
        lastEventId: pending.lastEventId,
      }),
      body: pending.body.length === 0 ? null : pending.body,
      idempotent: false,
    },
    {
      onRequestStart: (started) => {
        controller = started;
        if (isCancelled || isOver) {
          started.abort(new Error('cancelled before it was sent'));
          return;
        }
        isStarted = true;
      },
      onResponseStart: (_, status, headers) => {
        listener.handleActivity();
        if (!isOver && status >= FIRST_SUCCESS_STATUS) {
          handleResponse(status, headers);
        }
      },
      onResponseData: (_, bytes) => {
        listener.handleActivity();
        handleData(bytes);
      },
      onResponseEnd: handleEnd,
      onResponseError: (_, error) => handleError(error),
    },
  );
  return {
    cancel: () => {
      isCancelled = true;
      endSend();
      mode = 'ignoring';
      stopTimer();
      abort('the router no longer needs the answer');
    },
    dropUnsent: () => {
      if (!isStarted) {
        failSent('unreachable', 'the upstream cannot be reached and nothing was sent');
      }
    },
    forward: relay,
  };
};

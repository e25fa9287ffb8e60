import * as core from '@jayrock/core';
import * as platform from '@jayrock/platform';
import type * as shared from '@jayrock/shared';
import type * as undici from 'undici';
import type * as inputBarrier from '../eventLoop/inputBarrier.js';
import * as answerFraming from '../upstreams/answerFraming.js';
import * as attemptFailure from '../upstreams/attemptFailure.js';
import type * as bufferBudget from '../upstreams/bufferBudget.js';
import type * as connectionPools from '../upstreams/connectionPools.js';
import * as eventSplitter from './eventSplitter.js';
import type * as pendingRoutedRequest from './pendingRoutedRequest.js';

/** An attempt of a routed request, with its upstream and the parameters of the send. */
export interface RoutedAttempt {
  readonly pending: pendingRoutedRequest.PendingRoutedRequest;
  readonly attemptId: number;
  readonly upstreamId: string;
  readonly address: string;
  readonly send: core.effects.RoutedSend;
}

/** Callbacks of an attempt. */
export interface RoutedAttemptListener {
  /** An answer can be forwarded: the head of a stream has arrived, or another answer is complete. */
  readonly handleHead: (head: core.routedState.AnswerHead) => void;
  /** The answer has been forwarded completely. */
  readonly handleEnd: (stream: StreamSummary) => void;
  /** The attempt has failed; called at most once. */
  readonly handleFailure: (failure: RoutedAttemptFailure) => void;
  /** A forwarded answer has paused for too long; the attempt goes on until it is cancelled. */
  readonly handleSilence: () => void;
  /** Returns null if the list of upstreams is recent enough to send by; else resolves once its source was asked. */
  readonly confirmUpstreams: () => Promise<void> | null;
  /** Returns why the request is no longer due on this upstream, or null if it is. */
  readonly detectOverdue: () => string | null;
  /** The request was handed to a connection. */
  readonly handleSent: () => void;
  /** Bytes of an answer have arrived. */
  readonly handleActivity: () => void;
  /** The attempt has ended, whatever its outcome; called once. */
  readonly handleClose: () => void;
  /** The answer's headers carry a load report. */
  readonly handleLoad: (report: NonNullable<platform.answerHeaders.AnswerHeaders['load']>) => void;
  /** An answer names a limit in requests per second or, if it is null, none; it may say for how long its upstream is cold. */
  readonly handleRateLimit: (requestsPerSecond: number | null, coldLeftMs: number | null) => void;
  /** An answer says whether its upstream leaves, which pause it wants, and how many requests it can turn away. */
  readonly handleNotice: (
    isLeaving: boolean,
    rest: shared.restTime.RestTime,
    maxTurnAways: number | null,
  ) => void;
}

/** Size and duration of a forwarded stream. */
export interface StreamSummary {
  readonly events: number;
  /** Time from the first event to the last, in milliseconds. */
  readonly streamMs: number;
  /** True when the end of the connection ended the answer, a short time after its head. */
  readonly mayBeCut: boolean;
}

/** Failure of an attempt. */
export interface RoutedAttemptFailure {
  readonly failure: core.events.RoutedFailure;
  /** True when no byte of the request can have been sent. */
  readonly isUnsent: boolean;
  /** True when the upstream certainly did not run the request. */
  readonly isNotRun: boolean;
  /** Reason for the log. */
  readonly reason: string;
}

/** State of the answer's body: no head yet, buffered until `forward`, forwarded, or discarded after the end. */
type BodyMode = 'waiting' | 'buffering' | 'forwarding' | 'discarding';

const MISDIRECTED_STATUS = 421;
const FIRST_SUCCESS_STATUS = 200;
const FIRST_REDIRECT_STATUS = 300;
/** Largest number that is a status. */
const LAST_STATUS = 599;
/** Content type of streams; an answer that names none may be one. */
const EVENT_STREAM = 'text/event-stream';
/** Statuses that claim that the request was not run, which only the upstream can know and has to prove. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 429, 503]);
/** Memory that a piece of an answer takes beside its bytes, in bytes. */
const PIECE_BYTES = 512;
/** Size up to which an answer comes at once, in bytes. */
const SMALL_ANSWER_BYTES = 65_536;
/** Informational answers before the answer to a request that are accepted. */
const MAX_INFORMATIONAL = 16;

/** Bytes of a failed answer that are read so that its connection can be used again. */
const MAX_DISCARDED_BYTES = 65_536;

const isSuccess = (status: number): boolean =>
  status >= FIRST_SUCCESS_STATUS && status < FIRST_REDIRECT_STATUS;

/** Classifies the error of a request of which nothing was sent. */
const classifyUnsent = (error: Error): core.events.RoutedFailure => {
  if (attemptFailure.isLeavingError(error)) {
    return 'overdue';
  }
  return attemptFailure.isConnectError(error) ? 'unreachable' : 'broken';
};

/** Returns whether an answer can be the rest of a stream that has begun. */
const isEventStream = (status: number, headers: platform.callHeaders.ParsedHeaders): boolean =>
  status === FIRST_SUCCESS_STATUS &&
  String(headers['content-type'] ?? EVENT_STREAM).startsWith(EVENT_STREAM);

/** Returns whether an answer names the request to which it belongs. */
const isOwnAnswer = (
  headers: platform.answerHeaders.AnswerHeaders,
  callerId: string | null,
): boolean => headers.requestId !== null && headers.requestId === callerId;

/** Returns why an answer cannot be the upstream's own answer to this request, or null if it can. */
const describeInvalidAnswer = (
  status: number,
  headers: platform.answerHeaders.AnswerHeaders,
  callerId: string | null,
): string | null => {
  if (status > LAST_STATUS) {
    return `${status} is no status`;
  }
  if (headers.isEncoded) {
    return 'the answer is encoded';
  }
  if (headers.requestId !== null && headers.requestId !== callerId) {
    return 'the answer is for another request';
  }
  const isUnverified = !headers.isSigned || headers.requestId !== callerId;
  return isSuccess(status) && isUnverified ? 'the answer is not signed' : null;
};

/**
 * Starts an attempt: sends the request after the input that had arrived has been read, validates the answer, buffers
 * it until `forward` is called, then forwards it to the caller.
 */
export const startRoutedAttempt = (
  pools: connectionPools.ConnectionPools,
  barrier: inputBarrier.InputBarrier,
  attempt: RoutedAttempt,
  listener: RoutedAttemptListener,
): pendingRoutedRequest.RunningAttempt => {
  const { pending, send } = attempt;
  const splitter = eventSplitter.makeEventSplitter();
  let mode: BodyMode = 'waiting';
  let isClosed = false;
  let isStarted = false;
  let isCancelled = false;
  let controller: undici.Dispatcher.DispatchController | null = null;
  let head: { status: number; headers: platform.callHeaders.ParsedHeaders } | null = null;
  let headAtMs = 0;
  let buffered: Buffer[] = [];
  let bufferedBytes = 0;
  let bodyBytes = 0;
  let share: bufferBudget.BufferShare | null = null;
  let informationalCount = 0;
  let discardedBytes = 0;
  let eventCount = 0;
  let firstEventAtMs = 0;
  let lastEventAtMs = 0;
  let timer: NodeJS.Timeout | null = null;
  let timeoutCount = 0;
  let isPaused = false;

  const closeAttempt = (): void => {
    if (!isClosed) {
      isClosed = true;
      // An answer that was passed on as a whole is held until the caller has it.
      if (mode !== 'forwarding' || send.isStream) {
        share?.release();
      }
      // The client of the connection holds the attempt until its next one.
      buffered = [];
      listener.handleClose();
    }
  };
  const stopTimer = (): void => {
    timeoutCount += 1;
    if (timer !== null) {
      clearTimeout(timer);
      timer = null;
    }
  };
  const abort = (reason: string): void => controller?.abort(new Error(reason));
  const fail = (failure: RoutedAttemptFailure): void => {
    if (!isClosed) {
      closeAttempt();
      mode = 'discarding';
      stopTimer();
      listener.handleFailure(failure);
    }
  };
  const abortAndFail = (failure: core.events.RoutedFailure, reason: string): void => {
    // The library reports an abort as an error before it returns, so the failure is recorded first.
    fail({ failure, isUnsent: !isStarted, isNotRun: !isStarted, reason });
    abort(reason);
  };
  /** Sets how many bytes of the answer are held. */
  const resizeShare = (bytes: number): void => {
    if (bytes > 0 || share !== null) {
      share ??= pools.buffers.open(() => {
        // What the caller does not read can be freed only with its connection.
        if (isPaused || isClosed) {
          pending.response.req.socket.destroy();
          return;
        }
        abortAndFail(
          'excessive',
          'the answer is the largest, and all together take too much memory',
        );
      });
      share.resize(bytes);
    }
  };
  /**
   * Restarts the timeout of the attempt. When it fires, and no input that had arrived restarts it, the pool of the
   * upstream is renewed, since its open connections may be dead. The attempt fails if its answer has not begun.
   */
  const restartTimeout = (timeoutMs: number): void => {
    stopTimer();
    if (Number.isFinite(timeoutMs)) {
      const count = timeoutCount;
      const handleTimeout = (): void => {
        if (count !== timeoutCount) {
          return;
        }
        pools.renew(attempt.address);
        if (pending.isHeadWritten && isStarted) {
          restartTimeout(timeoutMs);
          listener.handleSilence();
        } else {
          abortAndFail('silent', `no answer within ${Math.round(timeoutMs)} ms`);
        }
      };
      // What was not sent may wait for its new connection in the barrier.
      timer = setTimeout(
        () => (isStarted ? barrier.runDue(handleTimeout) : barrier.run(handleTimeout)),
        timeoutMs,
      );
    }
  };
  /**
   * Applies backpressure: pauses the upstream while the caller's buffer is full, which bounds memory. A paused upstream
   * cannot be heard, so it does not count as silent.
   */
  const writeEvent = (bytes: Buffer): void => {
    if (pending.response.write(bytes) || isPaused) {
      return;
    }
    isPaused = true;
    controller?.pause();
    stopTimer();
    resizeShare(splitter.countBufferedBytes() + pending.response.writableLength);
    pending.response.once('drain', () => {
      isPaused = false;
      resizeShare(splitter.countBufferedBytes());
      controller?.resume();
      // Bytes that were held back may have filled the buffer again.
      if (!isClosed && !isPaused) {
        restartTimeout(send.gapTimeoutMs);
      }
    });
  };
  /** Forwards complete events. Events already forwarded are skipped, and a gap in the ids fails the attempt. */
  const forwardEvents = (bytes: Buffer): void => {
    for (const event of splitter.push(bytes)) {
      const lastId = pending.lastEventId;
      if (event.id !== null && lastId !== null && event.id > lastId + 1) {
        abortAndFail('garbage', `event ${event.id} follows event ${lastId}`);
        return;
      }
      if (event.id === null || lastId === null || event.id > lastId) {
        lastEventAtMs = performance.now();
        firstEventAtMs = eventCount === 0 ? lastEventAtMs : firstEventAtMs;
        eventCount += 1;
        pending.lastEventId = event.id ?? lastId;
        writeEvent(event.bytes);
      }
    }
  };
  const forwardBytes = (bytes: Buffer): void => {
    try {
      forwardEvents(bytes);
      resizeShare(splitter.countBufferedBytes() + (isPaused ? pending.response.writableLength : 0));
    } catch (error) {
      abortAndFail('excessive', error instanceof Error ? error.message : String(error));
    }
  };
  const writeHead = (): void => {
    if (head !== null && !pending.isHeadWritten) {
      pending.isHeadWritten = true;
      const headers = platform.answerHeaders.makeCallerHeaders(head.headers);
      const length =
        send.isStream && isSuccess(head.status) ? {} : { 'content-length': bufferedBytes };
      pending.response.writeHead(head.status, {
        ...(headers as Record<string, string>),
        ...length,
      });
    }
  };
  const forward = (): void => {
    if (head === null || isClosed) {
      return;
    }
    writeHead();
    mode = 'forwarding';
    const chunks = buffered;
    buffered = [];
    pending.response.once('close', () => share?.release());
    if (send.isStream && isSuccess(head.status)) {
      pending.response.flushHeaders();
      chunks.forEach(forwardBytes);
    } else {
      chunks.slice(0, -1).forEach((chunk) => pending.response.write(chunk));
      pending.response.end(chunks.at(-1));
    }
  };
  const handleStreamHead = (confidence: number | null): void => {
    mode = 'buffering';
    restartTimeout(send.gapTimeoutMs);
    listener.handleHead({ status: head?.status ?? 0, confidence });
  };
  const handleResponse = (status: number, headers: platform.callHeaders.ParsedHeaders): void => {
    const parsed = platform.answerHeaders.readAnswerHeaders(status, headers);
    const problem = describeInvalidAnswer(status, parsed, pending.callerRequestId);
    if (problem !== null) {
      abortAndFail('garbage', problem);
      return;
    }
    if (pending.isHeadWritten && isSuccess(status) && !isEventStream(status, headers)) {
      abortAndFail('garbage', `status ${status} cannot continue a stream`);
      return;
    }
    if (parsed.load !== null) {
      listener.handleLoad(parsed.load);
    }
    // The process at the address is another one if it reports the request as misdirected.
    if (status !== MISDIRECTED_STATUS) {
      listener.handleRateLimit(parsed.requestsPerSecond, parsed.coldLeftMs);
      listener.handleNotice(parsed.isLeaving, parsed.rest, parsed.maxTurnAways);
    }
    if (parsed.isNotRun && isOwnAnswer(parsed, pending.callerRequestId)) {
      const failure = status === MISDIRECTED_STATUS ? 'misdirected' : 'turnedAway';
      fail({ failure, isUnsent: false, isNotRun: true, reason: `status ${status}` });
      // The request may be sent to this upstream again. On this connection, a copy of the refusal would look like the
      // answer to that send.
      abort('a refusal ends its connection');
      return;
    }
    if (parsed.isNotRun || NOT_RUN_STATUSES.has(status)) {
      const reason = `status ${status} without proof that the request was not run`;
      fail({ failure: 'broken', isUnsent: false, isNotRun: false, reason });
      return;
    }
    head = { status, headers };
    headAtMs = performance.now();
    if (send.isStream && isSuccess(status)) {
      handleStreamHead(parsed.confidence);
    } else {
      mode = 'buffering';
    }
  };
  /** Lets a large answer come slowly while little memory is left: what is read and dropped is not free at once. */
  const slowDown = (): void => {
    const delayMs = bufferedBytes > SMALL_ANSWER_BYTES ? pools.buffers.getPieceDelayMs() : 0;
    if (!isClosed && delayMs > 0) {
      controller?.pause();
      setTimeout(() => controller?.resume(), delayMs);
    }
  };
  const handleData = (bytes: Buffer): void => {
    bodyBytes += bytes.length;
    if (mode === 'forwarding') {
      if (!isPaused) {
        restartTimeout(send.gapTimeoutMs);
      }
      forwardBytes(bytes);
    } else if (mode === 'buffering') {
      buffered.push(bytes);
      bufferedBytes += bytes.length;
      if (bufferedBytes > pools.buffers.maxAnswerBytes) {
        abortAndFail('excessive', `the answer exceeds ${pools.buffers.maxAnswerBytes} bytes`);
      } else {
        resizeShare(bufferedBytes + buffered.length * PIECE_BYTES);
        slowDown();
      }
    } else {
      discardedBytes += bytes.length;
      if (discardedBytes > MAX_DISCARDED_BYTES) {
        abort(`the rest of a failed answer exceeds ${MAX_DISCARDED_BYTES} bytes`);
      }
    }
  };
  const finishAnswer = (): void => {
    if (isClosed || head === null) {
      return;
    }
    if (send.isStream && isSuccess(head.status)) {
      if (splitter.countBufferedBytes() > 0) {
        abortAndFail('broken', 'the answer ends within an event');
        return;
      }
    } else {
      listener.handleHead({ status: head.status, confidence: null });
      // The reducer may have started an attempt on another upstream instead.
      if (mode !== 'forwarding') {
        return;
      }
    }
    closeAttempt();
    listener.handleEnd({
      events: eventCount,
      streamMs: lastEventAtMs - firstEventAtMs,
      mayBeCut:
        answerFraming.isUnframed(head.headers) &&
        performance.now() - headAtMs < core.guardState.BEGIN_MS,
    });
  };
  const handleError = (error: Error): void => {
    if (isClosed || isCancelled) {
      return;
    }
    const isUnsent = !isStarted;
    const failure = isUnsent ? classifyUnsent(error) : 'broken';
    fail({ failure, isUnsent, isNotRun: isUnsent, reason: error.message });
  };
  const handleEnd = (): void => {
    stopTimer();
    if (isClosed || head === null) {
      return;
    }
    if (pools.wasReset()) {
      abortAndFail('broken', 'the answer ends with a reset');
      return;
    }
    const confirmation = answerFraming.isUnframed(head.headers) ? pools.verifyEnd() : null;
    if (confirmation === null) {
      finishAnswer();
      return;
    }
    confirmation
      .then((isConfirmed) => {
        if (isConfirmed) {
          finishAnswer();
        } else {
          abortAndFail('broken', 'the relay ended, and the end of the answer is not confirmed');
        }
      })
      .catch(handleError);
  };

  /** Fails the attempt as unsent if the request is no longer due; returns whether it did. */
  const failIfOverdue = (): boolean => {
    const overdue = listener.detectOverdue();
    if (overdue !== null) {
      fail({ failure: 'overdue', isUnsent: true, isNotRun: true, reason: overdue });
    }
    return overdue !== null;
  };
  const startedAtMs = performance.now();
  const makeHeaders = (): string[] =>
    platform.callHeaders.makeUpstreamHeaders(pending.rawHeaders, pending.headers, {
      upstreamId: attempt.upstreamId,
      timeLeftMs: Math.max(1, Math.floor(send.timeLeftMs - (performance.now() - startedAtMs))),
      organisation: send.organisation,
      model: send.model,
      urgency: send.priority,
      lastEventId: pending.lastEventId,
    });
  const sendRequest = (): void => {
    if (isCancelled || isClosed || failIfOverdue()) {
      return;
    }
    // The time that the attempt waited in the barrier is not the upstream's.
    restartTimeout(send.headTimeoutMs);
    pools.get(attempt.address).dispatch(
      {
        method: pending.method,
        path: pending.url,
        headers: makeHeaders(),
        body: pending.body.length === 0 ? null : pending.body,
        idempotent: false,
        onConnectionEnd: () => controller?.resume(),
        countBodyBytes: () => bodyBytes,
        onExcess: (bytes) => abortAndFail('excessive', `${bytes} bytes beside the body`),
      } as connectionPools.PausableOptions,
      {
        onRequestStart: (started) => {
          controller = started;
          // The request may have waited for a connection.
          if (isCancelled || isClosed || failIfOverdue()) {
            started.abort(new Error('cancelled before it was sent'));
            return;
          }
          isStarted = true;
          listener.handleSent();
        },
        onResponseStart: (_, status, headers) => {
          listener.handleActivity();
          if (status < FIRST_SUCCESS_STATUS) {
            informationalCount += 1;
            if (informationalCount > MAX_INFORMATIONAL) {
              abortAndFail('excessive', `more than ${MAX_INFORMATIONAL} informational answers`);
            }
          } else if (!isClosed) {
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
  };

  /** Sends the request, or confirms the list of upstreams first. */
  const sendConfirmed = (): void => {
    const confirmation = listener.confirmUpstreams();
    if (confirmation === null) {
      sendRequest();
    } else {
      confirmation.then(() => barrier.run(sendRequest)).catch(handleError);
    }
  };
  barrier.run(sendConfirmed);
  return {
    cancel: () => {
      isCancelled = true;
      closeAttempt();
      mode = 'discarding';
      stopTimer();
      abort('the router no longer needs the answer');
    },
    isUnsent: () => !isStarted,
    dropUnsent: () => {
      if (!isStarted) {
        abortAndFail('unreachable', 'the upstream cannot be reached and nothing was sent');
      }
    },
    forward,
  };
};

import * as http from 'node:http';
import * as net from 'node:net';
import * as platform from '@jayrock/platform';
import * as control from './control.js';

const H = platform.wire.HEADERS;

/** A request as an upstream received it. */
export interface ReceivedRequest {
  readonly id: string;
  readonly method: string;
  readonly url: string;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
}

/** Parts of an answer that can go on without end; `refusal` is the body of one that is marked as not run. */
export type EndlessPart =
  | 'head'
  | 'body'
  | 'refusal'
  | 'statusLine'
  | 'headerName'
  | 'headerValue'
  | 'informational'
  | 'chunkExtension'
  | 'chunkLength'
  | 'trailers'
  | 'afterAnswer'
  | 'unframed'
  | 'event'
  | 'smallPieces'
  | 'raw';

/** How a stand-in of an upstream answers requests. */
export type Behaviour =
  | { readonly kind: 'answer'; readonly status: number; readonly body: string }
  | {
      readonly kind: 'stream';
      readonly events: number;
      readonly cutAfter?: number;
      /** Time for which the stream pauses after each second event, in milliseconds. */
      readonly pauseMs?: number;
      /** True if the stream has no framing and ends with its connection. */
      readonly isUnframed?: boolean;
      /** Bytes that are added to each event. */
      readonly extraBytes?: number;
    }
  /** A refusal that is marked as not run. */
  | {
      readonly kind: 'turnAway';
      readonly status: number;
      /** Pause that the refusal asks for, as it is written in its head. */
      readonly retryAfter?: string;
    }
  | { readonly kind: 'reset' }
  /** The process ends: the connection breaks and no new one is accepted. */
  | { readonly kind: 'crash' }
  | { readonly kind: 'hang' }
  /** An answer with the id of another request. */
  | { readonly kind: 'foreign' }
  /** An answer that ends before its content length. */
  | { readonly kind: 'short' }
  /** An answer without a length that ends with its connection, by a close or by a reset. */
  | { readonly kind: 'unframed'; readonly cut: 'no' | 'atOnce' | 'later' }
  /** Bytes that a test writes to the connection itself. */
  | {
      readonly kind: 'raw';
      readonly write: (socket: net.Socket, received: ReceivedRequest, stamps: string) => void;
    }
  /** The head of an answer, which is written in the same turn of the event loop. */
  | { readonly kind: 'head'; readonly status: number }
  /** Bytes without end in one part of an answer. */
  | { readonly kind: 'endless'; readonly part: EndlessPart }
  /** An answer without the stamp of the upstream. */
  | { readonly kind: 'unsigned' };

/** How the connections of a process that ends are closed. */
export type ConnectionEnd = 'close' | 'reset';

/** Takes over the answer to a request; returns false to leave it to the behaviour of the upstream. */
export type Interceptor = (received: ReceivedRequest, response: http.ServerResponse) => boolean;

/** A stand-in of an upstream behind routes. */
export interface RoutedUpstream {
  readonly id: string;
  readonly address: string;
  readonly received: readonly ReceivedRequest[];
  /** Ids of all requests whose head arrived, also of those that broke off after it. */
  readonly arrived: readonly string[];
  /** Requests whose connection the router closed before the answer was complete. */
  readonly cancelled: readonly string[];
  /** Confidence that is sent in the head of a stream; null for none. */
  confidence: number | null;
  behaviour: Behaviour;
  /** Limit that all answers name, in requests per second; null for none. */
  requestsPerSecond: number | null;
  /** True while all answers say that the upstream leaves. */
  isLeaving: boolean;
  /** Times at which heads of requests arrived, in milliseconds of `performance.now()`. */
  readonly arrivedAtMs: readonly number[];
  /** Number of requests whose connection is open and whose answer has not ended. */
  readonly countOpen: () => number;
  /** Returns the bytes that were sent on connections that have closed. */
  readonly countSentBytes: () => number;
  /** Answers the requests that hang, in the same turn of the event loop. */
  readonly answerHeld: (behaviour: Behaviour) => void;
  /** Accepts no new connections; those that are open stay. */
  readonly refuseConnections: () => void;
  /** Ends the process: its port refuses at once, its streams break off within an event, its connections end. */
  readonly crash: (end: ConnectionEnd) => void;
  readonly close: () => Promise<void>;
}

const EVENT_INTERVAL_MS = 5;
/** Number of events between two pauses of a stream. */
const PAUSE_EVENTS = 2;
/** Content type of streams. */
const EVENT_STREAM = 'text/event-stream';
/** Start of an event that the end of its process cuts off. */
const EVENT_FRAGMENT = 'id: 99\nda';

const makeEvent = (id: number, extraBytes = 0): string =>
  `id: ${id}\ndata: piece ${id}${' '.repeat(extraBytes)}\n\n`;

/** Renders a complete stream of events. */
export const renderStream = (events: number): string =>
  Array.from({ length: events }, (_, index) => makeEvent(index + 1)).join('');

const ENDLESS_CHUNK = `8000\r\n${'x'.repeat(0x8000)}\r\n`;

/** Writes a chunk again and again until the peer closes the connection. */
const writeEndlessly = (socket: net.Socket, chunk: string): void => {
  if (!socket.destroyed) {
    socket.write(chunk, () => setImmediate(() => writeEndlessly(socket, chunk)));
  }
};

const FILLER = 'x'.repeat(0x8000);

/** What is written once and then again and again, for each part; the stamps name the request and its upstream. */
const ENDLESS_ANSWERS: Readonly<
  Record<EndlessPart, (stamps: string) => { readonly begin: string; readonly more: string }>
> = {
  head: (stamps) => ({
    begin: `HTTP/1.1 200 OK\r\n${stamps}\r\n`,
    more: `x-more: ${'x'.repeat(1_000)}\r\n`,
  }),
  body: (stamps) => ({
    begin: `HTTP/1.1 200 OK\r\n${stamps}\r\ntransfer-encoding: chunked\r\n\r\n`,
    more: ENDLESS_CHUNK,
  }),
  refusal: (stamps) => ({
    begin: `HTTP/1.1 503 Full\r\n${stamps}\r\n${H.notRun}: 1\r\ntransfer-encoding: chunked\r\n\r\n`,
    more: ENDLESS_CHUNK,
  }),
  statusLine: () => ({ begin: 'HTTP/1.1 200 ', more: FILLER }),
  headerName: (stamps) => ({ begin: `HTTP/1.1 200 OK\r\n${stamps}\r\n`, more: FILLER }),
  headerValue: (stamps) => ({ begin: `HTTP/1.1 200 OK\r\n${stamps}\r\nx-more: `, more: FILLER }),
  informational: () => ({
    begin: '',
    more: 'HTTP/1.1 103 Early Hints\r\nlink: </x>\r\n\r\n'.repeat(200),
  }),
  chunkExtension: (stamps) => ({
    begin: `HTTP/1.1 200 OK\r\n${stamps}\r\ntransfer-encoding: chunked\r\n\r\n5;x=`,
    more: FILLER,
  }),
  chunkLength: (stamps) => ({
    begin: `HTTP/1.1 200 OK\r\n${stamps}\r\ntransfer-encoding: chunked\r\n\r\n`,
    more: '0'.repeat(0x8000),
  }),
  trailers: (stamps) => ({
    begin: `HTTP/1.1 200 OK\r\n${stamps}\r\ntransfer-encoding: chunked\r\n\r\n0\r\n`,
    more: `x-more: ${'x'.repeat(1_000)}\r\n`,
  }),
  afterAnswer: (stamps) => ({
    begin: `HTTP/1.1 200 OK\r\n${stamps}\r\ncontent-length: 5\r\n\r\nwhole`,
    more: FILLER,
  }),
  unframed: (stamps) => ({ begin: `HTTP/1.1 200 OK\r\n${stamps}\r\n\r\n`, more: FILLER }),
  event: (stamps) => ({
    begin: `HTTP/1.1 200 OK\r\n${stamps}\r\ncontent-type: ${EVENT_STREAM}\r\n\r\nid: 1\ndata: `,
    more: FILLER,
  }),
  smallPieces: (stamps) => ({
    begin: `HTTP/1.1 200 OK\r\n${stamps}\r\ntransfer-encoding: chunked\r\n\r\n`,
    more: '1\r\nx\r\n'.repeat(2_000),
  }),
  raw: () => ({ begin: '', more: FILLER }),
};

type Responder = (
  upstream: RoutedUpstream,
  received: ReceivedRequest,
  response: http.ServerResponse,
) => void;

const writeStamp = (
  upstream: RoutedUpstream,
  received: ReceivedRequest,
  response: http.ServerResponse,
): void => {
  response.setHeader(H.requestId, received.id);
  response.setHeader(H.stamp, `stamp-of-${upstream.id}`);
};

/** Sets the head of a stream, which is written with its first bytes. */
export const setStreamHead: Responder = (upstream, received, response) => {
  const { behaviour, confidence } = upstream;
  writeStamp(upstream, received, response);
  response.setHeader('content-type', EVENT_STREAM);
  if (behaviour.kind === 'stream' && behaviour.isUnframed === true) {
    response.removeHeader('transfer-encoding');
  }
  if (confidence !== null) {
    response.setHeader(H.confidence, String(confidence));
  }
};

const writeStream: Responder = (upstream, received, response) => {
  const { behaviour } = upstream;
  if (behaviour.kind !== 'stream') {
    return;
  }
  setStreamHead(upstream, received, response);
  const { cutAfter, pauseMs = 0, extraBytes = 0 } = behaviour;
  let next = Number(received.headers[H.lastEventId] ?? 0) + 1;
  let pausedUntilMs = 0;
  const timer = setInterval(() => {
    if (performance.now() < pausedUntilMs && !response.destroyed) {
      return;
    }
    if (response.destroyed || next > behaviour.events) {
      clearInterval(timer);
      response.end();
    } else if (cutAfter !== undefined && next > cutAfter) {
      clearInterval(timer);
      response.write(makeEvent(next).slice(0, 5));
      response.socket?.resetAndDestroy();
    } else {
      response.write(makeEvent(next, extraBytes));
      pausedUntilMs = next % PAUSE_EVENTS === 0 ? performance.now() + pauseMs : 0;
      next += 1;
    }
  }, EVENT_INTERVAL_MS);
};

const RESPONDERS: Readonly<Record<Behaviour['kind'], Responder>> = {
  answer: (upstream, received, response) => {
    const { behaviour } = upstream;
    writeStamp(upstream, received, response);
    if (behaviour.kind === 'answer') {
      response.writeHead(behaviour.status).end(behaviour.body);
    }
  },
  stream: writeStream,
  turnAway: (upstream, received, response) => {
    const { behaviour } = upstream;
    if (behaviour.kind === 'turnAway') {
      const { status, retryAfter } = behaviour;
      response
        .writeHead(status, {
          [H.notRun]: '1',
          [H.requestId]: received.id,
          ...(retryAfter === undefined ? {} : { [H.retryAfter]: retryAfter }),
        })
        .end();
    }
  },
  reset: (_, __, response) => response.socket?.resetAndDestroy(),
  crash: (upstream) => {
    upstream.close().catch(() => undefined);
  },
  hang: () => undefined,
  foreign: (upstream, received, response) => {
    writeStamp(upstream, { ...received, id: 'another' }, response);
    response.end('not yours');
  },
  short: (upstream, received, response) => {
    writeStamp(upstream, received, response);
    response.setHeader('content-length', '100');
    response.write('only a part');
    setTimeout(() => response.socket?.end(), EVENT_INTERVAL_MS);
  },
  unframed: (upstream, received, response) => {
    const { behaviour, id } = upstream;
    const cut = behaviour.kind === 'unframed' ? behaviour.cut : 'no';
    const { socket } = response;
    socket?.write(
      `HTTP/1.1 200 OK\r\n${H.requestId}: ${received.id}\r\n${H.stamp}: of-${id}\r\n\r\nfirst part`,
    );
    if (cut === 'atOnce') {
      socket?.resetAndDestroy();
      return;
    }
    setTimeout(() => {
      if (cut === 'later') {
        socket?.resetAndDestroy();
      } else {
        socket?.end(', second part');
      }
    }, EVENT_INTERVAL_MS * 4);
  },
  raw: ({ behaviour, id }, received, { socket }) => {
    if (behaviour.kind === 'raw' && socket !== null) {
      behaviour.write(
        socket,
        received,
        `${H.requestId}: ${received.id}\r\n${H.stamp}: of-${id}\r\n`,
      );
    }
  },
  head: ({ behaviour, id, confidence }, received, { socket }) => {
    const status = behaviour.kind === 'head' ? behaviour.status : 200;
    socket?.write(
      [
        `HTTP/1.1 ${status} Status`,
        `${H.requestId}: ${received.id}`,
        `${H.stamp}: of-${id}`,
        `${H.confidence}: ${confidence ?? 100}`,
        'content-length: 0',
        '\r\n',
      ].join('\r\n'),
    );
  },
  endless: ({ behaviour, id }, received, { socket }) => {
    const part = behaviour.kind === 'endless' ? behaviour.part : 'body';
    const { begin, more } = ENDLESS_ANSWERS[part](
      `${H.requestId}: ${received.id}\r\n${H.stamp}: of-${id}`,
    );
    if (socket !== null) {
      socket.write(begin);
      writeEndlessly(socket, more);
    }
  },
  unsigned: (_, received, response) => {
    response.setHeader(H.requestId, received.id);
    response.end('unsigned');
  },
};

const readText = async (request: http.IncomingMessage): Promise<string> => {
  const chunks: Buffer[] = [];
  for await (const chunk of request) {
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks).toString('utf8');
};

/** Starts a stand-in of an upstream behind routes. */
export const startRoutedUpstream = async (
  id: string,
  intercept: Interceptor = () => false,
): Promise<RoutedUpstream> => {
  const sockets = new Set<net.Socket>();
  const responses = new Set<http.ServerResponse>();
  const received: ReceivedRequest[] = [];
  const arrived: string[] = [];
  const arrivedAtMs: number[] = [];
  const cancelled: string[] = [];
  let openCount = 0;
  let sentBytes = 0;
  let held: (() => void)[] = [];
  const state: Pick<
    RoutedUpstream,
    'confidence' | 'behaviour' | 'requestsPerSecond' | 'isLeaving'
  > = {
    isLeaving: false,
    confidence: null,
    requestsPerSecond: null,
    behaviour: { kind: 'answer', status: 200, body: `from ${id}` },
  };
  const server = http.createServer((request, response) => {
    arrived.push(String(request.headers[H.requestId]));
    arrivedAtMs.push(performance.now());
    if (state.requestsPerSecond !== null) {
      response.setHeader(H.rateLimit, String(state.requestsPerSecond));
    }
    if (state.isLeaving) {
      response.setHeader(H.leaving, '1');
    }
    openCount += 1;
    responses.add(response);
    response.once('close', () => {
      openCount -= 1;
      responses.delete(response);
    });
    const serve = async (upstream: RoutedUpstream): Promise<void> => {
      const body = await readText(request);
      const receivedRequest: ReceivedRequest = {
        id: String(request.headers[H.requestId]),
        method: request.method ?? '',
        url: request.url ?? '',
        headers: request.headers,
        body,
      };
      received.push(receivedRequest);
      response.once('close', () => {
        if (!response.writableFinished) {
          cancelled.push(receivedRequest.id);
        }
      });
      if (intercept(receivedRequest, response)) {
        return;
      }
      if (upstream.behaviour.kind === 'hang') {
        held.push(() => RESPONDERS[upstream.behaviour.kind](upstream, receivedRequest, response));
        return;
      }
      RESPONDERS[upstream.behaviour.kind](upstream, receivedRequest, response);
    };
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- the server starts first
    serve(standIn).catch(() => response.destroy());
  });
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.once('close', () => {
      sockets.delete(socket);
      sentBytes += socket.bytesWritten - socket.writableLength;
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', () => resolve());
  });
  const { port } = server.address() as net.AddressInfo;
  const standIn: RoutedUpstream = Object.assign(state, {
    id,
    address: `127.0.0.1:${port}`,
    received,
    arrived,
    arrivedAtMs,
    cancelled,
    countOpen: () => openCount,
    countSentBytes: () => sentBytes,
    answerHeld: (behaviour: Behaviour) => {
      state.behaviour = behaviour;
      const answers = held;
      held = [];
      answers.forEach((answer) => answer());
    },
    refuseConnections: () => {
      net.Server.prototype.close.call(server);
    },
    crash: (end: ConnectionEnd) => {
      server.close();
      responses.forEach((response) => {
        if (response.getHeader('content-type') === EVENT_STREAM && !response.writableEnded) {
          response.write(EVENT_FRAGMENT);
        }
      });
      // The fragments are written at the end of this turn.
      setImmediate(() =>
        sockets.forEach((socket) =>
          end === 'reset' ? socket.resetAndDestroy() : socket.destroy(),
        ),
      );
    },
    close: async () => {
      server.closeAllConnections();
      server.close();
      await control.wait(0);
    },
  });
  return standIn;
};

import type * as fastify from 'fastify';

/**
 * Header in which a caller asks for signs of life while its call is held: the reply begins at once, and a space follows
 * each time the named number of milliseconds has passed. Replies to such calls bear it too, so that a caller can tell
 * routers that give such signs from those of the former build.
 */
export const HEARTBEAT_HEADER = 'x-heartbeat-ms';

/** Shortest interval that a caller may ask for, in milliseconds. */
const MIN_INTERVAL_MS = 100;

/** JSON may begin with spaces, so a reply means the same after them. */
const SIGN = ' ';

/** Reads the interval that a caller asks for, in milliseconds; null if it asks for no signs of life. */
const readInterval = (request: fastify.FastifyRequest): number | null => {
  const value = Number(request.headers[HEARTBEAT_HEADER]);
  return Number.isFinite(value) ? Math.max(MIN_INTERVAL_MS, value) : null;
};

/** Sends a reply in JSON once it is there, with signs of life before it if the caller asks for them. */
export const sendReply = async (
  request: fastify.FastifyRequest,
  reply: fastify.FastifyReply,
  answer: Promise<string>,
): Promise<fastify.FastifyReply> => {
  reply.type('application/json');
  const intervalMs = readInterval(request);
  if (intervalMs === null) {
    return reply.send(await answer);
  }
  reply.header(HEARTBEAT_HEADER, String(intervalMs));
  const { raw } = reply;
  let isOpen = false;
  const timer = setInterval(() => {
    if (!isOpen) {
      isOpen = true;
      reply.hijack();
      raw.writeHead(200, reply.getHeaders() as Record<string, string>);
    }
    raw.write(SIGN);
  }, intervalMs);
  raw.once('close', () => clearInterval(timer));
  const text = await answer.finally(() => clearInterval(timer));
  if (!isOpen) {
    return reply.send(text);
  }
  raw.end(text);
  return reply;
};

/** Watches the signs of life of a peer that holds a call. */
export interface SilenceWatch {
  readonly signal: AbortSignal;
  /** Records that bytes have arrived. */
  readonly recordSign: () => void;
  readonly stop: () => void;
}

/**
 * Starts to watch a call, which is aborted when it takes too long as a whole, or when no sign of life arrives for a
 * time; both in milliseconds. Input that had arrived by then is read first.
 */
export const startSilenceWatch = (timeoutMs: number, silenceMs: number): SilenceWatch => {
  const controller = new AbortController();
  const endsAtMs = performance.now() + timeoutMs;
  let timer: NodeJS.Timeout | null = null;
  let signs = 0;
  const arm = (): void => {
    const seen = signs;
    const waitMs = Math.max(0, Math.min(silenceMs, endsAtMs - performance.now()));
    timer = setTimeout(
      () =>
        setImmediate(() => {
          if (signs === seen || performance.now() >= endsAtMs) {
            controller.abort(new Error('the peer is silent'));
          }
        }),
      waitMs,
    ).unref();
  };
  const stop = (): void => {
    if (timer !== null) {
      clearTimeout(timer);
    }
  };
  arm();
  return {
    signal: controller.signal,
    recordSign: () => {
      signs += 1;
      stop();
      arm();
    },
    stop,
  };
};

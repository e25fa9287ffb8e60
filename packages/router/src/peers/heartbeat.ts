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

/** A call that a peer holds. */
export interface HeldCall {
  /** True if this call asks for signs of life; one call to a peer does so for all that it holds. */
  readonly asksForSigns: boolean;
  /** Records that bytes have arrived. */
  readonly recordSign: () => void;
  readonly end: () => void;
}

/** The calls that one peer holds. */
export interface HeldCalls {
  /** Adds a call, which is aborted with the others when no sign of life arrives for a time. */
  readonly open: (abort: () => void) => HeldCall;
}

/** Watches the calls that a peer holds; it is silent after a time without a sign of life, in milliseconds. */
export const makeHeldCalls = (silenceMs: number): HeldCalls => {
  const aborts = new Set<() => void>();
  let asking: (() => void) | null = null;
  let timer: NodeJS.Timeout | null = null;
  let signs = 0;
  const restart = (): void => {
    signs += 1;
    const seen = signs;
    if (timer !== null) {
      clearTimeout(timer);
    }
    // Input that had arrived by then is read first. Without a call that asks for signs, there are none to miss.
    const abortIfSilent = (): void => {
      if (signs === seen && asking !== null) {
        Array.from(aborts).forEach((abort) => abort());
      }
    };
    timer = setTimeout(() => setImmediate(abortIfSilent), silenceMs).unref();
  };
  return {
    open: (abort) => {
      aborts.add(abort);
      const asksForSigns = asking === null;
      asking ??= abort;
      restart();
      return {
        asksForSigns,
        recordSign: restart,
        end: () => {
          aborts.delete(abort);
          asking = asking === abort ? null : asking;
          if (aborts.size === 0 && timer !== null) {
            clearTimeout(timer);
          }
        },
      };
    },
  };
};

import * as shared from '@jayrock/shared';

/** Header in which engines and plain services name their limit, in requests per second. */
export const RATE_LIMIT_HEADER = 'x-requests-per-second';

/** Reads the limit that an answer names, or null if it names none. */
export const readRateLimit = (
  headers: Readonly<Record<string, string | readonly string[] | undefined>>,
): number | null => {
  const value = headers[RATE_LIMIT_HEADER];
  return shared.rateLimit.parseRequestsPerSecond(typeof value === 'string' ? value : null);
};

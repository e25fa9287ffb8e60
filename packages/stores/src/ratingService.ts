import * as undici from 'undici';
import * as zod from 'zod';

const scoreSchema = zod.object({ score: zod.number().min(0).max(1) });

/** Time for a rating to arrive, in milliseconds. */
const TIMEOUT_MS = 10_000;

/** What the rating service is shown. */
export interface RatingQuery {
  readonly requestId: string;
  readonly versionId: string;
  readonly prompt: string;
  readonly answer: string;
}

/** The service that rates answers. */
export interface RatingService {
  /** Rates an answer in [0, 1], or null when no rating is to be had in time. */
  readonly rate: (query: RatingQuery, timeoutMs?: number) => Promise<number | null>;
}

/** Opens the rating service at an address. */
export const openRatingService = (address: string): RatingService => ({
  rate: async (query, timeoutMs = TIMEOUT_MS) => {
    try {
      const response = await undici.request(`http://${address}/ratings`, {
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(query),
        signal: AbortSignal.timeout(timeoutMs),
      });
      const parsed = scoreSchema.safeParse(await response.body.json());
      return parsed.success ? parsed.data.score : null;
    } catch {
      return null;
    }
  },
});

/** A rating service that never answers, for sites without one. */
export const NO_RATING_SERVICE: RatingService = { rate: async () => null };

import * as undici from 'undici';
import * as zod from 'zod';

const scoreSchema = zod.object({ score: zod.number().min(0).max(1) });

/** Default timeout of a rating, in milliseconds. */
const TIMEOUT_MS = 10_000;

/** Request to the rating service: a prompt, its answer and the version that gave it. */
export interface RatingQuery {
  readonly requestId: string;
  readonly versionId: string;
  readonly prompt: string;
  readonly answer: string;
}

/** Service that rates answers. */
export interface RatingService {
  /** Returns a rating in [0, 1], or null on an error or timeout. */
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

/** Rating service of sites without one; every rating is null. */
export const NO_RATING_SERVICE: RatingService = { rate: async () => null };

import type * as shared from '@jayrock/shared';
import * as undici from 'undici';
import * as zod from 'zod';

const reportSchema = zod.object({
  running: zod.number(),
  waiting: zod.number(),
  slots: zod.number().positive(),
  loaded: zod.array(zod.string()),
});

/** Timeout of a load report request, in milliseconds. */
const TIMEOUT_MS = 1_000;

/** Fetches an upstream's load report; returns null on an error, timeout or invalid report. */
export const fetchLoadReport = async (address: string): Promise<shared.hosts.LoadReport | null> => {
  try {
    const response = await undici.request(`http://${address}/load`, {
      signal: AbortSignal.timeout(TIMEOUT_MS),
    });
    const parsed = reportSchema.safeParse(await response.body.json());
    return parsed.success ? parsed.data : null;
  } catch {
    return null;
  }
};

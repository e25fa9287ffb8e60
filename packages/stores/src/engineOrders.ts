import * as undici from 'undici';

/** The state an engine is wished to be in. */
export interface EngineOrder {
  /** Number of the sender's lease; engines that check it refuse an older one. */
  readonly fencing: number;
  /** Versions to have loaded, as `model@version`. */
  readonly loaded: readonly string[];
}

/** What became of an order. */
export type OrderResult = 'accepted' | 'refused' | 'unknown';

/** Time for an engine to take an order, in milliseconds. */
const TIMEOUT_MS = 2_000;
const ACCEPTED_STATUSES: ReadonlySet<number> = new Set([200, 202]);

/** Sends an order to an engine. */
export const sendOrder = async (address: string, order: EngineOrder): Promise<OrderResult> => {
  try {
    const response = await undici.request(`http://${address}/orders`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(order),
      signal: AbortSignal.timeout(TIMEOUT_MS),
    });
    await response.body.dump();
    return ACCEPTED_STATUSES.has(response.statusCode) ? 'accepted' : 'refused';
  } catch {
    return 'unknown';
  }
};

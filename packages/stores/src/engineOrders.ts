import * as undici from 'undici';

/** Desired state of an engine. */
export interface EngineOrder {
  /** Fencing token of the sender's lease; engines that check it refuse a smaller one. */
  readonly fencing: number;
  /** Versions that should be loaded, as `model@version`. */
  readonly loaded: readonly string[];
}

/** Result of an order; `unknown` if no response was received. */
export type OrderResult = 'accepted' | 'refused' | 'unknown';

/** Timeout for an engine to accept an order, in milliseconds. */
const TIMEOUT_MS = 2_000;
const ACCEPTED_STATUSES: ReadonlySet<number> = new Set([200, 202]);

/** Sends an order to the engine at an address. */
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

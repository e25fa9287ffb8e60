import * as zlib from 'node:zlib';
import * as stores from '@jayrock/stores';
import type * as shared from '@jayrock/shared';

/** Encodes a configuration for a peer as gzip-compressed JSON in base64. */
export const encodeConfig = (configuration: shared.lists.Configuration): string =>
  zlib.gzipSync(JSON.stringify(configuration)).toString('base64');

/** Decodes and validates a configuration from a peer; null if it is not valid. */
export const decodeConfig = (packed: string): shared.lists.Configuration | null => {
  try {
    const value: unknown = JSON.parse(zlib.gunzipSync(Buffer.from(packed, 'base64')).toString());
    const checked = stores.configStore.validateConfiguration(value);
    return checked.ok ? checked.value : null;
  } catch {
    return null;
  }
};

import * as zlib from 'node:zlib';
import * as stores from '@jayrock/stores';
import type * as shared from '@jayrock/shared';

/** Packs a configuration for its way to a peer. */
export const encodeConfig = (configuration: shared.lists.Configuration): string =>
  zlib.gzipSync(JSON.stringify(configuration)).toString('base64');

/** Unpacks a configuration and checks it as a whole; null when it is not valid. */
export const decodeConfig = (packed: string): shared.lists.Configuration | null => {
  try {
    const value: unknown = JSON.parse(zlib.gunzipSync(Buffer.from(packed, 'base64')).toString());
    const checked = stores.configStore.validateConfiguration(value);
    return checked.ok ? checked.value : null;
  } catch {
    return null;
  }
};

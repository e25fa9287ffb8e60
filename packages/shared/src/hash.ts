import * as crypto from 'node:crypto';
import xxhash from 'xxhash-wasm';

const hasher = await xxhash();

/** Number of values of an unsigned 32-bit hash. */
const HASH_RANGE = 2 ** 32;

/** Hashes text to an unsigned 32-bit integer (xxHash32). */
export const hashText = (text: string): number => hasher.h32(text);

/** Maps text to a uniform fraction in [0, 1). */
export const hashToFraction = (text: string): number => hashText(text) / HASH_RANGE;

/**
 * Returns the SHA-256 digest of fields and a body in hexadecimal. No field can be mistaken for a part of another one,
 * whatever characters it holds.
 */
export const hashFields = (fields: readonly (string | null)[], body: Uint8Array): string =>
  crypto.createHash('sha256').update(JSON.stringify(fields)).update(body).digest('hex');

/** Returns the SHA-256 digest of text in hexadecimal. */
export const hashDigest = (text: string): string =>
  crypto.createHash('sha256').update(text).digest('hex');

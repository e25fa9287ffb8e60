import * as crypto from 'node:crypto';

/** Header with the signature of a message between routers. */
export const SIGNATURE_HEADER = 'x-jayrock-signature';
/** Largest difference between a message's timestamp and the local clock, past or future, in milliseconds. */
const MAX_TIMESTAMP_OFFSET_MS = 60_000;

const computeDigest = (body: string, timeMs: number, secret: string): string =>
  crypto.createHmac('sha256', secret).update(`${timeMs}.${body}`).digest('base64url');

/** Signs a message with the routers' shared secret; the signature includes the time. */
export const signMessage = (body: string, secret: string, nowMs: number): string =>
  `${nowMs}.${computeDigest(body, nowMs, secret)}`;

/** Returns whether the signature of a message is valid and its timestamp is close to `nowMs`. */
export const verifyMessage = (
  body: string,
  signature: string,
  secret: string,
  nowMs: number,
): boolean => {
  const separator = signature.indexOf('.');
  const timeMs = Number(signature.slice(0, separator));
  const given = Buffer.from(signature.slice(separator + 1));
  const expected = Buffer.from(computeDigest(body, timeMs, secret));
  return (
    Math.abs(nowMs - timeMs) <= MAX_TIMESTAMP_OFFSET_MS &&
    given.length === expected.length &&
    crypto.timingSafeEqual(given, expected)
  );
};

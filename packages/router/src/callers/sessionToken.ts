import * as crypto from 'node:crypto';
import type * as core from '@jayrock/core';
import * as zod from 'zod';

const payloadSchema = zod.object({
  customer: zod.string(),
  versions: zod.record(zod.string(), zod.string()),
});

const computeSignature = (body: string, signingKey: string): Buffer =>
  crypto.createHmac('sha256', signingKey).update(body).digest();

/** Signs a session's pin, so that any router of any zone can verify it without a lookup. */
export const signToken = (
  pin: core.requestState.SessionPin,
  customer: string,
  signingKey: string,
): string => {
  const body = Buffer.from(JSON.stringify({ customer, versions: pin.versions })).toString(
    'base64url',
  );
  return `${body}.${computeSignature(body, signingKey).toString('base64url')}`;
};

const parsePayload = (body: string): zod.infer<typeof payloadSchema> | null => {
  try {
    const parsed = payloadSchema.safeParse(JSON.parse(Buffer.from(body, 'base64url').toString()));
    return parsed.success ? parsed.data : null;
  } catch {
    return null;
  }
};

/** Verifies a session token; null if it is forged, damaged or issued to another customer. */
export const verifyToken = (
  token: string,
  customer: string,
  signingKey: string,
): core.requestState.SessionPin | null => {
  const [body = '', signature = ''] = token.split('.');
  const expected = computeSignature(body, signingKey);
  const given = Buffer.from(signature, 'base64url');
  if (given.length !== expected.length || !crypto.timingSafeEqual(given, expected)) {
    return null;
  }
  const payload = parsePayload(body);
  return payload === null || payload.customer !== customer ? null : { versions: payload.versions };
};

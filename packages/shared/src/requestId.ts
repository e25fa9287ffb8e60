import * as uuid from 'uuid';

/** Number of leading hexadecimal digits of a UUIDv7 that encode its creation time. */
const TIME_DIGITS = 12;

/** Generates a time-ordered request id (UUIDv7). */
export const makeRequestId = (): string => uuid.v7();

/** Returns whether text is a UUIDv7. */
export const isUuidV7 = (text: string): boolean => uuid.validate(text) && uuid.version(text) === 7;

/** Returns the creation time of a UUIDv7, in milliseconds since the epoch. */
export const readIdTimeMs = (id: string): number =>
  Number.parseInt(id.replaceAll('-', '').slice(0, TIME_DIGITS), 16);

/** Returns whether an answer has no length and no chunks, so that it ends with its connection. */
export const isUnframed = (headers: Readonly<Record<string, unknown>>): boolean =>
  headers['content-length'] === undefined && headers['transfer-encoding'] === undefined;

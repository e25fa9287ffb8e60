/** One row of the error table. */
export interface ErrorRow {
  /** HTTP status of the error response. */
  readonly status: number;
  /** True if this code guarantees that the request was not executed. */
  readonly notRun: boolean;
  /** Message sent to the caller. */
  readonly message: string;
}

/** Status and message of every error code that callers or operators can receive. */
export const ERROR_TABLE = {
  adapterNotAllowed: { status: 403, notRun: true, message: 'the plan does not allow this adapter' },
  answerIncomplete: {
    status: 502,
    notRun: false,
    message: 'the upstream ended the answer before its end mark',
  },
  badIdempotencyKey: {
    status: 400,
    notRun: true,
    message: 'Idempotency-Key must be a UUIDv7 whose time is not in the future',
  },
  badRequest: { status: 400, notRun: true, message: 'the request body is not valid' },
  bodyTooLarge: { status: 413, notRun: true, message: 'the request body exceeds the limit' },
  bodyCrowded: {
    status: 503,
    notRun: true,
    message: 'the bodies of all requests together take too much memory',
  },
  bodyLate: { status: 408, notRun: true, message: 'the request body did not arrive in time' },
  callerGone: { status: 499, notRun: false, message: 'the caller closed the connection' },
  claimsUnavailable: {
    status: 503,
    notRun: true,
    message: 'the claim store is unreachable; work that may not be repeated was not started',
  },
  configConflict: {
    status: 409,
    notRun: true,
    message: 'another operator changed the configuration in the meantime',
  },
  configInvalid: { status: 422, notRun: true, message: 'the configuration is not valid' },
  costCeilingExceeded: {
    status: 422,
    notRun: true,
    message: 'every allowed model would exceed the cost ceiling of the plan',
  },
  customerOverShare: {
    status: 429,
    notRun: true,
    message: 'the customer has more work waiting than its share can finish in time',
  },
  deadlineExceeded: {
    status: 504,
    notRun: false,
    message: 'the answer could not be finished before the deadline',
  },
  inProgress: {
    status: 409,
    notRun: false,
    message: 'a request with this key is being served by this router',
  },
  ledgerFull: {
    status: 503,
    notRun: true,
    message: 'billing entries wait for the key-value service and no more can be held',
  },
  mayHaveRun: {
    status: 409,
    notRun: false,
    message: 'an earlier request with this key may have run and will not be run again',
  },
  modelNotAllowed: { status: 403, notRun: true, message: 'the plan does not allow this model' },
  modelUnknown: { status: 404, notRun: true, message: 'no model of this name exists' },
  noConfiguration: {
    status: 503,
    notRun: true,
    message: 'no configuration is known to this router yet',
  },
  noUpstream: {
    status: 503,
    notRun: true,
    message: 'no upstream serves an allowed version of this model',
  },
  notFound: { status: 404, notRun: true, message: 'no such resource' },
  overloaded: {
    status: 503,
    notRun: true,
    message: 'the queue is too long for the request to be served in time',
  },
  quarantined: {
    status: 422,
    notRun: true,
    message: 'this request was present at several upstream crashes and is not run again',
  },
  heldBack: {
    status: 503,
    notRun: true,
    message: 'this request was present at several upstream crashes and is not run for a while',
  },
  noRoute: { status: 404, notRun: true, message: 'no route matches the host and path' },
  viewOutdated: {
    status: 503,
    notRun: true,
    message: 'the list of keys was not confirmed recently enough to accept a key',
  },
  routerStopping: { status: 503, notRun: true, message: 'this router is stopping' },
  unauthorized: { status: 401, notRun: true, message: 'the key is missing or unknown' },
  serviceNotAllowed: { status: 403, notRun: true, message: 'the plan does not allow this service' },
  upstreamFailed: { status: 502, notRun: false, message: 'the upstream failed' },
  upstreamGarbage: {
    status: 502,
    notRun: false,
    message: 'the upstream sent data that is not a valid answer',
  },
} as const satisfies Readonly<Record<string, ErrorRow>>;

/** A stable error code. */
export type ErrorCode = keyof typeof ERROR_TABLE;

/** Returns the row of an error code. */
export const getErrorRow = (code: ErrorCode): ErrorRow => ERROR_TABLE[code];

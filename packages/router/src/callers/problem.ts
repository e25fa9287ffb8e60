import * as shared from '@jayrock/shared';

/** Problem details of a refused request, as sent to the caller (RFC 9457). */
export interface Problem {
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly code: shared.errorCodes.ErrorCode;
  /** True only if no work was started for the request. */
  readonly notRun: boolean;
  readonly requestId?: string;
  readonly detail?: string;
}

/** Media type of problem details. */
export const PROBLEM_TYPE = 'application/problem+json';

/** Makes the problem details for an error code. */
export const makeProblem = (
  code: shared.errorCodes.ErrorCode,
  notRun: boolean,
  extra: { readonly requestId?: string; readonly detail?: string } = {},
): Problem => {
  const row = shared.errorCodes.getErrorRow(code);
  return {
    type: `urn:jayrock:error:${code}`,
    title: row.message,
    status: row.status,
    code,
    notRun,
    ...extra,
  };
};

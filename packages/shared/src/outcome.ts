/** Success with its value. */
export interface Ok<T> {
  readonly ok: true;
  readonly value: T;
}

/** Failure with its error. */
export interface Failed<E> {
  readonly ok: false;
  readonly error: E;
}

/** Result of an operation whose failures are expected and returned as values, not thrown. */
export type Outcome<T, E> = Ok<T> | Failed<E>;

/** Creates a successful outcome. */
export const makeOk = <T>(value: T): Ok<T> => ({ ok: true, value });

/** Creates a failed outcome. */
export const makeFailed = <E>(error: E): Failed<E> => ({ ok: false, error });

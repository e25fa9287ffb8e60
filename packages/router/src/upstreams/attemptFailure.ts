import * as net from 'node:net';
import type * as core from '@jayrock/core';

/** Failure of an attempt, and whether the request may have reached the upstream. */
export interface AttemptFailure {
  readonly failure: core.events.AttemptFailure;
  /** True if no byte of the request can have reached the upstream. */
  readonly isUnsent: boolean;
}

/** Connect timeout of a probe, in milliseconds; a live upstream accepts within it. */
const PROBE_TIMEOUT_MS = 300;

const CONNECT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

const getCode = (error: unknown): string =>
  error instanceof Error && 'code' in error ? String(error.code) : '';

/** Code of an error by which a request is not sent because its upstream leaves; the upstream can be reached. */
export const LEAVING_CODE = 'UPSTREAM_LEAVES';

/** Returns whether an error means that a request was not sent because its upstream leaves. */
export const isLeavingError = (error: unknown): boolean => getCode(error) === LEAVING_CODE;

/** Returns whether an error means that no connection was established, so that nothing was sent. */
export const isConnectError = (error: unknown): boolean => CONNECT_CODES.has(getCode(error));

/** Result of an attempt to connect; `refused` means that the host answers, but nothing listens on the port. */
export type ProbeResult = 'open' | 'refused' | 'unknown';

const REFUSED_CODE = 'ECONNREFUSED';

/** Tries to connect to an upstream. */
export const probeConnection = (address: string): Promise<ProbeResult> =>
  new Promise((resolve) => {
    const separator = address.lastIndexOf(':');
    const socket = net.connect({
      host: address.slice(0, separator).replace(/^\[|\]$/g, ''),
      port: Number(address.slice(separator + 1)),
      timeout: PROBE_TIMEOUT_MS,
    });
    const finish = (result: ProbeResult): void => {
      socket.destroy();
      resolve(result);
    };
    socket.once('connect', () => finish('open'));
    socket.once('error', (error) =>
      finish(getCode(error) === REFUSED_CODE ? 'refused' : 'unknown'),
    );
    // A connection that was established while the event loop was blocked is noticed at its next poll.
    socket.once('timeout', () => setImmediate(() => finish('unknown')));
  });

/** Returns whether an upstream accepts connections. */
export const probeUpstream = async (address: string): Promise<boolean> =>
  (await probeConnection(address)) === 'open';

/** Returns whether an upstream's host refuses connections because no process listens on the port. */
export const isPortClosed = async (address: string): Promise<boolean> =>
  (await probeConnection(address)) === 'refused';

/**
 * Classifies a connection error; a broken connection is a crash only if the upstream accepts no new
 * one.
 */
export const classifyConnectionError = async (
  address: string,
  error: unknown,
): Promise<AttemptFailure> => {
  if (isConnectError(error)) {
    return { failure: 'unreachable', isUnsent: true };
  }
  const isOpen = await probeUpstream(address);
  return { failure: isOpen ? 'failed' : 'crashed', isUnsent: false };
};

import * as net from 'node:net';
import type * as core from '@jayrock/core';

/** How an attempt failed. */
export interface AttemptFailure {
  readonly failure: core.events.AttemptFailure;
  readonly isUnsent: boolean;
}

/** Time in which a live upstream accepts a connection, in milliseconds. */
const PROBE_TIMEOUT_MS = 300;

const CONNECT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

const getCode = (error: unknown): string =>
  error instanceof Error && 'code' in error ? String(error.code) : '';

/** Tells whether an error means that no connection was made, so that nothing was sent. */
export const isConnectError = (error: unknown): boolean => CONNECT_CODES.has(getCode(error));

/** How a try to connect ended. */
type ProbeResult = 'open' | 'refused' | 'unknown';

const REFUSED_CODE = 'ECONNREFUSED';

const probeConnection = (address: string): Promise<ProbeResult> =>
  new Promise((resolve) => {
    const separator = address.lastIndexOf(':');
    const socket = net.connect({
      host: address.slice(0, separator).replace(/^\[|\]$/g, ''),
      port: Number(address.slice(separator + 1)),
      timeout: PROBE_TIMEOUT_MS,
    });
    const settle = (result: ProbeResult): void => {
      socket.destroy();
      resolve(result);
    };
    socket.once('connect', () => settle('open'));
    socket.once('error', (error) =>
      settle(getCode(error) === REFUSED_CODE ? 'refused' : 'unknown'),
    );
    socket.once('timeout', () => settle('unknown'));
  });

/** Tells whether an upstream still accepts connections. */
export const probeUpstream = async (address: string): Promise<boolean> =>
  (await probeConnection(address)) === 'open';

/** Tells whether an upstream's machine answers that nothing listens there. */
export const isPortClosed = async (address: string): Promise<boolean> =>
  (await probeConnection(address)) === 'refused';

/** Names a broken connection: a crash only if the upstream accepts no new one either. */
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

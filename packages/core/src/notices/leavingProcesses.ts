import * as immutable from 'immutable';
import type * as shared from '@jayrock/shared';

/** A process that has said that it leaves. */
export interface LeavingProcess {
  /** Start time of the process, in Unix milliseconds, or null if it is not known. */
  readonly bornAtMs: number | null;
  /** Null if only its start time is known, which tells it from any other process of its upstream. */
  readonly address: string | null;
  /** Time at which it said so first, in milliseconds. */
  readonly sinceMs: number;
}

/** Processes that have said that they leave, by the id of their upstream, in the order in which this router heard of them. */
export type LeavingProcesses = immutable.OrderedMap<string, LeavingProcess>;

/** State of a router to which no upstream has said that it leaves. */
export const NONE_LEAVING: LeavingProcesses = immutable.OrderedMap();

/** Time for which a process is remembered whose start time is known, in milliseconds; it leaves long before. */
const KNOWN_TTL_MS = 600_000;
/** The same for one whose start time is not known: another process may have its id and address by then. */
const UNKNOWN_TTL_MS = 30_000;
/** Largest number of processes that are remembered. */
const MAX_PROCESSES = 4_096;

/** Returns whether a process that said for a time that it leaves is still remembered. */
export const isRemembered = (bornAtMs: number | null, ageMs: number): boolean =>
  ageMs < (bornAtMs === null ? UNKNOWN_TTL_MS : KNOWN_TTL_MS);

const addProcess = (
  leaving: LeavingProcesses,
  upstreamId: string,
  process: LeavingProcess,
): LeavingProcesses => {
  const added = leaving.remove(upstreamId).set(upstreamId, process);
  return added.size > MAX_PROCESSES ? added.skip(added.size - MAX_PROCESSES) : added;
};

/** Remembers that the process of a host leaves. */
export const addLeaving = (
  leaving: LeavingProcesses,
  host: shared.hosts.Host,
  sinceMs: number,
): LeavingProcesses =>
  addProcess(leaving, host.id, {
    bornAtMs: host.bornAtMs ?? null,
    address: host.address,
    sinceMs,
  });

/** Remembers that a process leaves that is not listed, unless a later one of its upstream is known to leave. */
export const addUnlisted = (
  leaving: LeavingProcesses,
  upstreamId: string,
  bornAtMs: number,
  sinceMs: number,
): LeavingProcesses =>
  (leaving.get(upstreamId)?.bornAtMs ?? -Infinity) < bornAtMs
    ? addProcess(leaving, upstreamId, { bornAtMs, address: null, sinceMs })
    : leaving;

/** Returns whether a host shows a process that has said that it leaves. */
export const isLeaving = (
  leaving: LeavingProcesses,
  host: shared.hosts.Host,
  nowMs: number,
): boolean => {
  const known = leaving.get(host.id);
  return (
    known !== undefined &&
    isRemembered(known.bornAtMs, nowMs - known.sinceMs) &&
    known.bornAtMs === (host.bornAtMs ?? null) &&
    (known.address ?? host.address) === host.address
  );
};

/** Returns the host as leaving if its process has said so, whatever its entry shows. */
export const applyLeaving = (
  leaving: LeavingProcesses,
  host: shared.hosts.Host,
  nowMs: number,
): shared.hosts.Host =>
  host.state === 'live' && isLeaving(leaving, host, nowMs) ? { ...host, state: 'leaving' } : host;

import * as leavingProcesses from './leavingProcesses.js';

/** A process that leaves, as routers tell each other. */
export interface LeavingNews {
  readonly upstreamId: string;
  /** Start time of the process, in Unix milliseconds, or null if it is not known. */
  readonly bornAtMs: number | null;
  /** Time since it said so first, in milliseconds, since clocks differ; news without it has just been learned. */
  readonly ageMs?: number;
}

/** Time for which routers repeat to their peers that a process leaves, in milliseconds. */
const REPEATED_MS = 30_000;
/** Largest number of processes in one message; the latest are told. */
const MAX_NEWS = 512;

const listNews = (
  leaving: leavingProcesses.LeavingProcesses,
  nowMs: number,
  isDue: (bornAtMs: number | null, ageMs: number) => boolean,
): readonly LeavingNews[] =>
  leaving
    .entrySeq()
    .map(([upstreamId, { bornAtMs, sinceMs }]) => ({
      upstreamId,
      bornAtMs,
      ageMs: Math.max(0, nowMs - sinceMs),
    }))
    .filter(({ bornAtMs, ageMs }) => isDue(bornAtMs, ageMs))
    .sortBy(({ ageMs }) => ageMs)
    .take(MAX_NEWS)
    .toArray();

/** Makes the news that repeat which processes have said of late that they leave. */
export const makeNews = (
  leaving: leavingProcesses.LeavingProcesses,
  nowMs: number,
): readonly LeavingNews[] => listNews(leaving, nowMs, (_, ageMs) => ageMs < REPEATED_MS);

/** Makes the news for a router that has just joined: all processes that are remembered. */
export const makeFullNews = (
  leaving: leavingProcesses.LeavingProcesses,
  nowMs: number,
): readonly LeavingNews[] => listNews(leaving, nowMs, leavingProcesses.isRemembered);

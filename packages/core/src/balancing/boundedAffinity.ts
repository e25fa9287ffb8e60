import * as shared from '@jayrock/shared';

/** Load of the upstream of a prefix, relative to the mean of its service, above which the next one takes its requests. */
const BOUND = 1.25;
/** Share of its slots up to which an upstream counts as free, whatever the mean is. */
const FREE_SHARE = 0.5;

/** Load of one upstream of a service. */
export interface HostLoad {
  readonly id: string;
  /** Estimated requests there. */
  readonly load: number;
  readonly slots: number;
}

/**
 * Picks the upstream at which the requests of a prompt prefix meet: the first in the prefix's own order that holds no more
 * than its bounded share of the load. All routers know the order, so that a prefix with many requests spreads over the
 * first few and no others read it. Null if there is no upstream, or all are past the bound.
 */
export const pickHost = (prefix: string, hosts: readonly HostLoad[]): string | null => {
  if (hosts.length === 0) {
    return null;
  }
  const mean = hosts.reduce((sum, { load }) => sum + load, 0) / hosts.length;
  const free = hosts.filter(
    ({ load, slots }) => load + 1 <= Math.max(slots * FREE_SHARE, mean * BOUND + 1),
  );
  return (
    shared.rendezvous.pickRendezvous(
      prefix,
      free.map(({ id }) => id),
      1,
    )[0] ?? null
  );
};

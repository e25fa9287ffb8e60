/** Status of a member, as known to a router. */
export type MemberStatus = 'alive' | 'suspect' | 'dead' | 'left';

/** Information about one member that routers exchange by gossip. */
export interface MemberUpdate {
  /** Identifier created at process start, so that a replaced host is a new member. */
  readonly id: string;
  /** `IP:PORT` of the peers' listener. */
  readonly address: string;
  readonly zone: string;
  readonly status: MemberStatus;
  /** Incremented by the member itself to refute a suspicion or its death. */
  readonly incarnation: number;
}

/** A member with the time of its last status change at this router, in milliseconds. */
export interface Member extends MemberUpdate {
  readonly sinceMs: number;
}

const STATUS_RANK: Readonly<Record<MemberStatus, number>> = {
  alive: 0,
  suspect: 1,
  dead: 2,
  left: 3,
};

/** Returns whether an update supersedes a known one; `left` is final, then incarnation and status rank decide. */
export const isNewer = (update: MemberUpdate, known: MemberUpdate): boolean => {
  if (known.status === 'left' || update.status === 'left') {
    return known.status !== 'left';
  }
  if (update.incarnation !== known.incarnation) {
    return update.incarnation > known.incarnation;
  }
  return STATUS_RANK[update.status] > STATUS_RANK[known.status];
};

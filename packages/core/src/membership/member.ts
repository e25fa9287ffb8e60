/** How a router sees another one. */
export type MemberStatus = 'alive' | 'suspect' | 'dead' | 'left';

/** What routers tell each other about one of them. */
export interface MemberUpdate {
  /** Identifier made at the start of the process, so that a replaced host is a new member. */
  readonly id: string;
  /** `IP:PORT` of the peers' listener. */
  readonly address: string;
  readonly zone: string;
  readonly status: MemberStatus;
  /** Raised by the member itself to refute a suspicion. */
  readonly incarnation: number;
}

/** One member with the time of its last change of status here. */
export interface Member extends MemberUpdate {
  readonly sinceMs: number;
}

const STATUS_RANK: Readonly<Record<MemberStatus, number>> = {
  alive: 0,
  suspect: 1,
  dead: 2,
  left: 3,
};

/** Tells whether an update overrides what is known: final states last, then incarnation, then rank. */
export const isNewer = (update: MemberUpdate, known: MemberUpdate): boolean => {
  if (known.status === 'left' || known.status === 'dead') {
    return update.status === 'left' && known.status === 'dead';
  }
  if (update.status === 'left' || update.status === 'dead') {
    return true;
  }
  if (update.incarnation !== known.incarnation) {
    return update.incarnation > known.incarnation;
  }
  return STATUS_RANK[update.status] > STATUS_RANK[known.status];
};

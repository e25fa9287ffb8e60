import * as core from '@jayrock/core';
import type * as rpcClient from './peers/rpcClient.js';
import type * as runtime from './runtime.js';

type Versions = Readonly<Record<string, string>>;

/** Time a named session's pin is kept after its last use, in milliseconds. */
const KEEP_MS = 60 * 60_000;
/** Largest number of pins kept by one router. */
const MAX_SESSIONS = 50_000;
/** Time for a session's home to answer, in milliseconds. */
const LOOKUP_TIMEOUT_MS = 100;

interface Kept {
  readonly versions: Versions;
  readonly usedAtMs: number;
}

/** Pins of sessions that callers only name. */
export interface NamedSessions {
  /** Returns what this router keeps as a session's home. */
  readonly getVersions: (session: string) => Versions | null;
  readonly setVersions: (session: string, versions: Versions) => void;
  /** Asks a session's home for its pin, if a roll-out makes the version ambiguous. */
  readonly find: (session: string) => Promise<core.requestState.SessionPin | null>;
  /** Tells a session's home which versions it uses. */
  readonly record: (session: string, pin: core.requestState.SessionPin) => void;
  /** Hands all kept pins to the routers that are their homes once this one has left. */
  readonly handOver: () => Promise<void>;
}

/** Makes the named sessions of a router. */
export const makeNamedSessions = (
  node: runtime.Runtime,
  client: rpcClient.RpcClient,
): NamedSessions => {
  // A Map keeps insertion order, so its first keys are those unused for longest.
  const kept = new Map<string, Kept>();
  const getKept = (session: string): Versions | null => {
    const found = kept.get(session);
    return found !== undefined && Date.now() - found.usedAtMs < KEEP_MS ? found.versions : null;
  };
  const keep = (session: string, versions: Versions): void => {
    kept.delete(session);
    kept.set(session, { versions, usedAtMs: Date.now() });
    if (kept.size > MAX_SESSIONS) {
      kept.delete(kept.keys().next().value ?? '');
    }
  };
  const findHome = (session: string): core.member.MemberUpdate =>
    core.zoneRoles.pickSessionOwner(node.getState().members, session);
  const isAmbiguous = (): boolean => (node.getState().config?.openRollouts.size ?? 0) > 0;
  return {
    getVersions: getKept,
    setVersions: keep,
    find: async (session) => {
      if (!isAmbiguous()) {
        return null;
      }
      const home = findHome(session);
      if (home.id === node.getState().members.self.id) {
        const versions = getKept(session);
        return versions === null ? null : { versions };
      }
      const reply = await client.call(home.address, 'getSession', { session }, LOOKUP_TIMEOUT_MS);
      const versions = reply?.versions ?? null;
      return versions === null ? null : { versions };
    },
    record: (session, pin) => {
      const home = findHome(session);
      if (home.id === node.getState().members.self.id) {
        keep(session, pin.versions);
        return;
      }
      const params = { session, versions: pin.versions };
      client.call(home.address, 'putSession', params).catch(() => undefined);
    },
    handOver: async () => {
      const { members } = node.getState();
      const table = { ...members, self: { ...members.self, status: 'left' as const } };
      const live = Array.from(kept.entries()).filter(
        ([, item]) => Date.now() - item.usedAtMs < KEEP_MS,
      );
      await Promise.all(
        live.map(([session, item]) => {
          const home = core.zoneRoles.pickSessionOwner(table, session);
          return home.id === members.self.id
            ? null
            : client.call(home.address, 'putSession', { session, versions: item.versions });
        }),
      );
    },
  };
};

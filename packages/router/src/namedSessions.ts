import * as core from '@jayrock/core';
import type * as rpcClient from './peers/rpcClient.js';
import type * as routerRuntime from './routerRuntime.js';

type Versions = Readonly<Record<string, string>>;

/** Retention time of a named session's pin since it was stored, in milliseconds; lookups do not extend it. */
const PIN_TTL_MS = 60 * 60_000;
/** Largest number of pins stored by one router. */
const MAX_SESSIONS = 50_000;
/** Timeout of a lookup at a session's owner, in milliseconds. */
const LOOKUP_TIMEOUT_MS = 100;

interface StoredPin {
  readonly versions: Versions;
  readonly storedAtMs: number;
}

/** Pins of sessions that callers identify by name instead of by a session token. */
export interface NamedSessions {
  /** Returns the versions that this router stores as the session's owner, or null. */
  readonly getVersions: (session: string) => Versions | null;
  /** Stores the versions of a session that this router owns. */
  readonly setVersions: (session: string, versions: Versions) => void;
  /**
   * Looks up a session's pin at its owner; null if none is found or no open roll-out makes the version
   * ambiguous.
   */
  readonly find: (session: string) => Promise<core.requestState.SessionPin | null>;
  /** Stores a session's pin at its owner. */
  readonly record: (session: string, pin: core.requestState.SessionPin) => void;
  /** Sends all stored pins to the routers that own them once this one has left. */
  readonly handOver: () => Promise<void>;
}

/** Makes the store of named sessions of one router. */
export const makeNamedSessions = (
  runtime: routerRuntime.Runtime,
  client: rpcClient.RpcClient,
): NamedSessions => {
  // A Map iterates in insertion order, so its first key is the least recently stored one.
  const pins = new Map<string, StoredPin>();
  const getVersions = (session: string): Versions | null => {
    const pin = pins.get(session);
    return pin !== undefined && Date.now() - pin.storedAtMs < PIN_TTL_MS ? pin.versions : null;
  };
  const setVersions = (session: string, versions: Versions): void => {
    pins.delete(session);
    pins.set(session, { versions, storedAtMs: Date.now() });
    if (pins.size > MAX_SESSIONS) {
      pins.delete(pins.keys().next().value ?? '');
    }
  };
  const findOwner = (session: string): core.member.MemberUpdate =>
    core.zoneRoles.pickSessionOwner(runtime.getState().members, session);
  const isAmbiguous = (): boolean => (runtime.getState().config?.openRollouts.size ?? 0) > 0;
  return {
    getVersions,
    setVersions,
    find: async (session) => {
      if (!isAmbiguous()) {
        return null;
      }
      const owner = findOwner(session);
      if (owner.id === runtime.getState().members.self.id) {
        const versions = getVersions(session);
        return versions === null ? null : { versions };
      }
      const reply = await client.call(owner.address, 'getSession', { session }, LOOKUP_TIMEOUT_MS);
      const versions = reply?.versions ?? null;
      return versions === null ? null : { versions };
    },
    record: (session, pin) => {
      const owner = findOwner(session);
      if (owner.id === runtime.getState().members.self.id) {
        setVersions(session, pin.versions);
        return;
      }
      const params = { session, versions: pin.versions };
      client.call(owner.address, 'putSession', params).catch(() => undefined);
    },
    handOver: async () => {
      const { members } = runtime.getState();
      const table = { ...members, self: { ...members.self, status: 'left' as const } };
      const unexpired = Array.from(pins.entries()).filter(
        ([, pin]) => Date.now() - pin.storedAtMs < PIN_TTL_MS,
      );
      await Promise.all(
        unexpired.map(([session, pin]) => {
          const owner = core.zoneRoles.pickSessionOwner(table, session);
          return owner.id === members.self.id
            ? null
            : client.call(owner.address, 'putSession', { session, versions: pin.versions });
        }),
      );
    },
  };
};

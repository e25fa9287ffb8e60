import type * as effects from '../effects.js';
import type * as events from '../events.js';
import * as leavingNews from '../notices/leavingNews.js';
import * as noticeHandlers from '../notices/noticeHandlers.js';
import * as random from '../random.js';
import * as rateLimitHandlers from '../rateLimits/rateLimitHandlers.js';
import * as rateLimitNews from '../rateLimits/rateLimitNews.js';
import type * as routerState from '../routerState.js';
import * as guardNews from '../routed/guardNews.js';
import * as routedCrashes from '../routed/routedCrashes.js';
import * as transition from '../transition.js';
import type * as member from './member.js';
import * as memberTable from './memberTable.js';

/** Time within which a suspected member can refute the suspicion, in milliseconds. */
export const SUSPICION_MS = 2_500;
/** Number of members asked to probe one that did not answer. */
const INDIRECT_PROBES = 2;

const withMembers = (
  current: routerState.RouterState,
  members: memberTable.MemberTable,
): routerState.RouterState => ({ ...current, members });

const getConfirmedAgeMs = (current: routerState.RouterState, nowMs: number): number =>
  Math.max(0, nowMs - current.confirmedAtMs);

/**
 * Builds the payload of a probe and of its answer: member updates, the configuration's generation, the guards and rate
 * limits in force, and which upstreams leave, which repairs lost broadcasts.
 */
export const makeGossipMessage = (
  current: routerState.RouterState,
  updates: readonly member.MemberUpdate[],
  nowMs: number,
  isJoining = false,
): events.GossipMessage => ({
  self: current.members.self,
  updates,
  generation: current.config?.generation ?? 0,
  confirmedAgeMs: getConfirmedAgeMs(current, nowMs),
  guardNews: isJoining
    ? guardNews.makeFullNews(current.routed.guard, nowMs)
    : guardNews.makeGuardNews(current.routed.guard, nowMs),
  rateLimitNews: rateLimitNews.makeNews(current, nowMs),
  leavingNews: isJoining
    ? leavingNews.makeFullNews(current.leaving, nowMs)
    : leavingNews.makeNews(current.leaving, nowMs),
});

const makeProbe = (
  current: routerState.RouterState,
  target: { readonly id: string | null; readonly address: string },
  nowMs: number,
): transition.Transition => {
  const taken = memberTable.takeGossipUpdates(current.members, target.address);
  const next = withMembers(current, taken.table);
  return transition.makeTransition(next, {
    type: 'sendProbe',
    targetId: target.id,
    address: target.address,
    message: makeGossipMessage(next, taken.updates, nowMs),
  });
};

const shuffle = (ids: readonly string[], fraction: number): readonly string[] =>
  ids
    .map((id, index) => ({ id, order: random.deriveFraction(fraction, index + 11) }))
    .toSorted((a, b) => a.order - b.order)
    .map((item) => item.id);

/** Picks the next member to probe; each is probed once a round, in a new random order. */
const pickTarget = (
  table: memberTable.MemberTable,
  fraction: number,
): { readonly table: memberTable.MemberTable; readonly target: member.Member | null } => {
  const activeMembers = new Map(
    memberTable.listActiveMembers(table).map((peer) => [peer.id, peer]),
  );
  const remaining = table.probeRound.filter((id) => activeMembers.has(id));
  const probeRound =
    remaining.length > 0 ? remaining : shuffle(Array.from(activeMembers.keys()), fraction);
  const target = activeMembers.get(probeRound[0] ?? '') ?? null;
  return { table: { ...table, probeRound: probeRound.slice(1) }, target };
};

/** Declares suspects dead that have not refuted the suspicion in time. */
const expireSuspects = (table: memberTable.MemberTable, nowMs: number): memberTable.MemberTable =>
  table.members
    .valueSeq()
    .filter((peer) => peer.status === 'suspect' && nowMs - peer.sinceMs >= SUSPICION_MS)
    .reduce((next, peer) => memberTable.setStatus(next, peer.id, 'dead', nowMs), table);

/** Probes a random seed address at which no active member listens. */
const probeSeedAddress = (
  current: routerState.RouterState,
  event: events.EventOf<'probeDue'>,
): transition.Transition => {
  const unknown = memberTable.listUnknownSeedAddresses(current.members);
  const address = unknown[random.pickIndex(event.random, unknown.length)];
  return address === undefined
    ? transition.makeTransition(current)
    : makeProbe(current, { id: null, address }, event.nowMs);
};

const handleProbeDue = (
  current: routerState.RouterState,
  event: events.EventOf<'probeDue'>,
): transition.Transition => {
  const expired = expireSuspects(memberTable.forgetGone(current.members, event.nowMs), event.nowMs);
  const { table, target } = pickTarget(expired, event.random);
  const next = withMembers(current, table);
  const probed =
    target === null ? transition.makeTransition(next) : makeProbe(next, target, event.nowMs);
  return transition.composeTransition(probed, (after) => probeSeedAddress(after, event));
};

/** Returns whether peers have declared this router dead: another one may allocate in its place. */
const isDeclaredDead = (
  { self, members }: routerState.RouterState,
  { updates }: events.GossipMessage,
): boolean =>
  updates.some(
    ({ id, status, incarnation }) =>
      id === self.routerId && status === 'dead' && incarnation >= members.self.incarnation,
  );

const mergeUpdates = (
  current: routerState.RouterState,
  message: events.GossipMessage,
  nowMs: number,
): routerState.RouterState =>
  withMembers(
    isDeclaredDead(current, message)
      ? { ...current, presence: { ...current.presence, rejoinedAtMs: nowMs } }
      : current,
    [message.self, ...message.updates].reduce(
      (table, update) => memberTable.mergeUpdate(table, update, nowMs),
      current.members,
    ),
  );

/** Clears this router's suspicion of a peer that has answered. */
const clearSuspicion = (
  table: memberTable.MemberTable,
  message: events.GossipMessage,
  nowMs: number,
): memberTable.MemberTable => {
  const sender = table.members.get(message.self.id);
  if (sender?.status !== 'suspect') {
    return table;
  }
  const members = table.members.set(sender.id, { ...sender, status: 'alive', sinceMs: nowMs });
  return { ...table, members, gossipUpdates: table.gossipUpdates.remove(sender.id) };
};

/** Fetches the configuration of a peer with a greater generation; an equal one confirms this router's. */
const compareGeneration = (
  current: routerState.RouterState,
  message: events.GossipMessage,
  nowMs: number,
): transition.Transition => {
  const ownGeneration = current.config?.generation ?? 0;
  if (message.generation > ownGeneration) {
    return transition.makeTransition(current, {
      type: 'fetchConfig',
      address: message.self.address,
    });
  }
  if (message.generation < ownGeneration || ownGeneration === 0) {
    return transition.makeTransition(current);
  }
  const confirmedAtMs = Math.max(current.confirmedAtMs, nowMs - message.confirmedAgeMs);
  return transition.makeTransition({ ...current, confirmedAtMs });
};

const handleGossipReceived = (
  current: routerState.RouterState,
  event: events.EventOf<'gossipReceived'>,
): transition.Transition => {
  const merged = mergeUpdates(current, event.message, event.nowMs);
  const cleared = withMembers(merged, clearSuspicion(merged.members, event.message, event.nowMs));
  const compared = compareGeneration(cleared, event.message, event.nowMs);
  const {
    guardNews: news = guardNews.NO_NEWS,
    rateLimitNews: limits = [],
    leavingNews: leaving = [],
  } = event.message;
  const limited = transition.composeTransition(compared, (next) =>
    rateLimitHandlers.mergeNews(next, limits, event),
  );
  const informed = transition.composeTransition(limited, (next) =>
    noticeHandlers.mergeNews(next, leaving, event.nowMs),
  );
  return guardNews.isEmpty(news)
    ? informed
    : transition.composeTransition(informed, (next) => routedCrashes.mergeNews(next, news, event));
};

/** Asks a few other members to probe a member that did not answer. */
const requestIndirectProbe = (
  current: routerState.RouterState,
  target: member.Member,
  event: events.EventOf<'probeFailed'>,
): transition.Transition => {
  const helpers = shuffle(
    memberTable
      .listActiveMembers(current.members)
      .filter((peer) => peer.id !== target.id && peer.status === 'alive')
      .map((peer) => peer.address),
    event.random,
  ).slice(0, INDIRECT_PROBES);
  const effect: effects.EffectOf<'sendIndirectProbe'> = {
    type: 'sendIndirectProbe',
    targetId: target.id,
    address: target.address,
    helpers,
  };
  return transition.makeTransition(current, effect);
};

const handleProbeFailed = (
  current: routerState.RouterState,
  event: events.EventOf<'probeFailed'>,
): transition.Transition => {
  const target = current.members.members.get(event.targetId);
  return target?.status === 'alive'
    ? requestIndirectProbe(current, target, event)
    : transition.makeTransition(current);
};

const handleIndirectProbeFailed = (
  current: routerState.RouterState,
  event: events.EventOf<'indirectProbeFailed'>,
): transition.Transition =>
  transition.makeTransition(
    withMembers(
      current,
      memberTable.setStatus(current.members, event.targetId, 'suspect', event.nowMs),
    ),
  );

const handleSeedAddressesChanged = (
  current: routerState.RouterState,
  event: events.EventOf<'seedAddressesChanged'>,
): transition.Transition =>
  transition.makeTransition(
    withMembers(current, { ...current.members, seedAddresses: event.addresses }),
  );

/** Handlers of membership events. */
export const HANDLERS = {
  probeDue: handleProbeDue,
  probeFailed: handleProbeFailed,
  indirectProbeFailed: handleIndirectProbeFailed,
  gossipReceived: handleGossipReceived,
  seedAddressesChanged: handleSeedAddressesChanged,
} as const;

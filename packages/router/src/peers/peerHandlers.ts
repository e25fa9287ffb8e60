import * as core from '@jayrock/core';
import type * as claimService from '../claims/claimService.js';
import type * as ledgerService from '../ledger/ledgerService.js';
import type * as relayEnd from '../relays/relayEnd.js';
import type * as routerRuntime from '../routerRuntime.js';
import type * as namedSessions from '../namedSessions.js';
import type * as sharedStore from '../routed/sharedStore.js';
import * as configCodec from './configCodec.js';
import type * as messages from './messages.js';
import type * as peerService from './peerService.js';
import type * as rpcClient from './rpcClient.js';
import * as tableCodec from './tableCodec.js';

/** Dependencies of the handlers of calls about members and upstreams. */
export interface MemberContext {
  readonly runtime: routerRuntime.Runtime;
  readonly client: rpcClient.RpcClient;
  readonly peers: peerService.PeerService;
  /** Reads of the store for other routers; null where no router reads for others. */
  readonly sharedStore?: Pick<sharedStore.SharedStore, 'serveRead' | 'serveWait'> | null;
  /** Ends of relays; null for a router that offers none. */
  readonly relayEnds?: relayEnd.RelayEnds | null;
}

/** Dependencies of the handlers of all calls from peers. */
export interface PeerContext extends MemberContext {
  readonly claims: claimService.ClaimService;
  readonly ledger: ledgerService.LedgerService;
  readonly sessions: namedSessions.NamedSessions;
}

/** Timeout of a probe made for a peer, in milliseconds. */
const PROBE_TIMEOUT_MS = 400;

const serveProbe = (
  context: MemberContext,
  params: messages.PeerParams<'probe'>,
): messages.PeerResult<'probe'> => {
  const { runtime } = context;
  const isNew = !runtime.getState().members.members.has(params.greeting.self.id);
  runtime.dispatch({ type: 'gossipReceived', message: params.greeting });
  const state = runtime.getState();
  // A member that was not in the table yet receives all live members, others only recent updates.
  const updates = isNew
    ? core.memberTable.listActiveMembers(state.members)
    : core.memberTable.takeGossipUpdates(state.members, params.greeting.self.address).updates;
  return {
    greeting: core.membership.makeGossipMessage(state, updates, runtime.getNowMs(), isNew),
  };
};

const probeFor = async (
  context: MemberContext,
  params: messages.PeerParams<'probeFor'>,
): Promise<messages.PeerResult<'probeFor'>> => {
  const message = core.membership.makeGossipMessage(
    context.runtime.getState(),
    [],
    context.runtime.getNowMs(),
  );
  const reply = await context.client.call(
    params.address,
    'probe',
    { greeting: message },
    PROBE_TIMEOUT_MS,
  );
  return { isAlive: reply !== null };
};

const serveConfig = (
  context: PeerContext,
  params: messages.PeerParams<'getConfig'>,
): messages.PeerResult<'getConfig'> => {
  const { config } = context.runtime.getState();
  const isNewer = config !== null && config.generation > params.above;
  return { packed: isNewer ? configCodec.encodeConfig(config.source) : null };
};

const serveAlert = (context: MemberContext, params: messages.PeerParams<'alert'>): null => {
  params.alarms.forEach((versionId) =>
    context.runtime.dispatch({ type: 'versionBlocked', versionId }),
  );
  params.evidence.forEach((item) =>
    context.runtime.dispatch({ type: 'crashEvidenceReceived', ...item }),
  );
  if (params.guardNews !== undefined) {
    context.runtime.dispatch({ type: 'guardNewsReceived', news: params.guardNews });
  }
  if (params.leavingNews !== undefined) {
    context.runtime.dispatch({ type: 'leavingNewsReceived', news: params.leavingNews });
  }
  if (params.rateLimitNews !== undefined) {
    context.runtime.dispatch({ type: 'rateLimitNewsReceived', news: params.rateLimitNews });
  }
  return null;
};

type MemberMethod =
  | 'probe'
  | 'probeFor'
  | 'alert'
  | 'pushLoads'
  | 'pushTrial'
  | 'requestPermits'
  | 'grantPermits'
  | 'getRoutes'
  | 'getRelayEnd'
  | 'readPrefix'
  | 'waitForPrefix';

/** Makes the handlers of peers' calls about members and upstreams. */
export const makeMemberHandlers = (
  context: MemberContext,
): Pick<messages.PeerHandlers, MemberMethod> => ({
  probe: (params) => serveProbe(context, params),
  probeFor: (params) => probeFor(context, params),
  alert: (params) => serveAlert(context, params),
  pushLoads: (params) => {
    params.reports.forEach((item) => context.runtime.dispatch({ type: 'loadReported', ...item }));
    return null;
  },
  pushTrial: (params) => {
    context.runtime.dispatch({ type: 'canaryReportReceived', ...params });
    return null;
  },
  readPrefix: (params) => context.sharedStore?.serveRead(params) ?? null,
  waitForPrefix: async (params) => (await context.sharedStore?.serveWait(params)) ?? null,
  getRelayEnd: ({ relayId }) => ({ bytes: context.relayEnds?.find(relayId) ?? null }),
  getRoutes: () => {
    const state = context.runtime.getState();
    return {
      ...tableCodec.encodeTable(state.routed.routeIndex?.table ?? null),
      canaryAges: core.canaryReports.listAges(state, context.runtime.getNowMs()),
    };
  },
  requestPermits: (params) => {
    context.runtime.dispatch({ type: 'permitsRequested', ...params });
    return null;
  },
  grantPermits: (params) => {
    context.runtime.dispatch({ type: 'permitsGranted', ...params });
    return null;
  },
});

/** Makes the handlers of all calls from peers. */
export const makePeerHandlers = (context: PeerContext): messages.PeerHandlers => ({
  ...makeMemberHandlers(context),
  getConfig: (params) => serveConfig(context, params),
  announceConfig: (params) => {
    if (params.generation > (context.runtime.getState().config?.generation ?? 0)) {
      context.peers.fetchConfig(params.address);
    }
    return null;
  },
  pushRatings: (params) => {
    context.runtime.dispatch({ type: 'peerCountersReceived', ...params });
    return null;
  },
  pushDemand: (params) => {
    context.runtime.dispatch({ type: 'demandReported', ...params });
    return null;
  },
  claim: (params) => context.claims.serveOperation(params),
  holdEntries: (params) => {
    context.runtime.dispatch({ type: 'entriesHeld', ...params });
    return null;
  },
  releaseEntries: (params) => {
    context.runtime.dispatch({ type: 'entriesReleased', ...params });
    return null;
  },
  submitEntries: async (params) => ({
    isWritten: await context.ledger.serveSubmission(params.entries),
  }),
  getSession: (params) => ({ versions: context.sessions.getVersions(params.session) }),
  putSession: (params) => {
    context.sessions.setVersions(params.session, params.versions);
    return null;
  },
});

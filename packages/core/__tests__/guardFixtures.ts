import * as core from '../src/index.js';
import * as fixtures from './fixtures.js';
import * as routedFixtures from './routedFixtures.js';

/** Routers that share upstreams and exchange what they learn about crashes. */
export interface Site {
  /** Number of routers at the start. */
  readonly routers: readonly fixtures.Driver[];
  /** Sends a request to one router; returns whether it reached an upstream. */
  readonly send: (router: number, requestId: string, parts: readonly string[]) => boolean;
  /** Delivers the head of a request's answer; returns the upstream that began it, or null. */
  readonly begin: (router: number, requestId: string) => string | null;
  /** Completes a request's answer. */
  readonly complete: (router: number, requestId: string) => void;
  /** Ends an upstream: all attempts on it break, and its successor is listed. */
  readonly crash: (upstreamId: string) => void;
  /** Returns whether a request with these parts would be refused, without sending it. */
  readonly isHeldBack: (router: number, parts: readonly string[]) => boolean;
  readonly wait: (durationMs: number) => void;
  /** Starts a router, which probes the others; returns its number. */
  readonly join: () => number;
  /** Ends a request because its caller has left. */
  readonly cancel: (router: number, requestId: string) => void;
  /** Makes one router observe a crash on which it has no evidence of its own; the upstream's successor is listed. */
  readonly report: (router: number, upstreamId: string) => void;
  /** Returns whether a request is in flight. */
  readonly isOpen: (router: number, requestId: string) => boolean;
}

/** Options of a site. */
export interface SiteOptions {
  readonly areBroadcastsLost: boolean;
}

/** Interval between ticks of the routers, in milliseconds. */
const TICK_MS = 1_000;

/** Makes the parts of a prompt; the last one belongs to the request alone. */
const makeParts = (
  requestId: string,
  ids: readonly string[],
): readonly core.routedState.PromptPart[] =>
  [...ids, `own-${requestId}`].map((id) => ({ id, tokens: 100 }));

/** Makes a site of routers and upstreams. */
export const makeSite = (
  routerCount: number,
  upstreamCount: number,
  options: SiteOptions = { areBroadcastsLost: false },
): Site => {
  const ids = Array.from({ length: upstreamCount }, (_, index) => `u${index}`);
  const routers = Array.from({ length: routerCount }, () => routedFixtures.makeRoutedDriver(ids));
  let nowMs = 1_000;
  let probes = 0;
  const passOn = (from: fixtures.Driver, effects: readonly core.effects.Effect[]): void => {
    const others = routers.filter((router) => router !== from && !options.areBroadcastsLost);
    fixtures
      .pickEffects(effects, 'broadcastGuardNews')
      .forEach(({ news }) =>
        others.forEach((other) =>
          passOn(other, other.send({ type: 'guardNewsReceived', news }, nowMs)),
        ),
      );
  };
  const dispatch = (
    router: number,
    event: core.events.UnstampedEvent,
  ): readonly core.effects.Effect[] => {
    const driver = routers[router];
    const effects = driver?.send(event, nowMs) ?? [];
    if (driver !== undefined) {
      passOn(driver, effects);
    }
    return effects;
  };
  /** Sends each router's gossip to all others. */
  const exchangeGossip = (): void =>
    routers.forEach((from) => {
      const message = core.membership.makeGossipMessage(from.getState(), [], nowMs);
      routers
        .filter((router) => router !== from)
        .forEach((other) => passOn(other, other.send({ type: 'gossipReceived', message }, nowMs)));
    });
  const findRunning = (router: number, requestId: string): core.requestState.Attempt | undefined =>
    routers[router]?.getState().requests.get(requestId)?.attempts.at(-1);
  const arrive = (
    router: number,
    requestId: string,
    parts: readonly string[],
  ): readonly core.effects.Effect[] =>
    dispatch(router, {
      type: 'routedRequestArrived',
      requestId,
      call: routedFixtures.makeCall({
        path: '/talk/',
        parts: makeParts(requestId, parts),
        fingerprint: `f-${requestId}`,
      }),
      tableAgeMs: 0,
      waitedMs: 0,
    });
  const breakAttempts = (router: number, upstreamId: string): void => {
    const state = routers[router]?.getState();
    state?.requests.forEach((request) =>
      request.attempts
        .filter((attempt) => attempt.upstreamId === upstreamId)
        .forEach((attempt) => {
          dispatch(router, routedFixtures.makeFailure(request.id, attempt.id));
          dispatch(router, { type: 'crashObserved', upstreamId });
        }),
    );
  };
  const restartUpstream = (upstreamId: string): void =>
    routers.forEach((_, router) =>
      dispatch(router, {
        type: 'hostChanged',
        host: routedFixtures.makeHost(upstreamId, { bornAtMs: nowMs }),
      }),
    );
  return {
    routers,
    send: (router, requestId, parts) =>
      fixtures.pickEffects(arrive(router, requestId, parts), 'startAttempt').length > 0,
    begin: (router, requestId) => {
      const attempt = findRunning(router, requestId);
      if (attempt === undefined) {
        return null;
      }
      dispatch(router, {
        type: 'routedHeadArrived',
        requestId,
        attemptId: attempt.id,
        head: { status: 200, confidence: null },
      });
      return attempt.upstreamId;
    },
    complete: (router, requestId) => {
      const attempt = findRunning(router, requestId);
      if (attempt !== undefined) {
        dispatch(router, {
          type: 'routedAttemptEnded',
          requestId,
          attemptId: attempt.id,
          events: 1,
          streamMs: 0,
        });
      }
    },
    crash: (upstreamId) => {
      routers.forEach((_, router) => breakAttempts(router, upstreamId));
      restartUpstream(upstreamId);
    },
    join: () => {
      const joined = routedFixtures.makeRoutedDriver(ids);
      const host = routers[0]?.getState();
      routers.push(joined);
      if (host !== undefined) {
        const message = core.membership.makeGossipMessage(host, [], nowMs, true);
        joined.send({ type: 'gossipReceived', message }, nowMs);
      }
      return routers.length - 1;
    },
    cancel: (router, requestId) => {
      dispatch(router, { type: 'callerGone', requestId });
    },
    report: (router, upstreamId) => {
      const bornAtMs = routers[router]?.getState().upstreams.get(upstreamId)?.host.bornAtMs ?? 0;
      const news: core.guardNews.GuardNews = {
        ...core.guardNews.NO_NEWS,
        crashes: [
          {
            crash: `${upstreamId}@${bornAtMs}`,
            upstreamId,
            ageMs: 0,
            requests: [{ id: `other-${nowMs}`, parts: ['first'], hasBegun: false }],
          },
        ],
      };
      const driver = routers[router];
      if (driver !== undefined) {
        passOn(driver, [{ type: 'broadcastGuardNews', news }]);
      }
      restartUpstream(upstreamId);
    },
    isOpen: (router, requestId) => routers[router]?.getState().requests.has(requestId) === true,
    isHeldBack: (router, parts) => {
      probes += 1;
      const requestId = `probe-${probes}`;
      const effects = arrive(router, requestId, parts);
      dispatch(router, { type: 'callerGone', requestId });
      return fixtures.pickEffects(effects, 'refuse').some((effect) => effect.code === 'heldBack');
    },
    wait: (durationMs) => {
      const endMs = nowMs + durationMs;
      while (nowMs < endMs) {
        nowMs = Math.min(endMs, nowMs + TICK_MS);
        routers.forEach((_, router) => dispatch(router, { type: 'ticked' }));
      }
      exchangeGossip();
    },
  };
};

import * as shared from '@jayrock/shared';
import * as core from '../src/index.js';
import * as routedFixtures from './routedFixtures.js';

/** A fleet of routers in virtual time, before upstreams of which some name a limit. */
export interface LimitedFleet {
  /** Times at which requests arrive at each upstream, in milliseconds. */
  readonly arrivals: ReadonlyMap<string, readonly number[]>;
  /** Adds a router that knows all others at once; they learn of it within a second. */
  readonly addRouter: () => void;
  /** Ends a router without notice; the others give it up after 3.5 s. */
  readonly killRouter: (index: number) => void;
  /** Sends a request to a router. */
  readonly sendCall: (index: number) => void;
  readonly countRouters: () => number;
  /** Runs everything that is due until a time, in milliseconds. */
  readonly runUntil: (untilMs: number) => void;
  readonly countRefused: () => number;
}

/** Upstreams by id, with the requests per second that they name from the start, or null. */
export type Limits = Readonly<Record<string, number | null>>;

interface Router {
  readonly id: string;
  state: core.routerState.RouterState;
  isAlive: boolean;
}

interface Job {
  readonly atMs: number;
  readonly run: () => void;
}

const MESSAGE_MS = 2;
const BROADCAST_MS = 25;
const ANSWER_MS = 10;
const TICK_MS = 200;
const JOIN_MS = 1_000;
const DEATH_MS = 3_500;
const FIRST_MS = 1;

/** Makes a fleet whose random numbers derive from a seed. */
export const makeLimitedFleet = (
  routerCount: number,
  limits: Limits,
  seed: number,
): LimitedFleet => {
  const arrivals = new Map<string, number[]>(Object.keys(limits).map((id) => [id, []]));
  const routers: Router[] = [];
  let jobs: readonly Job[] = [];
  let nowMs = FIRST_MS;
  let eventCount = 0;
  let callCount = 0;
  let refusedCount = 0;
  const schedule = (delayMs: number, run: () => void): void => {
    const atMs = nowMs + delayMs;
    const index = jobs.findIndex((job) => job.atMs > atMs);
    const place = index < 0 ? jobs.length : index;
    jobs = [...jobs.slice(0, place), { atMs, run }, ...jobs.slice(place)];
  };
  const getAddress = (id: string): string => `10.0.0.1:${id}`;
  const send = (router: Router, event: core.events.UnstampedEvent): void => {
    if (!router.isAlive) {
      return;
    }
    eventCount += 1;
    const random = shared.hash.hashToFraction(`${seed}|${eventCount}`);
    const result = core.reduce.reduce(router.state, {
      ...event,
      nowMs,
      random,
    });
    Object.assign(router, { state: result.state });
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- effects cause events in turn
    result.effects.forEach((effect) => run(router, effect));
  };
  const sendTo = (address: string, event: core.events.UnstampedEvent): void =>
    schedule(MESSAGE_MS, () =>
      routers
        .filter(({ id }) => getAddress(id) === address)
        .forEach((router) => send(router, event)),
    );
  const answer = (router: Router, effect: core.effects.EffectOf<'startAttempt'>): void => {
    const { upstreamId, requestId, attemptId } = effect;
    schedule(MESSAGE_MS, () => arrivals.get(upstreamId)?.push(nowMs));
    schedule(ANSWER_MS, () => {
      const requestsPerSecond = limits[upstreamId] ?? null;
      send(router, { type: 'rateLimitObserved', upstreamId, requestsPerSecond });
      const head = { status: 200, confidence: null };
      send(router, { type: 'routedHeadArrived', requestId, attemptId, head });
      send(router, { type: 'routedAttemptEnded', requestId, attemptId, events: 0, streamMs: 0 });
    });
  };
  const run = (router: Router, effect: core.effects.Effect): void => {
    switch (effect.type) {
      case 'startAttempt':
        answer(router, effect);
        break;
      case 'armTimer':
        schedule(effect.delayMs, () => send(router, { type: 'timerFired', timer: effect.timer }));
        break;
      case 'requestPermits':
        sendTo(effect.address, { ...effect, type: 'permitsRequested', routerId: router.id });
        break;
      case 'grantPermits':
        sendTo(effect.address, { ...effect, type: 'permitsGranted' });
        break;
      case 'broadcastRateLimitNews':
        schedule(BROADCAST_MS, () =>
          routers
            .filter((peer) => peer !== router)
            .forEach((peer) => send(peer, { type: 'rateLimitNewsReceived', news: effect.news })),
        );
        break;
      case 'refuse':
        refusedCount += 1;
        break;
      default:
        break;
    }
  };
  const tellMember = (
    router: Router,
    peer: Router,
    status: core.member.MemberStatus,
    hasNews = false,
  ): void =>
    send(router, {
      type: 'gossipReceived',
      message: {
        self: { ...peer.state.members.self, status },
        updates: [],
        generation: 0,
        confirmedAgeMs: 0,
        rateLimitNews: hasNews ? core.rateLimitNews.makeNews(peer.state, nowMs) : [],
      },
    });
  const tick = (router: Router): void => {
    if (router.isAlive) {
      send(router, { type: 'ticked' });
      schedule(TICK_MS, () => tick(router));
    }
  };
  const addRouter = (): void => {
    const id = `r${routers.length}`;
    const router: Router = {
      id,
      isAlive: true,
      state: core.routerState.makeState({
        routerId: id,
        zone: 'a',
        address: getAddress(id),
        ledgerCapacity: 1,
      }),
    };
    routers.push(router);
    send(router, { type: 'routesAdopted', table: routedFixtures.makeTable() });
    Object.keys(limits).forEach((upstreamId) =>
      send(router, { type: 'hostChanged', host: routedFixtures.makeHost(upstreamId) }),
    );
    routers
      .filter((peer) => peer !== router && peer.isAlive)
      .forEach((peer) => {
        tellMember(router, peer, 'alive', true);
        schedule(nowMs === FIRST_MS ? 0 : JOIN_MS, () => tellMember(peer, router, 'alive'));
      });
    tick(router);
  };
  for (let index = 0; index < routerCount; index += 1) {
    addRouter();
  }
  return {
    arrivals,
    addRouter,
    killRouter: (index) => {
      const router = routers[index % routers.length];
      if (router?.isAlive === true && routers.filter(({ isAlive }) => isAlive).length > 1) {
        router.isAlive = false;
        schedule(DEATH_MS, () => routers.forEach((peer) => tellMember(peer, router, 'dead')));
      }
    },
    sendCall: (index) => {
      const router = routers[index % routers.length];
      if (router !== undefined) {
        callCount += 1;
        const call = routedFixtures.makeCall({ deadlineMs: 2_000, fingerprint: `f${callCount}` });
        send(router, {
          type: 'routedRequestArrived',
          requestId: `call-${callCount}`,
          call,
          tableAgeMs: 0,
          waitedMs: 0,
        });
      }
    },
    countRouters: () => routers.length,
    runUntil: (untilMs) => {
      for (let [job] = jobs; job !== undefined && job.atMs <= untilMs; [job] = jobs) {
        jobs = jobs.slice(1);
        nowMs = Math.max(nowMs, job.atMs);
        job.run();
      }
      nowMs = untilMs;
    },
    countRefused: () => refusedCount,
  };
};
